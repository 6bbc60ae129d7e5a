package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Idempotency;

/**
 * Holds back attempts of non-idempotent messages whose outcome would probably arrive after the process has ended. Such a message
 * would be lost; the next process recovers it instead. Times are microseconds on the caller's clock.
 */
final class ShutdownPolicy {
    /** Time that an attempt of a non-idempotent message needs before the end of the process, in expected latencies. */
    private static final double MIN_TIME_LEFT_LATENCIES = 3;

    private final ServiceTimes serviceTimes;
    private long stopsAt = Micros.NEVER;

    ShutdownPolicy(ServiceTimes serviceTimes) {
        this.serviceTimes = serviceTimes;
    }

    void stopAt(long at) {
        stopsAt = at;
    }

    /** Returns whether an attempt to this upstream is expected to end in time, or may be interrupted without harm. */
    boolean permits(long now, PendingMessage message, UpstreamHealth health) {
        if (stopsAt == Micros.NEVER || message.messageClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
            return true;
        }
        double latencyMicros = Math.max(serviceTimes.expectedMicros(now, message), health.presentLatencyMicros(now));
        return now + MIN_TIME_LEFT_LATENCIES * latencyMicros < stopsAt;
    }
}
