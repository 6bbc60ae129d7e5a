package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.UpstreamStatus;
import amberroute.decisions.UpstreamStateChange.Reason;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Changes the states of upstreams, and reports the changes of a decision: as checkpoints, which survive the process, and to
 * operators. Times are microseconds on the caller's clock.
 */
final class UpstreamStates {
    private final List<UpstreamStateChange> changes = new ArrayList<>();
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
                health.lastSuccessAt == Endpoint.LONG_AGO ? -1 : now - health.lastSuccessAt,
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

    static UpstreamStatus status(BreakerState state) {
        return switch (state) {
            case OPEN -> UpstreamStatus.UNAVAILABLE;
            case SLOW_START -> UpstreamStatus.SLOW_START;
            case CLOSED -> UpstreamStatus.HEALTHY;
        };
    }

    /** Passes on the changes since the last call. What has to survive the process changes only then, so writes are rare. */
    void report(long now, Actions actions) {
        changes.forEach(actions::upstreamStateChanged);
        changes.clear();
        for (UpstreamHealth health : outdatedCheckpoints) {
            actions.saveCheckpoint(HealthTransfer.checkpoint(now, health));
        }
        outdatedCheckpoints.clear();
    }
}
