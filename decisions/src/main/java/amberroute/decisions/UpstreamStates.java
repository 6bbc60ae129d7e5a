package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.UpstreamObservation.Kind;
import amberroute.decisions.UpstreamStateChange.Reason;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Changes the states of upstreams, and reports the changes of a decision: as checkpoints, which survive the process, and to
 * operators, who also learn of calls to upstreams that are not known to be healthy. Times are microseconds on the caller's clock.
 */
final class UpstreamStates {
    private final List<UpstreamStateChange> changes = new ArrayList<>();
    private final List<UpstreamObservation> observations = new ArrayList<>();
    /** Upstreams whose checkpoint is outdated, in the order of the changes. */
    private final Set<UpstreamHealth> outdatedCheckpoints = new LinkedHashSet<>();

    /** Changes the state of an upstream; the pace is that of a slow start which begins now. */
    void change(long now, UpstreamHealth health, BreakerState to, Reason reason, double callsPerSecond) {
        changes.add(new UpstreamStateChange(
                health.destinationId,
                health.endpointId,
                status(health.breaker),
                status(to),
                reason,
                now - health.stateSince,
                health.callsInState.total(),
                sinceSuccessMicros(now, health),
                health.servedPerSecondBeforeOutage,
                callsPerSecond));
        health.breaker = to;
        health.stateSince = now;
        health.callsInState.reset();
        // A checkpoint of a slow start tells when it began, and so when it is over.
        if (reason != Reason.SLOW_START_OVER && reason != Reason.RESTORED) {
            outdatedCheckpoints.add(health);
        }
    }

    /**
     * Records whether calls fail. A failure soon behind a success is none of an outage: the upstream is busy, or one call was
     * unlucky.
     */
    void recordOutcome(long now, UpstreamHealth health, AttemptOutcome outcome, long messageId) {
        if (outcome == AttemptOutcome.OK) {
            endSuspicion(health);
        } else if (health.suspectedSince == Micros.NEVER
                && now - health.lastSuccessAt >= CircuitBreaker.MIN_OUTAGE_MICROS) {
            health.suspectedSince = now;
            outdatedCheckpoints.add(health);
            observe(now, health, outcome == AttemptOutcome.FULL ? Kind.FIRST_REJECTION : Kind.FIRST_FAILURE, messageId);
        }
    }

    private void endSuspicion(UpstreamHealth health) {
        if (health.suspectedSince != Micros.NEVER) {
            health.suspectedSince = Micros.NEVER;
            outdatedCheckpoints.add(health);
        }
    }

    /** Records a call that is being sent, if its upstream is not known to be healthy. */
    void recordCall(long now, UpstreamHealth health, long messageId) {
        if (health.breaker == BreakerState.OPEN) {
            observe(now, health, Kind.TRIAL, messageId);
        } else if (health.breaker == BreakerState.CLOSED && health.suspectedSince != Micros.NEVER) {
            observe(now, health, Kind.CALL_AFTER_FAILURE, messageId);
        } else if (health.breaker == BreakerState.CLOSED && health.usualLatencyMicros == 0) {
            observe(now, health, Kind.FIRST_CALL, messageId);
        }
    }

    private void observe(long now, UpstreamHealth health, Kind kind, long messageId) {
        observations.add(new UpstreamObservation(
                health.destinationId, health.endpointId, kind, messageId, sinceSuccessMicros(now, health)));
    }

    private static long sinceSuccessMicros(long now, UpstreamHealth health) {
        return health.lastSuccessAt == Endpoint.LONG_AGO ? -1 : now - health.lastSuccessAt;
    }

    static UpstreamStatus status(BreakerState state) {
        return switch (state) {
            case OPEN -> UpstreamStatus.UNAVAILABLE;
            case SLOW_START -> UpstreamStatus.SLOW_START;
            case CLOSED -> UpstreamStatus.HEALTHY;
        };
    }

    /** Passes on the changes since the last call. What has to survive the process changes only then, so writes are rare. */
    void report(long now, Actions actions) {
        observations.forEach(actions::upstreamObserved);
        observations.clear();
        changes.forEach(actions::upstreamStateChanged);
        changes.clear();
        for (UpstreamHealth health : outdatedCheckpoints) {
            actions.saveCheckpoint(HealthTransfer.checkpoint(now, health));
        }
        outdatedCheckpoints.clear();
    }
}
