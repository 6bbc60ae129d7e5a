package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.MessageClass;

/**
 * Estimates how long a call to a destination takes from the latencies of earlier calls. All times are microseconds.
 *
 * <p>An estimate decays towards the usual latency while no call is in flight. Otherwise the messages of a destination that was
 * slow might rank below all others forever. Cost of a wrong estimate: one call to a destination that is still slow.
 */
final class ServiceTimes {
    /** Time in which the excess of an estimate over the usual latency falls to 1/e. */
    static final double DECAY_TIME_CONSTANT_MICROS = 1_000_000;
    /** A present latency up to this multiple of the usual one is ordinary variation, not slowness. */
    static final double NORMAL_LATENCY_RATIO = 2;
    /** Weight of a new latency in the usual one; small, so that a fault of tens of calls changes it little. */
    private static final double USUAL_WEIGHT_RATIO = 0.02;
    /** Weight of a new latency in the usual latency over all destinations: about the last thirty calls count. */
    private static final double POOLED_WEIGHT_RATIO = 0.03;

    private double usualLatencyMicros;

    /** Returns the usual latency over all destinations, which is the estimate for one without a success; 0 if there is none. */
    double usualLatencyMicros() {
        return usualLatencyMicros;
    }

    /**
     * Returns the expected service time of a message: the estimate of its destination, or else the usual latency over all
     * destinations, or else the latency objective of its class.
     */
    double expectedMicros(long now, Destination destination, MessageClass messageClass) {
        if (destination.serviceMeasured) {
            decay(now, destination);
            return destination.serviceMicros;
        }
        return usualLatencyMicros > 0 ? usualLatencyMicros : messageClass.latencyObjectiveMicros();
    }

    double expectedMicros(long now, PendingMessage message) {
        return expectedMicros(now, message.destination, message.messageClass);
    }

    double expectedMicros(long now, DispatchQueue queue) {
        return expectedMicros(now, queue.destination, queue.messageClass);
    }

    /** Returns the sum of the expected service times of the messages in flight that are not completed. */
    double inFlightMicros(long now, UpstreamHealth health) {
        double totalMicros = 0;
        for (UpstreamCall call : health.callsInFlight) {
            for (PendingMessage message : call.messages) {
                totalMicros += message.call == call && !message.completed ? expectedMicros(now, message) : 0;
            }
        }
        return totalMicros;
    }

    /** Applies the decay of the estimate up to now. */
    void decay(long now, Destination destination) {
        if (destination.callsInFlight == 0 && destination.serviceUpdatedAt != now) {
            double baselineMicros = baselineMicros(destination);
            destination.serviceMicros = baselineMicros
                    + (destination.serviceMicros - baselineMicros)
                            * Math.exp((destination.serviceUpdatedAt - now) / DECAY_TIME_CONSTANT_MICROS);
        }
        destination.serviceUpdatedAt = now;
    }

    /** Returns the value that the estimate decays to: the least usual latency of the endpoints, or the estimate if lower. */
    double baselineMicros(Destination destination) {
        double baselineMicros = destination.serviceMicros;
        for (Endpoint endpoint : destination.endpoints) {
            double usualMicros = endpoint.health.usualLatencyMicros;
            baselineMicros = usualMicros > 0 ? Math.min(baselineMicros, usualMicros) : baselineMicros;
        }
        return baselineMicros;
    }

    /** Updates the estimates with the latency of a successful call. */
    void recordSuccess(Destination destination, UpstreamHealth health, double latencyMicros) {
        mergeUsualLatency(latencyMicros, POOLED_WEIGHT_RATIO);
        destination.serviceMicros = destination.serviceMeasured
                ? exponentialAverage(destination.serviceMicros, latencyMicros, UpstreamHealth.RECENT_CALL_WEIGHT_RATIO)
                : latencyMicros;
        destination.serviceMeasured = true;
        if (health.usualLatencyMicros == 0) {
            health.presentLatencyMicros = latencyMicros;
            health.usualLatencyMicros = latencyMicros;
            return;
        }
        health.presentLatencyMicros =
                exponentialAverage(health.presentLatencyMicros, latencyMicros, UpstreamHealth.RECENT_CALL_WEIGHT_RATIO);
        if (health.presentLatencyMicros < NORMAL_LATENCY_RATIO * health.usualLatencyMicros) {
            health.usualLatencyMicros =
                    exponentialAverage(health.usualLatencyMicros, latencyMicros, USUAL_WEIGHT_RATIO);
        }
    }

    /** Raises the estimates after a timeout: the call would have taken longer than {@code elapsedMicros}. */
    void recordTimeout(Destination destination, UpstreamHealth health, double elapsedMicros) {
        destination.serviceMicros +=
                UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * Math.max(0, elapsedMicros - destination.serviceMicros);
        health.presentLatencyMicros +=
                UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * Math.max(0, elapsedMicros - health.presentLatencyMicros);
    }

    /** Merges a latency into the usual latency over all destinations, with the given weight; the first one is taken as it is. */
    void mergeUsualLatency(double measuredMicros, double weightRatio) {
        usualLatencyMicros +=
                usualLatencyMicros == 0 ? measuredMicros : weightRatio * (measuredMicros - usualLatencyMicros);
    }

    private static double exponentialAverage(double average, double sample, double weightRatio) {
        return average + weightRatio * (sample - average);
    }
}
