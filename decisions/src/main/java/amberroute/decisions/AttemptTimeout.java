package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.MessageClass;

/**
 * When an attempt times out, and from when a call counts as silent before that. Times are microseconds on the caller's clock.
 *
 * <p>Both follow the latency of the upstream: a fixed span would hold all slots where deadlines are short. Cost of a time-out
 * that is too early: the attempt is lost and one more is made; non-idempotent attempts therefore run until the deadline.
 */
final class AttemptTimeout {
    /** An attempt times out after so many expected latencies, doubled with each time-out of the message. */
    private static final double TIMEOUT_LATENCIES = 8;

    private static final int MAX_TIMEOUT_DOUBLINGS = 4;
    /** The least time-out, as connecting is part of a call. */
    private static final long MIN_TIMEOUT_MICROS = 2_000_000;
    /** The least time-out as a share of the time that the message has left. */
    private static final double MIN_TIMEOUT_TIME_LEFT_RATIO = 0.25;
    /** A call is silent after so many usual latencies. Cost of a false positive: the breaker opens on slow connecting. */
    private static final double SILENT_AFTER_LATENCIES = 6;
    /** The least time after which a call is silent, as a share of the longest deadline: connecting is part of a call. */
    private static final double MIN_SILENCE_DEADLINE_RATIO = 1 / 16.0;
    /** A message with fewer service times left may run out of time before a slow answer. */
    private static final double AMPLE_TIME_SERVICE_TIMES = 3;

    private final CurrentSettings settings;
    private final ServiceTimes serviceTimes;

    AttemptTimeout(CurrentSettings settings, ServiceTimes serviceTimes) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
    }

    /**
     * When a call times out: all of its messages together with the first of them, as its connection is closed then. If it were
     * left open for the others, a retry of the first would be a second copy. Cost: a non-idempotent message of the call is lost
     * with it; to wait for that one instead costs more where calls hang.
     */
    long timeoutAt(long now, UpstreamCall call) {
        long earliest = Long.MAX_VALUE;
        for (PendingMessage message : call.messages) {
            earliest = Math.min(earliest, timeoutAt(now, message, call));
        }
        return earliest;
    }

    private long timeoutAt(long now, PendingMessage message, UpstreamCall call) {
        if (message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || message.attempts >= settings.limits().maxAttempts()) {
            return message.due;
        }
        double expectedMicros =
                Math.max(serviceTimes.expectedMicros(now, message), call.endpoint.health.presentLatencyMicros(now));
        double timeoutMicros = Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_LATENCIES * expectedMicros)
                * (1 << Math.min(message.timeouts, MAX_TIMEOUT_DOUBLINGS));
        double minMicros = MIN_TIMEOUT_TIME_LEFT_RATIO * (message.due - now);
        return Math.min(message.due, now + (long) Math.max(timeoutMicros, minMicros));
    }

    /** After how long without an answer a call to this upstream is silent. */
    long silenceThresholdMicros(UpstreamHealth health) {
        double latencyMicros = health.usualLatencyMicros > 0
                ? Math.max(health.usualLatencyMicros, health.presentLatencyMicros)
                : serviceTimes.usualLatencyMicros();
        long minMicros = (long) (MIN_SILENCE_DEADLINE_RATIO * settings.longestDeadlineMicros());
        return Math.max(minMicros, (long) (SILENT_AFTER_LATENCIES * latencyMicros));
    }

    /** Whether the message may run out of time before a slow answer: its call would time out before that is silence. */
    boolean isShortOfTime(long now, PendingMessage message) {
        return message.due < ampleTimeDue(now, message.destination, message.messageClass);
    }

    /** Messages that are due from then on have time to wait for a slow answer. */
    long ampleTimeDue(long now, Destination destination, MessageClass messageClass) {
        return now
                + (long) Math.max(
                        MIN_SILENCE_DEADLINE_RATIO * settings.longestDeadlineMicros(),
                        AMPLE_TIME_SERVICE_TIMES * serviceTimes.expectedMicros(now, destination, messageClass));
    }
}
