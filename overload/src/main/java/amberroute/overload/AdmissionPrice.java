package amberroute.overload;

/**
 * What it takes to be admitted to a destination. Messages below {@code priorityFloor} are more than the destination can take; of those up to
 * {@code priorityCeiling} it can take a fraction. Immutable.
 *
 * @param priorityFloor least priority weight that is admitted at all
 * @param priorityCeiling priority weight from which all are admitted
 * @param admittedFraction of the messages between both
 * @param retryAfterMicros when a rejected message had better come again
 */
public record AdmissionPrice(
        int destination, double priorityFloor, double priorityCeiling, double admittedFraction, long retryAfterMicros) {
    /** Reports may be newer then; the more demand exceeds capacity the later, up to a few times that. */
    private static final double BASE_RETRY_AFTER_MICROS = 5e5;

    private static final double MAX_RETRY_AFTER_MULTIPLE = 4;
    private static final double MIN_CAPACITY_PER_SECOND = 1e-3;
    /** Changes of less need not be passed on. */
    private static final double MIN_FRACTION_CHANGE = 0.03;

    private static final double MIN_RETRY_AFTER_CHANGE_MICROS = BASE_RETRY_AFTER_MICROS / 4;

    static AdmissionPrice none(int destination) {
        return new AdmissionPrice(destination, 0, 0, 1, 0);
    }

    /** The weight at which demand from above fits what may be admitted a second. */
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

    /** Whether it is about as before, so that nobody need hear of it. */
    boolean isSimilarTo(AdmissionPrice other) {
        return priorityFloor == other.priorityFloor
                && Math.abs(admittedFraction - other.admittedFraction) < MIN_FRACTION_CHANGE
                && Math.abs(retryAfterMicros - other.retryAfterMicros) < MIN_RETRY_AFTER_CHANGE_MICROS;
    }
}
