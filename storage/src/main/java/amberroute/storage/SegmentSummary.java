package amberroute.storage;

import java.util.List;

/**
 * The result of reading a segment.
 *
 * @param header the header; {@link SegmentHeader#valid} is false if it could not be read
 * @param damagedRanges unreadable ranges that are followed by valid records
 * @param recordCount number of valid records
 * @param endOffset offset after the last valid record
 * @param lengthBytes size of the segment
 */
record SegmentSummary(
        SegmentHeader header, List<DamagedRange> damagedRanges, int recordCount, long endOffset, long lengthBytes) {
    /** Returns the number of bytes after the last valid record. */
    long tornBytes() {
        return lengthBytes - endOffset;
    }

    /** Returns whether the segment has neither a valid header nor a valid record; the header is written before any record. */
    boolean headerNeverWritten() {
        return !header.valid() && recordCount == 0;
    }
}
