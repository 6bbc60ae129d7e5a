package amberroute.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.testkit.DeliveryHistory.Answer;
import amberroute.testkit.DeliveryHistory.Effect;
import org.junit.jupiter.api.Test;

/** The book has to find each fault that it is for: one that sees none would make every run look good. */
class DeliveryHistoryTest {
    private final DeliveryHistory book = new DeliveryHistory();

    private DeliveryHistory.Entry taken(String id, String origin, Effect effect, long key) {
        DeliveryHistory.Entry entry = book.submitted(id, origin, "c", effect, key, key != 0, 1, 0, 1_000_000, 500_000);
        book.answered(entry, Answer.TAKEN);
        return entry;
    }

    private DeliveryHistory.Totals totals() {
        return book.totals(100_000_000);
    }

    @Test
    void balancesWhatWasTaken() {
        taken("a", "a", Effect.SAFE, 0);
        taken("b", "b", Effect.SAFE, 0);
        taken("c", "c", Effect.UNSAFE, 0);
        DeliveryHistory.Entry refused = book.submitted("d", "d", "c", Effect.SAFE, 0, false, 1, 0, 1, 1);
        book.answered(refused, Answer.REFUSED);
        book.executed(1, "a", 1);
        book.delivered(1, "a");
        book.notified(2, "b", true);
        book.notified(3, "c", false);
        book.notified(4, "a", false);
        DeliveryHistory.Totals t = totals();
        assertEquals(3, t.accepted());
        assertEquals(1, t.delivered());
        assertEquals(1, t.returned());
        assertEquals(1, t.failed());
        assertEquals(1, t.inTime());
        assertTrue(t.ok());
    }

    @Test
    void findsALostMessageOnlyWhenItsTimeIsUp() {
        taken("a", "a", Effect.SAFE, 0);
        assertEquals(
                0,
                book.totals(1_000_000 + DeliveryHistory.NOTIFICATION_GRACE_MICROS)
                        .lost());
        assertEquals(
                1,
                book.totals(1_000_001 + DeliveryHistory.NOTIFICATION_GRACE_MICROS)
                        .lost());
        assertFalse(totals().ok());
        assertEquals(1, book.lost(100_000_000).size());
    }

    @Test
    void forgivesALateNoticeOnlyRoundARestart() {
        taken("a", "a", Effect.SAFE, 0);
        taken("b", "b", Effect.SAFE, 0);
        book.senderDown(0, 900_000, 3_000_000);
        book.notified(4_400_000, "a", true);
        book.notified(4_600_000, "b", true);
        assertEquals(1, totals().lateNotifications());
    }

    @Test
    void findsAnEffectThatHappenedTwice() {
        taken("a.1", "a", Effect.UNSAFE, 0);
        book.executed(1, "a.1", 1);
        taken("a.2", "a", Effect.UNSAFE, 0);
        book.executed(2, "a.2", 1);
        taken("b", "b", Effect.SAFE, 0);
        book.executed(1, "b", 1);
        book.executed(2, "b", 1);
        assertEquals(1, totals().duplicateExecutions());
    }

    @Test
    void findsAMessageThatRanAheadOfItsKey() {
        taken("a", "a", Effect.KEYED, 7);
        taken("b", "b", Effect.KEYED, 7);
        taken("c", "c", Effect.KEYED, 8);
        book.executed(1, "c", 1);
        book.executed(2, "b", 1);
        assertEquals(1, totals().outOfOrder());
        assertTrue(book.violations().get(0).contains("ran ahead of a"));
    }

    @Test
    void aKeyPassesOnWithAnEnd() {
        taken("a", "a", Effect.KEYED, 7);
        taken("b", "b", Effect.KEYED, 7);
        taken("c", "c", Effect.KEYED, 7);
        book.notified(1, "a", false);
        book.executed(2, "b", 1);
        book.delivered(3, "b");
        book.executed(4, "c", 1);
        assertEquals(0, totals().outOfOrder());
    }

    @Test
    void findsWhatNobodyHandedInAndWhatWasTurnedAway() {
        book.executed(1, "ghost", 1);
        taken("a", "a", Effect.SAFE, 0);
        book.executed(1, "a", 2);
        DeliveryHistory.Entry refused = book.submitted("r", "r", "c", Effect.SAFE, 0, false, 1, 0, 1, 1);
        book.answered(refused, Answer.REFUSED);
        book.executed(2, "r", 1);
        book.notified(3, "ghost", true);
        assertEquals(4, totals().unknownMessages());
    }

    @Test
    void findsAnUnsafeMessageThatWasReturnedAndRan() {
        taken("a", "a", Effect.UNSAFE, 0);
        book.notified(1, "a", true);
        book.executed(2, "a", 1);
        assertEquals(1, totals().unknownMessages());
    }

    @Test
    void findsAnUnsafeMessageThatRanAndWasReturned() {
        taken("a", "a", Effect.UNSAFE, 0);
        book.executed(1, "a", 1);
        book.notified(2, "a", true);
        assertEquals(1, totals().unknownMessages());
    }

    private DeliveryHistory.Entry closed(String id) {
        DeliveryHistory.Entry entry = book.submitted(id, id, "c", Effect.SAFE, 0, false, 1, 0, 1_000_000, 500_000);
        book.answered(entry, Answer.CLOSED);
        return entry;
    }

    /** Planted: a sender that takes a request on and ends its connection without the answer. */
    @Test
    void findsARequestThatWasReadAndClosedOnUnanswered() {
        closed("crossed");
        assertEquals(0, book.closedUnanswered().size(), "its client sends it once more");
        closed("read");
        book.executed(1, "read", 1);
        assertEquals(1, book.closedUnanswered().size());
        closed("ended");
        book.notified(2, "ended", true);
        assertEquals(2, book.closedUnanswered().size());
    }

    @Test
    void excusesWhatAKillWithoutWarningClosed() {
        book.senderKilled(0, TestEnvironment.micros());
        closed("killed");
        book.executed(1, "killed", 1);
        assertEquals(0, book.closedUnanswered().size());
        book.senderKilled(1, TestEnvironment.micros());
        DeliveryHistory.Entry other = book.submitted("o", "o", "c", Effect.SAFE, 0, false, 1, 2, 1_000_000, 500_000);
        book.answered(other, Answer.CLOSED);
        book.executed(1, "o", 1);
        assertEquals(1, book.closedUnanswered().size(), "another sender was killed");
    }
}
