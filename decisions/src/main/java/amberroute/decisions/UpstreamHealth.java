package amberroute.decisions;

import java.util.ArrayList;
import java.util.List;

/**
 * Health and limits of endpoints that share one limit and fail together: all of a destination, or one where the endpoints of
 * its kind are independent. It is state only; {@link CircuitBreaker}, {@link RecoveryRamp}, {@link RateLimiter} and
 * {@link ServiceTimes} hold the rules. Times are microseconds on the caller's clock.
 */
final class UpstreamHealth {
    /** Span over which the rate of sent calls is averaged. */
    private static final double SENT_RATE_TIME_CONSTANT_MICROS = 2_000_000;
    /** Span over which the rate of answered calls is averaged. */
    private static final double SERVED_RATE_TIME_CONSTANT_MICROS = 8_000_000;
    /** Weight of a new call in averages of one upstream: about the last seven calls count. */
    static final double RECENT_CALL_WEIGHT_RATIO = 0.15;

    final int destinationId;
    /** 0 where the health is that of a whole destination. */
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
    /** End of the backoff behind a rejection. */
    long backoffUntil;

    /** Calls a second that {@link RateLimiter} lets out; infinite for no limit. */
    double pacePerSecond = Double.POSITIVE_INFINITY;

    long nextPacedCallAt;
    long lastPaceCutAt;
    long lastPaceRaiseAt;
    long lastRejectionAt;
    /** Rejections in a row; each success halves it. */
    int rejections;
    /** Calls a second from all senders that it reported or was listed with; 0 where none is known. */
    double reportedLimit;
    /** Share of its allowance that it last reported as left; NaN before the first report. */
    double reportedAllowanceLeft = Double.NaN;

    /** Share of recent calls that may have run and did not succeed. */
    double failureRatio;

    BreakerState breaker = BreakerState.CLOSED;
    long openedAt;
    int failedTrials;
    long nextTrialAt;
    /** The half-open trial in flight; null for none. */
    UpstreamCall trial;

    long slowStartBeganAt;
    long lastSlowStartCallAt;
    /** Calls answered a second before the breaker opened. */
    double callsPerSecondBeforeOutage;

    long lastSuccessAt = Endpoint.LONG_AGO;

    UpstreamHealth(int destinationId, long endpointId) {
        this.destinationId = destinationId;
        this.endpointId = endpointId;
    }

    /** Whether nothing is known of it, or only that it failed. */
    boolean isUnproven() {
        return breaker == BreakerState.OPEN || usualLatencyMicros == 0;
    }

    /** The present latency; a call that has been unanswered for longer counts as though it were answered now. */
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
