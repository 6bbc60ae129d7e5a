package amberroute.decisions;

/**
 * When an upstream takes the next call, as all rules together permit it: Retry-After and backoff, the circuit breaker, the
 * concurrency cap, slow start and pace. It withholds an upstream from a selection and never changes the order of messages. Times
 * are microseconds on the caller's clock.
 */
final class UpstreamGate {
    private final CurrentSettings settings;
    private final RecoveryRamp recoveryRamp;
    private final RateLimiter rateLimiter;

    UpstreamGate(CurrentSettings settings, RecoveryRamp recoveryRamp, RateLimiter rateLimiter) {
        this.settings = settings;
        this.recoveryRamp = recoveryRamp;
        this.rateLimiter = rateLimiter;
    }

    /** From when a call may go out; NEVER if only an outcome can change that. */
    long nextCallAt(long now, UpstreamHealth health) {
        long permittedAt = Math.max(health.retryAfterUntil, health.backoffUntil);
        if (health.breaker == BreakerState.OPEN) {
            return health.trial != null ? Micros.NEVER : Math.max(permittedAt, health.nextTrialAt);
        }
        if (health.callsInFlight.size() >= maxCallsInFlight(now, health)) {
            return Micros.NEVER;
        }
        recoveryRamp.finishIfOver(now, health);
        if (health.breaker == BreakerState.SLOW_START) {
            permittedAt =
                    Math.max(permittedAt, Math.min(recoveryRamp.nextCallAt(now, health), recoveryRamp.endsAt(health)));
        }
        return Math.max(permittedAt, rateLimiter.nextCallAt(now, health));
    }

    /** When to ask again for an upstream that is closed until {@code at}: slow starts speed up and paces end. */
    long reevaluateAt(long closedUntil, UpstreamHealth health) {
        long reevaluateAt = health.breaker != BreakerState.SLOW_START || closedUntil == Micros.NEVER
                ? closedUntil
                : Math.min(closedUntil, recoveryRamp.nextCallAt(closedUntil, health));
        return health.breaker == BreakerState.OPEN
                ? reevaluateAt
                : Math.min(reevaluateAt, rateLimiter.paceExpiresAt(health));
    }

    /** One call for each endpoint until the first success, as all that waits behind a restart would else go out at once. */
    private int maxCallsInFlight(long now, UpstreamHealth health) {
        return health.usualLatencyMicros == 0 ? health.endpoints.size() : concurrencyCap(now, health);
    }

    /**
     * Latency-scaled cap on calls in flight: all slots at the usual latency, else their share usual over present latency, and
     * at least one. Cost of a latency that is too high: fewer calls to an upstream that could take more.
     */
    int concurrencyCap(long now, UpstreamHealth health) {
        int slots = settings.limits().maxConcurrentCalls();
        if (health.usualLatencyMicros == 0) {
            return slots;
        }
        double scaledSlots = slots
                * ServiceTimes.NORMAL_LATENCY_RATIO
                * health.usualLatencyMicros
                / health.presentLatencyMicros(now);
        return (int) Math.max(1, Math.min(slots, scaledSlots));
    }

    /** Counts a call that goes out: it is the trial of an open breaker, and uses up pace and slow start. */
    void recordCallStarted(long now, UpstreamHealth health, UpstreamCall call) {
        health.sentRate.add(now, 1);
        rateLimiter.recordCallStarted(now, health);
        if (health.breaker == BreakerState.OPEN) {
            health.trial = call;
        } else if (health.breaker == BreakerState.SLOW_START) {
            health.lastSlowStartCallAt = now;
        }
    }
}
