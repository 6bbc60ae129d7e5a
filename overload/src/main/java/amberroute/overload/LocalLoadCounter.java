package amberroute.overload;

import amberroute.quota.DecayingRate;
import java.util.Map;
import java.util.TreeMap;

/** Measures the load of this sender alone for one destination. Times are in microseconds. Not thread-safe. */
final class LocalLoadCounter {
    /** Short enough to follow a spike, long enough to average out the noise at some tens of messages per second. */
    private static final double WINDOW_MICROS = 1_000_000;

    private final Map<Integer, DecayingRate> demandByBand = new TreeMap<>();
    private final DecayingRate served = new DecayingRate(WINDOW_MICROS);
    private final DecayingRate rejected = new DecayingRate(WINDOW_MICROS);
    private double pendingMessages;

    void onDemand(long now, double priorityWeight) {
        demandByBand
                .computeIfAbsent(PriorityBands.bandOf(priorityWeight), band -> new DecayingRate(WINDOW_MICROS))
                .add(now, 1);
    }

    void onServed(long now) {
        served.add(now, 1);
    }

    void onRejected(long now) {
        rejected.add(now, 1);
    }

    void setPendingMessages(double messages) {
        pendingMessages = messages;
    }

    DestinationLoad load(long now) {
        double[] demand = new double[PriorityBands.COUNT];
        demandByBand.forEach((band, rate) -> demand[band] = rate.perSecond(now));
        return new DestinationLoad(demand, served.perSecond(now), rejected.perSecond(now), pendingMessages);
    }
}
