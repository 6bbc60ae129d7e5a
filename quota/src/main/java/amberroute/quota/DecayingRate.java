package amberroute.quota;

/** An exponentially averaged rate; times in microseconds. */
public final class DecayingRate {
    private final double span;
    private double sum;
    private long at;

    public DecayingRate(double span) {
        this.span = span;
    }

    public void add(long now, double n) {
        sum = sum * Math.exp((at - now) / span) + n;
        at = now;
    }

    /** How many a second, averaged over about a span. */
    public double perSecond(long now) {
        return sum * Math.exp((at - now) / span) * 1e6 / span;
    }
}
