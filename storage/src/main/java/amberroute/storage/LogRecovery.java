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
            Segment.Head head = Segment.read(Segment.load(handle, Segment.HEAD), segment.salt, Segment.IGNORE_ITEMS)
                    .head();
            if (head.whole() && head.previousNumber() >= 0) {
                endRecorders.put(head.previousNumber(), segment);
                recordedEnds.put(head.previousNumber(), head.previousEnd());
            }
            index.reserveOwnersBelow(head.owners());
        }
    }

    private void readRecords(SegmentFile segment) throws IOException {
        long end = recordedEnds.getOrDefault(segment.number, NO_LIMIT);
        if (end < segment.bytes()) {
            endRecorders.get(segment.number).endRecordedHere = segment;
        }
        byte[] all = files.load(segment, end);
        Segment.Summary summary = Segment.read(all, segment.salt, new IndexingVisitor(segment));
        summary.damages().forEach(damage -> losses.add(new DataLoss(segment.name, damage)));
        boolean headDamaged = !summary.head().whole() && summary.records() > 0;
        segment.damaged = !summary.damages().isEmpty() || headDamaged;
        if (headDamaged) {
            losses.add(new DataLoss(segment.name, new Segment.Damage(0, Segment.HEAD)));
        }
        tornBytes += summary.nothing() ? segment.bytes() : summary.tail();
        files.cache.add(segment, all);
    }

    /** Adds the items of one segment to the index. */
    private final class IndexingVisitor implements Segment.Visitor {
        private final SegmentFile segment;
        private long recordOffset;

        IndexingVisitor(SegmentFile segment) {
            this.segment = segment;
        }

        @Override
        public void record(long at, long sequence) {
            recordOffset = at;
            lastSequence = Math.max(lastSequence, sequence);
        }

        @Override
        public void put(long owner, int kind, boolean sole, long version, byte[] bytes, int at, int length, int size) {
            index.addContent(segment, owner, kind, sole, version, recordOffset, at, length, size);
        }

        @Override
        public void ends(List<Long> deleted, int size) {
            index.recoverTombstone(segment, deleted, size);
        }

        @Override
        public void parts(List<Long> numbers) {
            listed.clear();
            listed.addAll(numbers);
        }

        @Override
        public void retired(long number) {
            listed.remove(number);
        }
    }
}
