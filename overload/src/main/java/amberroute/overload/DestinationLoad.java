package amberroute.overload;

import java.util.Arrays;

/**
 * What one daemon, or all of them, have to do with one destination. Rates are messages a second. Immutable by convention: nobody changes the
 * array.
 *
 * @param demandByBand submitted, by priority band
 * @param servedPerSecond answered as delivered
 * @param rejectedPerSecond rejected there for want of capacity
 * @param pendingMessages that wait
 */
record DestinationLoad(
        double[] demandByBand, double servedPerSecond, double rejectedPerSecond, double pendingMessages) {
    static final DestinationLoad NONE = new DestinationLoad(new double[PriorityBands.COUNT], 0, 0, 0);

    double totalDemand() {
        return Arrays.stream(demandByBand).sum();
    }

    /** The sum of this and so many times the other. */
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

    /** The same with no value above so many times the other's. */
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
