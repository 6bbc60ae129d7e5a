package amberroute.overload;

import amberroute.quota.DecayingRate;
import java.util.Map;
import java.util.TreeMap;

/** What this sender itself has to do with one destination. */
final class LocalLoadCounter {
    /** Short enough to follow a spike, long enough that some tens of messages a second are no noise. */
    private static final double SPAN = 1_000_000;

    private final Map<Integer, DecayingRate> demand = new TreeMap<>();
    private final DecayingRate served = new DecayingRate(SPAN);
    private final DecayingRate full = new DecayingRate(SPAN);
    private double waiting;

    void asked(long now, double worth) {
        demand.computeIfAbsent(PriorityBands.step(worth), s -> new DecayingRate(SPAN))
                .add(now, 1);
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

    DestinationLoad load(long now) {
        double[] steps = new double[PriorityBands.STEPS];
        demand.forEach((step, meter) -> steps[step] = meter.perSecond(now));
        return new DestinationLoad(steps, served.perSecond(now), full.perSecond(now), waiting);
    }
}
