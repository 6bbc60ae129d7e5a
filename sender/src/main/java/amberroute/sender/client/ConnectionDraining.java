package amberroute.sender.client;

/**
 * When a process that was told to end, and will be killed, closes its clients' connections. Clients send on every connection that stays
 * open, and a kill between the last byte of a request and its reply leaves a message whose fate nobody can tell, so no connection may
 * be open at the kill. Closing one between requests is harmless: a request that crosses the close is sent again elsewhere.
 *
 * <p>Decides only and reads no clock; times are milliseconds of one monotonic clock. Not safe for use by several threads.
 */
public final class ConnectionDraining {
    /** Time over which connections close, so that their clients do not reconnect elsewhere in one moment. */
    static final long SPREAD_MS = 600;

    private final long beginMillis;
    private final long lastRequestMillis;
    private final long killMillis;
    private int connectionsAtBegin = -1;

    /**
     * Told to end at {@code now}, killed {@code within} milliseconds later at the soonest. Requests read before {@link #isReadingOver} have a reply,
     * or their clients have timed out, by then: clients wait no longer than {@link QueueingDelay#CLIENT_TIMEOUT_MS}.
     */
    public ConnectionDraining(long now, long within) {
        killMillis = now + within;
        lastRequestMillis = killMillis - Math.min(within, QueueingDelay.CLIENT_TIMEOUT_MS);
        beginMillis = Math.max(now, lastRequestMillis - SPREAD_MS);
    }

    /** Whether connections close after their next reply and no new ones are accepted. */
    public boolean begun(long now) {
        return now >= beginMillis;
    }

    /** Whether no request may be read any more: every connection closes that owes no reply, even in the middle of a request. */
    public boolean isReadingOver(long now) {
        return now >= lastRequestMillis;
    }

    /** Milliseconds until the kill may come, 0 from then on. */
    public long millisUntilKill(long now) {
        return Math.max(0, killMillis - now);
    }

    /** Whether the kill may come. */
    public boolean isKillDue(long now) {
        return now >= killMillis;
    }

    /** How many of {@code open} connections have to be closed by now. */
    public int surplus(long now, int open) {
        if (!begun(now)) {
            return 0;
        }
        if (connectionsAtBegin < 0) {
            connectionsAtBegin = open;
        }
        return isReadingOver(now)
                ? open
                : (int) Math.max(0, open - connectionsAtBegin * (lastRequestMillis - now) / SPREAD_MS);
    }
}
