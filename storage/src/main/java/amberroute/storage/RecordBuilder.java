package amberroute.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/**
 * Encodes the items of one record. The buffer starts with space for the record header. Methods that add an item and return a number
 * return the size of the item in bytes.
 */
final class RecordBuilder {
    private static final int INITIAL_BYTES = 256;
    /** The owner ID, the version and the length. */
    private static final int CONTENT_VARINTS = 3;

    private byte[] bytes = new byte[SegmentFormat.RECORD_HEADER_BYTES + INITIAL_BYTES];
    private int endOffset = SegmentFormat.RECORD_HEADER_BYTES;

    int addContent(long ownerId, int kind, boolean exclusive, long version, byte[] content) {
        int itemOffset = endOffset;
        ensureRoom(1 + CONTENT_VARINTS * SegmentFormat.MAX_VARINT_BYTES + content.length);
        bytes[endOffset++] = (byte) (kind | (exclusive ? SegmentFormat.EXCLUSIVE_FLAG : 0));
        appendVarint(ownerId);
        appendVarint(version);
        appendVarint(content.length);
        System.arraycopy(content, 0, bytes, endOffset, content.length);
        endOffset += content.length;
        return endOffset - itemOffset;
    }

    int addTombstone(List<Long> ownerIds) {
        return addList(SegmentFormat.TOMBSTONE_ITEM, ownerIds);
    }

    void addSegmentList(List<Long> segmentNumbers) {
        addList(SegmentFormat.SEGMENT_LIST_ITEM, segmentNumbers);
    }

    void addSegmentRetired(long segmentNumber) {
        addList(SegmentFormat.SEGMENT_RETIRED_ITEM, List.of(segmentNumber));
    }

    private int addList(int kind, List<Long> values) {
        int itemOffset = endOffset;
        ensureRoom(1 + (values.size() + 1) * SegmentFormat.MAX_VARINT_BYTES);
        bytes[endOffset++] = (byte) kind;
        appendVarint(values.size());
        values.forEach(this::appendVarint);
        return endOffset - itemOffset;
    }

    /** Returns the size of all items added so far, in bytes. */
    int sizeBytes() {
        return endOffset - SegmentFormat.RECORD_HEADER_BYTES;
    }

    private void ensureRoom(int additionalBytes) {
        if (endOffset + additionalBytes > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, endOffset + additionalBytes));
        }
    }

    private void appendVarint(long value) {
        endOffset = SegmentFormat.writeVarint(value, bytes, endOffset);
    }

    /**
     * Returns the complete record as a view of this builder's buffer, valid until the next call.
     *
     * @throws IllegalArgumentException if the items exceed {@link SegmentFormat#MAX_ITEMS_BYTES}
     */
    ByteBuffer encodeRecord(long salt, long sequence) {
        if (sizeBytes() > SegmentFormat.MAX_ITEMS_BYTES) {
            throw new IllegalArgumentException("record items of " + sizeBytes() + " bytes exceed the limit of "
                    + SegmentFormat.MAX_ITEMS_BYTES + " bytes");
        }
        ByteBuffer out = ByteBuffer.wrap(bytes, 0, endOffset);
        out.putInt(0, SegmentFormat.RECORD_MARKER)
                .putInt(SegmentFormat.RECORD_LENGTH_OFFSET, sizeBytes())
                .putLong(SegmentFormat.RECORD_SEQUENCE_OFFSET, sequence);
        return out.putInt(SegmentFormat.RECORD_CHECKSUM_OFFSET, SegmentFormat.checksum(salt, bytes, 0, sizeBytes()));
    }
}
