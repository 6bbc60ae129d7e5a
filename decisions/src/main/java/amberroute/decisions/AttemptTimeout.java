package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.MessageClass;

/**
 * Computes when an attempt times out, and when a call counts as silent before that. Times are microseconds on the caller's clock.
 *
 * <p>Both depend on the latency of the upstream, as a fixed time would block all slots if deadlines are short. Cost of a timeout
 * that is too early: the attempt is lost and has to be repeated. Attempts of non-idempotent messages therefore run until the
 * deadline.
 */
final class AttemptTimeout {
    /** Timeout of an attempt in expected latencies, doubled with each timeout of the message. */
    private static final double TIMEOUT_LATENCIES = 8;

    private static final int MAX_TIMEOUT_DOUBLINGS = 4;
    /** Minimum timeout, as a call may include connecting. */
    private static final long MIN_TIMEOUT_MICROS = 2_000_000;
    /** Minimum timeout as a share of the time that the message has left. */
    private static final double MIN_TIMEOUT_TIME_LEFT_RATIO = 0.25;
    /** Time after which a call is silent, in usual latencies. Cost of a false positive: slow connecting opens the breaker. */
    private static final double SILENT_AFTER_LATENCIES = 6;
    /** Minimum time after which a call is silent, as a share of the longest deadline; a call may include connecting. */
    private static final double MIN_SILENCE_DEADLINE_RATIO = 1 / 16.0;
    /** A message with fewer expected service times left may reach its deadline before a slow answer arrives. */
    private static final double AMPLE_TIME_SERVICE_TIMES = 3;

    private final CurrentSettings settings;
    private final ServiceTimes serviceTimes;

    AttemptTimeout(CurrentSettings settings, ServiceTimes serviceTimes) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
    }

    /**
     * Returns when a call times out. All its messages time out with the first of them, as the connection is closed then. If the
     * connection stayed open for the others, a retry of the first message would be a duplicate. Cost: a non-idempotent message
     * of the call is lost with it. To wait for that message instead would cost more if calls hang.
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

    /** Returns the time without an answer after which a call to this upstream is silent. */
    long silenceThresholdMicros(UpstreamHealth health) {
        double latencyMicros = health.usualLatencyMicros > 0
                ? Math.max(health.usualLatencyMicros, health.presentLatencyMicros)
                : serviceTimes.usualLatencyMicros();
        long minMicros = (long) (MIN_SILENCE_DEADLINE_RATIO * settings.longestDeadlineMicros());
        return Math.max(minMicros, (long) (SILENT_AFTER_LATENCIES * latencyMicros));
    }

    /** Returns whether the message may reach its deadline before a slow answer, so that its call times out before it is silent. */
    boolean isShortOfTime(long now, PendingMessage message) {
        return message.due < ampleTimeDue(now, message.destination, message.messageClass);
    }

    /** Returns the due date from which on messages have time to wait for a slow answer. */
    long ampleTimeDue(long now, Destination destination, MessageClass messageClass) {
        return now
                + (long) Math.max(
                        MIN_SILENCE_DEADLINE_RATIO * settings.longestDeadlineMicros(),
                        AMPLE_TIME_SERVICE_TIMES * serviceTimes.expectedMicros(now, destination, messageClass));
    }
}
