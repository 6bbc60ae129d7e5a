package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.LateValueDecay;
import amberroute.decisions.collections.AtcIndex;

/**
 * Computes the apparent tardiness cost (ATC) index of Ye et al., which orders messages: I = w · p(success) / s · exp(−max(d −
 * t, 0) / (k · s')), with priority weight w, expected service time s, due date d, current time t, look-ahead parameter k, and
 * the mean service time s' of all waiting messages. The weight w is reduced by what lateness costs. Indexes are returned as
 * logarithms; times are microseconds on the caller's clock.
 */
final class DispatchIndex {
    /** Look-ahead parameter k: how many mean service times ahead of its due date a message becomes urgent. */
    private static final double LOOKAHEAD_SERVICE_TIMES = 25;
    /** Lower bound of the mean service time, so that the index is defined while no message waits. */
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

    /** Updates the mean service time of the waiting messages, which stays the same during a decision. */
    void updateMeanServiceTime(long now) {
        double totalMicros = backlog.waitingMicros(now, Double.NEGATIVE_INFINITY);
        meanServiceMicros = Math.max(MIN_MEAN_SERVICE_MICROS, totalMicros / Math.max(1, pending.waitingCount()));
    }

    /** Returns the look-ahead time: the index grows by a factor of e when the due date comes closer by this time. */
    double lookaheadMicros() {
        return LOOKAHEAD_SERVICE_TIMES * meanServiceMicros;
    }

    /**
     * Sets up the index of a queue's messages. Their due dates are divided into intervals in which the index only rises or only
     * falls, and whose messages cannot be sent for the same reasons.
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

    /** Returns the index of a waiting message. */
    double indexFor(long now, PendingMessage message) {
        return prepare(now, message.queue, scratch).index(message.due);
    }

    /** Returns how many messages of a queue have an index of at least {@code index}. */
    int countAtLeast(long now, DispatchQueue queue, double index) {
        return queue.isEmpty() || candidates.bound(now, queue, queue.earliestDue, lookaheadMicros()) < index
                ? 0
                : prepare(now, queue, scratch).countAtLeast(queue.messages, index);
    }

    /** Returns the total service time of the messages with less priority weight and an index of at least {@code index}. */
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

    /**
     * Returns the waiting message with the lowest index, null if no message waits. Queues whose bound excludes them are not
     * searched.
     */
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
