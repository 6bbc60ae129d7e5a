package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Retires segments: copies their live contents to the active segment in slices, under the versions under which they were first
 * written, then deletes the file.
 *
 * <p>The deletion is the only step that takes effect. Before it each content is stored in the old place and perhaps in a new one
 * under the same version, which counts once; after it each live content is stored in the new place. Not thread-safe.
 */
final class Compactor {
    /** A segment with a larger live share is not retired: it would win back next to nothing. */
    static final double MAX_LIVE_RATIO = 0.99;

    private static final int MAX_DELETIONS_PER_RECORD = 4_096;
    private static final int LIVE_FACTOR = 3;
    private static final int SPARE_SEGMENTS = 8;
    private static final int FREE_SEGMENTS = 6;
    private static final int EXTRA_SEGMENTS = 16;

    private final LogFiles files;
    private final LogIndex index;
    private final SegmentWriter writer;
    private final ForceTracker forces;
    /** The segment that is being retired, null for none, and its bytes. */
    private SegmentFile victim;

    private byte[] victimBytes;
    /** The next entry of the victim's owners to be copied. */
    private int cursor;

    private boolean copied;
    /** Last sequence number when nothing was left to copy. */
    private long copiedSequence;

    private long copiedBytes;
    private long retiredSegments;

    Compactor(LogFiles files, LogIndex index, SegmentWriter writer, ForceTracker forces) {
        this.files = files;
        this.index = index;
        this.writer = writer;
        this.forces = forces;
    }

    /** Returns the bytes that were copied since the log was opened. */
    long copiedBytes() {
        return copiedBytes;
    }

    /** Returns the segments that were retired since the log was opened. */
    long retiredSegments() {
        return retiredSegments;
    }

    /** Returns whether there is more dead space than is worth retaining, or a suspect segment. */
    boolean shouldRun() {
        if (victim != null || files.totals.suspects > 0) {
            return true;
        }
        LogLimits limits = files.limits;
        long maxBytes = Math.min(
                limits.budgetBytes() - limits.reserveBytes() - FREE_SEGMENTS * limits.segmentBytes(),
                LIVE_FACTOR * files.totals.liveBytes + SPARE_SEGMENTS * limits.segmentBytes());
        return files.usedBytes() - SegmentTotals.roundUp(files.reserve.bytes()) > maxBytes
                || files.segments.size() > EXTRA_SEGMENTS + limits.budgetBytes() / limits.segmentBytes();
    }

    /** Returns whether a segment is deleted as soon as a force has covered what was copied from it. */
    boolean awaitsForce() {
        return files.limits.forceRequired() && victim != null && copied && copiedSequence > forces.forcedSequence();
    }

    /**
     * Does one step: copies about so many bytes (one content at least), or deletes a segment of which all is copied.
     *
     * @return whether anything was done
     * @throws IOException where a segment cannot be read or the disk does not take the copy; the step can be repeated
     */
    boolean step(long maxBytes) throws IOException {
        if (victim == null && !begin()) {
            return false;
        }
        if (!copied) {
            copySlice(maxBytes);
            return true;
        }
        if (awaitsForce()) {
            return false;
        }
        retireVictim();
        return true;
    }

    private boolean begin() throws IOException {
        SegmentFile chosen = choose();
        if (chosen == null) {
            return false;
        }
        victimBytes = bytesOf(chosen);
        victim = chosen;
        cursor = 0;
        copied = false;
        return true;
    }

    /** Reads a sealed segment once, not for each content that is copied. */
    private byte[] bytesOf(SegmentFile segment) throws IOException {
        byte[] bytes = new byte[(int) segment.bytes()];
        ByteBuffer into = ByteBuffer.wrap(bytes);
        try (Disk.Handle handle = files.disk.read(segment.name)) {
            while (into.hasRemaining() && handle.read(into.position(), into) >= 0) {
                // A read may return fewer bytes than asked for.
            }
        }
        return bytes;
    }

    /** Returns a suspect segment, else the one with the smallest live share; null where none is worth it. */
    private SegmentFile choose() {
        Set<SegmentFile> endRecorders = endRecorders();
        SegmentFile best = null;
        for (SegmentFile segment : files.segments.values()) {
            if (writer.writesTo(segment) || endRecorders.contains(segment) || forces.awaitsForce(segment)) {
                continue;
            }
            if (segment.suspect()) {
                return segment;
            }
            if (segment.liveRatio() < MAX_LIVE_RATIO && (best == null || segment.liveRatio() < best.liveRatio())) {
                best = segment;
            }
        }
        return best;
    }

    /** Segments that record the end of another one have to outlast it, or a failed record would count. */
    private Set<SegmentFile> endRecorders() {
        Set<SegmentFile> recorders = new LinkedHashSet<>();
        for (SegmentFile segment : files.segments.values()) {
            if (segment.endRecordedHere != null && files.segments.containsKey(segment.endRecordedHere.number)) {
                recorders.add(segment);
            }
        }
        return recorders;
    }

