package amberroute.decisions.reference;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The scheduler beside the reference scheduler in one random scenario, which follows the actions of the reference. */
final class SideBySideRun {
    /** By how much times may differ: decaying values are not updated in each decision, and round otherwise. */
    private static final long TOLERANCE_MICROS = 5;

    private SideBySideRun() {}

    static final List<RandomScenario.Plan> PLANS = List.of(
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, false),
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, true),
            new RandomScenario.Plan(30, 1, 16, 200, 200, 40, false),
            new RandomScenario.Plan(1, 5, 4, 100, 80, 3, true),
            new RandomScenario.Plan(60, 3, 40, 400, 400, 0, true));

    /** Whether the actions are the same; times may differ by rounding, as sums are made in another order. */
    static boolean same(List<String> expected, List<String> actual) {
        for (int i = 0; i < expected.size() && expected.size() == actual.size(); i++) {
            String a = expected.get(i);
            String b = actual.get(i);
            int end = a.lastIndexOf(' ') + 1;
            boolean timed = a.startsWith("refuse ") || a.startsWith("send ");
            if (!a.equals(b)
                    && !(timed
                            && b.startsWith(a.substring(0, end))
                            && Math.abs(Long.parseLong(a.substring(end)) - Long.parseLong(b.substring(end)))
                                    <= TOLERANCE_MICROS)) {
                return false;
            }
        }
        return expected.size() == actual.size();
    }

    /** Returns how often each kind of action was seen; an AssertionError tells the first difference. */
    static Map<String, Integer> play(long seed, RandomScenario.Plan plan, int steps) {
        Map<String, Integer> seen = new HashMap<>();
        DeliveryScheduler.Settings settings = RandomScenario.settings(seed, plan);
        ReferenceScheduler reference = new ReferenceScheduler(settings, plan.acknowledgements());
        DeliveryScheduler scheduler = new AtcDeliveryScheduler(settings, plan.acknowledgements());
        long timer = Long.MAX_VALUE;
        RandomScenario scenario = new RandomScenario(seed, plan);
        Event event = scenario.initialList();
        for (int step = 0; step < steps; step++) {
            for (Event current : List.of(event, new Event.Decide())) {
                RandomScenario.Recorder expected = new RandomScenario.Recorder();
                RandomScenario.Recorder actual = new RandomScenario.Recorder();
                reference.step(scenario.now(), current, expected);
                scheduler.step(scenario.now(), current, actual);
                String at = "seed " + seed + ", " + plan + ", step " + step + " at " + scenario.now() + ": " + current;
                if (!same(expected.actionsWithoutTimers(), actual.actionsWithoutTimers())) {
                    throw new AssertionError(at + "\nbefore:\n" + String.join("\n", expected.actionsWithoutTimers())
                            + "\nnow:\n" + String.join("\n", actual.actionsWithoutTimers()));
                }
                timer = actual.timerDelayMicros >= 0
                        ? scenario.now() + actual.timerDelayMicros
                        : current instanceof Event.TimerExpired && timer <= scenario.now() ? Long.MAX_VALUE : timer;
                // It may be due earlier, as it is set for a destination and not for each of its messages.
                if (current instanceof Event.Decide
                        && timer - TOLERANCE_MICROS > Math.max(scenario.now() + 1, reference.wakeAt())) {
                    throw new AssertionError(
                            at + ": the timer is set for " + timer + ", not for " + reference.wakeAt());
                }
                scenario.apply(expected);
                expected.lines.forEach(line -> seen.merge(line.split(" ")[0], 1, Integer::sum));
            }
            if (reference.avoidedEndpointCount() != scheduler.avoidedEndpointCount()) {
                throw new AssertionError("seed " + seed + ", step " + step + ": " + reference.avoidedEndpointCount()
                        + " avoided, now " + scheduler.avoidedEndpointCount());
            }
            event = scenario.nextEvent();
        }
        return seen;
    }
}
