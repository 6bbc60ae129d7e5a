package amberroute.storage;

import java.util.List;

/**
 * What was found when a segment was read.
 *
 * @param header the header, or a stand-in where it is not whole
 * @param damages unreadable bytes that have whole records behind them
 * @param records number of whole records
 * @param end offset behind the last whole record
 * @param length bytes of the segment
 */
record SegmentSummary(SegmentHeader header, List<DamagedRange> damages, int records, long end, long length) {
    /** Returns the bytes behind the last whole record. */
    long tornBytes() {
        return length - end;
    }

    /** Returns whether not even the header was written, which comes before any record. */
    boolean neverBegun() {
        return !header.whole() && records == 0;
    }
}
