package amberroute.sender.client;

/**
 * For how long a request may have lain unread. A client tells how much time its message has as of when it sent it, and
 * waits for the answer only so long; a process that is short of CPU time, or stopped for a moment, reads it later, and would
 * count the message's time from then: it would end it too late, though by its own reckoning in time.
 *
 * <p>The event loop ticks. What it reads now was not there yet when it last looked for something to read, and it has looked
 * since the tick before the last one. So that tick bounds the wait from above; while the loop is on time that is some two
 * ticks. New connections are taken a batch at a time: as long as batches are full the queue may hold some from before the
 * first. Times are of one monotonic clock, in nanoseconds. Reads no clock.
 */
public final class QueueingDelay {
    /** Small beside what times are told in, large beside what a tick costs (some 0.3% of half a core). */
    public static final long TICK_MS = 20;
    /** Clients wait no longer for an answer: who has waited longer is gone, and its message counts for nothing. */
    public static final long CLIENT_TIMEOUT_MS = 400;

    private long tick;
    private long before;
    private long queued;
    private int batch;
    private boolean full;

    public QueueingDelay(long now) {
        tick = now;
        before = now;
        queued = now;
    }

    /** To be called every {@link #TICK_MS}, from the loop, behind what a pass of it reads. */
    public void tick(long now) {
        before = tick;
        tick = now;
    }

    /** A connection was accepted; returns since when it, and a request on it, may have waited. */
    public long accepted() {
        if (batch++ == 0 && !full) {
            queued = before;
        }
        return queued;
    }

    /** No more are accepted in this pass; with {@code most} of them there may be others that wait. */
    public void batchDone(int most) {
        full = batch >= most;
        batch = 0;
    }

    /** Milliseconds for which a request may have waited; {@code since} is its connection's first wait, 0 once it was read. */
    public long millis(long since, long now) {
        long from = since != 0 && since - before < 0 ? since : before;
        return Math.max(0, Math.min(CLIENT_TIMEOUT_MS, (now - from) / 1_000_000));
    }
}
