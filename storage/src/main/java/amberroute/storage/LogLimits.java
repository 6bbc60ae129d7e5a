package amberroute.storage;

/**
 * Bounds of a log's files, in bytes.
 *
 * @param budgetBytes bound of all files together, each counted in whole disk blocks
 * @param segmentBytes bound of one segment
 * @param reserveBytes part of the budget that is held by a file of zeros, which is truncated when the disk itself is full
 * @param forceRequired whether the log has to survive a loss of power: then a segment is deleted only when what was copied from
 *     it has been forced
 */
public record LogLimits(long budgetBytes, long segmentBytes, long reserveBytes, boolean forceRequired) {
    /** The smallest budget that {@link #forBudget} accepts. */
    public static final long MIN_BUDGET_BYTES = 64 << 10;

    private static final long MIN_SEGMENT_BYTES = 4_096;
    private static final int MIN_SEGMENTS = 4;
    private static final long MAX_DEFAULT_SEGMENT_BYTES = 1 << 20;
    private static final long LARGEST_MESSAGE_SEGMENT_BYTES = 68 << 10;
    private static final int DEFAULT_SEGMENTS = 32;
    private static final int MIN_DEFAULT_SEGMENTS = 6;
    private static final int SEGMENT_TO_RESERVE_RATIO = 4;

    /**
     * Checks the bounds.
     *
     * @throws IllegalArgumentException where a segment is too small or the budget has no room for enough of them
     */
    public LogLimits {
        if (segmentBytes < MIN_SEGMENT_BYTES
                || budgetBytes < MIN_SEGMENTS * segmentBytes + reserveBytes
                || reserveBytes < 0) {
            throw new IllegalArgumentException("segments of " + segmentBytes + " bytes in " + budgetBytes);
        }
    }

    /**
     * Returns bounds for a budget in bytes: {@value #DEFAULT_SEGMENTS} segments, or fewer where each would be too small for the
     * largest message, but at least {@value #MIN_DEFAULT_SEGMENTS}.
     */
    public static LogLimits forBudget(long budgetBytes, boolean forceRequired) {
        long segmentBytes = Math.min(
                Math.min(MAX_DEFAULT_SEGMENT_BYTES, budgetBytes / MIN_DEFAULT_SEGMENTS),
                Math.max(LARGEST_MESSAGE_SEGMENT_BYTES, budgetBytes / DEFAULT_SEGMENTS));
        return new LogLimits(budgetBytes, segmentBytes, segmentBytes / SEGMENT_TO_RESERVE_RATIO, forceRequired);
    }
}
