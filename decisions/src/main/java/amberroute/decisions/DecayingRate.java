package amberroute.decisions;

/** An exponentially averaged rate of events. Times are microseconds on the caller's clock. */
final class DecayingRate {

    private final double spanMicros;
    private double sum;
    private long updatedAt;

    /**
     * A rate of 0.
     *
     * @param spanMicros the time in which the weight of an event falls to 1/e
     */
    DecayingRate(double spanMicros) {
        this.spanMicros = spanMicros;
    }

    void add(long now, double events) {
        sum = sum * Math.exp((updatedAt - now) / spanMicros) + events;
        updatedAt = now;
    }

    /** Adds as many events as a constant rate of {@code perSecond} would have left. */
    void addConstantRate(long now, double perSecond) {
        add(now, perSecond * spanMicros / Micros.PER_SECOND);
    }

    double perSecond(long now) {
        return sum * Math.exp((updatedAt - now) / spanMicros) * Micros.PER_SECOND / spanMicros;
    }

    /** The rate right behind the last event. */
    double perSecondAtLastEvent() {
        return sum * Micros.PER_SECOND / spanMicros;
    }
}
