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
 * written the writer is {@link #uncertain}. Not thread-safe.
 */
final class SegmentWriter {
    private final LogFiles files;
    private final LogIndex index;
    private final ForceTracker forces;
    private final LongSupplier salts;
    private SegmentFile active;
    /** File of the active segment; null before the first append and behind a failed force. */
    private Disk.Handle handle;

    private long sequence;
    private long lastNumber;
    /** The last segment before the active one, and where it ends; -1 without one. */
    private long previousNumber = -1;

    private long previousEnd = -1;
    private boolean uncertain;
    /** File of a segment whose header may be on the disk although its write failed; null for none. */
    private String abandonedName;

    private boolean readOnly;

    SegmentWriter(LogFiles files, LogIndex index, ForceTracker forces, LongSupplier salts) {
        this.files = files;
        this.index = index;
        this.forces = forces;
        this.salts = salts;
    }

    /** Continues behind what recovery found. */
    void recovered(long lastSequence) {
        sequence = lastSequence;
        lastNumber = files.segments.isEmpty() ? 0 : files.segments.lastKey();
    }

    void makeReadOnly() {
        readOnly = true;
    }

    /** Returns the segment that the last record was appended to. */
    SegmentFile active() {
        return active;
    }

    /** Returns whether records may still be appended to this segment. */
    boolean writesTo(SegmentFile segment) {
        return segment == active && handle != null;
    }

    /** Returns the sequence number of the last record. */
    long sequence() {
        return sequence;
    }

    boolean uncertain() {
        return uncertain;
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
        int bytes = SegmentFormat.FRAME_BYTES + items.size();
        if (handle == null || uncertain || exceedsSegment(bytes)) {
            beginSegment();
        }
        long offset = active.bytes();
        try {
            writeFully(handle, items.frame(active.salt, sequence + 1));
        } catch (IOException e) {
            truncateTornWrite();
            throw e;
        }
        active.setBytes(offset + bytes);
        sequence++;
        return offset;
    }

    private boolean exceedsSegment(int bytes) {
        return active.bytes() + bytes > files.limits.segmentBytes() && active.bytes() > 2 * SegmentFormat.HEADER_BYTES;
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
            handle.truncate(active.bytes());
        } catch (IOException e) {
            uncertain = true;
            try {
                beginSegment();
            } catch (IOException again) {
                // Tried again before the next record, and by resolveUncertainWrite().
            }
        }
    }

    /** Tries again to make sure that no later opening finds a record whose append failed. */
    void resolveUncertainWrite() throws IOException {
        if (uncertain) {
            try {
                beginSegment();
            } catch (IOException e) {
                if (!files.reserve.release()) {
                    throw e;
                }
                beginSegment();
            }
        }
    }

    /** Begins the next segment; the one before ends with its last good record, and nothing is appended to it any more. */
    private void beginSegment() throws IOException {
        files.cache.clear();
        if (abandonedName != null) {
            files.disk.delete(abandonedName);
            abandonedName = null;
        }
        SegmentFile before = active;
        if (handle != null) {
            previousNumber = active.number;
            previousEnd = active.bytes();
            seal();
        }
        SegmentFile next = new SegmentFile(files.totals, SegmentFile.nameOf(++lastNumber, salts.getAsLong()));
        abandonedName = next.name;
        Disk.Handle nextHandle = files.disk.open(next.name);
        forces.namesChanged();
        try {
            writeStart(next, nextHandle);
        } catch (IOException e) {
            abandon(next, nextHandle);
            throw e;
        }
        abandonedName = null;
        sequence++;
        if (uncertain && before != null) {
            next.endRecordedHere = before;
        }
        uncertain = false;
        files.segments.put(next.number, next);
        active = next;
        handle = nextHandle;
    }

    /** Writes the header and the list of segments, so that recovery finds out about a missing one. */
    private void writeStart(SegmentFile next, Disk.Handle nextHandle) throws IOException {
        writeFully(nextHandle, SegmentHeader.encode(next.number, previousNumber, previousEnd, index.firstFreeOwner()));
        next.setBytes(SegmentFormat.HEADER_BYTES);
        RecordBuilder list = new RecordBuilder();
        List<Long> numbers = new ArrayList<>(files.segments.keySet());
        numbers.add(next.number);
        list.addSegmentList(numbers);
        ByteBuffer frame = list.frame(next.salt, sequence + 1);
        next.setBytes(next.bytes() + frame.remaining());
        writeFully(nextHandle, frame);
    }

    private void abandon(SegmentFile next, Disk.Handle nextHandle) {
        LogFiles.closeQuietly(nextHandle);
        next.markDeleted();
        try {
            files.disk.delete(next.name);
            abandonedName = null;
        } catch (IOException e) {
            // Deleted before the next segment is begun: there is at most one such file.
        }
    }

    private void seal() {
        Disk.Handle sealed = handle;
        handle = null;
        if (files.limits.forceRequired()) {
            forces.sealed(active, sealed);
        } else {
            LogFiles.closeQuietly(sealed);
        }
    }

    /** Returns what has to be forced for all records so far; null where nothing has to. */
    PendingForce prepareForce() {
        return forces.prepare(sequence, active, handle);
    }

    /** Takes the result of a force; behind a failed one nothing more is appended to its segments. */
    void forceCompleted(PendingForce force, boolean succeeded) {
        forces.completed(force, succeeded);
        if (!succeeded && handle != null && force.segments().contains(active)) {
            previousNumber = active.number;
            previousEnd = active.bytes();
            LogFiles.closeQuietly(handle);
            handle = null;
        }
    }

    /** Closes the active segment's file. */
    void close() throws IOException {
        if (handle != null) {
            Disk.Handle closing = handle;
            handle = null;
            closing.close();
        }
    }
}
