package amberroute.storage;

import java.io.IOException;
import java.util.List;

/** Receives the items of a segment in the order in which they are stored. An exception aborts the reading. */
interface SegmentVisitor {
    /** Ignores all items. */
    SegmentVisitor NO_OP = new SegmentVisitor() {};

    /** Receives the offset and the sequence number of a record, before its items. */
    default void visitRecord(long offset, long sequence) throws IOException {}

    /**
     * Receives a content.
     *
     * @param segmentBytes bytes of the segment
     * @param offset offset of the content in the segment
     * @param lengthBytes length of the content
     * @param itemBytes length of the whole item
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

    /** Receives a tombstone of deleted owners. */
    default void visitTombstone(List<Long> ownerIds, int itemBytes) throws IOException {}

    /** Receives the numbers of all segments that existed when this one was created, including this one. */
    default void visitSegmentList(List<Long> segmentNumbers) throws IOException {}

    /** Receives the number of a segment that was about to be deleted. */
    default void visitSegmentRetired(long segmentNumber) throws IOException {}
}
