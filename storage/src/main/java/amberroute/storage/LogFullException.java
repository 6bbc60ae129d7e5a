package amberroute.storage;

import java.io.IOException;

/** The log's budget, or the bound of one segment, has no room for a batch, also after all possible compaction. */
public final class LogFullException extends IOException {
    private static final long serialVersionUID = 1;

    private LogFullException(String message) {
        super(message);
    }

    static LogFullException batchExceedsSegment(long batchBytes, long segmentBytes) {
        return new LogFullException("a batch of " + batchBytes + " bytes exceeds the segment limit of " + segmentBytes);
    }

    static LogFullException budgetExhausted(long usedBytes, long budgetBytes, long liveBytes) {
        return new LogFullException(
                usedBytes + " of " + budgetBytes + " bytes are used, " + liveBytes + " of them live");
    }
}
