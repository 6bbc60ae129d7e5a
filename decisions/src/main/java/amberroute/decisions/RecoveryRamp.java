package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Rules;
import amberroute.decisions.UpstreamStateChange.Reason;

/**
 * Slow start of an upstream that has recovered from an outage. Its capacity grows linearly from a share to the whole within the
 * slow start period of the rules, and calls are sent no faster than the rules permit for that capacity. Times are microseconds on
 * the caller's clock.
 *
 * <p>If the rate before the outage is overestimated, the destination breaks down again. If it is underestimated, messages wait
 * for up to the whole slow start period.
 */
final class RecoveryRamp {
    /** Share of the permitted overload that is used; below 1, as other senders may send more than their fair share. */
    private static final double PERMITTED_OVERLOAD_RATIO = 0.9;
    /**
     * Share of a reported limit that counts as the rate before the outage. The capacity is at least the limit, so the bound of
     * the rule is a third above this, which leaves room for noise in the reports and for trials.
     */
    private static final double REPORTED_LIMIT_RATIO = 0.75;

    private final CurrentSettings settings;
    private final UpstreamStates states;

    RecoveryRamp(CurrentSettings settings, UpstreamStates states) {
        this.settings = settings;
        this.states = states;
    }

    /** Begins the slow start of an upstream that has answered after an outage. */
    static void start(long now, UpstreamHealth health) {
        health.slowStartBeganAt = now;
        health.lastSlowStartCallAt = now;
    }

    /** Closes the breaker if the slow start is over. */
    void finishIfOver(long now, UpstreamHealth health) {
        if (health.breaker == BreakerState.SLOW_START
                && now - health.slowStartBeganAt >= settings.rules().slowStartMicros()) {
            states.change(now, health, BreakerState.CLOSED, Reason.SLOW_START_OVER, callsPerSecond(0, health));
        }
    }

    /** Returns when the next call of a slow start may be sent, at the pace that it has reached by {@code progressAt}. */
    long nextCallAt(long progressAt, UpstreamHealth health) {
        return health.lastSlowStartCallAt
                + (long) (Micros.PER_SECOND / callsPerSecond(progress(progressAt, health), health));
    }

    /** Returns when the slow start is over. */
    long endsAt(UpstreamHealth health) {
        return health.slowStartBeganAt + settings.rules().slowStartMicros();
    }

    /** Returns the progress of the slow start from 0 to 1; 0 during an outage. */
    double progress(long now, UpstreamHealth health) {
        double durationMicros = settings.rules().slowStartMicros() + 1;
        return health.breaker == BreakerState.OPEN ? 0 : Math.min(1, (now - health.slowStartBeganAt) / durationMicros);
    }

    /** Returns the calls per second of a slow start: the rate before the outage times the permitted load at this progress. */
    double callsPerSecond(double progress, UpstreamHealth health) {
        Rules rules = settings.rules();
        double capacityRatio = rules.slowStartCapacity() + (1 - rules.slowStartCapacity()) * progress;
        double reportedPacePerSecond =
                Math.max(RateLimiter.MIN_FLEET_PACE_PER_SECOND, REPORTED_LIMIT_RATIO * health.reportedLimit)
                        / settings.get().senderCount();
        return PERMITTED_OVERLOAD_RATIO
                * rules.overloadMultiple()
                * capacityRatio
                * Math.max(health.servedPerSecondBeforeOutage, reportedPacePerSecond);
    }
}
