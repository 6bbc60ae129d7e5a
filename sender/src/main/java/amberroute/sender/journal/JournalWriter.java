package amberroute.sender.journal;

import amberroute.sender.config.Durability;
import amberroute.storage.Batch;
import amberroute.storage.SegmentLog;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;

/**
 * The write path of the journal: appends batches, retries rejected writes, passes each batch on to replication, and
 * checks the fencing token after each append, since nothing may cause an effect from a folder that was taken over. Used
 * on the event loop only.
 */
final class JournalWriter {
    /** Bound on the number of pending writes that one call of {@link #retryFailedWrites} writes. */
    private static final int MAX_RETRIED_WRITES = 64;

    private final SegmentLog log;
    private final Durability durability;
    private final BackgroundExecutor executor;
    private final JournalContents contents;
    private final WriteFailure failure = new WriteFailure();
    private final PendingWrites pendingWrites = new PendingWrites();
    private final ForceScheduler forces;
    /** Null if the folder cannot be taken over. */
    private File fencingTokenFile;

    /** Whether the last write ended with an unchecked error, so that its record may be on the disk. */
    private boolean lastWriteBroken;

    private Runnable onFenced = () -> {};
    /** Null if the journal is not replicated. */
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
     * Ends the process if the folder was taken over.
     *
     * @throws IllegalStateException after {@code onFenced} has run, so that no effect follows
     */
    void checkFencingToken() {
        if (fencingTokenFile != null && fencingTokenFile.exists()) {
            onFenced.run();
            throw new IllegalStateException("the state folder was taken over by another sender");
        }
    }

    /** Returns whether no failed write or force is left to be retried. */
    boolean allWritesResolved() {
        return pendingWrites.isEmpty() && !log.hasUncertainWrite() && !log.needsRewrite();
    }

    /** Returns whether the last batch whose write failed may be found after a restart. */
    boolean hasUncertainWrite() {
        return log.hasUncertainWrite() || lastWriteBroken;
    }

    /** Appends a batch; false if the disk or the budget does not allow it. */
    boolean write(Batch batch) {
        byte[] position = listener == null || batch.isEmpty() ? null : listener.replicationPosition();
        Batch replicatedBatch = position == null ? batch : withPosition(batch, position);
        if (!append(replicatedBatch)) {
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

    /** An unchecked error counts as a failed write, or it would leave the callers between the journal and their tables. */
    private boolean append(Batch batch) {
        lastWriteBroken = false;
        try {
            log.write(batch);
            return true;
        } catch (IOException e) {
            failure.report(e);
        } catch (RuntimeException e) {
            lastWriteBroken = true;
            failure.report(new IOException("write ended with a defect: " + e, e));
        }
        return false;
    }

    private Batch withPosition(Batch batch, byte[] position) {
        return new Batch()
                .addAll(batch)
                .put(
                        contents.owners.getOrAllocate(OwnerNumbers.replication()),
                        RecordKind.REPLICATION_POSITION,
                        position);
    }

    /** Writes the latest state of an owner, now or when the disk accepts it; then runs the effect. */
    void writeEventually(long owner, Batch batch, Runnable effect) {
        if (pendingWrites.isEmpty() && write(batch)) {
            effect.run();
        } else {
            pendingWrites.put(owner, batch, effect);
            retryFailedWrites();
        }
    }

    /** Retries the writes and forces that have failed. */
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

    /** Runs one step of compaction if it is needed; returns whether there is more to do. */
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

    /** Runs an effect when all records so far are as durable as configured; {@code onFailure} is null to wait. */
    void whenDurable(Runnable effect, Runnable onFailure) {
        if (listener == null) {
            forces.whenForced(effect, onFailure);
        } else {
            listener.whenReplicated(() -> forces.whenForced(effect, onFailure), onFailure);
        }
    }
}
