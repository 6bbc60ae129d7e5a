package amberroute.sender;

import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Runs periodic work on the journal: retries of failed writes, compaction, and expiry of key holds and handoff batches. Event
 * loop only.
 */
final class JournalMaintenance {
    /** Also the interval at which the steady clock is recorded. */
    private static final long RETRY_AND_COMPACTION_INTERVAL_MS = 100;
    /** Interval of the expiry of key holds and handoff batches. */
    private static final long EXPIRY_INTERVAL_MS = 100;

    private final EventLoop loop;
    private final StateFolder folder;
    private final LifecycleState lifecycle;
    private final KeyHoldTracker keyHolds;
    private final List<Future<?>> scheduledTasks = new ArrayList<>();

    JournalMaintenance(EventLoop loop, StateFolder folder, LifecycleState lifecycle, KeyHoldTracker keyHolds) {
        this.loop = loop;
        this.folder = folder;
        this.lifecycle = lifecycle;
        this.keyHolds = keyHolds;
    }

    /** Starts retries of failed writes, compaction and the recording of the steady clock. */
    void start() {
        scheduleWhileOwner(RETRY_AND_COMPACTION_INTERVAL_MS, () -> {
            folder.journal().retryFailedWrites();
            folder.journal().compactStep();
            folder.clock().persist();
        });
    }

    /** Starts the expiry of key holds and handoff batches, for senders with a handoff. */
    void startExpiry() {
        scheduleWhileOwner(EXPIRY_INTERVAL_MS, () -> {
            folder.journal().expireHandoffBatches(folder.steadyMillis());
            keyHolds.release(folder.journal().expireKeyHolds(folder.steadyMillis()));
        });
    }

    private void scheduleWhileOwner(long intervalMillis, Runnable task) {
        Runnable taskWhileOwner = () -> {
            if (!lifecycle.ownershipReleased()) {
                task.run();
            }
        };
        scheduledTasks.add(
                loop.scheduleWithFixedDelay(taskWhileOwner, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS));
    }

    /** Cancels all periodic work. */
    void stop() {
        scheduledTasks.forEach(task -> task.cancel(false));
    }
}
