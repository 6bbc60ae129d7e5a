package amberroute.sender.journal;

import amberroute.sender.config.Durability;
import amberroute.storage.PendingForce;
import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CountDownLatch;

/**
 * Forces the log to disk and defers effects until the records they depend on have been forced. One force runs at a
 * time, on the background executor; records that are written meanwhile wait for the next one. Used on the event loop
 * only.
 */
final class ForceScheduler {
    /** Bytes copied by one step of compaction, which bounds the duration of one event loop iteration. */
    static final long COMPACTION_STEP_BYTES = 16 * 1_024;

    private static final int MAX_FORCE_ATTEMPTS = 5;

    /**
     * An effect that may happen once all records up to a sequence number are forced.
     *
     * @param onFailure runs instead if a force fails; null to wait without a time limit
     */
    private record DeferredEffect(long sequence, Runnable effect, Runnable onFailure) {}

    private final SegmentLog log;
    private final Durability durability;
    private final BackgroundExecutor executor;
    private final WriteFailure failure;
    private final Deque<DeferredEffect> deferred = new ArrayDeque<>();
    private PendingForce runningForce;
    private boolean startRequested;
    /** Counted down when the running force has finished. */
    private CountDownLatch runningForceDone;
    /** Processes the result of the running force, at most once. */
    private Runnable completeRunningForce;

    /** {@code executor} may be null if nothing is forced in the background. */
    ForceScheduler(SegmentLog log, Durability durability, BackgroundExecutor executor, WriteFailure failure) {
        this.log = log;
        this.durability = durability;
        this.executor = executor;
        this.failure = failure;
    }

    boolean isForceRunning() {
        return runningForce != null;
    }

    /** Returns the number of effects that wait for a force. */
    int deferredEffectCount() {
        return deferred.size();
    }

    /** Runs an effect when all records so far survive a power loss; immediately if durability is not required. */
    void whenForced(Runnable effect, Runnable onFailure) {
        if (durability == Durability.NONE || deferred.isEmpty() && allForced()) {
            effect.run();
            return;
        }
        deferred.add(new DeferredEffect(log.lastSequence(), effect, onFailure));
        if (!startRequested && executor != null) {
            startRequested = true;
            executor.runOnLoop(this::startForce);
        }
    }

    /** Starts a force of all records so far, unless one is running. */
    void startForce() {
        startRequested = false;
        if (runningForce != null || durability == Durability.NONE) {
            return;
        }
        runningForce = log.prepareForce();
        if (runningForce == null) {
            runForcedEffects();
            return;
        }
        PendingForce force = runningForce;
        IOException[] error = new IOException[1];
        CountDownLatch done = new CountDownLatch(1);
        runningForceDone = done;
        Runnable completion = () -> {
            // forceAll() may have completed the running force before the executor did.
            if (runningForce == force) {
                runningForce = null;
                onForceCompleted(force, error[0]);
            }
        };
        completeRunningForce = completion;
        executor.runInBackground(() -> run(force, error, done), () -> {
            completion.run();
            if (!deferred.isEmpty() && !log.needsRewrite()) {
                startForce();
            }
        });
    }

    /** Runs on the executor's thread; the latch makes {@code error} visible to the event loop. */
    private static void run(PendingForce force, IOException[] error, CountDownLatch done) {
        try {
            force.run();
        } catch (IOException e) {
            error[0] = e;
        } finally {
            done.countDown();
        }
    }

    private void onForceCompleted(PendingForce force, IOException error) {
        log.forceCompleted(force, error == null);
        if (error == null) {
            runForcedEffects();
            return;
        }
        failure.report(new IOException(
                "fsync failed, rewriting the records since the last successful one: " + error.getMessage()));
        List<DeferredEffect> waiting = List.copyOf(deferred);
        deferred.clear();
        for (DeferredEffect waitingEffect : waiting) {
            if (waitingEffect.onFailure() == null) {
                deferred.add(waitingEffect);
            } else {
                waitingEffect.onFailure().run();
            }
        }
    }

    private void runForcedEffects() {
        while (!log.needsRewrite() && !deferred.isEmpty() && deferred.peek().sequence() <= log.forcedSequence()) {
            deferred.poll().effect().run();
        }
    }

    /** Forces on the calling thread, which blocks it. Returns whether all records so far survive a power loss. */
    boolean forceNow() {
        PendingForce force = runningForce == null ? log.prepareForce() : null;
        if (force != null) {
            IOException error = null;
            try {
                force.run();
            } catch (IOException e) {
                error = e;
            }
            onForceCompleted(force, error);
        }
        return allForced();
    }

    private boolean allForced() {
        return !log.needsRewrite() && log.forcedSequence() >= log.lastSequence();
    }

    /**
     * Forces on the calling thread, which blocks it, up to {@value #MAX_FORCE_ATTEMPTS} times until all records so far
     * survive a power loss.
     *
     * @return true if that succeeded or durability is not required; false also if the thread was interrupted while it
     *     waited for a running force
     */
    boolean forceAll() {
        if (durability == Durability.NONE) {
            return true;
        }
        if (runningForce != null && !awaitRunningForce()) {
            return false;
        }
        for (int i = 0; i < MAX_FORCE_ATTEMPTS; i++) {
            if (forceNow()) {
                return true;
            }
            rewriteUnforcedRecords();
        }
        return false;
    }

    /** Waits for the background force, whose files must not be closed while it runs. */
    private boolean awaitRunningForce() {
        try {
            runningForceDone.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        completeRunningForce.run();
        return true;
    }

    /** Copies the records whose durability is unknown after a failed force, so that the next force covers them. */
    void rewriteUnforcedRecords() {
        try {
            boolean progressed = true;
            while (log.needsRewrite() && progressed) {
                progressed = log.compact(COMPACTION_STEP_BYTES);
            }
        } catch (IOException e) {
            failure.report(e);
        }
    }
}
