package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.zip.CRC32C;

/**
 * The header of a segment; see {@link SegmentFormat} for its layout.
 *
 * @param valid whether the header could be read; otherwise the other fields have no meaning
 * @param number number of the segment
 * @param previousNumber number of the previous segment, -1 if there is none
 * @param previousEnd end offset of the previous segment, in bytes
 * @param firstFreeOwnerId lowest owner ID that was free when the segment was created
 */
record SegmentHeader(boolean valid, long number, long previousNumber, long previousEnd, long firstFreeOwnerId) {
    private static final SegmentHeader INVALID = new SegmentHeader(false, -1, -1, -1, 0);
    private static final int VERSION_OFFSET = 8;
    private static final int NUMBER_OFFSET = 12;
    private static final int PREVIOUS_NUMBER_OFFSET = 20;
    private static final int PREVIOUS_END_OFFSET = 28;
    private static final int FIRST_FREE_OWNER_ID_OFFSET = 36;
    private static final int CHECKSUM_OFFSET = SegmentFormat.SEGMENT_HEADER_BYTES - Integer.BYTES;

    static ByteBuffer encode(long number, long previousNumber, long previousEnd, long firstFreeOwnerId) {
        ByteBuffer out = ByteBuffer.allocate(SegmentFormat.SEGMENT_HEADER_BYTES);
        out.putLong(SegmentFormat.MAGIC)
                .putShort(SegmentFormat.FORMAT_VERSION)
                .putShort((short) 0)
                .putLong(number)
                .putLong(previousNumber)
                .putLong(previousEnd)
                .putLong(firstFreeOwnerId);
        return out.putInt(checksum(out.array())).flip();
    }

    /**
     * Decodes the first bytes of a segment.
     *
     * @throws UnsupportedFormatException if the segment was written by a newer version
     */
    static SegmentHeader decode(byte[] segment) throws IOException {
        if (segment.length < SegmentFormat.SEGMENT_HEADER_BYTES) {
            return INVALID;
        }
        ByteBuffer in = ByteBuffer.wrap(segment);
        if (in.getLong(0) != SegmentFormat.MAGIC || in.getInt(CHECKSUM_OFFSET) != checksum(segment)) {
            return INVALID;
        }
        if (in.getShort(VERSION_OFFSET) > SegmentFormat.FORMAT_VERSION) {
            throw new UnsupportedFormatException(in.getShort(VERSION_OFFSET));
        }
        return new SegmentHeader(
                true,
                in.getLong(NUMBER_OFFSET),
                in.getLong(PREVIOUS_NUMBER_OFFSET),
                in.getLong(PREVIOUS_END_OFFSET),
                in.getLong(FIRST_FREE_OWNER_ID_OFFSET));
    }

    private static int checksum(byte[] header) {
        CRC32C crc = new CRC32C();
        crc.update(header, 0, CHECKSUM_OFFSET);
        return (int) crc.getValue();
    }
}
