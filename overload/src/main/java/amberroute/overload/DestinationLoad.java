package amberroute.overload;

import java.util.Arrays;

/**
 * What one sender, or all of them, have to do with one destination: messages a second that were asked for, by the step of their
 * worth, that were answered and that were refused for want of room there; and how many wait.
 */
record DestinationLoad(
        double[] demandByBand, double servedPerSecond, double rejectedPerSecond, double pendingMessages) {
    static final DestinationLoad NONE = new DestinationLoad(new double[PriorityBands.COUNT], 0, 0, 0);

    double totalDemand() {
        return Arrays.stream(demandByBand).sum();
    }

    DestinationLoad plusScaled(DestinationLoad other, double times) {
        double[] sum = demandByBand.clone();
        for (int i = 0; i < sum.length; i++) {
            sum[i] += times * other.demandByBand[i];
        }
        return new DestinationLoad(
                sum,
                servedPerSecond + times * other.servedPerSecond,
                rejectedPerSecond + times * other.rejectedPerSecond,
                pendingMessages + times * other.pendingMessages);
    }

    /** The same with no figure above so many times these. */
    DestinationLoad cappedAt(DestinationLoad most, double times) {
        double[] cut = demandByBand.clone();
        double asked = totalDemand();
        double share = asked > 0 ? Math.min(1, times * most.totalDemand() / asked) : 1;
        for (int i = 0; i < cut.length; i++) {
            cut[i] *= share;
        }
        return new DestinationLoad(
                cut,
                Math.min(servedPerSecond, times * most.servedPerSecond),
                Math.min(rejectedPerSecond, times * most.rejectedPerSecond),
                Math.min(pendingMessages, times * most.pendingMessages));
    }
}
