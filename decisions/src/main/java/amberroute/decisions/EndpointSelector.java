package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Prices;
import java.util.List;

/**
 * Selects the endpoint that a message is sent to: the one with the lowest cost among those that accept it now. Costs are
 * in calls in flight: a disadvantage that costs 2 weighs as much as two more calls in flight. Times are microseconds on the
 * caller's clock.
 */
final class EndpointSelector {
    private static final double FRESH_CONNECTION_COST_CALLS = 0.6;
    private static final double CROSS_ZONE_COST_CALLS = 0.8;
    /** Cost of a failure ratio of 1, and of each silent call. */
    private static final double FAILURE_COST_CALLS = 4;
    /** Cost of a zone toll of 1. */
    private static final double ZONE_TOLL_COST_CALLS = 20;
    /** Cost of the endpoint at which the message failed last. */
    private static final double LAST_FAILED_COST_CALLS = 2;

    private final CurrentSettings settings;
    private final UpstreamGate gate;
    private final DispatchRisk risk;
    private final ShutdownPolicy shutdownPolicy;
    private final ConnectionReusePolicy connections;
    private final DispatchCandidates candidates;
    private final WakeupTimer timer;

    EndpointSelector(
            CurrentSettings settings,
            UpstreamGate gate,
            DispatchRisk risk,
            ShutdownPolicy shutdownPolicy,
            ConnectionReusePolicy connections,
            DispatchCandidates candidates,
            WakeupTimer timer) {
        this.settings = settings;
        this.gate = gate;
        this.risk = risk;
        this.shutdownPolicy = shutdownPolicy;
        this.connections = connections;
        this.candidates = candidates;
        this.timer = timer;
    }

    /**
     * Returns the endpoint to send a message to now. If there is none, returns null and requests a wake-up for when one may
     * accept it.
     */
    Endpoint select(long now, long round, PendingMessage message) {
        Endpoint best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long earliestAvailableAt = Micros.NEVER;
        for (Endpoint endpoint : message.destination.endpoints) {
            if (!endpoint.isReady() || !isSuitable(now, round, message, endpoint)) {
                continue;
            }
            long endpointAvailableAt = availableAt(now, endpoint);
            if (endpointAvailableAt > now) {
                earliestAvailableAt = Math.min(earliestAvailableAt, endpointAvailableAt);
                continue;
            }
            double cost = cost(now, message, endpoint);
            if (cost < bestCost) {
                best = endpoint;
                bestCost = cost;
            }
        }
        if (best == null) {
            timer.request(earliestAvailableAt);
            blockIfUnavailable(now, round, message.destination);
        }
        return best;
    }

    /** Returns whether a message may be sent to an endpoint, apart from the endpoint's state and limits. */
    private boolean isSuitable(long now, long round, PendingMessage message, Endpoint endpoint) {
        return RetryPolicy.retryableAt(message, endpoint)
                && risk.permits(now, round, message, endpoint.health)
                && shutdownPolicy.permits(now, message, endpoint.health);
    }

    private long availableAt(long now, Endpoint endpoint) {
        return Math.max(gate.nextCallAt(now, endpoint.health), endpoint.destination.fleetRateLimit.nextMessageAt(now));
    }

    /** If no endpoint of the destination accepts calls now, skips the destination until one may accept them. */
    private void blockIfUnavailable(long now, long round, Destination destination) {
        long sleepUntil = Micros.NEVER;
        for (Endpoint endpoint : destination.endpoints) {
            if (endpoint.isReady()) {
                long endpointAvailableAt = availableAt(now, endpoint);
                if (endpointAvailableAt <= now) {
                    return;
                }
                timer.request(endpointAvailableAt);
                sleepUntil = Math.min(sleepUntil, gate.reevaluateAt(endpointAvailableAt, endpoint.health));
            }
        }
        destination.blockedRound = round;
        candidates.sleep(now, destination, sleepUntil);
    }

    private double cost(long now, PendingMessage message, Endpoint endpoint) {
        Prices prices = settings.get().prices();
        boolean warm = connections.hasWarmConnection(now, endpoint);
        boolean crossZone =
                prices.crossZone() > 0 && endpoint.zone != settings.get().zone();
        List<Double> zoneTolls = prices.zoneTolls();
        double zoneToll = endpoint.zone < zoneTolls.size() ? zoneTolls.get(endpoint.zone) : 0;
        return endpoint.callsInFlight
                + (warm ? 0 : FRESH_CONNECTION_COST_CALLS)
                + (crossZone ? CROSS_ZONE_COST_CALLS : 0)
                + (endpoint == message.lastFailedEndpoint ? LAST_FAILED_COST_CALLS : 0)
                + FAILURE_COST_CALLS * (endpoint.failureRatio + endpoint.silentCalls)
                + ZONE_TOLL_COST_CALLS * zoneToll;
    }
}
