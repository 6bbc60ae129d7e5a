package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;

/**
 * For how long an idle connection is reused. Calls lost on connections that had been idle, more than on fresh ones, show that
 * idle ones are dropped unseen, by firewalls or restarts; such are closed before use. Connections are closed after use where
 * many calls get none, as those of hundreds of senders fill an endpoint's table. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a false positive: one handshake for each call whose gap is longer than trusted.
 */
final class ConnectionReusePolicy {
    /** Weight of a call in shares over all destinations: about the last thirty calls count. */
    private static final double POOLED_WEIGHT_RATIO = 0.03;
    /** Idle connections are distrusted when so much larger a share of calls is lost on them than on fresh ones. */
    private static final double EXCESS_LOSS_THRESHOLD_RATIO = 0.1;
    /** Part of the connections' life by which each answer raises the trusted idle time. */
    private static final double RAISE_PER_SUCCESS_LIFE_RATIO = 0.002;
    /** Factor by which an answer raises it where the caller reports the idle time of each connection. */
    private static final double REPORTED_RAISE_FACTOR = 1.03;
    /** Share of calls without a connection from which endpoints' tables of connections are taken to be full. */
    private static final double CONNECTION_TABLES_FULL_RATIO = 0.01;
    /** Part of the trusted idle time that is still used while tables begin to be full. */
    private static final double CONNECTION_TABLES_FULL_IDLE_RATIO = 0.5;
    /** Share of calls without a connection at which that part has fallen to nothing. */
    private static final double NO_IDLE_REUSE_RATIO = 0.1;

    private final CurrentSettings settings;
    private double maxReusableIdleMicros;
    private double announcedMaxIdleMicros;
    /** The caller knows each connection's idle time and keeps to the announced one by itself. */
    private boolean callerReportsIdleTime;

    private double freshLossRatio;
    private double idleLossRatio;
    private double unconnectedRatio;

    ConnectionReusePolicy(CurrentSettings settings) {
        this.settings = settings;
        maxReusableIdleMicros = settings.limits().idleConnectionLifeMicros();
    }

    /** Whether a call to the endpoint would find a connection to reuse. */
    boolean hasWarmConnection(long now, Endpoint endpoint) {
        return (endpoint.callsInFlight > 0 || now - endpoint.lastUsedAt < maxReusableIdleMicros)
                && endpoint.callsInFlight < endpoint.openConnections * callsPerConnection();
    }

    private int callsPerConnection() {
        return Math.max(1, settings.limits().callsPerConnection());
    }

    /** To be called when a call starts, before the endpoint's other calls in flight include it. */
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

    /** To be called when an endpoint's last call has ended. */
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

    /** Learns from the outcome of a call. */
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
                && !event.connectionLimitReached(settings.get().reportFields());
        unconnectedRatio += POOLED_WEIGHT_RATIO * ((connected ? 0 : 1) - unconnectedRatio);
    }

    /** Learns from a call that has become silent: it counts as lost, once. */
    void recordSilence(UpstreamCall call) {
        recordConnectionResult(call, true, false);
    }

    private void recordConnectionResult(UpstreamCall call, boolean lost, boolean idleTimeReported) {
        double lifeMicros = settings.limits().idleConnectionLifeMicros();
        double loss = lost ? 1 : 0;
        freshLossRatio += call.connectionIdleMicros == 0 ? POOLED_WEIGHT_RATIO * (loss - freshLossRatio) : 0;
        idleLossRatio += call.connectionIdleMicros > 0 ? POOLED_WEIGHT_RATIO * (loss - idleLossRatio) : 0;
        if (!lost && idleTimeReported) {
            // Only a connection that was idle for nearly so long shows that a longer time can be trusted.
            maxReusableIdleMicros *= call.connectionIdleMicros > maxReusableIdleMicros / 2 ? REPORTED_RAISE_FACTOR : 1;
            maxReusableIdleMicros = Math.min(lifeMicros, maxReusableIdleMicros);
        } else if (!lost) {
            maxReusableIdleMicros =
                    Math.min(lifeMicros, maxReusableIdleMicros + RAISE_PER_SUCCESS_LIFE_RATIO * lifeMicros);
        } else if (call.connectionIdleMicros > 0 && idleLossRatio > freshLossRatio + EXCESS_LOSS_THRESHOLD_RATIO) {
            maxReusableIdleMicros = Math.min(maxReusableIdleMicros, call.connectionIdleMicros / 2.0);
        }
    }

    /** Tells the caller the trusted idle time where it has changed. */
    void announceIdleLimit(Actions actions) {
        if (maxReusableIdleMicros != announcedMaxIdleMicros) {
            announcedMaxIdleMicros = maxReusableIdleMicros;
            actions.limitIdleReuse((long) maxReusableIdleMicros);
        }
    }
}
