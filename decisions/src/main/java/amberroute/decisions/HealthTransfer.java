package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.HealthCheckpoint;
import amberroute.decisions.DeliveryScheduler.UpstreamSnapshot;
import amberroute.decisions.UpstreamStateChange.Reason;

/**
 * Transfers the health of upstreams from one process to the next. A checkpoint survives any end of a process, including a crash;
 * a snapshot is passed to a process that takes over at once. Without them, the first answer of an upstream that is still in slow
 * start would release all pending messages. Times are microseconds on the caller's clock.
 *
 * <p>Cost of an outdated checkpoint: an upstream that has recovered in the meantime gets a single call first.
 */
final class HealthTransfer {
    private final EndpointRegistry registry;
    private final ServiceTimes serviceTimes;
    private final PendingMessages pending;
    private final RecoveryRamp recoveryRamp;
    private final TrialSchedule trials;
    private final UpstreamStates states;

    HealthTransfer(
            EndpointRegistry registry,
            ServiceTimes serviceTimes,
            PendingMessages pending,
            RecoveryRamp recoveryRamp,
            TrialSchedule trials,
            UpstreamStates states) {
        this.registry = registry;
        this.serviceTimes = serviceTimes;
        this.pending = pending;
        this.recoveryRamp = recoveryRamp;
        this.trials = trials;
        this.states = states;
    }

    /** Returns the state that has to survive the process. */
    static HealthCheckpoint checkpoint(long now, UpstreamHealth health) {
        return switch (health.breaker) {
            case OPEN -> checkpoint(
                    health, UpstreamStatus.UNAVAILABLE, now - health.openedAt, health.servedPerSecondBeforeOutage);
            case SLOW_START -> checkpoint(
                    health,
                    UpstreamStatus.SLOW_START,
                    now - health.slowStartBeganAt,
                    health.servedPerSecondBeforeOutage);
            case CLOSED -> health.suspectedSince == Micros.NEVER
                    ? checkpoint(
                            health,
                            UpstreamStatus.HEALTHY,
                            now - health.slowStartBeganAt,
                            health.servedPerSecondBeforeOutage)
                    : checkpoint(
                            health,
                            UpstreamStatus.SUSPECTED,
                            now - health.suspectedSince,
                            health.servedRate.perSecondAtLastEvent());
        };
    }

    private static HealthCheckpoint checkpoint(
            UpstreamHealth health, UpstreamStatus status, long sinceMicros, double servedPerSecond) {
        return new HealthCheckpoint(
                health.destinationId,
                health.endpointId,
                status,
                sinceMicros,
                servedPerSecond,
                health.usualLatencyMicros);
    }

    /** Returns the state for a process that takes over at once. */
    static UpstreamSnapshot snapshot(long now, UpstreamHealth health) {
        Destination destination = health.endpoints.get(0).destination;
        return new UpstreamSnapshot(
                checkpoint(now, health),
                Math.max(0, health.retryAfterUntil - now),
                Math.max(0, health.backoffUntil - now),
                health.pacePerSecond,
                now - health.lastRejectionAt,
                now - health.lastSuccessAt,
                health.presentLatencyMicros,
                destination.serviceMeasured ? destination.serviceMicros : 0,
                destination.successProbability,
                health.sentRate.perSecond(now),
                health.servedRate.perSecond(now),
                health.reportedLimit,
                health.failureRatio);
    }

    /**
     * Resumes an outage or a slow start that an earlier process has seen.
     *
     * @param ageMicros the time since the outage or the slow start began
     */
    void restore(long now, HealthCheckpoint checkpoint, long ageMicros) {
        if (!isUnknownEndpoint(checkpoint) && checkpoint.status() != UpstreamStatus.HEALTHY) {
            restoreState(now, checkpoint, ageMicros);
            trials.scheduleAfterRestore(now, healthOf(checkpoint));
        }
    }