    /** Copies live contents; where none is left, tombstones; where none of those is left, the segment can be deleted. */
    private void copySlice(long maxBytes) throws IOException {
        Slice slice = new Slice();
        long limit = Math.min(
                maxBytes, files.limits.segmentBytes() - 4 * SegmentFormat.HEADER_BYTES - SegmentFormat.FRAME_BYTES);
        int next = cursor;
        for (boolean full = false; next < victim.copies && !full; next += full ? 0 : 1) {
            OwnerContents owner = index.find(victim.owners[next]);
            if (owner != null && !owner.deleted && !slice.owners.contains(owner)) {
                full = !slice.add(owner, limit);
            }
        }
        if (slice.contents.isEmpty()) {
            copyTombstones();
        } else {
            slice.append();
        }
        cursor = next;
    }

    /** Live contents of the victim that are copied with one record. */
    private final class Slice {
        final RecordBuilder items = new RecordBuilder();
        final List<ContentLocation> contents = new ArrayList<>();
        final List<OwnerContents> contentOwners = new ArrayList<>();
        final Set<OwnerContents> owners = new HashSet<>();
        final List<ItemPosition> positions = new ArrayList<>();

        /** Adds all contents of an owner in the victim; false where the slice has no room for them. */
        boolean add(OwnerContents owner, long limitBytes) throws IOException {
            int bytes = Arrays.stream(owner.contents)
                    .filter(content -> content.segment == victim)
                    .mapToInt(content -> content.itemBytes)
                    .sum();
            if (!contents.isEmpty() && items.size() + bytes > limitBytes) {
                return false;
            }
            for (ContentLocation content : owner.contents) {
                if (content.segment == victim) {
                    copy(owner, content);
                }
            }
            return true;
        }

        private void copy(OwnerContents owner, ContentLocation content) throws IOException {
            byte[] bytes = SegmentReader.findContent(
                    victimBytes, victim.salt, content.recordOffset, content.offset, owner.owner, content.version);
            if (bytes == null) {
                throw new IOException(
                        "content of owner " + owner.owner + " in segment " + victim.name + " can no longer be read");
            }
            int itemBytes = items.addContent(owner.owner, content.kind, content.exclusive, content.version, bytes);
            positions.add(new ItemPosition(items.size() - bytes.length, itemBytes));
            contents.add(content);
            contentOwners.add(owner);
            owners.add(owner);
        }

        void append() throws IOException {
            long recordOffset = writer.append(items);
            for (int i = 0; i < contents.size(); i++) {
                ContentLocation content = contents.get(i);
                index.addContent(
                        writer.active(),
                        contentOwners.get(i).owner,
                        content.kind,
                        content.exclusive,
                        content.version,
                        recordOffset,
                        recordOffset
                                + SegmentFormat.FRAME_BYTES
                                + positions.get(i).offset(),
                        content.lengthBytes,
                        positions.get(i).itemBytes());
            }
            copiedBytes += items.size();
        }
    }

    /** Writes tombstones anew whose owners have copies in other segments; without any, nothing is left to copy. */
    private void copyTombstones() throws IOException {
        List<Long> needed = deletionsNeededElsewhere();
        if (needed.isEmpty()) {
            copied = true;
            copiedSequence = writer.sequence();
            return;
        }
        RecordBuilder items = new RecordBuilder();
        int itemBytes = items.addTombstone(needed);
        writer.append(items);
        index.addTombstone(writer.active(), needed, itemBytes);
        copiedBytes += items.size();
    }

    private List<Long> deletionsNeededElsewhere() {
        if (victim.tombstones.isEmpty()) {
            return List.of();
        }
        Map<Long, Integer> copiesHere = new HashMap<>();
        for (int i = 0; i < victim.copies; i++) {
            copiesHere.merge(victim.owners[i], 1, Integer::sum);
        }
        List<Long> needed = new ArrayList<>();
        for (Tombstone tombstone : victim.tombstones) {
            for (OwnerContents owner : tombstone.owners) {
                if (owner.copies > copiesHere.getOrDefault(owner.owner, 0)
                        && needed.size() < MAX_DELETIONS_PER_RECORD) {
                    needed.add(owner.owner);
                }
            }
        }
        return needed;
    }

    /** The retirement is recorded before the file is deleted, so that a file that vanishes without it is known to be lost. */
    private void retireVictim() throws IOException {
        RecordBuilder items = new RecordBuilder();
        items.addSegmentRetired(victim.number);
        writer.append(items);
        files.remove(victim);
        SegmentFile retired = victim;
        files.segments.remove(retired.number);
        retired.markDeleted();
        victim = null;
        victimBytes = null;
        forces.namesChanged();
        retiredSegments++;
        index.removeSegment(retired);
    }
}
