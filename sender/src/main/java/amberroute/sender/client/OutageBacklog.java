package amberroute.sender.client;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Bounds how long a message may have waited inside its client while no process served the listening socket.
 *
 * <p>Clients submit messages of one key one after another, each after the reply to the one before. They state the time left as of when the
 * message was ready; if the one before had no reply since an outage, that may have been up to the whole outage ago. Such a message
 * follows right after the reply to the one before. It is given the least time that it can have, so that it ends in time; cost:
 * it may end too early.
 *
 * <p>An outage is over some time after the last request that may have waited as long as clients wait. Times are monotonic nanoseconds;
 * reads no clock. Remembers at most {@value #MOST_KEYS} keys, those answered last. Not safe for use by several threads.
 */
public final class OutageBacklog {
    static final int MOST_KEYS = 4_096;
    /**
     * The previous process may have ended so long before this one first read the clock: the platform starts the next one 0.6 s
     * after a kill (PROTOCOL, Figures), and the virtual machine has to start.
     */
    public static final long UNSEEN_MS = 1_500;
    /** A client without a reply submits again within two seconds, so what waits behind its message arrives by then. */
    static final long SETTLED_MS = 2_500;
    /** A client that waits for the reply to the message before submits the next within this, even if short of CPU time. */
    static final long FOLLOWS_MS = 200;

    private static final long NANOS_PER_MS = 1_000_000;

    private final Map<Long, Long> answeredAtNanos = new LinkedHashMap<>();
    private long outageSinceNanos;
    private long outageEndNanos;

    /** For a process that first read the clock at {@code started} and accepts clients from {@code listening} on. */
    OutageBacklog(long started, long listening) {
        outageSinceNanos = started - UNSEEN_MS * NANOS_PER_MS;
        outageEndNanos = listening + SETTLED_MS * NANOS_PER_MS;
    }

    /** Another process served the socket up to this moment. */
    void servedUntil(long moment) {
        outageSinceNanos = Math.max(outageSinceNanos, moment);
    }

    /** A request was read that may have waited as long as clients wait, so the outage is not over. */
    void stillFelt(long now) {
        if (!over(now)) {
            outageEndNanos = now + SETTLED_MS * NANOS_PER_MS;
        }
    }

    /** A message of this key was answered; 0 is none. */
    void answered(long now, long key) {
        if (key == 0 || over(now)) {
            return;
        }
        answeredAtNanos.remove(key);
        answeredAtNanos.put(key, now);
        if (answeredAtNanos.size() > MOST_KEYS) {
            answeredAtNanos.remove(answeredAtNanos.keySet().iterator().next());
        }
    }

    /** Milliseconds for which a message of this key that is read now may have waited in its client, 0 where nothing speaks for it. */
    long millis(long now, long key) {
        if (key == 0 || over(now)) {
            return 0;
        }
        Long before = answeredAtNanos.get(key);
        boolean follows = before != null && now - before <= FOLLOWS_MS * NANOS_PER_MS;
        return follows ? Math.max(0, (now - outageSinceNanos) / NANOS_PER_MS) : 0;
    }

    private boolean over(long now) {
        if (now - outageEndNanos < 0) {
            return false;
        }
        answeredAtNanos.clear();
        return true;
    }
}
