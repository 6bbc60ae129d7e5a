package amberroute.overload;

/**
 * Worth in steps of a quarter of a doubling: fine enough that classes which differ by a fifth stand apart, coarse enough that a
 * summary of all of them is short. What is worth less than the first step counts as that, what is worth more as the last.
 */
final class PriorityBands {
    static final int COUNT = 64;
    private static final double BANDS_PER_DOUBLING = 4;
    /** The step of a worth of 1, in the middle. */
    private static final int BAND_OF_WEIGHT_ONE = COUNT / 2;

    private PriorityBands() {}

    static int bandOf(double worth) {
        if (!(worth > 0)) {
            return 0;
        }
        // Rounding must not put a worth below the floor of its own step.
        int step = (int) Math.floor(BANDS_PER_DOUBLING * Math.log(worth) / Math.log(2) + 1e-9) + BAND_OF_WEIGHT_ONE;
        return Math.max(0, Math.min(COUNT - 1, step));
    }

    /** The least worth of a step; of the first one 0. */
    static double lowerBound(int step) {
        return step <= 0
                ? 0
                : step >= COUNT
                        ? Double.POSITIVE_INFINITY
                        : Math.pow(2, (step - BAND_OF_WEIGHT_ONE) / BANDS_PER_DOUBLING) * (1 - 1e-9);
    }
}
