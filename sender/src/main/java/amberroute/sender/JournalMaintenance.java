package amberroute.sender;

import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Repeated work on the journal: retries of failed writes, compaction, expiry of key holds and handoff batches. Event loop only. */
final class JournalMaintenance {
    /** Interval of retries of failed writes and of compaction. */
    private static final long RETRY_AND_COMPACTION_INTERVAL_MS = 100;
    /** Interval of the expiry of key holds. */
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

    /** Starts retries and compaction. */
    void start() {
        scheduleWhileOwner(RETRY_AND_COMPACTION_INTERVAL_MS, () -> {
            folder.journal().retryFailedWrites();
            folder.journal().compactStep();
            folder.clock().persist();
        });
    }

    /** Starts the expiry of key holds, for senders with a handoff. */
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

    /** Ends all repeated work. */
    void stop() {
        scheduledTasks.forEach(task -> task.cancel(false));
    }
}
