package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.HealthCheckpoint;
import amberroute.decisions.DeliveryScheduler.UpstreamSnapshot;
import amberroute.decisions.DeliveryScheduler.UpstreamStatus;

/**
 * Passes the health of upstreams from one process to the next: a checkpoint outlasts any end of a process, a snapshot goes to one
 * that takes over at once. Otherwise the first answer would let out all that is pending, at an upstream that is still in slow
 * start. Times are microseconds on the caller's clock.
 *
 * <p>Cost of an outdated checkpoint: an upstream that has recovered meanwhile is tried by one call first.
 */
final class HealthTransfer {
    private final EndpointRegistry registry;
    private final ServiceTimes serviceTimes;
    private final PendingMessages pending;

    HealthTransfer(EndpointRegistry registry, ServiceTimes serviceTimes, PendingMessages pending) {
        this.registry = registry;
        this.serviceTimes = serviceTimes;
        this.pending = pending;
    }

    /** What has to outlast the process. */
    static HealthCheckpoint checkpoint(long now, UpstreamHealth health) {
        UpstreamStatus status =
                switch (health.breaker) {
                    case OPEN -> UpstreamStatus.UNAVAILABLE;
                    case SLOW_START -> UpstreamStatus.SLOW_START;
                    case CLOSED -> UpstreamStatus.HEALTHY;
                };
        long statusSince = status == UpstreamStatus.UNAVAILABLE ? health.openedAt : health.slowStartBeganAt;
        return new HealthCheckpoint(
                health.destinationId,
                health.endpointId,
                status,
                now - statusSince,
                health.callsPerSecondBeforeOutage,
                health.usualLatencyMicros);
    }

    /** What another process needs that takes over at once. */
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
     * Goes on with an outage or a slow start of an earlier process.
     *
     * @param ageMicros the time since it began
     */
    void restore(long now, HealthCheckpoint checkpoint, long ageMicros) {
        if (isUnknownEndpoint(checkpoint) || checkpoint.status() == UpstreamStatus.HEALTHY) {
            return;
        }
        Destination destination = registry.destination(checkpoint.destination());
        UpstreamHealth health = healthOf(checkpoint);
        boolean unavailable = checkpoint.status() == UpstreamStatus.UNAVAILABLE;
        health.usualLatencyMicros = checkpoint.usualLatencyMicros();
        health.presentLatencyMicros = checkpoint.usualLatencyMicros();
        health.callsPerSecondBeforeOutage = checkpoint.callsPerSecond();
        if (checkpoint.usualLatencyMicros() > 0) {
            destination.serviceMicros = checkpoint.usualLatencyMicros();
            destination.serviceMeasured = true;
        }
        health.breaker = unavailable ? BreakerState.OPEN : BreakerState.SLOW_START;
        health.openedAt = now - ageMicros;
        health.slowStartBeganAt = now - ageMicros;
        health.lastSlowStartCallAt = now;
        health.nextTrialAt = now;
        health.failureRatio = unavailable ? 1 : 0;
        pending.updateEstimatesAndWake(now, destination);
    }

    /** Goes on with all that the process knew that this one takes over from. */
    void restore(long now, UpstreamSnapshot snapshot) {
        HealthCheckpoint checkpoint = snapshot.checkpoint();
        if (isUnknownEndpoint(checkpoint)) {
            return;
        }
        restore(now, checkpoint, checkpoint.sinceMicros());
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
        pending.updateEstimates(now, destination);
    }

    private static void restoreMeasurements(long now, UpstreamHealth health, UpstreamSnapshot snapshot) {
        health.presentLatencyMicros = snapshot.presentLatencyMicros();
        health.callsPerSecondBeforeOutage = snapshot.checkpoint().callsPerSecond();
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
