package amberroute.sender.peer;

import amberroute.sender.util.Log;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Effects that wait until a quorum has the record that allows them, in the order of their records. Invariant: an effect runs once
 * its index is committed and not before; one that has waited for {@link #PATIENCE_NANOS} fails instead, if it can. Bounded by what is
 * pending in the journal. Lives on the event loop.
 */
final class DeferredEffects {
    /** A client waits no longer for its answer. */
    private static final long PATIENCE_NANOS = 200_000_000;

    /** {@code onTimeout} is null for an effect that waits for as long as it takes. */
    private record DeferredEffect(long index, Runnable effect, Runnable onTimeout, long sinceNanos) {}

    private final EventLoop loop;
    private final Deque<DeferredEffect> waiting = new ArrayDeque<>();
    private boolean timeoutScheduled;
    private boolean closed;
    private long timedOut;

    DeferredEffects(EventLoop loop) {
        this.loop = loop;
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Effects that were not allowed in time, since the start. */
    long timedOut() {
        return timedOut;
    }

    /** Defers an effect until this index is committed. */
    void add(long index, Runnable effect, Runnable onTimeout) {
        waiting.add(new DeferredEffect(index, effect, onTimeout, System.nanoTime()));
    }

    /** Starts the time-out of what waits, unless it is running. */
    void scheduleTimeout() {
        if (!timeoutScheduled) {
            scheduleTimeout(PATIENCE_NANOS);
        }
    }

    private void scheduleTimeout(long delayNanos) {
        timeoutScheduled = true;
        loop.schedule(this::timeOut, delayNanos, TimeUnit.NANOSECONDS);
    }

    /**
     * Runs what this committed index allows. What could have failed by now fails: where the process stood still, the acknowledgements are as
     * old, and another owner may have begun its term behind them.
     */
    void releaseUpTo(long committedIndex) {
        long now = System.nanoTime();
        while (!waiting.isEmpty() && committedIndex >= 0 && waiting.peek().index() <= committedIndex) {
            DeferredEffect released = waiting.poll();
            boolean late = released.onTimeout() != null && now - released.sinceNanos() >= PATIENCE_NANOS;
            timedOut += late ? 1 : 0;
            Log.guarded("an effect", late ? released.onTimeout() : released.effect());
        }
    }

    /** Fails what has waited for too long, and looks again when the next one will have. */
    private void timeOut() {
        timeoutScheduled = false;
        if (closed) {
            return;
        }
        long now = System.nanoTime();
        long nextDelayNanos = Long.MAX_VALUE;
        List<Runnable> failed = new ArrayList<>();
        for (Iterator<DeferredEffect> each = waiting.iterator(); each.hasNext(); ) {
            DeferredEffect deferred = each.next();
            if (now - deferred.sinceNanos() < PATIENCE_NANOS) {
                nextDelayNanos = deferred.sinceNanos() + PATIENCE_NANOS - now;
                break;
            }
            if (deferred.onTimeout() != null) {
                each.remove();
                failed.add(deferred.onTimeout());
            }
        }
        if (nextDelayNanos != Long.MAX_VALUE) {
            scheduleTimeout(nextDelayNanos);
        }
        timedOut += failed.size();
        failed.forEach(onTimeout -> Log.guarded("an effect", onTimeout));
    }

    /** Nothing times out any more. */
    void close() {
        closed = true;
    }
}
