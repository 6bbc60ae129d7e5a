package amberroute.sender.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import amberroute.sender.decision.SchedulerAction.Send;
import java.util.List;
import org.junit.jupiter.api.Test;

class CallBatchingTest {
    private static List<List<Send>> five(Send... sends) {
        return CallBatching.of(List.of(sends), endpoint -> 5);
    }

    /** As seen on a day at size: the two with little time left were answered 0.4 s after their deadline. */
    @Test
    void messagesWithLittleTimeLeftKeepTheirOwnCall() {
        Send hurried = new Send(1, 11, 100);
        Send alsoHurried = new Send(2, 11, 100);
        List<Send> others = List.of(
                new Send(3, 11, 900),
                new Send(4, 11, 900),
                new Send(5, 11, 900),
                new Send(6, 11, 900),
                new Send(7, 11, 900));
        assertEquals(
                List.of(List.of(hurried, alsoHurried), others),
                five(hurried, alsoHurried, others.get(0), others.get(1), others.get(2), others.get(3), others.get(4)));
    }

    @Test
    void oneCallTakesNoMoreThanItsKindDoes() {
        List<List<Send>> groups =
                CallBatching.of(List.of(new Send(1, 7, 5), new Send(2, 7, 5), new Send(3, 7, 5)), endpoint -> 2);
        assertEquals(List.of(2, 1), groups.stream().map(List::size).toList());
    }

    @Test
    void endpointsAreApart() {
        assertEquals(2, five(new Send(1, 7, 5), new Send(2, 8, 5)).size());
        assertEquals(
                2,
                CallBatching.of(List.of(new Send(1, 7, 5), new Send(2, 7, 5)), endpoint -> 1)
                        .size());
    }
}
