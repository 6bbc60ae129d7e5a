package amberroute.sender.admin;

import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.LogEvent;
import java.util.Optional;

/**
 * Reports messages that pass a point of their life after their deadline: how many and the latest, at most one log line a second. A
 * process that is short of CPU time shows here first. Event loop only; times are milliseconds of the folder's {@code SteadyClock}, as deadlines are.
 */
public final class LateCompletionReporter {
    /** Clients allow some 300 ms behind the deadline. */
    private static final long LATE_MS = 100;

    private static final long REPORT_INTERVAL_MS = 1_000;

    private final String point;
    private long reportedAt = Long.MIN_VALUE / 2;
    private int count;
    private long worstMillis;
    private String worstId = "";

    /** {@code point} names what messages pass in the log lines. */
    public LateCompletionReporter(String point) {
        this.point = point;
    }

    /** A message passes the point now; returns the line to log, empty where none is due. */
    public Optional<LogEvent> passed(AcceptedMessage message, long nowMillis) {
        long lateMillis = nowMillis - message.deadlineMillis;
        if (lateMillis > LATE_MS) {
            count++;
            if (lateMillis > worstMillis) {
                worstMillis = lateMillis;
                worstId = message.id;
            }
        }
        if (count == 0 || nowMillis - reportedAt < REPORT_INTERVAL_MS) {
            return Optional.empty();
        }
        LogEvent event = LogEvent.of("messages_late")
                .with("point", point)
                .with("count", count)
                .with("worst_ms", worstMillis)
                .with("worst_id", worstId);
        reportedAt = nowMillis;
        count = 0;
        worstMillis = 0;
        return Optional.of(event);
    }
}
