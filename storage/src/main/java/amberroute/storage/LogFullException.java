package amberroute.storage;

import java.io.IOException;

/** Thrown if a batch does not fit the log's budget, even after all possible compaction, or is larger than a record. */
public final class LogFullException extends IOException {
    private static final long serialVersionUID = 1;

    private LogFullException(String message) {
        super(message);
    }

    static LogFullException batchExceedsRecord(long recordBytes, long maxRecordBytes) {
        return new LogFullException(
                "batch in a record of " + recordBytes + " bytes exceeds the limit of " + maxRecordBytes + " bytes");
    }

    static LogFullException budgetExhausted(long usedBytes, long budgetBytes, long liveBytes) {
        return new LogFullException("log budget exhausted: " + usedBytes + " of " + budgetBytes + " bytes used, "
                + liveBytes + " of them live");
    }
}
