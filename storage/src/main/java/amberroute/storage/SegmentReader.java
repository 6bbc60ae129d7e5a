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
        byte[] all = new byte[(int) length];
        ByteBuffer into = ByteBuffer.wrap(all);
        while (into.hasRemaining() && file.read(into.position(), into) >= 0) {
            // A read may return fewer bytes than asked for.
        }
        return into.hasRemaining() ? Arrays.copyOf(all, into.position()) : all;
    }

    /**
     * Gives all whole records of a segment's bytes to the visitor.
     *
     * @throws UnsupportedFormatException where a later version has written the segment
     * @throws IOException of the visitor, or for an item of an unknown kind
     */
    static SegmentSummary read(byte[] segment, long salt, SegmentVisitor visitor) throws IOException {
        SegmentHeader header = SegmentHeader.decode(segment);
        List<DamagedRange> damages = new ArrayList<>();
        int offset = header.whole() ? SegmentFormat.HEADER_BYTES : 0;
        int end = offset;
        int records = 0;
        ByteBuffer in = ByteBuffer.wrap(segment);
        while (offset < segment.length) {
            if (!isWholeRecord(in, salt, offset)) {
                offset = findMarker(in, offset + 1);
                continue;
            }
            if (offset > end) {
                damages.add(new DamagedRange(end, offset));
            }
            records++;
            readItems(in, offset, visitor);
            offset += SegmentFormat.FRAME_BYTES + contentBytes(in, offset);
            end = offset;
        }
        return new SegmentSummary(header, damages, records, end, segment.length);
    }

    private static int contentBytes(ByteBuffer in, int offset) {
        return in.getInt(offset + SegmentFormat.LENGTH_OFFSET);
    }

    private static boolean isWholeRecord(ByteBuffer in, long salt, int offset) {
        if (offset + SegmentFormat.FRAME_BYTES > in.limit() || in.getInt(offset) != SegmentFormat.RECORD_MARKER) {
            return false;
        }
        int length = contentBytes(in, offset);
        return length >= 0
                && length <= SegmentFormat.MAX_CONTENT_BYTES
                && offset + SegmentFormat.FRAME_BYTES + length <= in.limit()
                && in.getInt(offset + SegmentFormat.CHECKSUM_OFFSET)
                        == SegmentFormat.checksum(salt, in.array(), offset, length);
    }

    /** Returns the next offset at which a record may begin, or the end. */
    private static int findMarker(ByteBuffer in, int from) {
        byte first = (byte) (SegmentFormat.RECORD_MARKER >> 24);
        for (int offset = from; offset + SegmentFormat.FRAME_BYTES <= in.limit(); offset++) {
            if (in.get(offset) == first && in.getInt(offset) == SegmentFormat.RECORD_MARKER) {
                return offset;
            }
        }
        return in.limit();
    }

    private static void readItems(ByteBuffer in, int offset, SegmentVisitor visitor) throws IOException {
        visitor.record(offset, in.getLong(offset + SegmentFormat.SEQUENCE_OFFSET));
        int begin = offset + SegmentFormat.FRAME_BYTES;
        ByteBuffer items = in.duplicate();
        items.position(begin).limit(begin + contentBytes(in, offset));
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
        List<Long> numbers = new ArrayList<>(Math.min(count, items.remaining()));
        for (int i = 0; i < count; i++) {
            numbers.add(SegmentFormat.readVarint(items));
        }
        switch (kind) {
            case SegmentFormat.TOMBSTONE_ITEM -> visitor.tombstone(numbers, items.position() - itemOffset);
            case SegmentFormat.SEGMENT_LIST_ITEM -> visitor.segmentList(numbers);
            case SegmentFormat.SEGMENT_RETIRED_ITEM -> visitor.segmentRetired(numbers.get(0));
            default -> throw new IOException("an item of kind " + kind);
        }
    }

    private static void readContent(ByteBuffer items, int itemOffset, int kind, SegmentVisitor visitor)
            throws IOException {
        long owner = SegmentFormat.readVarint(items);
        long version = SegmentFormat.readVarint(items);
        int length = (int) SegmentFormat.readVarint(items);
        visitor.content(
                owner,
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
    static byte[] findContent(byte[] segment, long salt, long recordOffset, long offset, long owner, long version)
            throws IOException {
        ByteBuffer in = ByteBuffer.wrap(segment);
        if (recordOffset < 0
                || recordOffset + SegmentFormat.FRAME_BYTES > segment.length
                || !isWholeRecord(in, salt, (int) recordOffset)) {
            return null;
        }
        byte[][] found = new byte[1][];
        readItems(in, (int) recordOffset, new SegmentVisitor() {
            @Override
            public void content(
                    long itemOwner,
                    int kind,
                    boolean exclusive,
                    long itemVersion,
                    byte[] bytes,
                    int itemOffset,
                    int lengthBytes,
                    int itemBytes) {
                if (itemOffset == offset && itemOwner == owner && itemVersion == version) {
                    found[0] = Arrays.copyOfRange(bytes, itemOffset, itemOffset + lengthBytes);
                }
            }
        });
        return found[0];
    }
}
