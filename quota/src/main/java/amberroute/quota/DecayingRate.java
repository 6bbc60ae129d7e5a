package amberroute.quota;

/** An exponentially decaying average of an event rate. Times are in microseconds. Not thread-safe. */
public final class DecayingRate {
    private static final double MICROS_PER_SECOND = 1e6;

    private final double windowMicros;
    private double sum;
    private long updatedAtMicros;

    /** Creates a rate of zero. {@code windowMicros} is the time constant of the decay. */
    public DecayingRate(double windowMicros) {
        this.windowMicros = windowMicros;
    }

    /** Counts {@code count} events at {@code now}. */
    public void add(long now, double count) {
        sum = sum * Math.exp((updatedAtMicros - now) / windowMicros) + count;
        updatedAtMicros = now;
    }

    /** Returns the average number of events per second over about one window. */
    public double perSecond(long now) {
        return sum * Math.exp((updatedAtMicros - now) / windowMicros) * MICROS_PER_SECOND / windowMicros;
    }
}
