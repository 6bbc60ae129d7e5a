package amberroute.decisions;

/**
 * Decides when an upstream may get its next call. It combines Retry-After and backoff, the circuit breaker, the concurrency cap,
 * the slow start and the rate limit. It excludes upstreams from a selection but never changes the order of messages. Times are
 * microseconds on the caller's clock.
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

    /** Returns the time from which a call may be sent, NEVER if that depends on an outcome that is still to come. */
    long nextCallAt(long now, UpstreamHealth health) {
        if (health.breaker == BreakerState.OPEN) {
            return health.trial != null ? Micros.NEVER : Math.max(health.retryAfterUntil, health.nextTrialAt);
        }
        long permittedAt = Math.max(health.retryAfterUntil, health.backoffUntil);
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

    /**
     * Returns when to evaluate an upstream again that takes no calls until {@code closedUntil}. This may be earlier, as a slow
     * start speeds up and a pace expires.
     */
    long reevaluateAt(long closedUntil, UpstreamHealth health) {
        long reevaluateAt = health.breaker != BreakerState.SLOW_START || closedUntil == Micros.NEVER
                ? closedUntil
                : Math.min(closedUntil, recoveryRamp.nextCallAt(closedUntil, health));
        return health.breaker == BreakerState.OPEN
                ? reevaluateAt
                : Math.min(reevaluateAt, rateLimiter.paceExpiresAt(health));
    }

    /**
     * One call for each endpoint until the first success; otherwise all pending messages would be sent at once after a restart.
     * Only one in all if calls were rejected, as endpoints that share a limit are also shut together.
     */
    private int maxCallsInFlight(long now, UpstreamHealth health) {
        if (health.usualLatencyMicros > 0) {
            return concurrencyCap(now, health);
        }
        return health.rejections > 0 ? 1 : health.endpoints.size();
    }

    /**
     * Returns the cap on calls in flight: all slots at up to twice the usual latency, fewer in proportion above that, and at
     * least one. Cost of a latency that is overestimated: fewer calls to an upstream that could take more.
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

    /** Records a call that is being sent: it is the trial of an open breaker, and counts for the pace and the slow start. */
    void recordCallStarted(long now, UpstreamHealth health, UpstreamCall call) {
        health.sentRate.add(now, 1);
        health.callsInState.recordStart();
        rateLimiter.recordCallStarted(now, health);
        if (health.breaker == BreakerState.OPEN) {
            health.trial = call;
        } else if (health.breaker == BreakerState.SLOW_START) {
            health.lastSlowStartCallAt = now;
        }
    }
}
