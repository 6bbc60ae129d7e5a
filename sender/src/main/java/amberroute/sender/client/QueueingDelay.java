package amberroute.sender.client;

/**
 * Bounds how long a request may have lain unread. A client states the time left of its message as of when it sent it; a process that is
 * short of CPU time, or was stopped for a moment, reads it later and would end the message too late by the client's clock.
 *
 * <p>The event loop ticks. What it reads now had not arrived when it last polled for input, and it has polled since the tick before the
 * last one, so that tick bounds the wait: some two ticks while the loop is on time. New connections are accepted in batches; as
 * long as batches are full, the accept queue may hold connections from before the first batch. Times are monotonic nanoseconds; reads no clock.
 * Not safe for use by several threads.
 */
public final class QueueingDelay {
    /** Interval of ticks: small beside the precision of deadlines, large beside the cost of a tick. */
    public static final long TICK_MS = 20;
    /** Time-out of clients: one that has waited longer has disconnected, and its request counts for nothing. */
    public static final long CLIENT_TIMEOUT_MS = 400;

    private long lastTickNanos;
    private long previousTickNanos;
    private long queuedSinceNanos;
    private int acceptedInBatch;
    private boolean lastBatchFull;

    /** Nothing can have waited since before {@code now}. */
    public QueueingDelay(long now) {
        lastTickNanos = now;
        previousTickNanos = now;
        queuedSinceNanos = now;
    }

    /** To be called every {@link #TICK_MS} by the event loop, after the reads of an iteration. */
    public void tick(long now) {
        previousTickNanos = lastTickNanos;
        lastTickNanos = now;
    }

    /** A connection was accepted; returns since when it, and a request on it, may have waited. */
    public long accepted() {
        if (acceptedInBatch++ == 0 && !lastBatchFull) {
            queuedSinceNanos = previousTickNanos;
        }
        return queuedSinceNanos;
    }

    /** A batch of accepts is over; with {@code most} connections in it more may wait in the queue. */
    public void batchDone(int most) {
        lastBatchFull = acceptedInBatch >= most;
        acceptedInBatch = 0;
    }

    /** Milliseconds that a request may have waited; {@code since} is the result of {@link #accepted}, 0 once its connection was read. */
    public long millis(long since, long now) {
        long from = since != 0 && since - previousTickNanos < 0 ? since : previousTickNanos;
        return Math.max(0, Math.min(CLIENT_TIMEOUT_MS, (now - from) / 1_000_000));
    }
}
