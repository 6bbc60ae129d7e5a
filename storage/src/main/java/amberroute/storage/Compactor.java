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
 * Reclaims disk space by retiring segments: copies the live contents of a segment to the active segment in slices, with the
 * versions under which they were first written, and then deletes the segment's file.
 *
 * <p>Only the deletion changes what the log contains. Before it, a content may be stored in both places under the same version,
 * which counts as one content; after it, each live content is stored in its new place. Not thread-safe.
 */
final class Compactor {
    /** Segments with a larger live share are not retired, since that would free almost no space. */
    static final double MAX_LIVE_RATIO = 0.99;

    private static final int MAX_DELETIONS_PER_RECORD = 4_096;
    /** Compaction runs if the files take more than this multiple of the live bytes plus the allowance below. */
    private static final int MAX_USED_TO_LIVE_RATIO = 3;

    private static final int DEAD_SPACE_ALLOWANCE_SEGMENTS = 8;
    /** Compaction runs if fewer segments than this fit the free part of the budget. */
    private static final int MIN_FREE_SEGMENTS = 6;
    /** Compaction runs if the number of segments exceeds the number of full ones that fit the budget by more than this. */
    private static final int MAX_EXTRA_SEGMENTS = 16;

    private final LogFiles files;
    private final LogIndex index;
    private final SegmentWriter writer;
    private final ForceTracker forces;
    /** The segment that is being retired; null if there is none. */
    private SegmentFile sourceSegment;
    /** The bytes of the source segment. */
    private byte[] sourceBytes;
    /** Index in {@link SegmentFile#copyOwnerIds} of the source segment at which copying continues. */
    private int nextCopyIndex;

    private boolean copyComplete;
    /** Sequence number of the last record when the copy was complete; the segment is deleted after a force has covered it. */
    private long copyCompleteSequence;

    private long copiedBytes;
    private long retiredSegments;

    Compactor(LogFiles files, LogIndex index, SegmentWriter writer, ForceTracker forces) {
        this.files = files;
        this.index = index;
        this.writer = writer;
        this.forces = forces;
    }

    /** Returns the number of bytes copied since the log was opened. */
    long copiedBytes() {
        return copiedBytes;
    }

    /** Returns the number of segments retired since the log was opened. */
    long retiredSegments() {
        return retiredSegments;
    }

    /** Returns whether a segment is being retired or is suspect, or dead space or the number of segments exceeds its limit. */
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

    /** Returns whether a fully copied segment waits for a force that covers the copies, before it is deleted. */
    boolean awaitsForce() {
        return files.limits.forceRequired()
                && sourceSegment != null
                && copyComplete
                && copyCompleteSequence > forces.forcedSequence();
    }

    /**
     * Performs one step: copies a slice of a segment, or deletes a segment that is fully copied.
     *
     * @param maxBytes approximate bound of the slice; at least the contents of one owner are copied
     * @return whether anything was done
     * @throws IOException if a segment cannot be read or a copy cannot be written; the step can be retried
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

    /** Reads a whole sealed segment, so that its file is read once and not for each copied content. */
    private byte[] readSegment(SegmentFile segment) throws IOException {
        byte[] bytes = new byte[(int) segment.sizeBytes()];
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        try (Disk.Handle handle = files.disk.openForReading(segment.name)) {
            while (buffer.hasRemaining() && handle.read(buffer.position(), buffer) >= 0) {
                // A read may return fewer bytes than requested.
            }
        }
        return bytes;
    }

    /** Returns a suspect segment, or else the segment with the smallest live share; null if none is worth retiring. */
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

    /**
     * Returns the segments whose headers record the end of another segment that still exists. They must not be deleted before that
     * segment, or a record after its end, whose write was reported as failed, would be recovered.
     */
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

    /** Copies live contents, or the needed tombstones if no live content is left to copy. */
    private void copySlice(long maxBytes) throws IOException {
        Slice slice = new Slice();
        long limitBytes = Math.min(
                Math.min(maxBytes, SegmentFormat.MAX_ITEMS_BYTES),
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

    /** Live contents of the source segment that are copied in one record. */
    private final class Slice {
        final RecordBuilder items = new RecordBuilder();
        final List<ContentLocation> contents = new ArrayList<>();
        final List<OwnerContents> contentOwners = new ArrayList<>();
        final Set<OwnerContents> owners = new HashSet<>();
        final List<ItemPosition> positions = new ArrayList<>();

        /** Adds all contents that an owner has in the source segment; returns false if the slice has no room for them. */
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
                        + " cannot be read: its record is damaged or does not contain it");
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

    /** Copies the tombstones of owners that have copies in other segments; if there are none, the copy is complete. */
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

    /** Records the retirement before it deletes the file, so that recovery can tell a lost file from a retired one. */
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
