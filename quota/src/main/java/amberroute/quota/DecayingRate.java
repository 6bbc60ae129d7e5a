package amberroute.quota;

/** An exponentially averaged rate; times in microseconds. */
public final class DecayingRate {
    private final double windowMicros;
    private double sum;
    private long atMicros;

    public DecayingRate(double span) {
        this.windowMicros = span;
    }

    public void add(long now, double n) {
        sum = sum * Math.exp((atMicros - now) / windowMicros) + n;
        atMicros = now;
    }

    /** How many a second, averaged over about a span. */
    public double perSecond(long now) {
        return sum * Math.exp((atMicros - now) / windowMicros) * 1e6 / windowMicros;
    }
}
