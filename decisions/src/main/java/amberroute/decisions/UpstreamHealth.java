package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;
import amberroute.decisions.DeliveryScheduler.ReportFields;
import java.util.ArrayList;
import java.util.List;

/**
 * Health and limits of endpoints that share one limit and fail together: all endpoints of a destination, or a single endpoint if
 * the endpoints of its kind are independent. This class is state only; {@link CircuitBreaker}, {@link RecoveryRamp},
 * {@link RateLimiter} and {@link ServiceTimes} implement the rules. Times are microseconds on the caller's clock.
 */
final class UpstreamHealth {
    /** Time constant of the average rate of sent calls. */
    private static final double SENT_RATE_TIME_CONSTANT_MICROS = 2_000_000;
    /** Time constant of the average rate of answered calls. */
    private static final double SERVED_RATE_TIME_CONSTANT_MICROS = 8_000_000;
    /** Weight of a new call in the averages of one upstream: about the last seven calls count. */
    static final double RECENT_CALL_WEIGHT_RATIO = 0.15;

    final int destinationId;
    /** 0 for the health of a whole destination. */
    final long endpointId;

    final List<Endpoint> endpoints = new ArrayList<>();
    final List<UpstreamCall> callsInFlight = new ArrayList<>();
    final DecayingRate sentRate = new DecayingRate(SENT_RATE_TIME_CONSTANT_MICROS);
    final DecayingRate servedRate = new DecayingRate(SERVED_RATE_TIME_CONSTANT_MICROS);

    /** Latency in normal operation; 0 until the first success. */
    double usualLatencyMicros;
    /** Latency of the most recent calls. */
    double presentLatencyMicros;

    /** End of the longest Retry-After. */
    long retryAfterUntil;
    /** End of the backoff after a rejection. */
    long backoffUntil;

    /** Calls per second that {@link RateLimiter} permits; infinite for no limit. */
    double pacePerSecond = Double.POSITIVE_INFINITY;

    long nextPacedCallAt;
    long lastPaceCutAt;
    long lastPaceRaiseAt;
    long lastRejectionAt;
    /** Recent rejections; each success halves the count. */
    int rejections;
    /** Limit in calls per second from all senders, from a load report or the endpoint list; 0 if unknown. */
    double reportedLimit;
    /** Whether the last answer carried a load report; true before the first answer. */
    boolean sendsLoadReports = true;
    /** Remaining share of the allowance in the last load report; NaN before the first report. */
    double reportedAllowanceLeft = Double.NaN;

    /** Share of failures among the recent calls that may have run. */
    double failureRatio;

    BreakerState breaker = BreakerState.CLOSED;
    /** When the breaker came into its state, 0 if it has always been in it. */
    long stateSince;

    /** Since when calls have failed with no answer in between, while the last answer is some time ago; NEVER if none has. */
    long suspectedSince = Micros.NEVER;

    final CallCounter callsInState = new CallCounter();
    long openedAt;
    /** Whether the breaker has opened during a slow start, which goes on if that was a false alarm. */
    boolean openedInSlowStart;

    long nextTrialAt;
    /** The half-open trial in flight, null for none. */
    UpstreamCall trial;

    long slowStartBeganAt;
    long lastSlowStartCallAt;
    /** Answered calls per second when the breaker opened. */
    double servedPerSecondBeforeOutage;

    long lastSuccessAt = Endpoint.LONG_AGO;

    UpstreamHealth(int destinationId, long endpointId) {
        this.destinationId = destinationId;
        this.endpointId = endpointId;
    }

    /**
     * Returns whether a connection was rejected rather than a call, see {@link AttemptCompleted#connectionLimitReached}. That
     * cannot be told of an upstream that answers without load reports, although the settings announce them.
     */
    boolean connectionLimitReached(AttemptCompleted event, ReportFields fields) {
        return sendsLoadReports && event.connectionLimitReached(fields);
    }

    /** Returns whether the breaker is open, or no success of the upstream is known (no usual latency). */
    boolean isUnproven() {
        return breaker == BreakerState.OPEN || usualLatencyMicros == 0;
    }

    /** Returns the present latency; a call in flight for longer than that counts as if it were answered now. */
    double presentLatencyMicros(long now) {
        double latencyMicros = presentLatencyMicros;
        for (UpstreamCall call : callsInFlight) {
            double ageMicros = now - call.sentAt;
            if (ageMicros > latencyMicros && call.sentAt >= lastSuccessAt) {
                latencyMicros += RECENT_CALL_WEIGHT_RATIO * (ageMicros - latencyMicros);
            }
        }
        return latencyMicros;
    }
}
