package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;

/**
 * Decides for how long an idle connection may be reused. If more calls are lost on reused connections than on fresh ones, then
 * firewalls or restarts drop idle connections without notice, and connections that were idle for long are closed before use.
 * Connections are also closed after use if many calls get no connection, as those of hundreds of senders fill the connection
 * table of an endpoint. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a false positive: one handshake for each call whose connection was idle for longer than the limit.
 */
final class ConnectionReusePolicy {
    /** Weight of a call in ratios over all destinations: about the last thirty calls count. */
    private static final double POOLED_WEIGHT_RATIO = 0.03;
    /** Excess of the loss ratio on idle connections over that on fresh ones above which the idle limit is reduced. */
    private static final double EXCESS_LOSS_THRESHOLD_RATIO = 0.1;
    /** Share of the idle connection life by which each answered call raises the idle limit. */
    private static final double RAISE_PER_SUCCESS_LIFE_RATIO = 0.002;
    /** Factor by which an answered call raises the idle limit if the caller reports the idle time of each connection. */
    private static final double REPORTED_RAISE_FACTOR = 1.03;
    /** Share of calls without a connection above which the connection tables of endpoints are assumed to be full. */
    private static final double CONNECTION_TABLES_FULL_RATIO = 0.01;
    /** Share of the idle limit that is used when connection tables begin to be full. */
    private static final double CONNECTION_TABLES_FULL_IDLE_RATIO = 0.5;
    /** Share of calls without a connection at which that share has fallen to 0. */
    private static final double NO_IDLE_REUSE_RATIO = 0.1;

    private final CurrentSettings settings;
    private double maxReusableIdleMicros;
    private double announcedMaxIdleMicros;
    /** Whether the caller knows the idle time of each connection and applies the announced limit itself. */
    private boolean callerReportsIdleTime;

    private double freshLossRatio;
    private double idleLossRatio;
    private double unconnectedRatio;

    ConnectionReusePolicy(CurrentSettings settings) {
        this.settings = settings;
        maxReusableIdleMicros = settings.limits().idleConnectionLifeMicros();
    }

    /** Returns whether a call to the endpoint would find a connection to reuse. */
    boolean hasWarmConnection(long now, Endpoint endpoint) {
        return (endpoint.callsInFlight > 0 || now - endpoint.lastUsedAt < maxReusableIdleMicros)
                && endpoint.callsInFlight < endpoint.openConnections * callsPerConnection();
    }

    private int callsPerConnection() {
        return Math.max(1, settings.limits().callsPerConnection());
    }

    /** Must be called when a call starts, before it is counted in the endpoint's calls in flight. */
    void onCallStarting(long now, UpstreamCall call, Actions actions) {
        Endpoint endpoint = call.endpoint;
        if (endpoint.callsInFlight == 0) {
            endpoint.idleGapMicros = now - endpoint.lastUsedAt;
            if (!callerReportsIdleTime) {
                closeIfIdleLonger(endpoint, maxReusableIdleMicros, actions);
            }
            call.connectionIdleMicros = endpoint.openConnections > 0 ? endpoint.idleGapMicros : 0;
        }
        endpoint.openConnections =
                Math.max(endpoint.openConnections, 1 + endpoint.callsInFlight / callsPerConnection());
    }

    /** Must be called when the last call in flight of an endpoint has ended. */
    void onEndpointIdle(Endpoint endpoint, Actions actions) {
        if (unconnectedRatio > CONNECTION_TABLES_FULL_RATIO) {
            double reusableIdleRatio =
                    CONNECTION_TABLES_FULL_IDLE_RATIO * Math.max(0, 1 - unconnectedRatio / NO_IDLE_REUSE_RATIO);
            closeIfIdleLonger(endpoint, reusableIdleRatio * maxReusableIdleMicros, actions);
        }
    }

    private static void closeIfIdleLonger(Endpoint endpoint, double maxIdleMicros, Actions actions) {
        if (endpoint.openConnections > 0 && endpoint.idleGapMicros > maxIdleMicros) {
            endpoint.openConnections = 0;
            actions.closeIdle(endpoint.id);
        }
    }

    /** Updates the loss ratios and the idle limit with the outcome of a call. */
    void recordOutcome(UpstreamCall call, AttemptCompleted event) {
        boolean idleTimeReported = event.connectionIdleMicros() >= 0;
        callerReportsIdleTime |= idleTimeReported;
        if (idleTimeReported) {
            call.connectionIdleMicros = event.connectionIdleMicros();
        }
        AttemptOutcome outcome = event.outcome();
        if (!call.silent) {
            boolean lost = outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.TIMEOUT;
            recordConnectionResult(call, lost, idleTimeReported);
        }
        boolean connected = outcome != AttemptOutcome.CONNECT_FAILED
                && !call.endpoint.health.connectionLimitReached(
                        event, settings.get().reportFields());
        unconnectedRatio += POOLED_WEIGHT_RATIO * ((connected ? 0 : 1) - unconnectedRatio);
    }

    /** Counts a call as lost that has become silent; its outcome is not counted again. */
    void recordSilence(UpstreamCall call) {
        recordConnectionResult(call, true, false);
    }

    private void recordConnectionResult(UpstreamCall call, boolean lost, boolean idleTimeReported) {
        double lifeMicros = settings.limits().idleConnectionLifeMicros();
        double loss = lost ? 1 : 0;
        freshLossRatio += call.connectionIdleMicros == 0 ? POOLED_WEIGHT_RATIO * (loss - freshLossRatio) : 0;
        idleLossRatio += call.connectionIdleMicros > 0 ? POOLED_WEIGHT_RATIO * (loss - idleLossRatio) : 0;
        if (!lost && idleTimeReported) {
            // Only a connection that was idle for more than half of the limit is evidence that the limit may be higher.
            maxReusableIdleMicros *= call.connectionIdleMicros > maxReusableIdleMicros / 2 ? REPORTED_RAISE_FACTOR : 1;
            maxReusableIdleMicros = Math.min(lifeMicros, maxReusableIdleMicros);
        } else if (!lost) {
            maxReusableIdleMicros =
                    Math.min(lifeMicros, maxReusableIdleMicros + RAISE_PER_SUCCESS_LIFE_RATIO * lifeMicros);
        } else if (call.connectionIdleMicros > 0 && idleLossRatio > freshLossRatio + EXCESS_LOSS_THRESHOLD_RATIO) {
            maxReusableIdleMicros = Math.min(maxReusableIdleMicros, call.connectionIdleMicros / 2.0);
        }
    }

    /** Passes the idle limit to the caller if it has changed. */
    void announceIdleLimit(Actions actions) {
        if (maxReusableIdleMicros != announcedMaxIdleMicros) {
            announcedMaxIdleMicros = maxReusableIdleMicros;
            actions.limitIdleReuse((long) maxReusableIdleMicros);
        }
    }
}
