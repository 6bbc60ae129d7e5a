package amberroute.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Stores contents of owners in segments. An owner has at most one content of each kind, the one written last, until the owner is
 * deleted. An exclusive content ({@link Batch#putExclusive}) replaces all contents of its owner, and all later contents of this
 * owner must be exclusive too. A batch whose {@link #write} has returned is recovered each time the log is opened, unless its
 * bytes are damaged on the disk. A batch whose write has failed is not recovered, and does not affect other batches.
 *
 * <p>If the log cannot ensure that a failed batch will not be recovered, {@link #hasUncertainWrite} returns true until this is
 * resolved. Until then, callers must not rely on the absence of the batch.
 *
 * <p>{@link #compact} reclaims disk space. A deletion remains recorded until no copy of the owner's contents is left on the disk;
 * otherwise a restart would restore them. {@code docs/journal.md} has the proof. Not thread-safe, except for
 * {@link PendingForce#run}.
 */
public final class SegmentLog implements Closeable {
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE;
    private static final long READ_ONLY_SEGMENT_BYTES = 1 << 20;
    /** Blocks that a write may take in addition to its bytes, since the active and the next segment are rounded up. */
    private static final int ROUNDING_BLOCKS = 2;
    /** Segments that live contents must not use: the active one and one to copy into. */
    private static final int WORKING_SEGMENTS = 2;

    private final LogFiles files;
    private final LogIndex index = new LogIndex();
    private final ForceTracker forces;
    private final SegmentWriter writer;
    private final Compactor compactor;
    private List<DataLoss> losses = List.of();
    private long tornBytes;

    private SegmentLog(Disk disk, LogLimits limits, LongSupplier saltSupplier) {
        files = new LogFiles(disk, limits);
        forces = new ForceTracker(files);
        writer = new SegmentWriter(files, index, forces, saltSupplier);
        compactor = new Compactor(files, index, writer, forces);
    }

    /**
     * Opens a log, or creates an empty one. Writes only the space reserve.
     *
     * @param saltSupplier returns, for each segment, a number that no client can guess; with a known salt, stored content could
     *     imitate a record when recovery searches after damaged bytes
     * @throws UnsupportedFormatException if a segment was written by a newer version; nothing is changed then
     */
    public static SegmentLog open(Disk disk, LogLimits limits, LongSupplier saltSupplier) throws IOException {
        SegmentLog log = new SegmentLog(disk, limits, saltSupplier);
        log.recover();
        log.refillReserve();
        return log;
    }

    /** Opens a log for reading only; another process may be writing to it. */
    public static SegmentLog openReadOnly(Disk disk) throws IOException {
        SegmentLog log =
                new SegmentLog(disk, new LogLimits(UNLIMITED_BYTES, READ_ONLY_SEGMENT_BYTES, 0, false), () -> 0);
        log.writer.makeReadOnly();
        log.recover();
        return log;
    }

    private void recover() throws IOException {
        LogRecovery recovery = new LogRecovery(files, index);
        recovery.run();
        losses = List.copyOf(recovery.losses());
        tornBytes = recovery.tornBytes();
        writer.resumeAfter(recovery.lastSequence());
        forces.setRecoveredSequence(recovery.lastSequence());
    }

    /** Returns whether a folder with files of these names contains a log. */
    public static boolean containsLog(Collection<String> names) {
        return names.stream().anyMatch(SegmentLog::isSegmentFileName);
    }

    /** Returns whether this is the file name of a segment. */
    public static boolean isSegmentFileName(String name) {
        return SegmentFile.isSegmentFileName(name);
    }

    /**
     * Passes all live contents to the visitor. The first call frees the segments that recovery has cached.
     *
     * @throws IOException if a segment cannot be read or the visitor throws it
     */
    public void readLiveContents(ContentVisitor visitor) throws IOException {
        new LiveContentScan(files, index, visitor).run();
    }

    /**
     * Writes a batch atomically.
     *
     * @return the sequence number of the last record
     * @throws LogFullException if the budget has no room for the batch, or it exceeds {@link LogLimits#maxBatchBytes}
     * @throws IOException if the write failed; the log is then unchanged, unless {@link #hasUncertainWrite} returns true
     * @throws IllegalArgumentException if the batch has a content that is not exclusive, of an owner that already has an
     *     exclusive one
     */
    public long write(Batch batch) throws IOException {
        if (batch.isEmpty()) {
            return writer.lastSequence();
        }
        RecordBuilder items = new RecordBuilder();
        // The items keep this version even if the record gets a higher sequence number, because compaction or the
        // segment list of a new segment is written first.
        long version = writer.lastSequence() + 1;
        List<ItemPosition> positions = addContentItems(items, batch, version);
        List<Long> deletedOwnerIds = deletionsToRecord(batch);
        int tombstoneBytes = deletedOwnerIds.isEmpty() ? 0 : items.addTombstone(deletedOwnerIds);
        if (items.sizeBytes() == 0) {
            return writer.lastSequence();
        }
        makeRoom(items.sizeBytes() + SegmentFormat.RECORD_HEADER_BYTES);
        long recordOffset = writer.append(items);
        indexContents(batch, positions, version, recordOffset);
        if (!deletedOwnerIds.isEmpty()) {
            index.addTombstone(writer.active(), deletedOwnerIds, tombstoneBytes);
        }
        return writer.lastSequence();
    }

    private List<ItemPosition> addContentItems(RecordBuilder items, Batch batch, long version) {
        List<ItemPosition> positions = new ArrayList<>();
        for (Batch.Put put : batch.puts) {
            OwnerContents ownerContents = index.find(put.ownerId());
            if (!put.exclusive() && ownerContents != null && ownerContents.exclusiveVersion > 0) {
                throw new IllegalArgumentException(
                        "owner " + put.ownerId() + " has an exclusive content: a new content must be exclusive too");
            }
            int itemBytes = items.addContent(put.ownerId(), put.kind(), put.exclusive(), version, put.content());
            positions.add(new ItemPosition(items.sizeBytes() - put.content().length, itemBytes));
        }
        return positions;
    }

    /** Returns the deleted owners that have contents in the log or in the batch. */
    private List<Long> deletionsToRecord(Batch batch) {
        if (batch.deletedOwnerIds.isEmpty()) {
            return List.of();
        }
        return batch.deletedOwnerIds.stream()
                .filter(ownerId -> isStored(ownerId) || batch.puts.stream().anyMatch(put -> put.ownerId() == ownerId))
                .toList();
    }

    private boolean isStored(long ownerId) {
        OwnerContents ownerContents = index.find(ownerId);
        return ownerContents != null && !ownerContents.deleted;
    }

    private void indexContents(Batch batch, List<ItemPosition> positions, long version, long recordOffset) {
        for (int i = 0; i < positions.size(); i++) {
            Batch.Put put = batch.puts.get(i);
            index.addContent(
                    writer.active(),
                    put.ownerId(),
                    put.kind(),
                    put.exclusive(),
                    version,
                    recordOffset,
                    recordOffset
                            + SegmentFormat.RECORD_HEADER_BYTES
                            + positions.get(i).contentOffset(),
                    put.content().length,
                    positions.get(i).itemBytes());
        }
    }

    /** Compacts until the record fits the budget together with a segment that compaction itself needs. */
    private void makeRoom(long recordBytes) throws IOException {
        LogLimits limits = files.limits;
        if (recordBytes > limits.maxRecordBytes()) {
            throw LogFullException.batchExceedsRecord(recordBytes, limits.maxRecordBytes());
        }
        long neededBytes = SegmentTotals.roundUpToBlocks(recordBytes)
                + ROUNDING_BLOCKS * SegmentTotals.BLOCK_BYTES
                + limits.segmentBytes();
        while (usedBytes() + neededBytes > limits.budgetBytes()) {
            if (!compact(limits.segmentBytes())) {
                throw LogFullException.budgetExhausted(usedBytes(), limits.budgetBytes(), liveBytes());
            }
        }
    }

    /** Returns the bytes of all files, each rounded up to whole blocks of {@value SegmentTotals#BLOCK_BYTES} bytes. */
    public long usedBytes() {
        return files.usedBytes();
    }

    /** Returns the bytes of all items with live contents or tombstones, including their owner IDs, versions and lengths. */
    public long liveBytes() {
        return files.totals.liveBytes;
    }

    /** Returns the part of the budget that is not available to live contents: for compaction, headers, rounding and the reserve. */
    public long reservedBytes() {
        LogLimits limits = files.limits;
        return WORKING_SEGMENTS * limits.segmentBytes()
                + limits.reserveBytes()
                + (limits.budgetBytes() / limits.segmentBytes() + 2)
                        * (SegmentTotals.BLOCK_BYTES + 2 * SegmentFormat.SEGMENT_HEADER_BYTES)
                + DamagedFiles.MAX_FILES * (long) SegmentTotals.BLOCK_BYTES
                + (long) (limits.budgetBytes() * (1 - Compactor.MAX_LIVE_RATIO));
    }

    /** Returns the limits that the log was opened with. */
    public LogLimits limits() {
        return files.limits;
    }

    /** Returns the losses: damaged headers, missing segments, and unreadable ranges that are followed by readable records. */
    public List<DataLoss> losses() {
        return losses;
    }

    /** Returns the bytes of torn writes at the ends of segments, which recovery has ignored. */
    public long tornBytes() {
        return tornBytes;
    }

    /** Returns the sequence number of the last record. */
    public long lastSequence() {
        return writer.lastSequence();
    }

    /** Returns an ID that no owner has had, including in earlier processes. */
    public long nextOwnerId() {
        return index.nextOwnerId();
    }

    /** Makes {@link #nextOwnerId} return only IDs of at least {@code firstFreeId}. */
    public void reserveOwnerIdsBelow(long firstFreeId) {
        index.reserveOwnerIdsBelow(firstFreeId);
    }

    /** Returns whether a batch whose write has failed may be recovered if the process ends now. */
    public boolean hasUncertainWrite() {
        return writer.hasUncertainWrite();
    }

    /**
     * Tries to ensure that a batch whose write has failed will not be recovered; does nothing unless {@link #hasUncertainWrite}.
     *
     * @throws IOException if that failed; the call can be retried
     */
    public void resolveUncertainWrite() throws IOException {
        writer.resolveUncertainWrite();
    }

    /** Returns whether contents of segments whose force failed still have to be copied and forced. */
    public boolean needsRewrite() {
        return files.totals.suspectSegments > 0;
    }

    /** Returns whether the space reserve for a full disk is complete. */
    public boolean hasReserve() {
        return files.reserve.isAllocated();
    }

    /**
     * Writes the space reserve if it is missing or incomplete and the budget has room for it; returns whether it is complete.
     * Call periodically.
     */
    public boolean refillReserve() {
        return files.refillReserve();
    }

    /** Returns the number of segments. */
    public int segmentCount() {
        return files.segments.size();
    }

    /** Returns the number of bytes that compaction has copied since the log was opened. */
    public long copiedBytes() {
        return compactor.copiedBytes();
    }

    /** Returns the number of segments retired since the log was opened. */
    public long retiredSegments() {
        return compactor.retiredSegments();
    }

    /** Returns whether {@link #compact} should be called between other work. */
    public boolean shouldCompact() {
        return compactor.shouldRun();
    }

    /**
     * Performs one step of compaction: copies a slice of a segment, or deletes a segment that is fully copied.
     *
     * @param maxBytes approximate bound of the slice; at least the contents of one owner are copied
     * @return whether anything was done
     * @throws IOException if a segment cannot be read or a copy cannot be written; the step can be retried
     */
    public boolean compact(long maxBytes) throws IOException {
        return compactor.step(maxBytes);
    }

    /** Returns whether compaction cannot continue before a force. */
    public boolean awaitsForce() {
        return compactor.awaitsForce();
    }

    /**
     * Returns the files that have to be forced for all records so far; null if there are none. The result must be passed to {@link
     * #forceCompleted} before the next call.
     */
    public PendingForce prepareForce() {
        return writer.prepareForce();
    }

    /** Processes the result of a force; after a failed one {@link #needsRewrite} returns true. */
    public void forceCompleted(PendingForce force, boolean succeeded) {
        writer.forceCompleted(force, succeeded);
    }

    /** Returns the sequence number up to which records survive a power loss, unless {@link #needsRewrite} returns true. */
    public long forcedSequence() {
        return forces.forcedSequence();
    }

    /** Closes all files without forcing them. */
    @Override
    public void close() throws IOException {
        forces.close();
        writer.close();
    }
}
