package amberroute.storage;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.List;

/** Encodes the items of one record, behind room for its frame. Each method returns the bytes that its item takes. */
final class RecordBuilder {
    private static final int INITIAL_BYTES = 256;
    /** Owner, version and length. */
    private static final int CONTENT_VARINTS = 3;

    private byte[] bytes = new byte[SegmentFormat.FRAME_BYTES + INITIAL_BYTES];
    private int end = SegmentFormat.FRAME_BYTES;

    int addContent(long owner, int kind, boolean exclusive, long version, byte[] content) {
        int before = end;
        ensureRoom(1 + CONTENT_VARINTS * SegmentFormat.MAX_VARINT_BYTES + content.length);
        bytes[end++] = (byte) (kind | (exclusive ? SegmentFormat.EXCLUSIVE_FLAG : 0));
        appendVarint(owner);
        appendVarint(version);
        appendVarint(content.length);
        System.arraycopy(content, 0, bytes, end, content.length);
        end += content.length;
        return end - before;
    }

    int addTombstone(List<Long> owners) {
        return addList(SegmentFormat.TOMBSTONE_ITEM, owners);
    }

    void addSegmentList(List<Long> numbers) {
        addList(SegmentFormat.SEGMENT_LIST_ITEM, numbers);
    }

    void addSegmentRetired(long number) {
        addList(SegmentFormat.SEGMENT_RETIRED_ITEM, List.of(number));
    }

    private int addList(int kind, List<Long> numbers) {
        int before = end;
        ensureRoom(1 + (numbers.size() + 1) * SegmentFormat.MAX_VARINT_BYTES);
        bytes[end++] = (byte) kind;
        appendVarint(numbers.size());
        numbers.forEach(this::appendVarint);
        return end - before;
    }

    /** Returns the bytes of all items so far. */
    int size() {
        return end - SegmentFormat.FRAME_BYTES;
    }

    private void ensureRoom(int more) {
        if (end + more > bytes.length) {
            bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, end + more));
        }
    }

    private void appendVarint(long value) {
        end = SegmentFormat.writeVarint(value, bytes, end);
    }

    /**
     * Returns the whole record; a view of this builder's bytes, valid until the next call.
     *
     * @throws IllegalArgumentException where the items exceed {@link SegmentFormat#MAX_CONTENT_BYTES}
     */
    ByteBuffer frame(long salt, long sequence) {
        if (size() > SegmentFormat.MAX_CONTENT_BYTES) {
            throw new IllegalArgumentException(
                    "a record of " + size() + " bytes exceeds " + SegmentFormat.MAX_CONTENT_BYTES);
        }
        ByteBuffer out = ByteBuffer.wrap(bytes, 0, end);
        out.putInt(0, SegmentFormat.RECORD_MARKER)
                .putInt(SegmentFormat.LENGTH_OFFSET, size())
                .putLong(SegmentFormat.SEQUENCE_OFFSET, sequence);
        return out.putInt(SegmentFormat.CHECKSUM_OFFSET, SegmentFormat.checksum(salt, bytes, 0, size()));
    }
}
