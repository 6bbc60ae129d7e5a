package amberroute.sender.eventloop;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.SelectStrategy;
import io.netty.channel.SelectStrategyFactory;
import java.util.concurrent.TimeUnit;

/**
 * When the event loop last looked for what there is to read. A process that is stopped for a moment behind that, as one that
 * is short of CPU time is, would go on to write calls by what it knew before, though what came meanwhile lies unread: that a
 * receiver drains, or wants to be left alone. A turn that finds its look stale lets the loop look again first.
 */
public final class EventLoopStallDetector implements SelectStrategyFactory {
    /** A fraction of the shortest time that receivers allow for news to be read; a pass of the loop takes a millisecond or so. */
    private static final long STALE_NANOS = 60_000_000;

    private long looked = System.nanoTime();
    private boolean again;

    @Override
    public SelectStrategy newSelectStrategy() {
        SelectStrategy usual = DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
        return (supplier, hasTasks) -> {
            // It may wait now; then the look seems older than it is, which costs a pass of a loop that has little to
            // do.
            looked = System.nanoTime();
            return usual.calculateStrategy(supplier, hasTasks);
        };
    }

    /** Runs it behind the loop's next look; a task that is only put behind others may run before that. */
    public void behind(EventLoop loop, Runnable task) {
        loop.schedule(task, 1, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs it behind what could be read by now: all that this pass found, and where the process stood still since it looked
     * also what the next pass finds.
     */
    public void behindReads(EventLoop loop, Runnable task) {
        loop.execute(() -> {
            if (System.nanoTime() - looked > STALE_NANOS) {
                behind(loop, task);
            } else {
                task.run();
            }
        });
    }

    /** Whether the loop should look again before anything is done by what it knows; not twice in a row. */
    public boolean stale(long now) {
        again = !again && now - looked > STALE_NANOS;
        return again;
    }
}
