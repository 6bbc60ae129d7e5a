package amberroute.overload;

/**
 * Worth in steps of a quarter of a doubling: fine enough that classes which differ by a fifth stand apart, coarse enough that a
 * summary of all of them is short. What is worth less than the first step counts as that, what is worth more as the last.
 */
final class PriorityBands {
    static final int STEPS = 64;
    private static final double A_DOUBLING = 4;
    /** The step of a worth of 1, in the middle. */
    private static final int ONE = STEPS / 2;

    private PriorityBands() {}

    static int step(double worth) {
        if (!(worth > 0)) {
            return 0;
        }
        // Rounding must not put a worth below the floor of its own step.
        int step = (int) Math.floor(A_DOUBLING * Math.log(worth) / Math.log(2) + 1e-9) + ONE;
        return Math.max(0, Math.min(STEPS - 1, step));
    }

    /** The least worth of a step; of the first one 0. */
    static double floor(int step) {
        return step <= 0
                ? 0
                : step >= STEPS ? Double.POSITIVE_INFINITY : Math.pow(2, (step - ONE) / A_DOUBLING) * (1 - 1e-9);
    }
}
