package amberroute.storage;

import java.util.List;

/**
 * What was found when a segment was read.
 *
 * @param header the header, or a stand-in where it is not whole
 * @param damagedRanges unreadable bytes that have whole records behind them
 * @param recordCount number of whole records
 * @param endOffset offset behind the last whole record
 * @param lengthBytes bytes of the segment
 */
record SegmentSummary(
        SegmentHeader header, List<DamagedRange> damagedRanges, int recordCount, long endOffset, long lengthBytes) {
    /** Returns the bytes behind the last whole record. */
    long tornBytes() {
        return lengthBytes - endOffset;
    }

    /** Returns whether not even the header was written, which comes before any record. */
    boolean headerNeverWritten() {
        return !header.valid() && recordCount == 0;
    }
}
