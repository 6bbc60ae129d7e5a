package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Appends records to the active segment and begins the next one.
 *
 * <p>After a failed append the torn part is truncated. Where that fails too another segment is begun, whose header records where
 * the one before ends, since the record may be on the disk although its write was reported as failed. Until that header is
 * written the writer is {@link #hasUncertainWrite}. Not thread-safe.
 */
final class SegmentWriter {
    private final LogFiles files;
    private final LogIndex index;
    private final ForceTracker forces;
    private final LongSupplier saltSupplier;
    private SegmentFile active;
    /** File of the active segment; null before the first append and behind a failed force. */
    private Disk.Handle activeHandle;

    private long lastSequence;
    private long lastSegmentNumber;
    /** The last segment before the active one, and where it ends; -1 without one. */
    private long previousSegmentNumber = -1;

    private long previousSegmentEnd = -1;
    private boolean hasUncertainWrite;
    /** File of a segment whose header may be on the disk although its write failed; null for none. */
    private String abandonedFileName;

    private boolean readOnly;

    SegmentWriter(LogFiles files, LogIndex index, ForceTracker forces, LongSupplier saltSupplier) {
        this.files = files;
        this.index = index;
        this.forces = forces;
        this.saltSupplier = saltSupplier;
    }

    /** Continues behind what recovery found. */
    void resumeAfter(long recoveredSequence) {
        lastSequence = recoveredSequence;
        lastSegmentNumber = files.segments.isEmpty() ? 0 : files.segments.lastKey();
    }

    void makeReadOnly() {
        readOnly = true;
    }

    /** Returns the segment that the last record was appended to. */
    SegmentFile active() {
        return active;
    }

    /** Returns whether records may still be appended to this segment. */
    boolean isOpenForAppend(SegmentFile segment) {
        return segment == active && activeHandle != null;
    }

    /** Returns the sequence number of the last record. */
    long lastSequence() {
        return lastSequence;
    }

    boolean hasUncertainWrite() {
        return hasUncertainWrite;
    }

    /**
     * Appends one record and returns its offset in {@link #active}, in bytes.
     *
     * @throws IOException where the disk does not take it; then nothing has changed but perhaps the active segment
     */
    long append(RecordBuilder items) throws IOException {
        if (readOnly) {
            throw new IOException("opened for looking only");
        }
        try {
            return appendOnce(items);
        } catch (IOException e) {
            if (!files.reserve.release()) {
                throw e;
            }
            return appendOnce(items);
        }
    }

    private long appendOnce(RecordBuilder items) throws IOException {
        int bytes = SegmentFormat.RECORD_HEADER_BYTES + items.sizeBytes();
        if (activeHandle == null || hasUncertainWrite || exceedsSegment(bytes)) {
            rollSegment();
        }
        long offset = active.sizeBytes();
        try {
            writeFully(activeHandle, items.encodeRecord(active.salt, lastSequence + 1));
        } catch (IOException e) {
            truncateTornWrite();
            throw e;
        }
        active.setSizeBytes(offset + bytes);
        lastSequence++;
        return offset;
    }

    private boolean exceedsSegment(int bytes) {
        return active.sizeBytes() + bytes > files.limits.segmentBytes()
                && active.sizeBytes() > 2 * SegmentFormat.SEGMENT_HEADER_BYTES;
    }

    /** Writes all of a buffer; a write of nothing is an error, or this would never end. */
    static void writeFully(Disk.Handle handle, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            if (handle.append(bytes) == 0) {
                throw new IOException("nothing could be written");
            }
        }
    }

    private void truncateTornWrite() {
        try {
            activeHandle.truncate(active.sizeBytes());
        } catch (IOException e) {
            hasUncertainWrite = true;
            try {
                rollSegment();
            } catch (IOException retryFailure) {
                // Tried again before the next record, and by resolveUncertainWrite().
            }
        }
    }

    /** Tries again to make sure that no later opening finds a record whose append failed. */
    void resolveUncertainWrite() throws IOException {
        if (hasUncertainWrite) {
            try {
                rollSegment();
            } catch (IOException e) {
                if (!files.reserve.release()) {
                    throw e;
                }
                rollSegment();
            }
        }
    }

    /** Begins the next segment; the one before ends with its last good record, and nothing is appended to it any more. */
    private void rollSegment() throws IOException {
        files.cache.clear();
        if (abandonedFileName != null) {
            files.disk.delete(abandonedFileName);
            abandonedFileName = null;
        }
        SegmentFile previousSegment = active;
        if (activeHandle != null) {
            previousSegmentNumber = active.number;
            previousSegmentEnd = active.sizeBytes();
            sealActiveSegment();
        }
        SegmentFile newSegment =
                new SegmentFile(files.totals, SegmentFile.fileNameOf(++lastSegmentNumber, saltSupplier.getAsLong()));
        abandonedFileName = newSegment.name;
        Disk.Handle newHandle = files.disk.openForWriting(newSegment.name);
        forces.folderChanged();
        try {
            writeHeaderAndSegmentList(newSegment, newHandle);
        } catch (IOException e) {
            abandonSegment(newSegment, newHandle);
            throw e;
        }
        abandonedFileName = null;
        lastSequence++;
        if (hasUncertainWrite && previousSegment != null) {
            newSegment.segmentWithEndRecordedHere = previousSegment;
        }
        hasUncertainWrite = false;
        files.segments.put(newSegment.number, newSegment);
        active = newSegment;
        activeHandle = newHandle;
    }

    /** Writes the header and the list of segments, so that recovery finds out about a missing one. */
    private void writeHeaderAndSegmentList(SegmentFile newSegment, Disk.Handle newHandle) throws IOException {
        writeFully(
                newHandle,
                SegmentHeader.encode(
                        newSegment.number, previousSegmentNumber, previousSegmentEnd, index.firstFreeOwnerId()));
        newSegment.setSizeBytes(SegmentFormat.SEGMENT_HEADER_BYTES);
        RecordBuilder segmentList = new RecordBuilder();
        List<Long> segmentNumbers = new ArrayList<>(files.segments.keySet());
        segmentNumbers.add(newSegment.number);
        segmentList.addSegmentList(segmentNumbers);
        ByteBuffer record = segmentList.encodeRecord(newSegment.salt, lastSequence + 1);
        newSegment.setSizeBytes(newSegment.sizeBytes() + record.remaining());
        writeFully(newHandle, record);
    }

    private void abandonSegment(SegmentFile newSegment, Disk.Handle newHandle) {
        LogFiles.closeQuietly(newHandle);
        newSegment.markDeleted();
        try {
            files.disk.delete(newSegment.name);
            abandonedFileName = null;
        } catch (IOException e) {
            // Deleted before the next segment is begun: there is at most one such file.
        }
    }

    private void sealActiveSegment() {
        Disk.Handle sealedHandle = activeHandle;
        activeHandle = null;
        if (files.limits.forceRequired()) {
            forces.addSealed(active, sealedHandle);
        } else {
            LogFiles.closeQuietly(sealedHandle);
        }
    }

    /** Returns what has to be forced for all records so far; null where nothing has to. */
    PendingForce prepareForce() {
        return forces.prepare(lastSequence, active, activeHandle);
    }

    /** Takes the result of a force; behind a failed one nothing more is appended to its segments. */
    void forceCompleted(PendingForce force, boolean succeeded) {
        forces.forceCompleted(force, succeeded);
        if (!succeeded && activeHandle != null && force.segments().contains(active)) {
            previousSegmentNumber = active.number;
            previousSegmentEnd = active.sizeBytes();
            LogFiles.closeQuietly(activeHandle);
            activeHandle = null;
        }
    }

    /** Closes the active segment's file. */
    void close() throws IOException {
        if (activeHandle != null) {
            Disk.Handle closingHandle = activeHandle;
            activeHandle = null;
            closingHandle.close();
        }
    }
}
