package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Appends records to the active segment and rolls to a new segment.
 *
 * <p>After a failed append, the torn write is truncated. If that fails too, the record may be on the disk although its write was
 * reported as failed: the writer rolls to a new segment, whose header records the end of the previous one. {@link
 * #hasUncertainWrite} returns true until that header is written. Not thread-safe.
 */
final class SegmentWriter {
    private final LogFiles files;
    private final LogIndex index;
    private final ForceTracker forces;
    private final LongSupplier saltSupplier;
    private SegmentFile active;
    /** Open file of the active segment; null before the first append and after a failed force. */
    private Disk.Handle activeHandle;

    private long lastSequence;
    private long lastSegmentNumber;
    /** Number of the segment before the active one; -1 if there is none. */
    private long previousSegmentNumber = -1;
    /** End offset of the segment before the active one, in bytes; -1 if there is none. */
    private long previousSegmentEnd = -1;

    private boolean hasUncertainWrite;
    /** File name of a segment whose header may be on the disk although its write failed; null if there is none. */
    private String abandonedFileName;

    private boolean readOnly;

    SegmentWriter(LogFiles files, LogIndex index, ForceTracker forces, LongSupplier saltSupplier) {
        this.files = files;
        this.index = index;
        this.forces = forces;
        this.saltSupplier = saltSupplier;
    }

    /** Continues after the last record that recovery found. */
    void resumeAfter(long recoveredSequence) {
        lastSequence = recoveredSequence;
        lastSegmentNumber = files.segments.isEmpty() ? 0 : files.segments.lastKey();
    }

    void makeReadOnly() {
        readOnly = true;
    }

    /** Returns the segment to which the last record was appended. */
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
     * @throws IOException if the write failed; then nothing has changed, except that another segment may be active
     */
    long append(RecordBuilder items) throws IOException {
        if (readOnly) {
            throw new IOException("log was opened for reading only");
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

    /** Writes a whole buffer. A write of 0 bytes is an error, or the loop would not end. */
    static void writeFully(Disk.Handle handle, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            if (handle.append(bytes) == 0) {
                throw new IOException("write of 0 bytes");
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
                // Retried before the next record, and by resolveUncertainWrite().
            }
        }
    }

    /** Retries to ensure that recovery will not find a record whose append failed. */
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

    /** Starts a new segment. The previous one ends after its last complete record and is no longer appended to. */
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

    /** Writes the header and the list of all segments, by which recovery detects missing ones. */
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
            // Deleted before the next segment is created, so there is at most one such file.
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

    /** Returns the files that have to be forced for all records so far; null if there are none. */
    PendingForce prepareForce() {
        return forces.prepare(lastSequence, active, activeHandle);
    }

    /** Processes the result of a force; after a failed one its segments are no longer appended to. */
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
