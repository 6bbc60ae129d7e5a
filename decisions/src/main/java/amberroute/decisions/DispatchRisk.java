package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Idempotency;
import amberroute.decisions.DeliveryScheduler.MessageClass;

/**
 * Which messages may be risked while it is in doubt whether calls to an upstream succeed: those whose failure costs least. An
 * idempotent one is just sent again, one with an idempotency key uses up the life of its key, a non-idempotent one is lost; and
 * rather those with time to wait for a slow answer, as an early time-out proves nothing. This covers trials in any outage, partial
 * failures, slow starts and what a new process finds. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a false positive: where most calls go on failing, non-idempotent messages wait for the last part of their time.
 */
final class DispatchRisk {
    /** Share of recent calls that ran and failed from which an upstream is in doubt: two in a row. */
    private static final double DOUBTFUL_FAILURE_RATIO = 0.25;
    /** A message takes the risk of a closed breaker once less than this share of its deadline is left. */
    private static final double RISK_ACCEPTED_DEADLINE_RATIO = 0.25;
    /** Cost class of a non-idempotent message; others have the ordinal of their idempotency. */
    private static final int NON_IDEMPOTENT_RISK = 4;
    /** Added for a message that is short of time. */
    private static final int SHORT_OF_TIME_RISK = 2;

    private final AttemptTimeout attemptTimeout;

    DispatchRisk(AttemptTimeout attemptTimeout) {
        this.attemptTimeout = attemptTimeout;
    }

    /** Whether a message may be sent to an upstream in a selection round. */
    boolean permits(long now, long round, PendingMessage message, UpstreamHealth health) {
        boolean nearDeadline = message.due - now < RISK_ACCEPTED_DEADLINE_RATIO * message.messageClass.deadlineMicros();
        return !health.isUnproven() && (health.failureRatio < DOUBTFUL_FAILURE_RATIO || nearDeadline)
                || riskOf(message.messageClass, attemptTimeout.isShortOfTime(now, message))
                        <= leastRisk(now, round, message.destination);
    }

    /** Messages of the class that are due before then take the risk of an upstream in doubt. */
    static long riskAcceptedDue(long now, MessageClass messageClass) {
        return now + (long) (RISK_ACCEPTED_DEADLINE_RATIO * messageClass.deadlineMicros());
    }

    /** The least cost of a failed call among the messages that may go to a destination or are in flight there. */
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
