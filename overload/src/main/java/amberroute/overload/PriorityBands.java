package amberroute.overload;

/**
 * Priority weights in bands of a quarter of a doubling: fine enough that classes which differ by a fifth stand apart, coarse enough that a
 * report of all of them is short. What weighs less than the first band counts as that, what weighs more as the last. Stateless.
 */
final class PriorityBands {
    /** Number of bands. */
    static final int COUNT = 64;

    private static final double BANDS_PER_DOUBLING = 4;
    /** In the middle. */
    private static final int BAND_OF_WEIGHT_ONE = COUNT / 2;
    /** Rounding must not put a weight below the lower bound of its own band. */
    private static final double ROUNDING_TOLERANCE = 1e-9;

    private PriorityBands() {}

    static int bandOf(double priorityWeight) {
        if (!(priorityWeight > 0)) {
            return 0;
        }
        double doublings = BANDS_PER_DOUBLING * Math.log(priorityWeight) / Math.log(2);
        int band = (int) Math.floor(doublings + ROUNDING_TOLERANCE) + BAND_OF_WEIGHT_ONE;
        return Math.max(0, Math.min(COUNT - 1, band));
    }

    /** The least weight of a band; of the first one 0, behind the last one infinite. */
    static double lowerBound(int band) {
        if (band <= 0) {
            return 0;
        }
        if (band >= COUNT) {
            return Double.POSITIVE_INFINITY;
        }
        return Math.pow(2, (band - BAND_OF_WEIGHT_ONE) / BANDS_PER_DOUBLING) * (1 - ROUNDING_TOLERANCE);
    }
}
