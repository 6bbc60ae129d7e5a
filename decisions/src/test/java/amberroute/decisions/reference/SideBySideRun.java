package amberroute.decisions.reference;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Runs the scheduler and the reference scheduler side by side in one random scenario, which applies the reference's actions. */
final class SideBySideRun {
    /** Tolerance for times: the scheduler does not update decaying values in each decision, so rounding differs. */
    private static final long TOLERANCE_MICROS = 5;

    private SideBySideRun() {}

    static final List<RandomScenario.Plan> PLANS = List.of(
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, false),
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, true),
            new RandomScenario.Plan(30, 1, 16, 200, 200, 40, false),
            new RandomScenario.Plan(1, 5, 4, 100, 80, 3, true),
            new RandomScenario.Plan(60, 3, 40, 400, 400, 0, true));

    /** Returns whether the actions are the same; times may differ by rounding, as sums are computed in a different order. */
    static boolean sameActions(List<String> expected, List<String> actual) {
        for (int i = 0; i < expected.size() && expected.size() == actual.size(); i++) {
            String expectedLine = expected.get(i);
            String actualLine = actual.get(i);
            int prefixEnd = expectedLine.lastIndexOf(' ') + 1;
            boolean endsWithTime = expectedLine.startsWith("refuse ") || expectedLine.startsWith("send ");
            if (!expectedLine.equals(actualLine)
                    && !(endsWithTime
                            && actualLine.startsWith(expectedLine.substring(0, prefixEnd))
                            && Math.abs(Long.parseLong(expectedLine.substring(prefixEnd))
                                            - Long.parseLong(actualLine.substring(prefixEnd)))
                                    <= TOLERANCE_MICROS)) {
                return false;
            }
        }
        return expected.size() == actual.size();
    }

    /** Returns the number of actions of each kind; throws an AssertionError at the first difference. */
    static Map<String, Integer> run(long seed, RandomScenario.Plan plan, int steps) {
        Map<String, Integer> actionCounts = new HashMap<>();
        DeliveryScheduler.Settings settings = RandomScenario.settings(seed, plan);
        ReferenceScheduler reference = new ReferenceScheduler(settings, plan.acknowledgements());
        DeliveryScheduler scheduler = new AtcDeliveryScheduler(settings, plan.acknowledgements());
        long timerAt = Long.MAX_VALUE;
        RandomScenario scenario = new RandomScenario(seed, plan);
        Event event = scenario.initialList();
        for (int step = 0; step < steps; step++) {
            for (Event current : List.of(event, new Event.Decide())) {
                RandomScenario.Recorder expected = new RandomScenario.Recorder();
                RandomScenario.Recorder actual = new RandomScenario.Recorder();
                reference.step(scenario.now(), current, expected);
                scheduler.step(scenario.now(), current, actual);
                String context =
                        "seed " + seed + ", " + plan + ", step " + step + " at " + scenario.now() + ": " + current;
                if (!sameActions(expected.actionsWithoutTimers(), actual.actionsWithoutTimers())) {
                    throw new AssertionError(
                            context + "\nreference:\n" + String.join("\n", expected.actionsWithoutTimers())
                                    + "\nactual:\n" + String.join("\n", actual.actionsWithoutTimers()));
                }
                timerAt = actual.timerDelayMicros >= 0
                        ? scenario.now() + actual.timerDelayMicros
                        : current instanceof Event.TimerExpired && timerAt <= scenario.now() ? Long.MAX_VALUE : timerAt;
                // The timer may be due earlier, as it is set for a destination and not for each of its messages.
                if (current instanceof Event.Decide
                        && timerAt - TOLERANCE_MICROS > Math.max(scenario.now() + 1, reference.wakeAt())) {
                    throw new AssertionError(context + ": the timer is set to " + timerAt + ", which is later than "
                            + reference.wakeAt());
                }
                scenario.apply(expected);
                expected.lines.forEach(line -> actionCounts.merge(line.split(" ")[0], 1, Integer::sum));
            }
            if (reference.avoidedEndpointCount() != scheduler.avoidedEndpointCount()) {
                throw new AssertionError("seed " + seed + ", step " + step + ": " + reference.avoidedEndpointCount()
                        + " avoided endpoints expected, actual " + scheduler.avoidedEndpointCount());
            }
            event = scenario.nextEvent();
        }
        return actionCounts;
    }
}
