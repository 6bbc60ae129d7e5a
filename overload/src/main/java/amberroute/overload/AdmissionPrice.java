package amberroute.overload;

/**
 * What a call to a destination costs: what is worth less than {@code worth} is more than the destination can do; of what is worth
 * up to {@code upTo} it can do this {@code share}. {@code again} is when what was turned away had better come again, in
 * microseconds.
 */
public record AdmissionPrice(
        int destination, double priorityFloor, double priorityCeiling, double admittedFraction, long retryAfterMicros) {
    /** The more is asked above what can be done the later; at first when figures may be new, at last a few times that. */
    private static final double BASE_RETRY_AFTER_MICROS = 5e5;

    private static final double MAX_RETRY_AFTER_MULTIPLE = 4;

    static AdmissionPrice none(int destination) {
        return new AdmissionPrice(destination, 0, 0, 1, 0);
    }

    /** The worth at which demand from above fits what may be taken on a second. */
    static AdmissionPrice fromDemand(int destination, double[] demand, double room) {
        double above = 0;
        for (int step = demand.length - 1; step >= 0; step--) {
            if (above + demand[step] > room) {
                double asked = 0;
                for (double d : demand) {
                    asked += d;
                }
                return new AdmissionPrice(
                        destination,
                        PriorityBands.lowerBound(step),
                        PriorityBands.lowerBound(step + 1),
                        Math.max(0, (room - above) / demand[step]),
                        (long) (BASE_RETRY_AFTER_MICROS
                                * Math.max(1, Math.min(MAX_RETRY_AFTER_MULTIPLE, asked / Math.max(1e-3, room)))));
            }
            above += demand[step];
        }
        return none(destination);
    }

    /** Whether it is about as before, so that nobody need hear of it. */
    boolean isSimilarTo(AdmissionPrice other) {
        return priorityFloor == other.priorityFloor
                && Math.abs(admittedFraction - other.admittedFraction) < 0.03
                && Math.abs(retryAfterMicros - other.retryAfterMicros) < BASE_RETRY_AFTER_MICROS / 4;
    }
}
