package amberroute.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads all segments when a log is opened, fills the index and collects what could not be read. Writes nothing.
 *
 * <p>All headers are read before any record, since the header of a later segment may record the end of an earlier one. Bytes after
 * that end belong to a record whose write was reported as failed, and must be ignored.
 */
final class LogRecovery {
    private static final long UNLIMITED_BYTES = Long.MAX_VALUE;

    private final LogFiles files;
    private final LogIndex index;
    private final List<DataLoss> losses = new ArrayList<>();
    /** Numbers of the segments that should exist, according to the last segment list and the retirements after it. */
    private final Set<Long> expectedSegments = new TreeSet<>();
    /** By segment number, the segment whose header records the end of that one. */
    private final Map<Long, SegmentFile> endRecordingSegments = new HashMap<>();
    /** By segment number, its recorded end offset. */
    private final Map<Long, Long> recordedEnds = new HashMap<>();

    private long tornBytes;
    private long lastSequence;

    LogRecovery(LogFiles files, LogIndex index) {
        this.files = files;
        this.index = index;
    }

    /**
     * Reads all files.
     *
     * @throws UnsupportedFormatException if a segment was written by a newer version
     */
    void run() throws IOException {
        listFiles();
        for (SegmentFile segment : files.segments.values()) {
            readHeader(segment);
        }
        for (SegmentFile segment : files.segments.values()) {
            readRecords(segment);
        }
        expectedSegments.removeAll(files.segments.keySet());
        expectedSegments.forEach(missing -> losses.add(DataLoss.missingSegment(missing)));
        index.removeOwnersWithoutCopies();
    }

    /** Returns the unreadable ranges that are followed by readable records, damaged headers and missing segments. */
    List<DataLoss> losses() {
        return losses;
    }

    /** Returns the total bytes after the last valid record of each segment, which are torn writes. */
    long tornBytes() {
        return tornBytes;
    }

    long lastSequence() {
        return lastSequence;
    }

    private void listFiles() throws IOException {
        for (String name : files.disk.list()) {
            if (SegmentFile.isSegmentFileName(name)) {
                SegmentFile segment = new SegmentFile(files.totals, name);
                files.segments.put(segment.number, segment);
            } else if (name.endsWith(DamagedFiles.SUFFIX)) {
                files.damagedFiles.addRecovered(name, LogFiles.sizeOf(files.disk, name));
            } else if (name.equals(SpaceReserve.NAME)) {
                files.reserve.setRecoveredSize(LogFiles.sizeOf(files.disk, name));
            }
        }
    }

    private void readHeader(SegmentFile segment) throws IOException {
        try (Disk.Handle handle = files.disk.openForReading(segment.name)) {
            segment.setSizeBytes(handle.size());
            SegmentHeader header = SegmentReader.read(
                            SegmentReader.load(handle, SegmentFormat.SEGMENT_HEADER_BYTES),
                            segment.salt,
                            SegmentVisitor.NO_OP)
                    .header();
            if (header.valid() && header.previousNumber() >= 0) {
                endRecordingSegments.put(header.previousNumber(), segment);
                recordedEnds.put(header.previousNumber(), header.previousEnd());
            }
            index.reserveOwnerIdsBelow(header.firstFreeOwnerId());
        }
    }

    private void readRecords(SegmentFile segment) throws IOException {
        long endOffset = recordedEnds.getOrDefault(segment.number, UNLIMITED_BYTES);
        if (endOffset < segment.sizeBytes()) {
            endRecordingSegments.get(segment.number).segmentWithEndRecordedHere = segment;
        }
        byte[] segmentBytes = files.load(segment, endOffset);
        SegmentSummary summary = SegmentReader.read(segmentBytes, segment.salt, new IndexingVisitor(segment));
        summary.damagedRanges().forEach(damage -> losses.add(new DataLoss(segment.name, damage)));
        boolean headerDamaged = !summary.header().valid() && summary.recordCount() > 0;
        segment.damaged = !summary.damagedRanges().isEmpty() || headerDamaged;
        if (headerDamaged) {
            losses.add(new DataLoss(segment.name, new DamagedRange(0, SegmentFormat.SEGMENT_HEADER_BYTES)));
        }
        tornBytes += summary.headerNeverWritten() ? segment.sizeBytes() : summary.tornBytes();
        files.cache.add(segment, segmentBytes);
    }

    /** Adds the items of one segment to the index. */
    private final class IndexingVisitor implements SegmentVisitor {
        private final SegmentFile segment;
        private long recordOffset;

        IndexingVisitor(SegmentFile segment) {
            this.segment = segment;
        }

        @Override
        public void visitRecord(long offset, long sequence) {
            recordOffset = offset;
            lastSequence = Math.max(lastSequence, sequence);
        }

        @Override
        public void visitContent(
                long ownerId,
                int kind,
                boolean exclusive,
                long version,
                byte[] segmentBytes,
                int offset,
                int lengthBytes,
                int itemBytes) {
            index.addContent(segment, ownerId, kind, exclusive, version, recordOffset, offset, lengthBytes, itemBytes);
        }

        @Override
        public void visitTombstone(List<Long> deletedOwnerIds, int itemBytes) {
            index.recoverTombstone(segment, deletedOwnerIds, itemBytes);
        }

        @Override
        public void visitSegmentList(List<Long> segmentNumbers) {
            expectedSegments.clear();
            expectedSegments.addAll(segmentNumbers);
        }

        @Override
        public void visitSegmentRetired(long segmentNumber) {
            expectedSegments.remove(segmentNumber);
        }
    }
}
