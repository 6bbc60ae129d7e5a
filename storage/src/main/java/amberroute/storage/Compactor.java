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
    private static final int MAX_USED_TO_LIVE_RATIO = 3;
    private static final int DEAD_SPACE_ALLOWANCE_SEGMENTS = 8;
    private static final int MIN_FREE_SEGMENTS = 6;
    private static final int MAX_EXTRA_SEGMENTS = 16;

    private final LogFiles files;
    private final LogIndex index;
    private final SegmentWriter writer;
    private final ForceTracker forces;
    /** The segment that is being retired, null for none, and its bytes. */
    private SegmentFile sourceSegment;

    private byte[] sourceBytes;
    /** The next entry of the victim's owners to be copied. */
    private int nextCopyIndex;

    private boolean copyComplete;
    /** Last sequence number when nothing was left to copy. */
    private long copyCompleteSequence;

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
        if (sourceSegment != null || files.totals.suspectSegments > 0) {
            return true;
        }
        LogLimits limits = files.limits;
        long maxBytes = Math.min(
                limits.budgetBytes() - limits.reserveBytes() - MIN_FREE_SEGMENTS * limits.segmentBytes(),
                MAX_USED_TO_LIVE_RATIO * files.totals.liveBytes
                        + DEAD_SPACE_ALLOWANCE_SEGMENTS * limits.segmentBytes());
        return files.usedBytes() - SegmentTotals.roundUpToBlocks(files.reserve.sizeBytes()) > maxBytes
                || files.segments.size() > MAX_EXTRA_SEGMENTS + limits.budgetBytes() / limits.segmentBytes();
    }

    /** Returns whether a segment is deleted as soon as a force has covered what was copied from it. */
    boolean awaitsForce() {
        return files.limits.forceRequired()
                && sourceSegment != null
                && copyComplete
                && copyCompleteSequence > forces.forcedSequence();
    }

    /**
     * Does one step: copies about so many bytes (one content at least), or deletes a segment of which all is copied.
     *
     * @return whether anything was done
     * @throws IOException where a segment cannot be read or the disk does not take the copy; the step can be repeated
     */
    boolean step(long maxBytes) throws IOException {
        if (sourceSegment == null && !selectSourceSegment()) {
            return false;
        }
        if (!copyComplete) {
            copySlice(maxBytes);
            return true;
        }
        if (awaitsForce()) {
            return false;
        }
        retireSourceSegment();
        return true;
    }

    private boolean selectSourceSegment() throws IOException {
        SegmentFile chosen = chooseSegment();
        if (chosen == null) {
            return false;
        }
        sourceBytes = readSegment(chosen);
        sourceSegment = chosen;
        nextCopyIndex = 0;
        copyComplete = false;
        return true;
    }

    /** Reads a sealed segment once, not for each content that is copied. */
    private byte[] readSegment(SegmentFile segment) throws IOException {
        byte[] bytes = new byte[(int) segment.sizeBytes()];
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try (Disk.Handle handle = files.disk.openForReading(segment.name)) {
            while (buffer.hasRemaining() && handle.read(buffer.position(), buffer) >= 0) {
                // A read may return fewer bytes than asked for.
            }
        }
        return bytes;
    }

    /** Returns a suspect segment, else the one with the smallest live share; null where none is worth it. */
    private SegmentFile chooseSegment() {
        Set<SegmentFile> segmentsWithNeededHeader = segmentsWithNeededHeader();
        SegmentFile best = null;
        for (SegmentFile segment : files.segments.values()) {
            if (writer.isOpenForAppend(segment)
                    || segmentsWithNeededHeader.contains(segment)
                    || forces.awaitsForce(segment)) {
                continue;
            }
            if (segment.isSuspect()) {
                return segment;
            }
            if (segment.liveRatio() < MAX_LIVE_RATIO && (best == null || segment.liveRatio() < best.liveRatio())) {
                best = segment;
            }
        }
        return best;
    }

    /** Segments that record the end of another one have to outlast it, or a failed record would count. */
    private Set<SegmentFile> segmentsWithNeededHeader() {
        Set<SegmentFile> neededSegments = new LinkedHashSet<>();
        for (SegmentFile segment : files.segments.values()) {
            if (segment.segmentWithEndRecordedHere != null
                    && files.segments.containsKey(segment.segmentWithEndRecordedHere.number)) {
                neededSegments.add(segment);
            }
        }
        return neededSegments;
    }

    /** Copies live contents; where none is left, tombstones; where none of those is left, the segment can be deleted. */
    private void copySlice(long maxBytes) throws IOException {
        Slice slice = new Slice();
        long limitBytes = Math.min(
                maxBytes,
                files.limits.segmentBytes()
                        - 4 * SegmentFormat.SEGMENT_HEADER_BYTES
                        - SegmentFormat.RECORD_HEADER_BYTES);
        int nextIndex = nextCopyIndex;
        for (boolean sliceFull = false;
                nextIndex < sourceSegment.copyCount && !sliceFull;
                nextIndex += sliceFull ? 0 : 1) {
            OwnerContents owner = index.find(sourceSegment.copyOwnerIds[nextIndex]);
            if (owner != null && !owner.deleted && !slice.owners.contains(owner)) {
                sliceFull = !slice.add(owner, limitBytes);
            }
        }
        if (slice.contents.isEmpty()) {
            copyTombstones();
        } else {
            slice.append();
        }
        nextCopyIndex = nextIndex;
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
            int ownerBytes = Arrays.stream(owner.contents)
                    .filter(content -> content.segment == sourceSegment)
                    .mapToInt(content -> content.itemBytes)
                    .sum();
            if (!contents.isEmpty() && items.sizeBytes() + ownerBytes > limitBytes) {
                return false;
            }
            for (ContentLocation content : owner.contents) {
                if (content.segment == sourceSegment) {
                    copy(owner, content);
                }
            }
            return true;
        }

        private void copy(OwnerContents owner, ContentLocation content) throws IOException {
            byte[] bytes = SegmentReader.findContent(
                    sourceBytes,
                    sourceSegment.salt,
                    content.recordOffset,
                    content.offset,
                    owner.ownerId,
                    content.version);
            if (bytes == null) {
                throw new IOException("content of owner " + owner.ownerId + " in segment " + sourceSegment.name
                        + " can no longer be read");
            }
            int itemBytes = items.addContent(owner.ownerId, content.kind, content.exclusive, content.version, bytes);
            positions.add(new ItemPosition(items.sizeBytes() - bytes.length, itemBytes));
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
                        contentOwners.get(i).ownerId,
                        content.kind,
                        content.exclusive,
                        content.version,
                        recordOffset,
                        recordOffset
                                + SegmentFormat.RECORD_HEADER_BYTES
                                + positions.get(i).contentOffset(),
                        content.lengthBytes,
                        positions.get(i).itemBytes());
            }
            copiedBytes += items.sizeBytes();
        }
    }

    /** Writes tombstones anew whose owners have copies in other segments; without any, nothing is left to copy. */
    private void copyTombstones() throws IOException {
        List<Long> neededOwnerIds = deletedOwnerIdsWithOtherCopies();
        if (neededOwnerIds.isEmpty()) {
            copyComplete = true;
            copyCompleteSequence = writer.lastSequence();
            return;
        }
        RecordBuilder items = new RecordBuilder();
        int itemBytes = items.addTombstone(neededOwnerIds);
        writer.append(items);
        index.addTombstone(writer.active(), neededOwnerIds, itemBytes);
        copiedBytes += items.sizeBytes();
    }

    private List<Long> deletedOwnerIdsWithOtherCopies() {
        if (sourceSegment.tombstones.isEmpty()) {
            return List.of();
        }
        Map<Long, Integer> copiesInSource = new HashMap<>();
        for (int i = 0; i < sourceSegment.copyCount; i++) {
            copiesInSource.merge(sourceSegment.copyOwnerIds[i], 1, Integer::sum);
        }
        List<Long> neededOwnerIds = new ArrayList<>();
        for (Tombstone tombstone : sourceSegment.tombstones) {
            for (OwnerContents owner : tombstone.owners) {
                if (owner.copyCount > copiesInSource.getOrDefault(owner.ownerId, 0)
                        && neededOwnerIds.size() < MAX_DELETIONS_PER_RECORD) {
                    neededOwnerIds.add(owner.ownerId);
                }
            }
        }
        return neededOwnerIds;
    }

    /** The retirement is recorded before the file is deleted, so that a file that vanishes without it is known to be lost. */
    private void retireSourceSegment() throws IOException {
        RecordBuilder items = new RecordBuilder();
        items.addSegmentRetired(sourceSegment.number);
        writer.append(items);
        files.remove(sourceSegment);
        SegmentFile retiredSegment = sourceSegment;
        files.segments.remove(retiredSegment.number);
        retiredSegment.markDeleted();
        sourceSegment = null;
        sourceBytes = null;
        forces.folderChanged();
        retiredSegments++;
        index.removeCopies(retiredSegment);
    }
}
