package amberroute.sender.journal;

import amberroute.sender.util.LogEvent;
import amberroute.storage.DataLoss;
import amberroute.storage.SegmentLog;
import java.util.ArrayList;
import java.util.List;

/** The parts of a journal that could not be read when it was opened. */
final class DataLossReport {
    private final SegmentLog log;
    /** Unreadable bytes at the end of the journal file of an earlier version, 0 if segments were opened. */
    private final long legacyUnreadBytes;

    DataLossReport(SegmentLog log, long legacyUnreadBytes) {
        this.log = log;
        this.legacyUnreadBytes = legacyUnreadBytes;
    }

    /** Returns one line for each unreadable part, damage before torn writes; empty if everything was read. */
    List<String> lines() {
        List<String> lines = new ArrayList<>();
        log.losses().forEach(loss -> lines.add(describe(loss)));
        if (log.tornBytes() > 0) {
            lines.add(log.tornBytes() + " bytes of torn writes");
        }
        if (legacyUnreadBytes > 0) {
            lines.add(legacyUnreadBytes + " bytes at the end of an earlier version's file");
        }
        return lines;
    }

    private static String describe(DataLoss loss) {
        return loss.missing()
                ? "segment " + loss.segment() + " is missing"
                : "segment " + loss.segment() + ": bytes " + loss.damage().startOffset() + " to "
                        + loss.damage().endOffset();
    }

    /** Returns whether anything but a torn write could not be read. */
    boolean damaged() {
        return !log.losses().isEmpty() || legacyUnreadBytes > 0;
    }

    /** Logs torn writes and each damaged or missing segment. */
    void logWarnings() {
        if (log.tornBytes() > 0) {
            LogEvent.of("journal_torn_write_skipped")
                    .with("bytes", log.tornBytes())
                    .warn();
        }
        for (DataLoss loss : log.losses()) {
            if (loss.missing()) {
                LogEvent.of("journal_segment_missing")
                        .with("segment", loss.segment())
                        .warn();
            } else {
                LogEvent.of("journal_segment_damaged")
                        .with("segment", loss.segment())
                        .with("from", loss.damage().startOffset())
                        .with("to", loss.damage().endOffset())
                        .warn();
            }
        }
    }
}