    private void restoreState(long now, HealthCheckpoint checkpoint, long ageMicros) {
        Destination destination = registry.destination(checkpoint.destination());
        UpstreamHealth health = healthOf(checkpoint);
        boolean unavailable = checkpoint.status() != UpstreamStatus.SLOW_START;
        health.usualLatencyMicros = checkpoint.usualLatencyMicros();
        health.presentLatencyMicros = checkpoint.usualLatencyMicros();
        health.servedPerSecondBeforeOutage = checkpoint.callsPerSecond();
        if (checkpoint.usualLatencyMicros() > 0) {
            destination.serviceMicros = checkpoint.usualLatencyMicros();
            destination.serviceMeasured = true;
        }
        BreakerState state = unavailable ? BreakerState.OPEN : BreakerState.SLOW_START;
        states.change(now, health, state, Reason.RESTORED, recoveryRamp.callsPerSecond(0, health));
        health.openedAt = now - ageMicros;
        // The outage may have interrupted a slow start, which a false alarm must not drop.
        health.openedInSlowStart = unavailable;
        health.slowStartBeganAt = now - ageMicros;
        health.lastSlowStartCallAt = now;
        health.failureRatio = unavailable ? 1 : 0;
        pending.updateEstimatesAndWake(now, destination);
    }

    /** Restores the complete state of an upstream from the process that this one takes over from. */
    void restore(long now, UpstreamSnapshot snapshot) {
        HealthCheckpoint checkpoint = snapshot.checkpoint();
        if (isUnknownEndpoint(checkpoint)) {
            return;
        }
        boolean healthy = checkpoint.status() == UpstreamStatus.HEALTHY;
        if (!healthy) {
            restoreState(now, checkpoint, checkpoint.sinceMicros());
        }
        Destination destination = registry.destination(checkpoint.destination());
        UpstreamHealth health = healthOf(checkpoint);
        health.usualLatencyMicros = checkpoint.usualLatencyMicros();
        serviceTimes.mergeUsualLatency(health.usualLatencyMicros, UpstreamHealth.RECENT_CALL_WEIGHT_RATIO);
        if (snapshot.expectedServiceMicros() > 0) {
            destination.serviceMeasured = true;
            destination.serviceMicros = snapshot.expectedServiceMicros();
        }
        destination.successProbability = snapshot.successProbability();
        restoreMeasurements(now, health, snapshot);
        if (!healthy) {
            // The wait and the limit of the snapshot count for it.
            trials.scheduleAfterRestore(now, health);
        }
        pending.updateEstimates(now, destination);
    }

    private static void restoreMeasurements(long now, UpstreamHealth health, UpstreamSnapshot snapshot) {
        health.presentLatencyMicros = snapshot.presentLatencyMicros();
        health.servedPerSecondBeforeOutage = snapshot.checkpoint().callsPerSecond();
        health.retryAfterUntil = now + snapshot.retryAfterMicros();
        health.backoffUntil = now + snapshot.backoffMicros();
        health.pacePerSecond = snapshot.pacePerSecond();
        health.lastRejectionAt = now - snapshot.sinceRejectionMicros();
        health.lastSuccessAt = now - snapshot.sinceSuccessMicros();
        health.sentRate.addConstantRate(now, snapshot.sentPerSecond());
        health.servedRate.addConstantRate(now, snapshot.servedPerSecond());
        health.reportedLimit = snapshot.reportedLimit();
        health.failureRatio = snapshot.failureRatio();
    }

    private boolean isUnknownEndpoint(HealthCheckpoint checkpoint) {
        return checkpoint.endpoint() != 0 && registry.endpoint(checkpoint.endpoint()) == null;
    }

    private UpstreamHealth healthOf(HealthCheckpoint checkpoint) {
        Endpoint endpoint = registry.endpoint(checkpoint.endpoint());
        return endpoint == null ? registry.destination(checkpoint.destination()).sharedHealth : endpoint.health;
    }
}
