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
    /** Pending writes that one call of {@link #retryFailedWrites} writes at most. */
    private static final int MAX_RETRIED_WRITES = 64;

    private final SegmentLog log;
    private final Durability durability;
    private final BackgroundExecutor executor;
    private final JournalContents contents;
    private final WriteFailure failure = new WriteFailure();
    private final PendingWrites pendingWrites = new PendingWrites();
    private final ForceScheduler forces;
    /** Null where nobody may take the folder over. */
    private File fencingTokenFile;

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

    void replicateTo(JournalChangeListener changeListener) {
        listener = changeListener;
    }

    void watchFencingToken(Path folder, Runnable whenFenced) {
        fencingTokenFile = FencingToken.file(folder);
        onFenced = whenFenced;
    }

    /**
     * Ends the process where the folder was taken over.
     *
     * @throws IllegalStateException behind {@code onFenced}, so that no effect follows
     */
    void checkFencingToken() {
        if (fencingTokenFile != null && fencingTokenFile.exists()) {
            onFenced.run();
            throw new IllegalStateException("this folder was taken over");
        }
    }

    /** Returns whether nothing is left over of a write or a force that failed. */
    boolean allWritesResolved() {
        return pendingWrites.isEmpty() && !log.hasUncertainWrite() && !log.needsRewrite();
    }

    /** Returns whether a batch whose write failed may be found after a restart all the same. */
    boolean lastWriteUncertain() {
        return log.hasUncertainWrite();
    }

    /** Appends a batch; false where the disk or the budget does not take it. */
    boolean write(Batch batch) {
        byte[] position = listener == null || batch.isEmpty() ? null : listener.replicationPosition();
        Batch replicatedBatch = position == null ? batch : withPosition(batch, position);
        try {
            log.write(replicatedBatch);
        } catch (IOException e) {
            failure.report(e);
            return false;
        }
        if (position != null) {
            contents.replicationPosition = position;
            listener.batchWritten(replicatedBatch);
        }
        if (durability == Durability.EACH) {
            forces.forceNow();
        }
        if (failure.isPresent() && allWritesResolved()) {
            failure.clear();
        }
        checkFencingToken();
        return true;
    }

    private Batch withPosition(Batch batch, byte[] position) {
        return new Batch()
                .addAll(batch)
                .put(
                        contents.owners.getOrAllocate(OwnerNumbers.replication()),
                        RecordKind.REPLICATION_POSITION,
                        position);
    }

    /** Writes the last state of an owner, now or as soon as the disk takes it; then runs the effect. */
    void writeEventually(long owner, Batch batch, Runnable effect) {
        if (pendingWrites.isEmpty() && write(batch)) {
            effect.run();
        } else {
            pendingWrites.put(owner, batch, effect);
            retryFailedWrites();
        }
    }

    /** Tries again what the disk did not take. */
    void retryFailedWrites() {
        if (log.needsRewrite() && !forces.isForceRunning()) {
            forces.rewriteUnforcedRecords();
            forces.startForce();
        }
        if (!failure.isPresent() && pendingWrites.isEmpty()) {
            return;
        }
        try {
            log.resolveUncertainWrite();
        } catch (IOException e) {
            failure.report(e);
            return;
        }
        for (int i = 0; i < MAX_RETRIED_WRITES && !pendingWrites.isEmpty(); i++) {
            if (!pendingWrites.writeOldest(this::write)) {
                return;
            }
        }
        log.refillReserve();
        if (allWritesResolved() && log.hasReserve() && failure.isPresent()) {
            failure.clear();
        }
    }

    /** Does a step of compaction where that is needed; returns whether there is more to do. */
    boolean compactStep() {
        if (!log.shouldCompact()) {
            return false;
        }
        if (log.awaitsForce() && executor != null && !forces.isForceRunning()) {
            forces.startForce();
        }
        try {
            return log.compact(ForceScheduler.COMPACTION_STEP_BYTES) && log.shouldCompact();
        } catch (IOException e) {
            failure.report(e);
            return false;
        }
    }

    /** Runs an effect when all records so far are as durable as configured; {@code failed} in its place, null to wait. */
    void whenDurable(Runnable effect, Runnable onFailure) {
        if (listener == null) {
            forces.whenForced(effect, onFailure);
        } else {
            listener.whenReplicated(() -> forces.whenForced(effect, onFailure), onFailure);
        }
    }
}
