package amberroute.overload;

import java.util.Arrays;

/**
 * The load of one sender, or of the whole fleet, for one destination. Rates are messages per second. Immutable by convention: the array must
 * not be modified.
 *
 * @param demandByBand messages submitted per second, by priority band
 * @param servedPerSecond messages delivered per second
 * @param rejectedPerSecond messages that the destination rejected per second for lack of capacity
 * @param pendingMessages accepted messages that are not yet delivered
 */
record DestinationLoad(
        double[] demandByBand, double servedPerSecond, double rejectedPerSecond, double pendingMessages) {
    static final DestinationLoad NONE = new DestinationLoad(new double[PriorityBands.COUNT], 0, 0, 0);

    double totalDemand() {
        return Arrays.stream(demandByBand).sum();
    }

    /** Returns this load plus {@code factor} times the other. */
    DestinationLoad plusScaled(DestinationLoad other, double factor) {
        double[] sum = demandByBand.clone();
        for (int band = 0; band < sum.length; band++) {
            sum[band] += factor * other.demandByBand[band];
        }
        return new DestinationLoad(
                sum,
                servedPerSecond + factor * other.servedPerSecond,
                rejectedPerSecond + factor * other.rejectedPerSecond,
                pendingMessages + factor * other.pendingMessages);
    }

    /** Returns this load with the total demand and each other value capped at {@code factor} times that of {@code cap}. */
    DestinationLoad cappedAt(DestinationLoad cap, double factor) {
        double[] capped = demandByBand.clone();
        double demand = totalDemand();
        double fraction = demand > 0 ? Math.min(1, factor * cap.totalDemand() / demand) : 1;
        for (int band = 0; band < capped.length; band++) {
            capped[band] *= fraction;
        }
        return new DestinationLoad(
                capped,
                Math.min(servedPerSecond, factor * cap.servedPerSecond),
                Math.min(rejectedPerSecond, factor * cap.rejectedPerSecond),
                Math.min(pendingMessages, factor * cap.pendingMessages));
    }
}
