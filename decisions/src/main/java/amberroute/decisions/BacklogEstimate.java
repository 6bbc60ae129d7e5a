package amberroute.decisions;

import amberroute.decisions.collections.DecayingSum;
import java.util.List;
import java.util.TreeMap;

/**
 * How much work waits: sums of the service times of waiting messages, one for each priority weight. Service times decay at one
 * rate, so a sum is known at any time without a look at its messages. Times are microseconds on the caller's clock.
 */
final class BacklogEstimate {
    /** Sums are computed anew after so many changes, so that rounding errors do not add up. */
    private static final int RECOUNTS_BEFORE_RECOMPUTATION = 1 << 16;
    /** {@link DispatchQueue#backlogSteadyMicros} of messages whose service time is not known. */
    private static final double NOT_MEASURED = -1;

    /** All waiting messages of one priority weight. */
    private static final class Sums {
        final DecayingSum measuredMicros = new DecayingSum(ServiceTimes.DECAY_TIME_CONSTANT_MICROS);
        int unmeasuredMessages;
        /** Latency objectives of the messages without a measured service time. */
        double objectivesMicros;

        double totalMicros(long now, double usualLatencyMicros) {
            return measuredMicros.value(now)
                    + (usualLatencyMicros > 0 ? unmeasuredMessages * usualLatencyMicros : objectivesMicros);
        }

        /** Adds a queue as it is counted, or takes it away with a {@code sign} of -1. */
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
     * Counts one queue anew with the service time that its destination has now. To be called when that or the number of its
     * messages has changed.
     *
     * @param baselineMicros the part of the service time that stays
     * @param decayingMicros the part that decays
     */
    void recount(long now, DispatchQueue queue, double baselineMicros, double decayingMicros) {
        Destination destination = queue.destination;
        Sums sums = sumsByWeight.get(queue.priorityWeight);
        if (queue.backlogMessages > 0 && sums != null) {
            sums.add(now, queue, -1);
        }
        queue.backlogMessages = queue.messages.size();
        queue.backlogSteadyMicros = destination.serviceMeasured ? baselineMicros : NOT_MEASURED;
        queue.backlogDecayingMicros = decayingMicros;
        queue.backlogUpdatedAt = now;
        queue.logGain = destination.serviceMeasured
                ? Math.log(queue.priorityWeight * destination.successProbability / baselineMicros)
                : 0;
        if (queue.backlogMessages > 0) {
            if (sums == null) {
                sums = sumsByWeight.computeIfAbsent(queue.priorityWeight, weight -> new Sums());
            }
            sums.add(now, queue, 1);
        }
    }

    /** To be called behind each recount of a destination's queues. */
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

    /** The service times of all waiting messages with at least this priority weight. */
    double waitingMicros(long now, double minWeight) {
        double totalMicros = 0;
        for (Sums sums : sumsByWeight.tailMap(minWeight, true).values()) {
            totalMicros += sums.totalMicros(now, serviceTimes.usualLatencyMicros());
        }
        return totalMicros;
    }

    /** Whether any message with less priority weight may be waiting. */
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
