package amberroute.overload;

import amberroute.shares.Rate;
import java.util.Map;
import java.util.TreeMap;

/** What this sender itself has to do with one destination. */
final class Tally {
    /** Short enough to follow a spike, long enough that some tens of messages a second are no noise. */
    private static final double SPAN = 1_000_000;

    private final Map<Integer, Rate> demand = new TreeMap<>();
    private final Rate served = new Rate(SPAN);
    private final Rate full = new Rate(SPAN);
    private double waiting;

    void asked(long now, double worth) {
        demand.computeIfAbsent(Worths.step(worth), s -> new Rate(SPAN)).add(now, 1);
    }

    void served(long now) {
        served.add(now, 1);
    }

    void full(long now) {
        full.add(now, 1);
    }

    void waiting(double messages) {
        waiting = messages;
    }

    Load load(long now) {
        double[] steps = new double[Worths.STEPS];
        demand.forEach((step, meter) -> steps[step] = meter.perSecond(now));
        return new Load(steps, served.perSecond(now), full.perSecond(now), waiting);
    }
}
