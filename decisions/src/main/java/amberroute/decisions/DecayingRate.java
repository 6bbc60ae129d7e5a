package amberroute.decisions;

/** An exponentially averaged rate of events. Times are microseconds on the caller's clock. */
final class DecayingRate {

    private final double timeConstantMicros;
    private double sum;
    private long updatedAt;

    /**
     * Creates a rate of 0.
     *
     * @param timeConstantMicros the time in which the weight of an event falls to 1/e
     */
    DecayingRate(double timeConstantMicros) {
        this.timeConstantMicros = timeConstantMicros;
    }

    void add(long now, double events) {
        sum = sum * Math.exp((updatedAt - now) / timeConstantMicros) + events;
        updatedAt = now;
    }

    /** Adds the events that a constant rate of {@code perSecond} would have left. */
    void addConstantRate(long now, double perSecond) {
        add(now, perSecond * timeConstantMicros / Micros.PER_SECOND);
    }

    double perSecond(long now) {
        return sum * Math.exp((updatedAt - now) / timeConstantMicros) * Micros.PER_SECOND / timeConstantMicros;
    }

    /** Returns the rate immediately after the last event. */
    double perSecondAtLastEvent() {
        return sum * Micros.PER_SECOND / timeConstantMicros;
    }
}
