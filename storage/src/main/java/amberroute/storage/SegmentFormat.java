package amberroute.storage;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The byte layout of a segment: a header, followed by records that consist of items. Numbers are big-endian; a varint has seven bits
 * per byte, the lowest first.
 *
 * <pre>
 * header   magic:long formatVersion:short 0:short number:long previousNumber:long previousEnd:long firstFreeOwnerId:long
 *          checksum:int (CRC32C of all fields before it)
 * record   marker:int itemsBytes:int sequence:long checksum:int (CRC32C of the salt, the fields before it and the items) item...
 * item     kind:byte (1 to 63, plus 64 if exclusive) ownerId:varint version:varint length:varint content
 *          0:byte  count:varint ownerId:varint...   tombstone of deleted owners
 *          -1:byte count:varint segment:varint...   list of all segments, in the first record
 *          -2:byte 1:varint segment:varint          segment that is about to be deleted
 * </pre>
 *
 * <p>The salt is part of the file name. Without it, stored content from a client could imitate a record when recovery searches for
 * the next record after damaged bytes.
 */
final class SegmentFormat {
    static final int SEGMENT_HEADER_BYTES = 48;
    /** Size of a record before its items. */
    static final int RECORD_HEADER_BYTES = 20;
    /** Maximum size of a record's items. */
    static final int MAX_ITEMS_BYTES = 1 << 18;

    static final long MAGIC = 0x414d4252_5345474dL;
    static final short FORMAT_VERSION = 1;
    static final int RECORD_MARKER = 0x5245_4331;
    static final int RECORD_LENGTH_OFFSET = 4;
    static final int RECORD_SEQUENCE_OFFSET = 8;
    static final int RECORD_CHECKSUM_OFFSET = RECORD_HEADER_BYTES - Integer.BYTES;

    /** The highest kind of a content. */
    static final int MAX_KIND = 63;

    static final int EXCLUSIVE_FLAG = 64;
    static final int TOMBSTONE_ITEM = 0;
    static final int SEGMENT_LIST_ITEM = -1;
    static final int SEGMENT_RETIRED_ITEM = -2;
    static final int MAX_VARINT_BYTES = 10;
    private static final int VARINT_BITS = 7;
    private static final int VARINT_MASK = 0x7f;
    private static final int VARINT_CONTINUATION_BIT = 0x80;

    private SegmentFormat() {}

    /** Returns the checksum of the record at an offset: over the salt, the record header before its checksum, and the items. */
    static int checksum(long salt, byte[] bytes, int offset, int itemsBytes) {
        CRC32C crc = new CRC32C();
        byte[] saltBytes = new byte[Long.BYTES];
        ByteBuffer.wrap(saltBytes).putLong(salt);
        crc.update(saltBytes, 0, Long.BYTES);
        crc.update(bytes, offset, RECORD_CHECKSUM_OFFSET);
        crc.update(bytes, offset + RECORD_HEADER_BYTES, itemsBytes);
        return (int) crc.getValue();
    }

    static long readVarint(ByteBuffer in) {
        long value = 0;
        for (int shift = 0; shift < Long.SIZE; shift += VARINT_BITS) {
            byte nextByte = in.get();
            value |= (long) (nextByte & VARINT_MASK) << shift;
            if (nextByte >= 0) {
                break;
            }
        }
        return value;
    }

    /** Writes a number at an offset, where {@link #MAX_VARINT_BYTES} must fit; returns the offset after it. */
    static int writeVarint(long value, byte[] bytes, int offset) {
        int end = offset;
        long remaining = value;
        while ((remaining & ~(long) VARINT_MASK) != 0) {
            bytes[end++] = (byte) (remaining & VARINT_MASK | VARINT_CONTINUATION_BIT);
            remaining >>>= VARINT_BITS;
        }
        bytes[end++] = (byte) remaining;
        return end;
    }
}
