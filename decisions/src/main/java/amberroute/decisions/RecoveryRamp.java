package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Rules;

/**
 * Slow start of an upstream that has recovered from an outage: its capacity grows evenly from a share to all of it within the
 * span that the rules name, and calls go out no faster than the rules permit for that capacity. Times are microseconds on the
 * caller's clock.
 *
 * <p>Cost of a former pace that is too high: the destination breaks down again. Cost of one that is too low: messages wait for up to
 * the span of the slow start.
 */
final class RecoveryRamp {
    /** Share of the permitted overload that is used: other senders may send more than their fair share. */
    private static final double PERMITTED_OVERLOAD_RATIO = 0.9;
    /**
     * Share of a reported limit that counts as former pace. The capacity is no less than the limit, so the rule's bound is a
     * third above this, which leaves room for the noise of reports and for trials.
     */
    private static final double REPORTED_LIMIT_RATIO = 0.75;

    private final CurrentSettings settings;

    RecoveryRamp(CurrentSettings settings) {
        this.settings = settings;
    }

    /** Begins the slow start of an upstream that has answered behind an outage. */
    static void start(long now, UpstreamHealth health) {
        health.slowStartBeganAt = now;
        health.lastSlowStartCallAt = now;
    }

    /** Closes the breaker of an upstream whose slow start is over. */
    void finishIfOver(long now, UpstreamHealth health) {
        if (health.breaker == BreakerState.SLOW_START
                && now - health.slowStartBeganAt >= settings.rules().slowStartMicros()) {
            health.breaker = BreakerState.CLOSED;
        }
    }

    /** When the next call of a slow start may go out, by the progress that it has at {@code progressAt}. */
    long nextCallAt(long progressAt, UpstreamHealth health) {
        return health.lastSlowStartCallAt
                + (long) (Micros.PER_SECOND / callsPerSecond(progress(progressAt, health), health));
    }

    /** When the slow start is over. */
    long endsAt(UpstreamHealth health) {
        return health.slowStartBeganAt + settings.rules().slowStartMicros();
    }

    /** Progress of the slow start from 0 to 1; 0 during an outage. */
    double progress(long now, UpstreamHealth health) {
        double durationMicros = settings.rules().slowStartMicros() + 1;
        return health.breaker == BreakerState.OPEN ? 0 : Math.min(1, (now - health.slowStartBeganAt) / durationMicros);
    }

    /** Calls a second that a slow start lets out: the former pace times what the rules allow at this progress. */
    double callsPerSecond(double progress, UpstreamHealth health) {
        Rules rules = settings.rules();
        double capacityRatio = rules.slowStartCapacity() + (1 - rules.slowStartCapacity()) * progress;
        double reportedPacePerSecond =
                Math.max(RateLimiter.MIN_FLEET_PACE_PER_SECOND, REPORTED_LIMIT_RATIO * health.reportedLimit)
                        / settings.get().senderCount();
        return PERMITTED_OVERLOAD_RATIO
                * rules.overloadMultiple()
                * capacityRatio
                * Math.max(health.callsPerSecondBeforeOutage, reportedPacePerSecond);
    }
}
