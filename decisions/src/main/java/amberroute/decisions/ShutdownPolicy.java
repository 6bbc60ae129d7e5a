package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Idempotency;

/**
 * Before the process ends, no attempt of a non-idempotent message starts whose outcome it may not see, as that would lose the
 * message; it is recovered by the next process instead. Times are microseconds on the caller's clock.
 */
final class ShutdownPolicy {
    /** Such an attempt needs so many expected latencies before the end of the process. */
    private static final double MIN_TIME_LEFT_LATENCIES = 3;

    private final ServiceTimes serviceTimes;
    private long stopsAt = Micros.NEVER;

    ShutdownPolicy(ServiceTimes serviceTimes) {
        this.serviceTimes = serviceTimes;
    }

    void stopAt(long at) {
        stopsAt = at;
    }

    /** Whether an attempt to this upstream will end in time, or may be cut off. */
    boolean permits(long now, PendingMessage message, UpstreamHealth health) {
        if (stopsAt == Micros.NEVER || message.messageClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
            return true;
        }
        double latencyMicros = Math.max(serviceTimes.expectedMicros(now, message), health.presentLatencyMicros(now));
        return now + MIN_TIME_LEFT_LATENCIES * latencyMicros < stopsAt;
    }
}
