package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;
import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.KeyScope;

/**
 * Decides whether, where and when a message may be retried, and whether it may be rejected. An attempt with an unknown outcome may
 * have run. After it, a non-idempotent message is not retried, and one with an idempotency key only where and as long as the key
 * is known. Times are microseconds on the caller's clock.
 *
 * <p>If the outcome is unknown but the attempt did not run, a non-idempotent message fails undelivered.
 */
final class RetryPolicy {
    /** Time before the end of a key's life from which the key counts as forgotten, as a retry takes time to arrive. */
    private static final long KEY_LIFE_MARGIN_MICROS = 300_000;
    /** Minimum number of attempts without backoff; if there are more endpoints, one attempt for each of them. */
    private static final int MIN_ATTEMPTS_WITHOUT_BACKOFF = 2;

    private final Backoff backoff;

    RetryPolicy(Backoff backoff) {
        this.backoff = backoff;
    }

    /** Returns until when the message may be retried, NEVER if only its deadline limits that. */
    static long retryableUntil(PendingMessage message) {
        if (!message.outcomeUnknown() || message.messageClass.idempotency() == Idempotency.IDEMPOTENT) {
            return Micros.NEVER;
        }
        return message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 0
                : message.unknownOutcomeSince + message.messageClass.keyLifeMicros() - KEY_LIFE_MARGIN_MICROS;
    }

    /** Returns whether the message may be retried at every endpoint of its destination. */
    static boolean retryableAnywhere(PendingMessage message) {
        return !message.outcomeUnknown()
                || message.messageClass.idempotency() == Idempotency.IDEMPOTENT
                || message.messageClass.keyScope() == KeyScope.DESTINATION;
    }

    /** Returns whether the message may be retried at this endpoint: the endpoint knows the key if an earlier attempt ran. */
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

    /** Returns whether a rejection is safe: no attempt is in flight, and none may have run unless a repetition does no harm. */
    static boolean mayReject(PendingMessage message) {
        if (message.call != null) {
            return false;
        }
        Idempotency idempotency = message.messageClass.idempotency();
        return idempotency == Idempotency.IDEMPOTENT
                || !message.outcomeUnknown()
                || idempotency == Idempotency.KEYED && message.messageClass.keyScope() == KeyScope.DESTINATION;
    }

    /** Records an attempt that may have run; only the first one of a message is kept. */
    static void recordUnknownOutcome(PendingMessage message, UpstreamCall call) {
        if (!message.outcomeUnknown()) {
            message.unknownOutcomeSince = call.sentAt;
            message.unknownOutcomeEndpoint = call.endpoint;
        }
    }

    /**
     * Sets the backoff of a message once it has had as many attempts as there are endpoints, and at least {@link
     * #MIN_ATTEMPTS_WITHOUT_BACKOFF}.
     */
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
