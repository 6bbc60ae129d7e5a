package amberroute.overload;

/**
 * Divides priority weights into logarithmic bands, four for each doubling: fine enough that classes whose weights differ by a fifth fall
 * into different bands, coarse enough that a report of all bands is short. Weights outside the range count to the first or last band.
 * Stateless.
 */
final class PriorityBands {
    /** Number of bands. */
    static final int COUNT = 64;

    private static final double BANDS_PER_DOUBLING = 4;
    /** The middle band, so that the range is symmetric on the logarithmic scale. */
    private static final int BAND_OF_WEIGHT_ONE = COUNT / 2;
    /** Keeps rounding errors from placing a weight below the lower bound of its own band. */
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

    /** The least weight of a band: 0 for the first one, infinite for an index past the last one. */
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
