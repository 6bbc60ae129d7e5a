package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Opens behind failures, lets half-open trials out one at a time, and ends in a slow start with the first success. Times are
 * microseconds on the caller's clock.
 *
 * <p>An upstream has failed when each of its listed endpoints has, in two calls together: one degraded endpoint is passed over
 * while its siblings answer. Where no success is recent one failure suffices, as the second would come after the outage. Cost
 * of a false positive: calls wait for one trial. Cost of many endpoints: an outage is noticed later.
 */
final class CircuitBreaker {
    /** Failures in a row that open the breaker: a single one may be chance. */
    static final int FAILURES_TO_OPEN = 2;
    /** Shortest outage: successes closer together count as uninterrupted, a longer Retry-After counts as an outage. */
    static final long MIN_OUTAGE_MICROS = 2_500_000;
    /** A success no longer shows that an upstream is healthy after this share of the longest deadline. */
    private static final double STALE_SUCCESS_DEADLINE_RATIO = 0.5;
    /** The longest time between trials, for each sender. */
    private static final long MAX_TRIAL_INTERVAL_MICROS = 700_000;
    /** Trials come no further apart than so many calls at the first pace of a slow start. */
    private static final double MAX_TRIAL_INTERVAL_CALLS = 1.5;

    private final CurrentSettings settings;
    private final Backoff backoff;
    private final RecoveryRamp recoveryRamp;
    private final DispatchCandidates candidates;
    /** Upstreams whose breaker has changed since the last decision. */
    private final Set<UpstreamHealth> changedUpstreams = new LinkedHashSet<>();

    CircuitBreaker(
            CurrentSettings settings, Backoff backoff, RecoveryRamp recoveryRamp, DispatchCandidates candidates) {
        this.settings = settings;
        this.backoff = backoff;
        this.recoveryRamp = recoveryRamp;
        this.candidates = candidates;
    }

    /** Whether an endpoint gets no ordinary messages now. */
    static boolean avoids(Endpoint endpoint) {
        return endpoint.health.breaker == BreakerState.OPEN
                || endpoint.consecutiveFailures + endpoint.silentCalls >= FAILURES_TO_OPEN;
    }

    /** Counts a failure against an endpoint, and opens the breaker if that is enough or ends a trial. */
    void recordFailure(long now, UpstreamCall call, AttemptOutcome outcome, boolean wasTrial) {
        Endpoint endpoint = call.endpoint;
        endpoint.failureRatio += UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * (1 - endpoint.failureRatio);
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            endpoint.openConnections = 0;
        }
        endpoint.consecutiveFailures++;
        if (wasTrial) {
            open(now, endpoint.health);
        } else {
            openIfFailed(now, endpoint.health);
        }
    }

    /** Counts a success, and ends an outage in a slow start unless it was a false alarm. */
    void recordSuccess(long now, UpstreamCall call) {
        Endpoint endpoint = call.endpoint;
        endpoint.failureRatio *= 1 - UpstreamHealth.RECENT_CALL_WEIGHT_RATIO;
        endpoint.consecutiveFailures = 0;
        endpoint.lastSuccessAt = now;
        UpstreamHealth health = endpoint.health;
        boolean falseAlarm = now - health.lastSuccessAt < MIN_OUTAGE_MICROS;
        health.lastSuccessAt = now;
        health.failedTrials = 0;
        if (health.breaker == BreakerState.OPEN) {
            health.breaker = falseAlarm ? BreakerState.CLOSED : BreakerState.SLOW_START;
            changedUpstreams.add(health);
            RecoveryRamp.start(now, health);
        }
    }

    /** Opens a breaker that is not open if its upstream has failed. */
    void openIfFailed(long now, UpstreamHealth health) {
        if (health.breaker != BreakerState.OPEN && hasFailed(now, health)) {
            open(now, health);
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

    /** Opens the breaker, or keeps it open behind a failed trial, and sets the time of the next trial. */
    void open(long now, UpstreamHealth health) {
        for (Endpoint endpoint : health.endpoints) {
            candidates.wake(endpoint.destination);
        }
        if (health.breaker == BreakerState.CLOSED) {
            health.callsPerSecondBeforeOutage = health.servedRate.perSecondAtLastEvent();
        }
        if (health.breaker != BreakerState.OPEN) {
            health.openedAt = now;
            changedUpstreams.add(health);
            health.trial = null;
            health.failedTrials = 0;
        }
        health.breaker = BreakerState.OPEN;
        health.failedTrials++;
        health.nextTrialAt = now + trialIntervalMicros(health);
    }

    /** The trials of all senders together come no faster than a slow start begins: an upstream that returns can take them. */
    private long trialIntervalMicros(UpstreamHealth health) {
        long interval = backoff.delayMicros(
                Backoff.SENDER_SPACING_MICROS,
                Backoff.BASE_MICROS,
                settings.longestDeadlineMicros(),
                1 + health.failedTrials);
        double maxMicros = MAX_TRIAL_INTERVAL_CALLS * Micros.PER_SECOND / recoveryRamp.callsPerSecond(0, health);
        interval = Math.min(interval, backoff.jitter((long) maxMicros));
        return Math.min(MAX_TRIAL_INTERVAL_MICROS * settings.get().senderCount(), interval);
    }

    /** Saves what has to outlast the process; that changes with breakers only, so it is seldom written. */
    void saveCheckpoints(long now, Actions actions) {
        for (UpstreamHealth health : changedUpstreams) {
            actions.saveCheckpoint(HealthTransfer.checkpoint(now, health));
        }
        changedUpstreams.clear();
    }
}
