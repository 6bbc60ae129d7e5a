package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.MessageClass;

/**
 * Expected service times: how long a call to a destination takes, from the latencies of its calls. All times are microseconds.
 *
 * <p>A learned time decays towards the usual latency while no call is in flight. Otherwise the messages of a destination that
 * was slow may stand behind all others for good. Cost of a false guess: one call to a destination that is still slow.
 */
final class ServiceTimes {
    /** Span in which a learned time falls to 1/e of its excess over the usual latency. */
    static final double DECAY_TIME_CONSTANT_MICROS = 1_000_000;
    /** Present latency up to this multiple of the usual is noise of ordinary service times, not slowness. */
    static final double NORMAL_LATENCY_RATIO = 2;
    /** Weight of a new latency in the usual one: slow enough to outlast a fault of tens of calls. */
    private static final double USUAL_WEIGHT_RATIO = 0.02;
    /** Weight of a new latency in the usual one of all destinations: about the last thirty calls count. */
    private static final double POOLED_WEIGHT_RATIO = 0.03;

    private double usualLatencyMicros;

    /** Usual latency over all destinations, 0 before the first success: what one that never answered is taken to need. */
    double usualLatencyMicros() {
        return usualLatencyMicros;
    }

    /** What a message needs: what was learned, else the usual latency, else the latency objective of its class. */
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

    /** The service times of all messages in flight that are not completed. */
    double inFlightMicros(long now, UpstreamHealth health) {
        double totalMicros = 0;
        for (UpstreamCall call : health.callsInFlight) {
            for (PendingMessage message : call.messages) {
                totalMicros += message.call == call && !message.completed ? expectedMicros(now, message) : 0;
            }
        }
        return totalMicros;
    }

    /** Brings the learned time up to now. */
    void decay(long now, Destination destination) {
        if (destination.callsInFlight == 0 && destination.serviceUpdatedAt != now) {
            double baselineMicros = baselineMicros(destination);
            destination.serviceMicros = baselineMicros
                    + (destination.serviceMicros - baselineMicros)
                            * Math.exp((destination.serviceUpdatedAt - now) / DECAY_TIME_CONSTANT_MICROS);
        }
        destination.serviceUpdatedAt = now;
    }

    /** What the learned time decays to: the least usual latency of the endpoints, or the learned time if that is less. */
    double baselineMicros(Destination destination) {
        double baselineMicros = destination.serviceMicros;
        for (Endpoint endpoint : destination.endpoints) {
            double usualMicros = endpoint.health.usualLatencyMicros;
            baselineMicros = usualMicros > 0 ? Math.min(baselineMicros, usualMicros) : baselineMicros;
        }
        return baselineMicros;
    }

    /** Learns from a call that succeeded. */
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

    /** Learns from a call that timed out: it takes longer than so long. */
    void recordTimeout(Destination destination, UpstreamHealth health, double elapsedMicros) {
        destination.serviceMicros +=
                UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * Math.max(0, elapsedMicros - destination.serviceMicros);
        health.presentLatencyMicros +=
                UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * Math.max(0, elapsedMicros - health.presentLatencyMicros);
    }

    /** Moves the usual latency over all destinations by a share towards a measured one; the first is taken as it is. */
    void mergeUsualLatency(double measuredMicros, double weightRatio) {
        usualLatencyMicros +=
                usualLatencyMicros == 0 ? measuredMicros : weightRatio * (measuredMicros - usualLatencyMicros);
    }

    private static double exponentialAverage(double average, double sample, double weightRatio) {
        return average + weightRatio * (sample - average);
    }
}
