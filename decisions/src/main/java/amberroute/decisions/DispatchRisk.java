package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.MessageClass;

/**
 * Decides which messages may be sent while it is in doubt whether calls to an upstream succeed: those whose failure costs
 * least. After a failed call an idempotent message is sent again, a keyed message has used up part of its key life, and a
 * non-idempotent message is lost. Messages with enough time to wait for a slow answer are preferred, as an early time-out
 * proves nothing. This covers trials in an outage, partial failures, slow starts and the first calls of a new process. Times
 * are microseconds on the caller's clock.
 *
 * <p>Cost of a false positive: while most calls keep failing, non-idempotent messages wait until little of their time is left.
 */
final class DispatchRisk {
    /**
     * Share of failed calls among the recent ones that ran, from which an upstream is in doubt. Two failures in a row reach it.
     */
    private static final double DOUBTFUL_FAILURE_RATIO = 0.25;
    /**
     * Share of its deadline: with less time left, a message is sent to an upstream in doubt, unless the upstream is unproven
     * (breaker open, or no success known).
     */
    private static final double RISK_ACCEPTED_DEADLINE_RATIO = 0.25;
    /** Risk class of a non-idempotent message; other messages have the ordinal of their idempotency. */
    private static final int NON_IDEMPOTENT_RISK = 4;
    /** Added to the risk class of a message that is short of time. */
    private static final int SHORT_OF_TIME_RISK = 2;

    private final AttemptTimeout attemptTimeout;

    DispatchRisk(AttemptTimeout attemptTimeout) {
        this.attemptTimeout = attemptTimeout;
    }

    /** Returns whether a message may be sent to an upstream in a selection round. */
    boolean permits(long now, long round, PendingMessage message, UpstreamHealth health) {
        boolean nearDeadline = message.due - now < RISK_ACCEPTED_DEADLINE_RATIO * message.messageClass.deadlineMicros();
        return !health.isUnproven() && (health.failureRatio < DOUBTFUL_FAILURE_RATIO || nearDeadline)
                || riskOf(message.messageClass, attemptTimeout.isShortOfTime(now, message))
                        <= leastRisk(now, round, message.destination);
    }

    /** Returns the due date before which messages of the class are sent to an upstream in doubt. */
    static long riskAcceptedDue(long now, MessageClass messageClass) {
        return now + (long) (RISK_ACCEPTED_DEADLINE_RATIO * messageClass.deadlineMicros());
    }

    /** Returns the lowest risk class of the messages that may be sent to a destination or are in flight there. */
    private int leastRisk(long now, long round, Destination destination) {
        if (destination.leastRiskRound != round) {
            destination.leastRiskRound = round;
            destination.leastRisk = Math.min(leastWaitingRisk(now, destination), leastInFlightRisk(now, destination));
        }
        return destination.leastRisk;
    }

    private int leastWaitingRisk(long now, Destination destination) {
        int least = Integer.MAX_VALUE;
        for (DispatchQueue queue : destination.queues) {
            if (queue.messages.firstOfKeyCount() > 0) {
                long ampleTimeDue = attemptTimeout.ampleTimeDue(now, destination, queue.messageClass);
                boolean shortOfTime = queue.messages.latestFirstOfKeyDue() < ampleTimeDue;
                least = Math.min(least, riskOf(queue.messageClass, shortOfTime));
            }
        }
        return least;
    }

    private int leastInFlightRisk(long now, Destination destination) {
        int least = Integer.MAX_VALUE;
        for (Endpoint endpoint : destination.endpoints) {
            for (UpstreamCall call : endpoint.health.callsInFlight) {
                for (PendingMessage message : call.messages) {
                    if (message.call == call) {
                        boolean shortOfTime = attemptTimeout.isShortOfTime(now, message);
                        least = Math.min(least, riskOf(message.messageClass, shortOfTime));
                    }
                }
            }
        }
        return least;
    }

    private static int riskOf(MessageClass messageClass, boolean shortOfTime) {
        return messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? NON_IDEMPOTENT_RISK
                : messageClass.idempotency().ordinal() + (shortOfTime ? SHORT_OF_TIME_RISK : 0);
    }
}
