package amberroute.sender.journal;

import amberroute.sender.config.Durability;
import amberroute.storage.Batch;
import amberroute.storage.SegmentLog;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The write path of the journal: appends batches, retries what the disk did not take, gives each batch to replication, and checks
 * the fence behind each append, since nothing may have an effect out of a folder that was taken over. Used on the event loop only.
 */
final class JournalWriter {
    /** Pending writes that one call of {@link #retry} writes at most. */
    private static final int MAX_RETRIED_WRITES = 64;

    private final SegmentLog log;
    private final Durability durability;
    private final BackgroundExecutor executor;
    private final JournalContents contents;
    private final WriteFailure failure = new WriteFailure();
    private final PendingWrites pendingWrites = new PendingWrites();
    private final ForceScheduler forces;
    /** Null where nobody may take the folder over. */
    private File fence;

    private Runnable onFenced = () -> {};
    /** Null where the journal is not replicated. */
    private JournalChangeListener listener;

    JournalWriter(SegmentLog log, Durability durability, BackgroundExecutor executor, JournalContents contents) {
        this.log = log;
        this.durability = durability;
        this.executor = executor;
        this.contents = contents;
        forces = new ForceScheduler(log, durability, executor, failure);
    }

    WriteFailure failure() {
        return failure;
    }

    PendingWrites pendingWrites() {
        return pendingWrites;
    }

    ForceScheduler forces() {
        return forces;
    }

    void replicateTo(JournalChangeListener to) {
        listener = to;
    }

    void watchFence(Path folder, Runnable fenced) {
        fence = FencingToken.file(folder);
        onFenced = fenced;
    }

    /**
     * Ends the process where the folder was taken over.
     *
     * @throws IllegalStateException behind {@code onFenced}, so that no effect follows
     */
    void checkFence() {
        if (fence != null && fence.exists()) {
            onFenced.run();
            throw new IllegalStateException("this folder was taken over");
        }
    }

    /** Returns whether nothing is left over of a write or a force that failed. */
    boolean settled() {
        return pendingWrites.isEmpty() && !log.uncertain() && !log.needsRewrite();
    }

    /** Returns whether a batch whose write failed may be found after a restart all the same. */
    boolean uncertain() {
        return log.uncertain();
    }

    /** Appends a batch; false where the disk or the budget does not take it. */
    boolean write(Batch batch) {
        byte[] position = listener == null || batch.isEmpty() ? null : listener.replicationPosition();
        Batch whole = position == null ? batch : withPosition(batch, position);
        try {
            log.write(whole);
        } catch (IOException e) {
            failure.failed(e);
            return false;
        }
        if (position != null) {
            contents.replicationPosition = position;
            listener.batchWritten(whole);
        }
        if (durability == Durability.EACH) {
            forces.forceNow();
        }
        if (failure.present() && settled()) {
            failure.recovered();
        }
        checkFence();
        return true;
    }

    private Batch withPosition(Batch batch, byte[] position) {
        return new Batch()
                .addAll(batch)
                .put(contents.owners.of(OwnerNumbers.replication()), RecordKind.REPLICATION_POSITION, position);
    }

    /** Writes the last state of an owner, now or as soon as the disk takes it; then runs the effect. */
    void writeEventually(long owner, Batch batch, Runnable effect) {
        if (pendingWrites.isEmpty() && write(batch)) {
            effect.run();
        } else {
            pendingWrites.put(owner, batch, effect);
            retry();
        }
    }

    /** Tries again what the disk did not take. */
    void retry() {
        if (log.needsRewrite() && !forces.running()) {
            forces.rewrite();
            forces.start();
        }
        if (!failure.present() && pendingWrites.isEmpty()) {
            return;
        }
        try {
            log.resolveUncertainWrite();
        } catch (IOException e) {
            failure.failed(e);
            return;
        }
        for (int i = 0; i < MAX_RETRIED_WRITES && !pendingWrites.isEmpty(); i++) {
            if (!pendingWrites.writeFirst(this::write)) {
                return;
            }
        }
        log.refillReserve();
        if (settled() && log.hasReserve() && failure.present()) {
            failure.recovered();
        }
    }

    /** Does a step of compaction where that is needed; returns whether there is more to do. */
    boolean compactStep() {
        if (!log.shouldCompact()) {
            return false;
        }
        if (log.awaitsForce() && executor != null && !forces.running()) {
            forces.start();
        }
        try {
            return log.compact(ForceScheduler.COMPACTION_STEP_BYTES) && log.shouldCompact();
        } catch (IOException e) {
            failure.failed(e);
            return false;
        }
    }

    /** Runs an effect when all records so far are as durable as configured; {@code failed} in its place, null to wait. */
    void whenDurable(Runnable effect, Runnable failed) {
        if (listener == null) {
            forces.whenForced(effect, failed);
        } else {
            listener.whenReplicated(() -> forces.whenForced(effect, failed), failed);
        }
    }
}
