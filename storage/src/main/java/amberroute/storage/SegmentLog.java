package amberroute.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Stores contents of owners in segments: each owner has one content of each kind, the last that was put, until it is deleted. A
 * batch whose {@link #write} has returned is found by every later opening, unless its bytes are damaged on the disk; one whose
 * write has failed is not, and nothing else is lost by it.
 *
 * <p>Where it cannot be made sure that a failed batch is not found, the log is {@link #hasUncertainWrite} until that is resolved: nobody
 * may rely on the batch's absence meanwhile.
 *
 * <p>Room is won back by {@link #compact}. A deletion stays recorded until no copy of the owner's contents is left on the disk,
 * or a restart would bring them back. The proof is in {@code docs/journal.md}. Not thread-safe, but for {@link
 * PendingForce#run}.
 */
public final class SegmentLog implements Closeable {
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE;
    private static final long READ_ONLY_SEGMENT_BYTES = 1 << 20;
    /** Blocks that a write may take beside its own bytes: rounding of the active segment and of the next one. */
    private static final int ROUNDING_BLOCKS = 2;
    /** Segments that live contents may not use: the one that is filled, and one to copy into. */
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
     * Opens or begins a log; only the space reserve is written.
     *
     * @param saltSupplier gives a number that no client can know, for each segment: content from outside could otherwise imitate a
     *     record where recovery searches behind damaged bytes
     * @throws Segment.UnsupportedFormatException where a segment was written by a newer version; then nothing is changed
     */
    public static SegmentLog open(Disk disk, LogLimits limits, LongSupplier saltSupplier) throws IOException {
        SegmentLog log = new SegmentLog(disk, limits, saltSupplier);
        log.recover();
        log.refillReserve();
        return log;
    }

    /** Opens a log, of which a process may be writing, for reading only. */
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

    /** Returns whether a folder with files of these names has a log. */
    public static boolean containsLog(Collection<String> names) {
        return names.stream().anyMatch(SegmentLog::isSegmentFileName);
    }

    /** Returns whether this is the name of a segment. */
    public static boolean isSegmentFileName(String name) {
        return SegmentFile.isSegmentFileName(name);
    }

    /**
     * Gives all live contents to the reader. The first reading after the opening frees the bytes that recovery has retained.
     *
     * @throws IOException where a segment cannot be read, or of the reader
     */
    public void readLiveContents(ContentVisitor visitor) throws IOException {
        new LiveContentScan(files, index, visitor).run();
    }

    /**
     * Writes a batch, all of it or nothing.
     *
     * @return the sequence number of its record
     * @throws LogFullException where the budget has no room for it
     * @throws IOException where the disk does not take it; then the log is as before, unless it is {@link #hasUncertainWrite}
     * @throws IllegalArgumentException where an owner that has an exclusive content is given another one
     */
    public long write(Batch batch) throws IOException {
        if (batch.isEmpty()) {
            return writer.lastSequence();
        }
        RecordBuilder items = new RecordBuilder();
        // A segment that is begun for this batch takes a sequence number too: the contents keep the version in the
        // items.
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
                throw new IllegalArgumentException("owner " + put.ownerId() + " has an exclusive content");
            }
            int itemBytes = items.addContent(put.ownerId(), put.kind(), put.exclusive(), version, put.content());
            positions.add(new ItemPosition(items.sizeBytes() - put.content().length, itemBytes));
        }
        return positions;
    }

    /** Returns the deleted owners of which there is anything to delete. */
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

    /** Compacts until so many bytes fit beside the segment that compaction itself needs. */
    private void makeRoom(long recordBytes) throws IOException {
        LogLimits limits = files.limits;
        if (recordBytes + 2 * SegmentFormat.SEGMENT_HEADER_BYTES > limits.segmentBytes()) {
            throw LogFullException.batchExceedsSegment(recordBytes, limits.segmentBytes());
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

    /** Returns the bytes of all files, each in whole blocks of {@value SegmentTotals#BLOCK_BYTES}. */
    public long usedBytes() {
        return files.usedBytes();
    }

    /** Returns the bytes of all live contents and tombstones, with the heads of their items. */
    public long liveBytes() {
        return files.totals.liveBytes;
    }

    /** Returns the part of the budget that live contents may not use: for compaction, headers, rounding and the reserve. */
    public long reservedBytes() {
        LogLimits limits = files.limits;
        return WORKING_SEGMENTS * limits.segmentBytes()
                + limits.reserveBytes()
                + (limits.budgetBytes() / limits.segmentBytes() + 2)
                        * (SegmentTotals.BLOCK_BYTES + 2 * SegmentFormat.SEGMENT_HEADER_BYTES)
                + DamagedFiles.MAX_FILES * (long) SegmentTotals.BLOCK_BYTES
                + (long) (limits.budgetBytes() * (1 - Compactor.MAX_LIVE_RATIO));
    }

    /** Returns the bounds that the log was opened with. */
    public LogLimits limits() {
        return files.limits;
    }

    /** Returns what recovery could not read although it could read records behind it, and missing segments. */
    public List<DataLoss> losses() {
        return losses;
    }

    /** Returns the bytes of torn writes at the ends of segments, which recovery has skipped. */
    public long tornBytes() {
        return tornBytes;
    }

    /** Returns the sequence number of the last record. */
    public long lastSequence() {
        return writer.lastSequence();
    }

    /** Returns an owner's number that none had, also not in an earlier process. */
    public long nextOwnerId() {
        return index.nextOwnerId();
    }

    /** Makes {@link #nextOwnerId} return numbers from here on only. */
    public void reserveOwnerIdsBelow(long firstFreeId) {
        index.reserveOwnerIdsBelow(firstFreeId);
    }

    /** Returns whether a batch whose write has failed may be found all the same if the process ends now. */
    public boolean hasUncertainWrite() {
        return writer.hasUncertainWrite();
    }

    /** Tries to end being {@link #hasUncertainWrite}. */
    public void resolveUncertainWrite() throws IOException {
        writer.resolveUncertainWrite();
    }

    /** Returns whether records from before a failed force have to be copied and forced anew. */
    public boolean needsRewrite() {
        return files.totals.suspectSegments > 0;
    }

    /** Returns whether the file that gives room on a full disk is there. */
    public boolean hasReserve() {
        return files.reserve.isAllocated();
    }

    /** Writes the reserve anew where it was released and there is room; to be called from time to time. */
    public boolean refillReserve() {
        return files.refillReserve();
    }

    /** Returns the number of segments. */
    public int segmentCount() {
        return files.segments.size();
    }

    /** Returns the bytes that compaction has copied since the log was opened. */
    public long copiedBytes() {
        return compactor.copiedBytes();
    }

    /** Returns the segments that were retired since the log was opened. */
    public long retiredSegments() {
        return compactor.retiredSegments();
    }

    /** Returns whether {@link #compact} should be called, between other work. */
    public boolean shouldCompact() {
        return compactor.shouldRun();
    }

    /**
     * Does one step of compaction: copies about so many bytes, one content at least, or deletes a segment.
     *
     * @return whether anything was done
     * @throws IOException where a segment cannot be read or the disk does not take the copy; the step can be repeated
     */
    public boolean compact(long maxBytes) throws IOException {
        return compactor.step(maxBytes);
    }

    /** Returns whether compaction waits for a force. */
    public boolean awaitsForce() {
        return compactor.awaitsForce();
    }

    /** Returns what has to be forced for all records so far, null where nothing has to. One at a time. */
    public PendingForce prepareForce() {
        return writer.prepareForce();
    }

    /** Takes the result of a force, before the next one is prepared; after a failed one the log {@link #needsRewrite}. */
    public void forceCompleted(PendingForce force, boolean succeeded) {
        writer.forceCompleted(force, succeeded);
    }

    /** Returns the sequence number up to which records survive a loss of power, unless the log {@link #needsRewrite}. */
    public long forcedSequence() {
        return forces.forcedSequence();
    }

    /** Closes all files; nothing is forced. */
    @Override
    public void close() throws IOException {
        forces.close();
        writer.close();
    }
}
