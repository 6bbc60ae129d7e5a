package amberroute.sender.client;

/**
 * When a process that was told to end, and will be killed, lets go of its clients. They send on every connection that stays
 * open, and a kill between the last byte of a request and its answer leaves a message that nobody can tell the end of: so
 * before the kill no connection may be left. One that is closed between requests does no harm: a request that crosses that is
 * sent once more, to whoever takes clients. Decides only; times are milliseconds of one monotonic clock.
 */
public final class ConnectionDraining {
    /** Connections are closed so far apart that their clients do not rush to others in one moment. */
    static final long SPREAD_MS = 600;

    private final long begin;
    private final long over;
    private final long last;
    private int first = -1;

    /**
     * Told to end at {@code now}, killed {@code within} later at the soonest. Whoever asked before {@link #over} has an answer, or
     * is gone, when that comes: clients wait no longer than {@link QueueingDelay#CLIENT_TIMEOUT_MS}.
     */
    public ConnectionDraining(long now, long within) {
        last = now + within;
        over = last - Math.min(within, QueueingDelay.CLIENT_TIMEOUT_MS);
        begin = Math.max(now, over - SPREAD_MS);
    }

    /** Whether connections close behind their next answer, and none is taken any more. */
    public boolean begun(long now) {
        return now >= begin;
    }

    /** Whether no request may be read any more: every connection closes that owes no answer, whatever has come of the next. */
    public boolean over(long now) {
        return now >= over;
    }

    /** Milliseconds until the kill may come, 0 from then on. */
    public long left(long now) {
        return Math.max(0, last - now);
    }

    /** Whether the kill may come. */
    public boolean last(long now) {
        return now >= last;
    }

    /** How many of so many open connections have to be closed by now. */
    public int surplus(long now, int open) {
        if (!begun(now)) {
            return 0;
        }
        if (first < 0) {
            first = open;
        }
        return over(now) ? open : (int) Math.max(0, open - first * (over - now) / SPREAD_MS);
    }
}
