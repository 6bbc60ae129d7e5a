package amberroute.sender.admin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import amberroute.sender.message.AcceptedMessage;
import org.junit.jupiter.api.Test;

class LateCompletionReporterTest {
    private static AcceptedMessage due(String id, long deadline) {
        return new AcceptedMessage(1, id, "", "safe", 0, 7, deadline, new byte[0]);
    }

    @Test
    void tellsOfLateEndsOnceASecondWithTheWorst() {
        LateCompletionReporter late = new LateCompletionReporter("were told");
        assertNull(late.passed(due("in time", 1_000), 1_000));
        assertNull(late.passed(due("just so", 1_000), 1_100));
        assertEquals("1 messages were told late, by 150 ms at most (a)", late.passed(due("a", 1_000), 1_150));
        assertNull(late.passed(due("b", 1_000), 1_400));
        assertNull(late.passed(due("c", 1_000), 1_200));
        assertNull(late.passed(due("d", 2_000), 2_000));
        // What was kept back is told by the next one that comes, in time or not.
        assertEquals("2 messages were told late, by 400 ms at most (b)", late.passed(due("e", 9_000), 2_150));
        assertNull(late.passed(due("f", 9_000), 9_000));
    }
}
