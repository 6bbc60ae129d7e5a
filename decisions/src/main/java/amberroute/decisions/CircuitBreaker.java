package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;
import amberroute.decisions.UpstreamStateChange.Reason;

/**
 * Opens after failures, permits one half-open trial at a time, and begins a slow start with the first success. Times are
 * microseconds on the caller's clock.
 *
 * <p>An upstream has failed when each of its listed endpoints has failed, with at least two failed calls in total. A single
 * degraded endpoint is avoided while its siblings answer. If there is no recent success, one failure is enough, as the second
 * one could come only after the outage. Cost of a false positive: calls wait for one trial. With many endpoints an outage is
 * detected later.
 *
 * <p>A rejection proves that the upstream runs, but an upstream that is shut rejects every call, whereas a rate limit lets some
 * through. See {@link #mayBeShut}. Cost of a false positive: calls to a busy upstream wait for one trial.
 */
final class CircuitBreaker {
    /** Consecutive failures that open the breaker; a single failure may be coincidence. */
    static final int FAILURES_TO_OPEN = 2;
    /** Shortest outage. Successes closer together count as uninterrupted service; a longer Retry-After counts as an outage. */
    static final long MIN_OUTAGE_MICROS = 2_500_000;
    /** Age, as a share of the longest deadline, above which a success is no evidence that the upstream is healthy. */
    private static final double STALE_SUCCESS_DEADLINE_RATIO = 0.5;

    private final CurrentSettings settings;
    private final TrialSchedule trials;
    private final RecoveryRamp recoveryRamp;
    private final DispatchCandidates candidates;
    private final UpstreamStates states;

    CircuitBreaker(
            CurrentSettings settings,
            TrialSchedule trials,
            RecoveryRamp recoveryRamp,
            DispatchCandidates candidates,
            UpstreamStates states) {
        this.settings = settings;
        this.trials = trials;
        this.recoveryRamp = recoveryRamp;
        this.candidates = candidates;
        this.states = states;
    }

    /**
     * Returns whether an endpoint counts as avoided: its breaker is open, or it has at least {@link #FAILURES_TO_OPEN}
     * consecutive failures and silent calls. While the breaker is not open, such an endpoint only costs more in the selection.
     */
    static boolean avoids(Endpoint endpoint) {
        return endpoint.health.breaker == BreakerState.OPEN
                || endpoint.consecutiveFailures + endpoint.silentCalls >= FAILURES_TO_OPEN;
    }

    /** Records a failure of an endpoint; opens the breaker if the call was a trial or the upstream has failed. */
    void recordFailure(long now, UpstreamCall call, AttemptOutcome outcome, boolean wasTrial) {
        Endpoint endpoint = call.endpoint;
        endpoint.failureRatio += UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * (1 - endpoint.failureRatio);
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            endpoint.openConnections = 0;
        }
        endpoint.consecutiveFailures++;
        if (wasTrial) {
            open(now, endpoint.health, Reason.FAILURES);
        } else {
            openIfFailed(now, endpoint.health);
        }
    }

    /** Records a success; an outage ends in a slow start, or at once if it was a false alarm. A slow start goes on behind one. */
    void recordSuccess(long now, UpstreamCall call) {
        Endpoint endpoint = call.endpoint;
        endpoint.failureRatio *= 1 - UpstreamHealth.RECENT_CALL_WEIGHT_RATIO;
        endpoint.consecutiveFailures = 0;
        endpoint.lastSuccessAt = now;
        UpstreamHealth health = endpoint.health;
        boolean falseAlarm = now - health.lastSuccessAt < MIN_OUTAGE_MICROS;
        if (health.breaker == BreakerState.OPEN) {
            endOutage(now, health, falseAlarm);
        }
        health.lastSuccessAt = now;
    }

    private void endOutage(long now, UpstreamHealth health, boolean falseAlarm) {
        boolean slowStartGoesOn = falseAlarm && health.openedInSlowStart;
        BreakerState next = falseAlarm && !slowStartGoesOn ? BreakerState.CLOSED : BreakerState.SLOW_START;
        Reason reason = falseAlarm ? Reason.FALSE_ALARM : Reason.ANSWERED;
        states.change(now, health, next, reason, recoveryRamp.callsPerSecond(0, health));
        if (!slowStartGoesOn) {
            RecoveryRamp.start(now, health);
        }
        health.lastSlowStartCallAt = now;
    }

    /**
     * Opens the breaker after a rejected call if that was a trial, or if the upstream seems to be shut rather than busy. Returns
     * false if the rejection leaves the breaker as it was.
     */
    boolean recordRejection(long now, UpstreamHealth health, AttemptCompleted event, boolean wasTrial) {
        boolean longWait = event.retryAfterMicros() > MIN_OUTAGE_MICROS;
        boolean opens = wasTrial || health.breaker != BreakerState.OPEN && (longWait || mayBeShut(now, health, event));
        if (opens) {
            open(now, health, longWait ? Reason.LONG_RETRY_AFTER : Reason.REJECTIONS);
        }
        return opens;
    }

    /**
     * Returns whether a rejection may be one of a shut upstream, because no recent success shows that it is only busy. It is none
     * where the upstream has too many connections, as its calls may succeed.
     */
    private boolean mayBeShut(long now, UpstreamHealth health, AttemptCompleted event) {
        return !health.connectionLimitReached(event, settings.get().reportFields())
                && now - health.lastSuccessAt >= MIN_OUTAGE_MICROS;
    }

    /** Opens the breaker if the upstream has failed and the breaker is not open yet. */
    void openIfFailed(long now, UpstreamHealth health) {
        if (health.breaker != BreakerState.OPEN && hasFailed(now, health)) {
            open(now, health, Reason.FAILURES);
        }
    }

    private boolean hasFailed(long now, UpstreamHealth health) {
        int failures = 0;
        for (Endpoint endpoint : health.endpoints) {
            int endpointFailures = endpoint.consecutiveFailures + endpoint.silentCalls;
            if (endpointFailures == 0 && endpoint.isReady()) {
                return false;
            }
            failures += endpointFailures;
        }
        return failures >= FAILURES_TO_OPEN
                || failures > 0
                        && now - health.lastSuccessAt > STALE_SUCCESS_DEADLINE_RATIO * settings.longestDeadlineMicros();
    }

    /** Opens the breaker, or keeps it open after a failed trial, and schedules the next trial. */
    private void open(long now, UpstreamHealth health, Reason reason) {
        for (Endpoint endpoint : health.endpoints) {
            candidates.wake(endpoint.destination);
        }
        if (health.breaker == BreakerState.CLOSED) {
            health.servedPerSecondBeforeOutage = health.servedRate.perSecondAtLastEvent();
        }
        if (health.breaker != BreakerState.OPEN) {
            health.openedInSlowStart = health.breaker == BreakerState.SLOW_START;
            health.openedAt = now;
            health.trial = null;
            states.change(now, health, BreakerState.OPEN, reason, recoveryRamp.callsPerSecond(0, health));
        }
        // From here on the trials have a time of their own.
        health.backoffUntil = now;
        trials.scheduleAfterFailure(now, health);
    }
}
