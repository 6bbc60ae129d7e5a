package amberroute.sender.journal;

import amberroute.sender.util.LogEvent;
import amberroute.storage.LogFullException;
import java.io.IOException;

/** The reason why the journal cannot be written; logs when it begins, changes and ends. Used on the event loop only. */
final class WriteFailure {
    private static final String BUDGET_EXHAUSTED = "the disk budget is spent";

    private String reason = "";

    /** Returns the reason, empty while the journal can be written. */
    String reason() {
        return reason;
    }

    boolean isPresent() {
        return !reason.isEmpty();
    }

    void report(IOException error) {
        String newReason = error instanceof LogFullException ? BUDGET_EXHAUSTED : String.valueOf(error.getMessage());
        if (!newReason.equals(reason)) {
            LogEvent.of("journal_write_failed").cause(error).warn();
        }
        reason = newReason;
    }

    void clear() {
        LogEvent.of("journal_write_recovered").warn();
        reason = "";
    }
}
