package amberroute.sender.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;

import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.LogEvent;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class LateCompletionReporterTest {
    private static AcceptedMessage due(String id, long deadline) {
        return new AcceptedMessage(1, id, "", "safe", 0, 7, deadline, new byte[0]);
    }

    private static Optional<String> passed(LateCompletionReporter reporter, AcceptedMessage message, long nowMillis) {
        return reporter.passed(message, nowMillis).map(LogEvent::toString);
    }

    @Test
    void reportsLateMessagesOnceASecondWithTheWorst() {
        LateCompletionReporter late = new LateCompletionReporter("completed");
        assertEquals(Optional.empty(), passed(late, due("in time", 1_000), 1_000));
        assertEquals(Optional.empty(), passed(late, due("just so", 1_000), 1_100));
        assertEquals(
                Optional.of("event=messages_late point=completed count=1 worst_ms=150 worst_id=a"),
                passed(late, due("a", 1_000), 1_150));
        assertEquals(Optional.empty(), passed(late, due("b", 1_000), 1_400));
        assertEquals(Optional.empty(), passed(late, due("c", 1_000), 1_200));
        assertEquals(Optional.empty(), passed(late, due("d", 2_000), 2_000));
        // The next message that passes, late or not, reports those since the last line.
        assertEquals(
                Optional.of("event=messages_late point=completed count=2 worst_ms=400 worst_id=b"),
                passed(late, due("e", 9_000), 2_150));
        assertEquals(Optional.empty(), passed(late, due("f", 9_000), 9_000));
    }
}
