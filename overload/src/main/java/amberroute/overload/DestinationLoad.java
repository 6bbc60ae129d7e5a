package amberroute.overload;

import java.util.Arrays;

/**
 * What one sender, or all of them, have to do with one destination: messages a second that were asked for, by the step of their
 * worth, that were answered and that were refused for want of room there; and how many wait.
 */
record DestinationLoad(double[] demand, double served, double full, double waiting) {
    static final DestinationLoad NONE = new DestinationLoad(new double[PriorityBands.STEPS], 0, 0, 0);

    double asked() {
        return Arrays.stream(demand).sum();
    }

    DestinationLoad plus(DestinationLoad other, double times) {
        double[] sum = demand.clone();
        for (int i = 0; i < sum.length; i++) {
            sum[i] += times * other.demand[i];
        }
        return new DestinationLoad(
                sum, served + times * other.served, full + times * other.full, waiting + times * other.waiting);
    }

    /** The same with no figure above so many times these. */
    DestinationLoad within(DestinationLoad most, double times) {
        double[] cut = demand.clone();
        double asked = asked();
        double share = asked > 0 ? Math.min(1, times * most.asked() / asked) : 1;
        for (int i = 0; i < cut.length; i++) {
            cut[i] *= share;
        }
        return new DestinationLoad(
                cut,
                Math.min(served, times * most.served),
                Math.min(full, times * most.full),
                Math.min(waiting, times * most.waiting));
    }
}
