package amberroute.sender.client;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Upper bounds for the time that a request has waited before it was read: in the socket's queues ({@link QueueingDelay}), and inside its client
 * while no process served the socket ({@link OutageBacklog}).
 *
 * <p>Reads no clock: times are monotonic nanoseconds, results are milliseconds. Belongs to the event loop.
 */
final class RequestAge {
    private final QueueingDelay queueingDelay;
    /** Null for a new socket: clients were refused until it listened, so none can have waited. */
    private final OutageBacklog outageBacklog;

    private RequestAge(QueueingDelay queueingDelay, OutageBacklog outageBacklog) {
        this.queueingDelay = queueingDelay;
        this.outageBacklog = outageBacklog;
    }

    /** For a socket that begins to listen now. */
    static RequestAge ofNewSocket(long nowNanos) {
        return new RequestAge(new QueueingDelay(nowNanos), null);
    }

    /** For a socket that listened before this process, which was created at {@code createdNanos}; another served it up to a moment, if known. */
    static RequestAge ofInheritedSocket(long createdNanos, long nowNanos, OptionalLong servedUntilNanos) {
        long queuedSince = nowNanos - TimeUnit.MILLISECONDS.toNanos(QueueingDelay.CLIENT_TIMEOUT_MS);
        OutageBacklog backlog = new OutageBacklog(createdNanos, nowNanos);
        servedUntilNanos.ifPresent(backlog::servedUntil);
        return new RequestAge(new QueueingDelay(queuedSince), backlog);
    }

    /** To be called every {@link QueueingDelay#TICK_MS} by the event loop. */
    void tick(long nowNanos) {
        queueingDelay.tick(nowNanos);
    }

    /** A connection was accepted; returns since when a request on it may have waited. */
    long connectionAccepted() {
        return queueingDelay.accepted();
    }

    /** A pass that accepts at most {@code maxConnections} connections is over. */
    void acceptBatchCompleted(int maxConnections) {
        queueingDelay.batchDone(maxConnections);
    }

    /** Milliseconds that a request may have lain unread; {@code sinceNanos} is 0 where only the event loop's delay counts. */
    long unreadMillis(long sinceNanos, long nowNanos) {
        return queueingDelay.millis(sinceNanos, nowNanos);
    }

    /** Milliseconds that a message of this key may have waited in its client for the reply to the one before. */
    long waitedInClientMillis(long key, long nowNanos) {
        return outageBacklog == null ? 0 : outageBacklog.millis(nowNanos, key);
    }

    /** A message of this key was answered; 0 is no key. */
    void answered(long key, long nowNanos) {
        if (outageBacklog != null) {
            outageBacklog.answered(nowNanos, key);
        }
    }

    /** A request was read that may have waited as long as clients wait, so the outage is not over. */
    void outageStillFelt(long nowNanos) {
        if (outageBacklog != null) {
            outageBacklog.stillFelt(nowNanos);
        }
    }
}
