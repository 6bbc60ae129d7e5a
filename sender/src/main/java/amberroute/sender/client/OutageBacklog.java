package amberroute.sender.client;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * For how long a message may have waited inside its client while nobody served the listening socket.
 *
 * <p>Messages of one key are handed in one after another, each when the one before has its answer. A client says how much time a
 * message has left as of when it was ready to be sent; if the message before it had no answer since an outage, that was up to the
 * whole outage ago. Such a message shows by coming right behind the answer to the one before. It is given the least time that it can
 * have, so that it ends in time, at the worst too early.
 *
 * <p>An outage is over some time after the last request that may have waited as long as clients wait. Times are of one monotonic
 * clock, in nanoseconds; reads no clock. Holds at most {@value #MOST_KEYS} keys, those answered last.
 */
public final class OutageBacklog {
    static final int MOST_KEYS = 4_096;
    /**
     * The end of the process before may lie so long before the first look at the clock: the platform starts the next one 0.6 s
     * behind a kill (PROTOCOL, Figures), and the virtual machine has to start.
     */
    public static final long UNSEEN_MS = 1_500;
    /** A client that got no answer comes again within two seconds, so what waits behind its message comes by then. */
    static final long SETTLED_MS = 2_500;
    /** Whoever waits for the answer to the message before sends within this of it, also through a process short of CPU time. */
    static final long FOLLOWS_MS = 200;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Map<Long, Long> answeredAt = new LinkedHashMap<>();
    private long since;
    private long settledAt;

    /** Of a process that first looked at the clock at {@code started} and accepts clients from {@code listening} on. */
    OutageBacklog(long started, long listening) {
        since = started - UNSEEN_MS * NANOS_PER_MS;
        settledAt = listening + SETTLED_MS * NANOS_PER_MS;
    }

    /** Another process served the socket up to this moment. */
    void servedUntil(long moment) {
        since = Math.max(since, moment);
    }

    /** A request was read that may have waited as long as clients wait: the outage is felt still. */
    void stillFelt(long now) {
        if (!over(now)) {
            settledAt = now + SETTLED_MS * NANOS_PER_MS;
        }
    }

    /** A message of this key was answered; 0 is none. */
    void answered(long now, long key) {
        if (key == 0 || over(now)) {
            return;
        }
        answeredAt.remove(key);
        answeredAt.put(key, now);
        if (answeredAt.size() > MOST_KEYS) {
            answeredAt.remove(answeredAt.keySet().iterator().next());
        }
    }

    /** Milliseconds for which a message of this key that is read now may have waited in its client, 0 where nothing speaks for it. */
    long millis(long now, long key) {
        if (key == 0 || over(now)) {
            return 0;
        }
        Long before = answeredAt.get(key);
        boolean follows = before != null && now - before <= FOLLOWS_MS * NANOS_PER_MS;
        return follows ? Math.max(0, (now - since) / NANOS_PER_MS) : 0;
    }

    private boolean over(long now) {
        if (now - settledAt < 0) {
            return false;
        }
        answeredAt.clear();
        return true;
    }
}
