package amberroute.storage;

/**
 * Size limits of a log's files, in bytes.
 *
 * @param budgetBytes limit of all files together, each counted in whole disk blocks
 * @param segmentBytes limit of one segment
 * @param reserveBytes part of the budget taken by a file of zeros, which is truncated if the disk is full
 * @param forceRequired whether the log has to survive a power loss: a segment is then deleted only after the contents copied from
 *     it have been forced
 */
public record LogLimits(long budgetBytes, long segmentBytes, long reserveBytes, boolean forceRequired) {
    /** The smallest budget supported by {@link #forBudget}. */
    public static final long MIN_BUDGET_BYTES = 64 << 10;

    private static final long MIN_SEGMENT_BYTES = 4_096;
    private static final int MIN_SEGMENTS = 4;
    private static final long MAX_DEFAULT_SEGMENT_BYTES = 1 << 20;
    private static final long LARGEST_MESSAGE_SEGMENT_BYTES = 68 << 10;
    private static final int DEFAULT_SEGMENTS = 32;
    private static final int MIN_DEFAULT_SEGMENTS = 6;
    private static final int SEGMENT_TO_RESERVE_RATIO = 4;

    /**
     * Validates the limits.
     *
     * @throws IllegalArgumentException if a segment is too small, the budget has no room for enough segments and the reserve, or the
     *     reserve is negative
     */
    public LogLimits {
        if (segmentBytes < MIN_SEGMENT_BYTES
                || budgetBytes < MIN_SEGMENTS * segmentBytes + reserveBytes
                || reserveBytes < 0) {
            throw new IllegalArgumentException(
                    "segment limit of " + segmentBytes + " bytes does not suit a budget of " + budgetBytes
                            + " bytes: at least " + MIN_SEGMENTS + " segments of " + MIN_SEGMENT_BYTES
                            + " bytes or more and a reserve of 0 bytes or more must fit");
        }
    }

    /** Returns the size of the largest record that fits a segment, with its header, in bytes. */
    long maxRecordBytes() {
        return Math.min(
                SegmentFormat.RECORD_HEADER_BYTES + SegmentFormat.MAX_ITEMS_BYTES,
                segmentBytes - 2 * SegmentFormat.SEGMENT_HEADER_BYTES);
    }

    /** Returns the size of the largest batch that can be written, in bytes: its contents, and at most 32 bytes for each of them. */
    public long maxBatchBytes() {
        return maxRecordBytes() - SegmentFormat.RECORD_HEADER_BYTES;
    }

    /**
     * Returns the limits for a budget in bytes: {@value #DEFAULT_SEGMENTS} segments, or fewer if the segments would be too small for
     * the largest message, but at least {@value #MIN_DEFAULT_SEGMENTS}.
     */
    public static LogLimits forBudget(long budgetBytes, boolean forceRequired) {
        long segmentBytes = Math.min(
                Math.min(MAX_DEFAULT_SEGMENT_BYTES, budgetBytes / MIN_DEFAULT_SEGMENTS),
                Math.max(LARGEST_MESSAGE_SEGMENT_BYTES, budgetBytes / DEFAULT_SEGMENTS));
        return new LogLimits(budgetBytes, segmentBytes, segmentBytes / SEGMENT_TO_RESERVE_RATIO, forceRequired);
    }
}
