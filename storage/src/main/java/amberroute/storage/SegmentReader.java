package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Reads the bytes of a segment.
 *
 * <p>Reading never stops at a record that cannot be read: it searches the next whole one behind it. Unreadable bytes with nothing
 * whole behind them are a torn write of a process that died; with a whole record behind them they are damage.
 */
final class SegmentReader {
    private static final int MAX_ARRAY_BYTES = Integer.MAX_VALUE - 64;

    private SegmentReader() {}

    /** Returns a file's bytes, at most so many. */
    static byte[] load(Disk.Handle file, long maxBytes) throws IOException {
        long length = Math.min(file.size(), maxBytes);
        if (length > MAX_ARRAY_BYTES) {
            throw new IOException("a segment of " + length + " bytes");
        }
        byte[] bytes = new byte[(int) length];
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        while (buffer.hasRemaining() && file.read(buffer.position(), buffer) >= 0) {
            // A read may return fewer bytes than asked for.
        }
        return buffer.hasRemaining() ? Arrays.copyOf(bytes, buffer.position()) : bytes;
    }

    /**
     * Gives all whole records of a segment's bytes to the visitor.
     *
     * @throws UnsupportedFormatException where a later version has written the segment
     * @throws IOException of the visitor, or for an item of an unknown kind
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

    /** Returns the next offset at which a record may begin, or the end. */
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
            default -> throw new IOException("an item of kind " + kind);
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

    /** Returns an owner's content that is stored at this offset, null where the record there is not whole or has another. */
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
