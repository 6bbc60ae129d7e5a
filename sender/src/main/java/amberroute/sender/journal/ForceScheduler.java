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
 * Forces the log to the disk and defers effects until what they depend on has been forced. One force runs at a time, on the
 * background executor; what is written meanwhile waits for the next one. Used on the event loop only.
 */
final class ForceScheduler {
    /** Bytes that one step of compaction copies; it bounds the time of one event loop iteration. */
    static final long COMPACTION_STEP_BYTES = 16 * 1_024;

    private static final int MAX_FORCES = 5;

    /** An effect that may happen once all up to a sequence number is forced; {@code failed} is null to wait without bound. */
    private record DeferredEffect(long sequence, Runnable effect, Runnable failed) {}

    private final SegmentLog log;
    private final Durability durability;
    private final BackgroundExecutor executor;
    private final WriteFailure failure;
    private final Deque<DeferredEffect> deferred = new ArrayDeque<>();
    private PendingForce running;
    private boolean requested;
    /** Counted down when the running force has run. */
    private CountDownLatch finished;
    /** Takes the result of the running force, once. */
    private Runnable completion;

    /** {@code executor} may be null where nothing is forced in the background. */
    ForceScheduler(SegmentLog log, Durability durability, BackgroundExecutor executor, WriteFailure failure) {
        this.log = log;
        this.durability = durability;
        this.executor = executor;
        this.failure = failure;
    }

    boolean running() {
        return running != null;
    }

    /** Returns the number of effects that wait for a force. */
    int deferredEffects() {
        return deferred.size();
    }

    /** Runs an effect when all records so far survive a loss of power, at once where that is not asked for. */
    void whenForced(Runnable effect, Runnable failed) {
        if (durability == Durability.NONE || deferred.isEmpty() && allForced()) {
            effect.run();
            return;
        }
        deferred.add(new DeferredEffect(log.sequence(), effect, failed));
        if (!requested && executor != null) {
            requested = true;
            executor.runOnLoop(this::start);
        }
    }

    /** Starts a force of all records so far, unless one is running. */
    void start() {
        requested = false;
        if (running != null || durability == Durability.NONE) {
            return;
        }
        running = log.prepareForce();
        if (running == null) {
            runForcedEffects();
            return;
        }
        PendingForce force = running;
        IOException[] error = new IOException[1];
        CountDownLatch ran = new CountDownLatch(1);
        finished = ran;
        Runnable complete = () -> {
            // Once: forceAll() completes the running force ahead of the executor.
            if (running == force) {
                running = null;
                completed(force, error[0]);
            }
        };
        completion = complete;
        executor.runInBackground(() -> run(force, error, ran), () -> {
            complete.run();
            if (!deferred.isEmpty() && !log.needsRewrite()) {
                start();
            }
        });
    }

    /** On the executor's thread; the latch makes {@code error} visible to the event loop. */
    private static void run(PendingForce force, IOException[] error, CountDownLatch ran) {
        try {
            force.run();
        } catch (IOException e) {
            error[0] = e;
        } finally {
            ran.countDown();
        }
    }

    private void completed(PendingForce force, IOException error) {
        log.forceCompleted(force, error == null);
        if (error == null) {
            runForcedEffects();
            return;
        }
        failure.failed(new IOException(
                "forcing failed, what was written since the last one is written anew: " + error.getMessage()));
        List<DeferredEffect> all = List.copyOf(deferred);
        deferred.clear();
        for (DeferredEffect one : all) {
            if (one.failed() == null) {
                deferred.add(one);
            } else {
                one.failed().run();
            }
        }
    }

    private void runForcedEffects() {
        while (!log.needsRewrite() && !deferred.isEmpty() && deferred.peek().sequence() <= log.forcedSequence()) {
            deferred.poll().effect().run();
        }
    }

    /** Forces on this thread. Slow. Returns whether all records so far survive a loss of power. */
    boolean forceNow() {
        PendingForce force = running == null ? log.prepareForce() : null;
        if (force != null) {
            IOException error = null;
            try {
                force.run();
            } catch (IOException e) {
                error = e;
            }
            completed(force, error);
        }
        return allForced();
    }

    private boolean allForced() {
        return !log.needsRewrite() && log.forcedSequence() >= log.sequence();
    }

    /** Forces on this thread, several times where a force fails. Slow. Returns whether that succeeded. */
    boolean forceAll() {
        if (durability == Durability.NONE) {
            return true;
        }
        if (running != null && !awaitRunning()) {
            return false;
        }
        for (int i = 0; i < MAX_FORCES; i++) {
            if (forceNow()) {
                return true;
            }
            rewrite();
        }
        return false;
    }

    /** The executor's force comes first: its files must not be closed while it runs. */
    private boolean awaitRunning() {
        try {
            finished.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
        completion.run();
        return true;
    }

    /** Copies what a failed force has left unknown, so that the next force covers it. */
    void rewrite() {
        try {
            boolean copied = true;
            while (log.needsRewrite() && copied) {
                copied = log.compact(COMPACTION_STEP_BYTES);
            }
        } catch (IOException e) {
            failure.failed(e);
        }
    }
}
