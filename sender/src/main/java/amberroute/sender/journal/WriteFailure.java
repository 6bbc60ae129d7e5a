package amberroute.sender.journal;

import amberroute.sender.util.LogEvent;
import amberroute.storage.LogFullException;
import java.io.IOException;

/** Why the journal cannot be written just now; logs when that begins, changes and ends. Used on the event loop only. */
final class WriteFailure {
    private static final String BUDGET_SPENT = "the disk budget is spent";

    private String reason = "";

    /** Returns the reason, empty while the journal can be written. */
    String reason() {
        return reason;
    }

    boolean present() {
        return !reason.isEmpty();
    }

    void failed(IOException error) {
        String now = error instanceof LogFullException ? BUDGET_SPENT : String.valueOf(error.getMessage());
        if (!now.equals(reason)) {
            LogEvent.of("journal_write_failed").cause(error).warn();
        }
        reason = now;
    }

    void recovered() {
        LogEvent.of("journal_write_recovered").warn();
        reason = "";
    }
}
