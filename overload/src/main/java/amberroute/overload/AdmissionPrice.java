package amberroute.overload;

/**
 * The priority weight that a message needs to be admitted to a destination. Messages below {@code priorityFloor} are rejected; of those from
 * there up to {@code priorityCeiling} a fraction is admitted. Immutable.
 *
 * @param priorityFloor least priority weight that is admitted
 * @param priorityCeiling priority weight from which all messages are admitted
 * @param admittedFraction admitted part of the messages between both
 * @param retryAfterMicros time after which a client should submit a rejected message again
 */
public record AdmissionPrice(
        int destination, double priorityFloor, double priorityCeiling, double admittedFraction, long retryAfterMicros) {
    /** Time for newer reports to arrive. Scaled by demand over capacity, up to {@link #MAX_RETRY_AFTER_MULTIPLE}. */
    private static final double BASE_RETRY_AFTER_MICROS = 5e5;

    private static final double MAX_RETRY_AFTER_MULTIPLE = 4;
    private static final double MIN_CAPACITY_PER_SECOND = 1e-3;
    /** Smaller changes of the admitted fraction are not reported. */
    private static final double MIN_FRACTION_CHANGE = 0.03;

    private static final double MIN_RETRY_AFTER_CHANGE_MICROS = BASE_RETRY_AFTER_MICROS / 4;

    static AdmissionPrice none(int destination) {
        return new AdmissionPrice(destination, 0, 0, 1, 0);
    }

    /** The price at which the admitted demand fits {@code capacityPerSecond}; the highest weights are admitted first. */
    static AdmissionPrice fromDemand(int destination, double[] demandByBand, double capacityPerSecond) {
        double demandAbove = 0;
        for (int band = demandByBand.length - 1; band >= 0; band--) {
            if (demandAbove + demandByBand[band] > capacityPerSecond) {
                double totalDemand = 0;
                for (double demand : demandByBand) {
                    totalDemand += demand;
                }
                return new AdmissionPrice(
                        destination,
                        PriorityBands.lowerBound(band),
                        PriorityBands.lowerBound(band + 1),
                        Math.max(0, (capacityPerSecond - demandAbove) / demandByBand[band]),
                        retryAfterMicros(totalDemand, capacityPerSecond));
            }
            demandAbove += demandByBand[band];
        }
        return none(destination);
    }

    private static long retryAfterMicros(double totalDemand, double capacityPerSecond) {
        double multiple = totalDemand / Math.max(MIN_CAPACITY_PER_SECOND, capacityPerSecond);
        return (long) (BASE_RETRY_AFTER_MICROS * Math.max(1, Math.min(MAX_RETRY_AFTER_MULTIPLE, multiple)));
    }

    /** Whether the difference to the other price is too small to be reported. */
    boolean isSimilarTo(AdmissionPrice other) {
        return priorityFloor == other.priorityFloor
                && Math.abs(admittedFraction - other.admittedFraction) < MIN_FRACTION_CHANGE
                && Math.abs(retryAfterMicros - other.retryAfterMicros) < MIN_RETRY_AFTER_CHANGE_MICROS;
    }
}
