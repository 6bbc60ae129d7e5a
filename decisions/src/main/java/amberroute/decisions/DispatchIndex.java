package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.LateValueDecay;
import amberroute.decisions.collections.AtcIndex;

/**
 * The apparent-tardiness-cost (ATC) index of Ye et al. that orders messages: I = w · p(success) / s · exp(−max(d − t, 0) / (k
 * s')), with priority weight w, expected service time s, due date d, and the mean service time s' of all that waits. Weight that
 * is lost by lateness is taken off w. Indexes are given as logarithms, times as microseconds on the caller's clock.
 */
final class DispatchIndex {
    /** k of the index: how many mean service times ahead of its due date a message becomes urgent. */
    private static final double LOOKAHEAD_SERVICE_TIMES = 25;
    /** Least mean service time, so that the index is defined while nothing waits. */
    private static final double MIN_MEAN_SERVICE_MICROS = 1;

    private final CurrentSettings settings;
    private final ServiceTimes serviceTimes;
    private final AttemptTimeout attemptTimeout;
    private final DispatchCandidates candidates;
    private final BacklogEstimate backlog;
    private final PendingMessages pending;
    private final AtcIndex scratch = new AtcIndex();
    private double meanServiceMicros;

    DispatchIndex(
            CurrentSettings settings,
            ServiceTimes serviceTimes,
            AttemptTimeout attemptTimeout,
            DispatchCandidates candidates,
            BacklogEstimate backlog,
            PendingMessages pending) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
        this.attemptTimeout = attemptTimeout;
        this.candidates = candidates;
        this.backlog = backlog;
        this.pending = pending;
    }

    /** Takes the mean service time of what waits now: the same for a whole decision. */
    void updateMeanServiceTime(long now) {
        double totalMicros = backlog.waitingMicros(now, Double.NEGATIVE_INFINITY);
        meanServiceMicros = Math.max(MIN_MEAN_SERVICE_MICROS, totalMicros / Math.max(1, pending.waitingCount()));
    }

    /** The span by which a message's pressure grows as its due date comes nearer. */
    double lookaheadMicros() {
        return LOOKAHEAD_SERVICE_TIMES * meanServiceMicros;
    }

    /**
     * Prepares the index of a queue's messages, cut into stretches of due dates in which it only rises or only falls and whose
     * messages fail for the same reasons.
     */
    AtcIndex prepare(long now, DispatchQueue queue, AtcIndex target) {
        target.set(
                queue.priorityWeight,
                queue.destination.successProbability,
                serviceTimes.expectedMicros(now, queue),
                now,
                lookaheadMicros(),
                queue.messageClass.latencyObjectiveMicros(),
                queue.messageClass.deadlineMicros(),
                queue.messageClass.lateValueShare(),
                settings.get().lateValueDecay() == LateValueDecay.HALVING);
        target.divide(
                queue.earliestDue,
                attemptTimeout.ampleTimeDue(now, queue.destination, queue.messageClass),
                DispatchRisk.riskAcceptedDue(now, queue.messageClass));
        return target;
    }

    /** The index of a message that waits. */
    double indexFor(long now, PendingMessage message) {
        return prepare(now, message.queue, scratch).index(message.due);
    }

    /** How many messages of a queue have an index that is no less. */
    int countAtLeast(long now, DispatchQueue queue, double index) {
        return queue.isEmpty() || candidates.bound(now, queue, queue.earliestDue, lookaheadMicros()) < index
                ? 0
                : prepare(now, queue, scratch).countAtLeast(queue.messages, index);
    }

    /** The service times of all messages with less priority weight whose index is no less. */
    double serviceMicrosAhead(long now, double weight, double index) {
        double totalMicros = 0;
        if (backlog.anyWithLowerWeight(weight)) {
            for (DispatchQueue queue : pending.nonEmptyQueues()) {
                int messagesAhead = queue.priorityWeight < weight ? countAtLeast(now, queue, index) : 0;
                totalMicros += messagesAhead > 0 ? messagesAhead * serviceTimes.expectedMicros(now, queue) : 0;
            }
        }
        return totalMicros;
    }

    /** The waiting message with the least index, null for none; queues whose bound excludes it are not searched. */
    PendingMessage lowestIndexMessage(long now) {
        PendingMessage lowest = null;
        double lowestIndex = 0;
        for (DispatchQueue queue : pending.nonEmptyQueues()) {
            double lowerBound = candidates.lowerBound(now, queue, lookaheadMicros());
            if (lowest == null || lowerBound <= lowestIndex) {
                PendingMessage message = prepare(now, queue, scratch).lowestIndexMessage(queue.messages);
                double index = scratch.index(message.due);
                if (lowest == null
                        || index < lowestIndex
                        || index == lowestIndex && message.sequenceNumber < lowest.sequenceNumber) {
                    lowest = message;
                    lowestIndex = index;
                }
            }
        }
        return lowest;
    }
}
