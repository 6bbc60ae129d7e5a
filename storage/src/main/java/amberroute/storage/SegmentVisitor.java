package amberroute.storage;

import java.io.IOException;
import java.util.List;

/** Takes what a segment contains, in its order. Errors end the reading. */
interface SegmentVisitor {
    /** Ignores everything. */
    SegmentVisitor NO_OP = new SegmentVisitor() {};

    /** Takes the offset and the sequence number of a record; its items follow. */
    default void visitRecord(long offset, long sequence) throws IOException {}

    /**
     * Takes a content.
     *
     * @param segmentBytes bytes of the segment
     * @param offset of the content in them
     * @param lengthBytes length of the content
     * @param itemBytes length with the item's own head
     */
    default void visitContent(
            long ownerId,
            int kind,
            boolean exclusive,
            long version,
            byte[] segmentBytes,
            int offset,
            int lengthBytes,
            int itemBytes)
            throws IOException {}

    /** Takes a list of deleted owners. */
    default void visitTombstone(List<Long> ownerIds, int itemBytes) throws IOException {}

    /** Takes the numbers of all segments as of when this one was begun. */
    default void visitSegmentList(List<Long> segmentNumbers) throws IOException {}

    /** Takes the number of a segment that was about to be deleted. */
    default void visitSegmentRetired(long segmentNumber) throws IOException {}
}
