package amberroute.storage;

/**
 * A part of the log that could not be read.
 *
 * @param segment file name of the segment; its number in hexadecimal if the file is missing
 * @param damage the unreadable bytes; its {@code endOffset} is 0 if the file is missing
 */
public record DataLoss(String segment, DamagedRange damage) {
    static DataLoss missingSegment(long segmentNumber) {
        return new DataLoss(String.format("%016x", segmentNumber), new DamagedRange(0, 0));
    }

    /** Returns whether the whole segment is missing. */
    public boolean missing() {
        return damage.endOffset() == 0;
    }
}
