package amberroute.decisions.collections;

/**
 * A sum whose terms each have a constant part and a part that decays exponentially. All decaying parts have the same time
 * constant and decay as one, so the value at any time costs one exponential, however many terms there are. Rounding errors
 * accumulate, about 1e-16 of the largest term for each addition or subtraction; to remove them, build a new sum of the current
 * terms. Times are
 * microseconds. Not thread-safe.
 */
public final class DecayingSum {
    private final double timeConstantMicros;
    private double constant;
    private double decaying;
    private long updatedAt;

    /**
     * Creates an empty sum.
     *
     * @param timeConstantMicros time in which decaying parts fall to 1/e
     */
    public DecayingSum(double timeConstantMicros) {
        this.timeConstantMicros = timeConstantMicros;
    }

    /** Adds a term as of now, or subtracts one if its parts are negative; {@code now} must not go backwards. */
    public void add(long now, double constantPart, double decayingPart) {
        if (now != updatedAt) {
            decaying *= decayFactor(updatedAt, now);
            updatedAt = now;
        }
        constant += constantPart;
        decaying += decayingPart;
    }

    /** Removes all terms. */
    public void clear() {
        constant = 0;
        decaying = 0;
    }

    /** Returns the sum at this time, which must not be before the last change. */
    public double value(long now) {
        return constant + (decaying == 0 ? 0 : decaying * decayFactor(updatedAt, now));
    }

    /** Returns what is left at {@code to} of a decaying part of 1 at {@code from}. */
    public double decayFactor(long from, long to) {
        return Math.exp((from - to) / timeConstantMicros);
    }
}
