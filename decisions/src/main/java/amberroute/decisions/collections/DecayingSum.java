package amberroute.decisions.collections;

/**
 * A sum whose terms are each a constant and a part that decays at one rate common to all, so that the decaying parts decay as a
 * whole: its value at any time costs one exponential, however many terms it has. To add and subtract leaves errors of some 1e-16 of
 * the largest term each time, which a new sum of the same terms does not have. Times are microseconds. Not thread-safe.
 */
public final class DecayingSum {
    private final double spanMicros;
    private double constant;
    private double decaying;
    private long updatedAt;

    /**
     * An empty sum.
     *
     * @param spanMicros the span in which decaying parts fall to 1/e
     */
    public DecayingSum(double spanMicros) {
        this.spanMicros = spanMicros;
    }

    /** Adds a term as of now, or subtracts one by its negative; {@code now} must not go back. */
    public void add(long now, double constantPart, double decayingPart) {
        if (now != updatedAt) {
            decaying *= factor(updatedAt, now);
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

    /** The sum at this time, which is not before the last change. */
    public double value(long now) {
        return constant + (decaying == 0 ? 0 : decaying * factor(updatedAt, now));
    }

    /** What is left at one time of a decaying part of 1 at another. */
    public double factor(long from, long to) {
        return Math.exp((from - to) / spanMicros);
    }
}
