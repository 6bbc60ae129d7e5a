package amberroute.quota;

/** An exponentially averaged rate; times in microseconds. Not thread-safe. */
public final class DecayingRate {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double windowMicros;
    private double sum;
    private long updatedAtMicros;

    /** Averages over about a window. */
    public DecayingRate(double windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** So many happened now. */
    public void add(long now, double count) {
        sum = sum * Math.exp((updatedAtMicros - now) / windowMicros) + count;
        updatedAtMicros = now;
    }

    /** How many happened a second, averaged over about a window. */
    public double perSecond(long now) {
        return sum * Math.exp((updatedAtMicros - now) / windowMicros) * MICROS_PER_SECOND / windowMicros;
    }
}
