package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;
import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.KeyScope;

/**
 * Whether, where and when a message may be sent again, and whether it may be rejected. An attempt whose outcome is unknown may
 * have run: a non-idempotent message is not repeated then, one with an idempotency key only where and while the key is known.
 * Times are microseconds on the caller's clock.
 *
 * <p>Cost of an outcome that is unknown although the attempt did not run: a non-idempotent message fails undelivered.
 */
final class RetryPolicy {
    /** Allowance for the transit of a call: a key counts as forgotten so much before its life ends. */
    private static final long KEY_LIFE_MARGIN_MICROS = 300_000;
    /** Messages are tried again at once until each endpoint has been tried, and so often at least. */
    private static final int MIN_ATTEMPTS_WITHOUT_BACKOFF = 2;

    private final Backoff backoff;

    RetryPolicy(Backoff backoff) {
        this.backoff = backoff;
    }

    /** Until when the message may be sent again, NEVER for no limit but its deadline. */
    static long retryableUntil(PendingMessage message) {
        if (!message.outcomeUnknown() || message.messageClass.idempotency() == Idempotency.IDEMPOTENT) {
            return Micros.NEVER;
        }
        return message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 0
                : message.unknownOutcomeSince + message.messageClass.keyLifeMicros() - KEY_LIFE_MARGIN_MICROS;
    }

    /** Whether the message may be repeated at any endpoint of its destination. */
    static boolean retryableAnywhere(PendingMessage message) {
        return !message.outcomeUnknown()
                || message.messageClass.idempotency() == Idempotency.IDEMPOTENT
                || message.messageClass.keyScope() == KeyScope.DESTINATION;
    }

    /** Whether the message may be repeated at this endpoint: the endpoint knows its key if an earlier attempt ran. */
    static boolean retryableAt(PendingMessage message, Endpoint endpoint) {
        if (retryableAnywhere(message)) {
            return true;
        }
        Endpoint earlierEndpoint = message.unknownOutcomeEndpoint;
        if (earlierEndpoint == null) {
            return false;
        }
        return message.messageClass.keyScope() == KeyScope.ZONE
                ? earlierEndpoint.zone == endpoint.zone
                : earlierEndpoint == endpoint;
    }

    /** Whether a rejection is harmless: no attempt is in flight, and none may have run unless a repetition does no harm. */
    static boolean mayReject(PendingMessage message) {
        if (message.call != null) {
            return false;
        }
        Idempotency idempotency = message.messageClass.idempotency();
        return idempotency == Idempotency.IDEMPOTENT
                || !message.outcomeUnknown()
                || idempotency == Idempotency.KEYED && message.messageClass.keyScope() == KeyScope.DESTINATION;
    }

    /** Takes note of an attempt that may have run: the first of them counts. */
    static void recordUnknownOutcome(PendingMessage message, UpstreamCall call) {
        if (!message.outcomeUnknown()) {
            message.unknownOutcomeSince = call.sentAt;
            message.unknownOutcomeEndpoint = call.endpoint;
        }
    }

    /** Sets the backoff of a message that each endpoint may have failed by now. */
    void backOff(long now, PendingMessage message, UpstreamHealth health, AttemptCompleted event) {
        int attemptsWithoutBackoff = Math.max(MIN_ATTEMPTS_WITHOUT_BACKOFF, message.destination.endpoints.size());
        if (message.attempts >= attemptsWithoutBackoff) {
            message.backoffUntil = now
                    + backoff.delayMicros(
                            backoff.senderSpacingMicros(health, event),
                            0,
                            message.messageClass.deadlineMicros(),
                            message.attempts - 1);
        }
    }
}
