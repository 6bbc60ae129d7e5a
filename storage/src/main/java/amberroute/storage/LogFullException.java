package amberroute.storage;

import java.io.IOException;

/** Thrown if a batch does not fit the log's budget, even after all possible compaction, or is larger than a segment. */
public final class LogFullException extends IOException {
    private static final long serialVersionUID = 1;

    private LogFullException(String message) {
        super(message);
    }

    static LogFullException batchExceedsSegment(long batchBytes, long segmentBytes) {
        return new LogFullException(
                "batch of " + batchBytes + " bytes exceeds the segment limit of " + segmentBytes + " bytes");
    }

    static LogFullException budgetExhausted(long usedBytes, long budgetBytes, long liveBytes) {
        return new LogFullException("log budget exhausted: " + usedBytes + " of " + budgetBytes + " bytes used, "
                + liveBytes + " of them live");
    }
}
