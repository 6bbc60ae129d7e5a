package amberroute.decisions.reference;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Compares the scheduler with the reference scheduler in random scenarios: both must take the same actions in the same order. */
class ReferenceComparisonTest {
    @Test
    void schedulerAndReferenceTakeTheSameActionsInTheSameOrder() {
        Map<String, Integer> actionCounts = new HashMap<>();
        for (long seed = 1; seed <= 40; seed++) {
            SideBySideRun.run(seed, SideBySideRun.PLANS.get((int) (seed % SideBySideRun.PLANS.size())), 2_500)
                    .forEach((kind, count) -> actionCounts.merge(kind, count, Integer::sum));
        }
        for (String kind :
                List.of("send", "refuse", "fail", "cancel", "closeIdle", "trustIdle", "remember", "wake", "follow")) {
            assertTrue(
                    actionCounts.getOrDefault(kind, 0) > 10,
                    kind + " occurred " + actionCounts.get(kind) + " times, expected more than 10: " + actionCounts);
        }
    }
}
