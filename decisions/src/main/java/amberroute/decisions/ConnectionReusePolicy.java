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
    private static final double DISTRUST_EXCESS_LOSS_RATIO = 0.1;
    /** Part of the connections' life by which each answer raises the trusted idle time. */
    private static final double RAISE_LIFE_RATIO = 0.002;
    /** Factor by which an answer raises it where the caller reports the idle time of each connection. */
    private static final double REPORTED_RAISE_FACTOR = 1.03;
    /** Share of calls without a connection from which endpoints' tables of connections are taken to be full. */
    private static final double TABLES_FULL_RATIO = 0.01;
    /** Part of the trusted idle time that is still used while tables begin to be full. */
    private static final double TABLES_FULL_IDLE_RATIO = 0.5;
    /** Share of calls without a connection at which that part has fallen to nothing. */
    private static final double NO_IDLE_RATIO = 0.1;

    private final CurrentSettings settings;
    private double trustedIdleMicros;
    private double announcedIdleMicros;
    /** The caller knows each connection's idle time and keeps to the announced one by itself. */
    private boolean idleReported;

    private double freshLossRatio;
    private double idleLossRatio;
    private double unconnectedRatio;

    ConnectionReusePolicy(CurrentSettings settings) {
        this.settings = settings;
        trustedIdleMicros = settings.limits().idleConnectionLifeMicros();
    }

    /** Whether a call to the endpoint would find a connection to reuse. */
    boolean hasWarmConnection(long now, Endpoint endpoint) {
        return (endpoint.callsInFlight > 0 || now - endpoint.lastUsedAt < trustedIdleMicros)
                && endpoint.callsInFlight < endpoint.openConnections * callsPerConnection();
    }

    private int callsPerConnection() {
        return Math.max(1, settings.limits().callsPerConnection());
    }

    /** To be called when a call starts, before the endpoint's other calls in flight include it. */
    void callStarts(long now, UpstreamCall call, Actions actions) {
        Endpoint endpoint = call.endpoint;
        if (endpoint.callsInFlight == 0) {
            endpoint.idleGapMicros = now - endpoint.lastUsedAt;
            if (!idleReported) {
                closeIfIdleLonger(endpoint, trustedIdleMicros, actions);
            }
            call.connectionIdleMicros = endpoint.openConnections > 0 ? endpoint.idleGapMicros : 0;
        }
        endpoint.openConnections =
                Math.max(endpoint.openConnections, 1 + endpoint.callsInFlight / callsPerConnection());
    }

    /** To be called when an endpoint's last call has ended. */
    void endpointBecameIdle(Endpoint endpoint, Actions actions) {
        if (unconnectedRatio > TABLES_FULL_RATIO) {
            double keptRatio = TABLES_FULL_IDLE_RATIO * Math.max(0, 1 - unconnectedRatio / NO_IDLE_RATIO);
            closeIfIdleLonger(endpoint, keptRatio * trustedIdleMicros, actions);
        }
    }

    private static void closeIfIdleLonger(Endpoint endpoint, double longestMicros, Actions actions) {
        if (endpoint.openConnections > 0 && endpoint.idleGapMicros > longestMicros) {
            endpoint.openConnections = 0;
            actions.closeIdle(endpoint.id);
        }
    }

    /** Learns from the outcome of a call. */
    void recordOutcome(UpstreamCall call, AttemptCompleted event) {
        boolean reported = event.connectionIdleMicros() >= 0;
        idleReported |= reported;
        if (reported) {
            call.connectionIdleMicros = event.connectionIdleMicros();
        }
        AttemptOutcome outcome = event.outcome();
        if (!call.silent) {
            boolean lost = outcome == AttemptOutcome.RESET || outcome == AttemptOutcome.TIMEOUT;
            recordConnection(call, lost, reported);
        }
        boolean connected = outcome != AttemptOutcome.CONNECT_FAILED
                && !event.connectionLimitReached(settings.get().reportFields());
        unconnectedRatio += POOLED_WEIGHT_RATIO * ((connected ? 0 : 1) - unconnectedRatio);
    }

    /** Learns from a call that has become silent: it counts as lost, once. */
    void recordSilence(UpstreamCall call) {
        recordConnection(call, true, false);
    }

    private void recordConnection(UpstreamCall call, boolean lost, boolean reported) {
        double lifeMicros = settings.limits().idleConnectionLifeMicros();
        double loss = lost ? 1 : 0;
        freshLossRatio += call.connectionIdleMicros == 0 ? POOLED_WEIGHT_RATIO * (loss - freshLossRatio) : 0;
        idleLossRatio += call.connectionIdleMicros > 0 ? POOLED_WEIGHT_RATIO * (loss - idleLossRatio) : 0;
        if (!lost && reported) {
            // Only a connection that was idle for nearly so long shows that a longer time can be trusted.
            trustedIdleMicros *= call.connectionIdleMicros > trustedIdleMicros / 2 ? REPORTED_RAISE_FACTOR : 1;
            trustedIdleMicros = Math.min(lifeMicros, trustedIdleMicros);
        } else if (!lost) {
            trustedIdleMicros = Math.min(lifeMicros, trustedIdleMicros + RAISE_LIFE_RATIO * lifeMicros);
        } else if (call.connectionIdleMicros > 0 && idleLossRatio > freshLossRatio + DISTRUST_EXCESS_LOSS_RATIO) {
            trustedIdleMicros = Math.min(trustedIdleMicros, call.connectionIdleMicros / 2.0);
        }
    }

    /** Tells the caller the trusted idle time where it has changed. */
    void announce(Actions actions) {
        if (trustedIdleMicros != announcedIdleMicros) {
            announcedIdleMicros = trustedIdleMicros;
            actions.limitIdleReuse((long) trustedIdleMicros);
        }
    }
}
