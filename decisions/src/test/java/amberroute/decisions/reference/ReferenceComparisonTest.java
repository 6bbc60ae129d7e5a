package amberroute.decisions.reference;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** The present module beside the one of before its data structures changed: the same actions in the same order. */
class ReferenceComparisonTest {
    @Test
    void theSameActionsInTheSameOrder() {
        Map<String, Integer> seen = new HashMap<>();
        for (long seed = 1; seed <= 40; seed++) {
            SideBySideRun.play(seed, SideBySideRun.PLANS.get((int) (seed % SideBySideRun.PLANS.size())), 2_500)
                    .forEach((kind, n) -> seen.merge(kind, n, Integer::sum));
        }
        for (String kind :
                List.of("send", "refuse", "fail", "cancel", "closeIdle", "trustIdle", "remember", "wake", "follow")) {
            assertTrue(seen.getOrDefault(kind, 0) > 10, kind + " was seen " + seen.get(kind) + " times: " + seen);
        }
    }
}
