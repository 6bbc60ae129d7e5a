package amberroute.decisions;

import amberroute.decisions.collections.DecayingSum;
import java.util.List;
import java.util.TreeMap;

/**
 * Estimates the waiting work: the sum of the service times of waiting messages for each priority weight. All service times decay
 * at the same rate, so a sum is known at any time without visiting the messages. Times are microseconds on the caller's clock.
 */
final class BacklogEstimate {
    /** Recounts after which the sums are recomputed, so that rounding errors do not accumulate. */
    private static final int RECOUNTS_BEFORE_RECOMPUTATION = 1 << 16;
    /** {@link DispatchQueue#backlogSteadyMicros} for messages without a measured service time. */
    private static final double NOT_MEASURED = -1;

    /** Sums over all waiting messages of one priority weight. */
    private static final class Sums {
        final DecayingSum measuredMicros = new DecayingSum(ServiceTimes.DECAY_TIME_CONSTANT_MICROS);
        int unmeasuredMessages;
        /** Sum of the latency objectives of the messages without a measured service time. */
        double objectivesMicros;

        double totalMicros(long now, double usualLatencyMicros) {
            return measuredMicros.value(now)
                    + (usualLatencyMicros > 0 ? unmeasuredMessages * usualLatencyMicros : objectivesMicros);
        }

        /** Adds the messages of a queue as they were counted, or subtracts them if {@code sign} is -1. */
        void add(long now, DispatchQueue queue, int sign) {
            int messages = sign * queue.backlogMessages;
            if (queue.backlogSteadyMicros < 0) {
                unmeasuredMessages += messages;
                objectivesMicros += messages * (double) queue.messageClass.latencyObjectiveMicros();
                return;
            }
            double decayingMicros = messages * queue.backlogDecayingMicros;
            if (queue.backlogUpdatedAt != now) {
                decayingMicros *= measuredMicros.decayFactor(queue.backlogUpdatedAt, now);
            }
            measuredMicros.add(now, messages * queue.backlogSteadyMicros, decayingMicros);
        }
    }

    private final ServiceTimes serviceTimes;
    private final TreeMap<Double, Sums> sumsByWeight = new TreeMap<>();
    private int recountsSinceRecomputation;

    BacklogEstimate(ServiceTimes serviceTimes) {
        this.serviceTimes = serviceTimes;
    }

    /**
     * Recounts a queue with the present service time of its destination. Must be called when the service time or the number of
     * messages has changed.
     *
     * @param steadyMicros the part of the service time that does not decay
     * @param decayingMicros the part of the service time that decays
     */
    void recount(long now, DispatchQueue queue, double steadyMicros, double decayingMicros) {
        Destination destination = queue.destination;
        Sums sums = sumsByWeight.get(queue.priorityWeight);
        if (queue.backlogMessages > 0 && sums != null) {
            sums.add(now, queue, -1);
        }
        queue.backlogMessages = queue.messages.size();
        queue.backlogSteadyMicros = destination.serviceMeasured ? steadyMicros : NOT_MEASURED;
        queue.backlogDecayingMicros = decayingMicros;
        queue.backlogUpdatedAt = now;
        queue.logGain = destination.serviceMeasured
                ? Math.log(queue.priorityWeight * destination.successProbability / steadyMicros)
                : 0;
        if (queue.backlogMessages > 0) {
            if (sums == null) {
                sums = sumsByWeight.computeIfAbsent(queue.priorityWeight, weight -> new Sums());
            }
            sums.add(now, queue, 1);
        }
    }

    /** Recomputes the sums if due; must be called after each recount of the queues of a destination. */
    void recomputeIfDue(long now, List<DispatchQueue> nonEmptyQueues) {
        if (++recountsSinceRecomputation <= RECOUNTS_BEFORE_RECOMPUTATION) {
            return;
        }
        recountsSinceRecomputation = 0;
        sumsByWeight.clear();
        for (DispatchQueue queue : nonEmptyQueues) {
            sumsByWeight
                    .computeIfAbsent(queue.priorityWeight, weight -> new Sums())
                    .add(now, queue, 1);
        }
    }

    /** Returns the sum of the service times of all waiting messages with at least this priority weight. */
    double waitingMicros(long now, double minWeight) {
        double totalMicros = 0;
        for (Sums sums : sumsByWeight.tailMap(minWeight, true).values()) {
            totalMicros += sums.totalMicros(now, serviceTimes.usualLatencyMicros());
        }
        return totalMicros;
    }

    /** Returns whether a message with a lower priority weight may be waiting. */
    boolean anyWithLowerWeight(double weight) {
        return !sumsByWeight.headMap(weight, false).isEmpty();
    }

    boolean anyUnmeasured() {
        for (Sums sums : sumsByWeight.values()) {
            if (sums.unmeasuredMessages > 0) {
                return true;
            }
        }
        return false;
    }
}
