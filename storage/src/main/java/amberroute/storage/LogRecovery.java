package amberroute.storage;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Reads all segments when a log is opened: fills the index, and notes what could not be read. Writes nothing.
 *
 * <p>Headers are read before records, since the end of a segment may be recorded in the header of a later one: bytes behind that
 * end are of a record whose write was reported as failed, and must not count.
 */
final class LogRecovery {
    private static final long NO_LIMIT = Long.MAX_VALUE;

    private final LogFiles files;
    private final LogIndex index;
    private final List<DataLoss> losses = new ArrayList<>();
    /** The segments that there should be, as the last segment list and the retirements behind it say. */
    private final Set<Long> listed = new TreeSet<>();
    /** By the number of the segment whose end is recorded: the segment that records it, and the end. */
    private final Map<Long, SegmentFile> endRecorders = new HashMap<>();

    private final Map<Long, Long> recordedEnds = new HashMap<>();
    private long tornBytes;
    private long lastSequence;

    LogRecovery(LogFiles files, LogIndex index) {
        this.files = files;
        this.index = index;
    }

    /**
     * Reads the files.
     *
     * @throws Segment.UnsupportedFormatException where a segment was written by a newer version
     */
    void run() throws IOException {
        listFiles();
        for (SegmentFile segment : files.segments.values()) {
            readHeader(segment);
        }
        for (SegmentFile segment : files.segments.values()) {
            readRecords(segment);
        }
        listed.removeAll(files.segments.keySet());
        listed.forEach(missing -> losses.add(DataLoss.missingSegment(missing)));
        index.forgetOwnersWithoutCopies();
    }

    /** Returns the unreadable parts that have readable records behind them, and the missing segments. */
    List<DataLoss> losses() {
        return losses;
    }

    /** Returns the bytes behind the last whole record of each segment, where a write was torn. */
    long tornBytes() {
        return tornBytes;
    }

    long lastSequence() {
        return lastSequence;
    }

    private void listFiles() throws IOException {
        for (String name : files.disk.list()) {
            if (SegmentFile.isName(name)) {
                SegmentFile segment = new SegmentFile(files.totals, name);
                files.segments.put(segment.number, segment);
            } else if (name.endsWith(DamagedFiles.SUFFIX)) {
                files.damagedFiles.recovered(name, LogFiles.sizeOf(files.disk, name));
            } else if (name.equals(SpaceReserve.NAME)) {
                files.reserve.recovered(LogFiles.sizeOf(files.disk, name));
            }
        }
    }

    private void readHeader(SegmentFile segment) throws IOException {
        try (Disk.Handle handle = files.disk.read(segment.name)) {
            segment.setBytes(handle.size());
            SegmentHeader header = SegmentReader.read(
                            SegmentReader.load(handle, SegmentFormat.HEADER_BYTES),
                            segment.salt,
                            SegmentVisitor.IGNORE_ITEMS)
                    .header();
            if (header.whole() && header.previousNumber() >= 0) {
                endRecorders.put(header.previousNumber(), segment);
                recordedEnds.put(header.previousNumber(), header.previousEnd());
            }
            index.reserveOwnersBelow(header.firstFreeOwner());
        }
    }

    private void readRecords(SegmentFile segment) throws IOException {
        long end = recordedEnds.getOrDefault(segment.number, NO_LIMIT);
        if (end < segment.bytes()) {
            endRecorders.get(segment.number).endRecordedHere = segment;
        }
        byte[] all = files.load(segment, end);
        SegmentSummary summary = SegmentReader.read(all, segment.salt, new IndexingVisitor(segment));
        summary.damages().forEach(damage -> losses.add(new DataLoss(segment.name, damage)));
        boolean headerDamaged = !summary.header().whole() && summary.records() > 0;
        segment.damaged = !summary.damages().isEmpty() || headerDamaged;
        if (headerDamaged) {
            losses.add(new DataLoss(segment.name, new DamagedRange(0, SegmentFormat.HEADER_BYTES)));
        }
        tornBytes += summary.neverBegun() ? segment.bytes() : summary.tornBytes();
        files.cache.add(segment, all);
    }

    /** Adds the items of one segment to the index. */
    private final class IndexingVisitor implements SegmentVisitor {
        private final SegmentFile segment;
        private long recordOffset;

        IndexingVisitor(SegmentFile segment) {
            this.segment = segment;
        }

        @Override
        public void record(long offset, long sequence) {
            recordOffset = offset;
            lastSequence = Math.max(lastSequence, sequence);
        }

        @Override
        public void content(
                long owner,
                int kind,
                boolean exclusive,
                long version,
                byte[] bytes,
                int offset,
                int lengthBytes,
                int itemBytes) {
            index.addContent(segment, owner, kind, exclusive, version, recordOffset, offset, lengthBytes, itemBytes);
        }

        @Override
        public void tombstone(List<Long> deleted, int itemBytes) {
            index.recoverTombstone(segment, deleted, itemBytes);
        }

        @Override
        public void segmentList(List<Long> numbers) {
            listed.clear();
            listed.addAll(numbers);
        }

        @Override
        public void segmentRetired(long number) {
            listed.remove(number);
        }
    }
}
