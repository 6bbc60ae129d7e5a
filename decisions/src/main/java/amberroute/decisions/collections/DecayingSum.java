package amberroute.decisions.collections;

/**
 * A sum whose terms are each a constant and a part that decays at one rate common to all, so that the decaying parts decay as a
 * whole: its value at any time costs one exponential, however many terms it has. To add and subtract leaves errors of some 1e-16 of
 * the largest term each time, which a new sum of the same terms does not have. Times are microseconds. Not thread-safe.
 */
public final class DecayingSum {
    private final double timeConstantMicros;
    private double constant;
    private double decaying;
    private long updatedAt;

    /**
     * An empty sum.
     *
     * @param timeConstantMicros the span in which decaying parts fall to 1/e
     */
    public DecayingSum(double timeConstantMicros) {
        this.timeConstantMicros = timeConstantMicros;
    }

    /** Adds a term as of now, or subtracts one by its negative; {@code now} must not go back. */
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

    /** The sum at this time, which is not before the last change. */
    public double value(long now) {
        return constant + (decaying == 0 ? 0 : decaying * decayFactor(updatedAt, now));
    }

    /** What is left at one time of a decaying part of 1 at another. */
    public double decayFactor(long from, long to) {
        return Math.exp((from - to) / timeConstantMicros);
    }
}
