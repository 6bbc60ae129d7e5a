package amberroute.decisions.collections;

/**
 * A sum whose terms are each a constant and a part that fades at one rate common to all, so that the sum of those fades as a
 * whole: its value at any time costs one exponential, however many terms it has. Adding and taking away leaves errors of some
 * 1e-16 of the largest term each time; {@link #clear} and adding anew rids it of them.
 */
public final class DecayingSum {
    private final double span;
    private double constant;
    private double fading;
    private long at;

    /** {@code span}: the microseconds in which the fading parts fall to 1/e. */
    public DecayingSum(double span) {
        this.span = span;
    }

    /** Adds a term as of now, or takes one away by its negative; {@code now} never goes back. */
    public void add(long now, double steady, double faded) {
        if (now != at) {
            fading *= factor(at, now);
            at = now;
        }
        constant += steady;
        fading += faded;
    }

    public void clear() {
        constant = 0;
        fading = 0;
    }

    public double value(long now) {
        return constant + (fading == 0 ? 0 : fading * factor(at, now));
    }

    /** What is left at one time of what was there at another. */
    public double factor(long from, long to) {
        return Math.exp((from - to) / span);
    }
}
