package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Parses the bytes of a segment.
 *
 * <p>Reading does not stop at an unreadable record, but searches for the next valid one after it. Unreadable bytes that are followed
 * by a valid record are damage; those at the end of the segment are a torn write of a process that ended.
 */
final class SegmentReader {
    private static final int MAX_ARRAY_BYTES = Integer.MAX_VALUE - 64;

    private SegmentReader() {}

    /** Reads a file from its start, at most {@code maxBytes}. */
    static byte[] load(Disk.Handle file, long maxBytes) throws IOException {
        long length = Math.min(file.size(), maxBytes);
        if (length > MAX_ARRAY_BYTES) {
            throw new IOException("segment of " + length + " bytes exceeds the limit of " + MAX_ARRAY_BYTES + " bytes");
        }
        byte[] bytes = new byte[(int) length];
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining() && file.read(buffer.position(), buffer) >= 0) {
            // A read may return fewer bytes than requested.
        }
        return buffer.hasRemaining() ? Arrays.copyOf(bytes, buffer.position()) : bytes;
    }

    /**
     * Passes the items of all valid records of a segment to the visitor.
     *
     * @throws UnsupportedFormatException if the segment was written by a newer version
     * @throws IOException if an item is of an unknown kind or the visitor throws it
     */
    static SegmentSummary read(byte[] segment, long salt, SegmentVisitor visitor) throws IOException {
        SegmentHeader header = SegmentHeader.decode(segment);
        List<DamagedRange> damagedRanges = new ArrayList<>();
        int offset = header.valid() ? SegmentFormat.SEGMENT_HEADER_BYTES : 0;
        int lastRecordEnd = offset;
        int records = 0;
        ByteBuffer in = ByteBuffer.wrap(segment);
        while (offset < segment.length) {
            if (!isValidRecord(in, salt, offset)) {
                offset = findMarker(in, offset + 1);
                continue;
            }
            if (offset > lastRecordEnd) {
                damagedRanges.add(new DamagedRange(lastRecordEnd, offset));
            }
            records++;
            readItems(in, offset, visitor);
            offset += SegmentFormat.RECORD_HEADER_BYTES + itemsBytes(in, offset);
            lastRecordEnd = offset;
        }
        return new SegmentSummary(header, damagedRanges, records, lastRecordEnd, segment.length);
    }

    private static int itemsBytes(ByteBuffer in, int offset) {
        return in.getInt(offset + SegmentFormat.RECORD_LENGTH_OFFSET);
    }

    private static boolean isValidRecord(ByteBuffer in, long salt, int offset) {
        if (offset + SegmentFormat.RECORD_HEADER_BYTES > in.limit()
                || in.getInt(offset) != SegmentFormat.RECORD_MARKER) {
            return false;
        }
        int itemsBytes = itemsBytes(in, offset);
        return itemsBytes >= 0
                && itemsBytes <= SegmentFormat.MAX_ITEMS_BYTES
                && offset + SegmentFormat.RECORD_HEADER_BYTES + itemsBytes <= in.limit()
                && in.getInt(offset + SegmentFormat.RECORD_CHECKSUM_OFFSET)
                        == SegmentFormat.checksum(salt, in.array(), offset, itemsBytes);
    }

    /** Returns the next offset at which a record may start, or the end of the segment. */
    private static int findMarker(ByteBuffer in, int startOffset) {
        byte firstMarkerByte = (byte) (SegmentFormat.RECORD_MARKER >> 24);
        for (int offset = startOffset; offset + SegmentFormat.RECORD_HEADER_BYTES <= in.limit(); offset++) {
            if (in.get(offset) == firstMarkerByte && in.getInt(offset) == SegmentFormat.RECORD_MARKER) {
                return offset;
            }
        }
        return in.limit();
    }

    private static void readItems(ByteBuffer in, int offset, SegmentVisitor visitor) throws IOException {
        visitor.visitRecord(offset, in.getLong(offset + SegmentFormat.RECORD_SEQUENCE_OFFSET));
        int itemsOffset = offset + SegmentFormat.RECORD_HEADER_BYTES;
        ByteBuffer items = in.duplicate();
        items.position(itemsOffset).limit(itemsOffset + itemsBytes(in, offset));
        while (items.hasRemaining()) {
            int itemOffset = items.position();
            int kind = items.get();
            if (kind <= SegmentFormat.TOMBSTONE_ITEM) {
                readList(items, itemOffset, kind, visitor);
            } else {
                readContent(items, itemOffset, kind, visitor);
            }
        }
    }

    private static void readList(ByteBuffer items, int itemOffset, int kind, SegmentVisitor visitor)
            throws IOException {
        int count = (int) SegmentFormat.readVarint(items);
        List<Long> values = new ArrayList<>(Math.min(count, items.remaining()));
        for (int i = 0; i < count; i++) {
            values.add(SegmentFormat.readVarint(items));
        }
        switch (kind) {
            case SegmentFormat.TOMBSTONE_ITEM -> visitor.visitTombstone(values, items.position() - itemOffset);
            case SegmentFormat.SEGMENT_LIST_ITEM -> visitor.visitSegmentList(values);
            case SegmentFormat.SEGMENT_RETIRED_ITEM -> visitor.visitSegmentRetired(values.get(0));
            default -> throw new IOException("unknown item kind " + kind);
        }
    }

    private static void readContent(ByteBuffer items, int itemOffset, int kind, SegmentVisitor visitor)
            throws IOException {
        long ownerId = SegmentFormat.readVarint(items);
        long version = SegmentFormat.readVarint(items);
        int length = (int) SegmentFormat.readVarint(items);
        visitor.visitContent(
                ownerId,
                kind & ~SegmentFormat.EXCLUSIVE_FLAG,
                (kind & SegmentFormat.EXCLUSIVE_FLAG) != 0,
                version,
                items.array(),
                items.position(),
                length,
                items.position() - itemOffset + length);
        items.position(items.position() + length);
    }

    /** Returns the owner's content of this version at an offset; null if its record is invalid or has no such content there. */
    static byte[] findContent(byte[] segment, long salt, long recordOffset, long offset, long ownerId, long version)
            throws IOException {
        ByteBuffer in = ByteBuffer.wrap(segment);
        if (recordOffset < 0
                || recordOffset + SegmentFormat.RECORD_HEADER_BYTES > segment.length
                || !isValidRecord(in, salt, (int) recordOffset)) {
            return null;
        }
        byte[][] found = new byte[1][];
        readItems(in, (int) recordOffset, new SegmentVisitor() {
            @Override
            public void visitContent(
                    long itemOwnerId,
                    int kind,
                    boolean exclusive,
                    long itemVersion,
                    byte[] segmentBytes,
                    int contentOffset,
                    int lengthBytes,
                    int itemBytes) {
                if (contentOffset == offset && itemOwnerId == ownerId && itemVersion == version) {
                    found[0] = Arrays.copyOfRange(segmentBytes, contentOffset, contentOffset + lengthBytes);
                }
            }
        });
        return found[0];
    }
}
