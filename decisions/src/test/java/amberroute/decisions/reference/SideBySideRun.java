package amberroute.decisions.reference;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The present module beside the one of before in one random world, in which things go as the older one has them go. */
final class SideBySideRun {
    /** Microseconds by which times may differ: what fades is not looked at in each turn any more, and rounds otherwise. */
    private static final long TIMER = 5;

    private SideBySideRun() {}

    static final List<RandomScenario.Plan> PLANS = List.of(
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, false),
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, true),
            new RandomScenario.Plan(30, 1, 16, 200, 200, 40, false),
            new RandomScenario.Plan(1, 5, 4, 100, 80, 3, true),
            new RandomScenario.Plan(60, 3, 40, 400, 400, 0, true));

    /** The same acts; times in them may differ by a rounding, as sums are made in another order. */
    static boolean same(List<String> wanted, List<String> did) {
        for (int i = 0; i < wanted.size() && wanted.size() == did.size(); i++) {
            String a = wanted.get(i);
            String b = did.get(i);
            int end = a.lastIndexOf(' ') + 1;
            boolean timed = a.startsWith("refuse ") || a.startsWith("send ");
            if (!a.equals(b)
                    && !(timed
                            && b.startsWith(a.substring(0, end))
                            && Math.abs(Long.parseLong(a.substring(end)) - Long.parseLong(b.substring(end)))
                                    <= TIMER)) {
                return false;
            }
        }
        return wanted.size() == did.size();
    }

    /** Returns how often each kind of action was seen; an AssertionError tells the first difference. */
    static Map<String, Integer> play(long seed, RandomScenario.Plan plan, int steps) {
        Map<String, Integer> seen = new HashMap<>();
        DeliveryScheduler.Settings settings = RandomScenario.settings(seed, plan);
        ReferenceScheduler old = new ReferenceScheduler(settings, plan.concludes());
        DeliveryScheduler fresh = new AtcDeliveryScheduler(settings, plan.concludes());
        long timer = Long.MAX_VALUE;
        RandomScenario world = new RandomScenario(seed, plan);
        Event event = world.first();
        for (int step = 0; step < steps; step++) {
            for (Event one : List.of(event, new Event.Decide())) {
                RandomScenario.Recorder wanted = new RandomScenario.Recorder();
                RandomScenario.Recorder did = new RandomScenario.Recorder();
                old.step(world.now(), one, wanted);
                fresh.step(world.now(), one, did);
                String at = "seed " + seed + ", " + plan + ", step " + step + " at " + world.now() + ": " + one;
                if (!same(wanted.acts(), did.acts())) {
                    throw new AssertionError(at + "\nbefore:\n" + String.join("\n", wanted.acts()) + "\nnow:\n"
                            + String.join("\n", did.acts()));
                }
                timer = did.wake >= 0
                        ? world.now() + did.wake
                        : one instanceof Event.TimerExpired && timer <= world.now() ? Long.MAX_VALUE : timer;
                // It may be due earlier, as it is set for a destination and not for each of its messages.
                if (one instanceof Event.Decide && timer - TIMER > Math.max(world.now() + 1, old.wakeAt())) {
                    throw new AssertionError(at + ": the timer is set for " + timer + ", not for " + old.wakeAt());
                }
                world.follow(wanted);
                wanted.lines.forEach(line -> seen.merge(line.split(" ")[0], 1, Integer::sum));
            }
            if (old.avoidedEndpointCount() != fresh.avoidedEndpointCount()) {
                throw new AssertionError("seed " + seed + ", step " + step + ": " + old.avoidedEndpointCount()
                        + " avoided, now " + fresh.avoidedEndpointCount());
            }
            event = world.next();
        }
        return seen;
    }
}
