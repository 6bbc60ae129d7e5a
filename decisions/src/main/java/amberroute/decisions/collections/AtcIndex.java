package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * The index of the messages of one dispatch queue as a function of their due dates alone, and the intervals of due dates in
 * which it only falls or only rises. The messages of a queue have priority weight, success probability and service time in
 * common, and the latency objective of each lies a constant time before its due date. All times are microseconds. Not
 * thread-safe.
 *
 * <p>The index I = w · v(t + s) · p / s · exp(−max(d − t, 0) / K) has priority weight w, share v of the value that is left when
 * the call ends, current time t, service time s, success probability p, due date d and look-ahead time K. It is kept as its
 * logarithm, because doubles underflow for due dates some 700 K ahead, where messages would tie. An index of 0 is −infinity.
 *
 * <p>From the latest due dates to the earliest: messages that will be on time have their full value left, so a later due date
 * means a lower index. Where the value falls linearly, the index is (a + b·d) · exp(−d / K), which has one peak at K − a/b.
 * Where the value halves, it is a step function, and the index falls within each step. Messages that cannot be answered before
 * they are due have the late share of their value left.
 */
public final class AtcIndex {
    /**
     * Halvings of the value that are distinguished; messages with more halvings have less than 2^−60 of their value left and
     * count as one step.
     */
    private static final int MAX_HALVINGS = 60;

    private static final int INITIAL_INTERVALS = 8;

    private double gain;
    private double serviceMicros;
    private double lookaheadMicros;
    private long now;
    /** Time from the latency objective to the due date. */
    private long slackMicros;

    private long objectiveMicros;
    private double lateShare;
    private boolean halving;
    private int intervalCount;
    private long[] begins = new long[INITIAL_INTERVALS];
    private long[] ends = new long[INITIAL_INTERVALS];
    private boolean[] rising = new boolean[INITIAL_INTERVALS];

    /**
     * Sets what the messages have in common; all times are above 0.
     *
     * @param successProbability share of calls that succeed
     * @param lookaheadSpanMicros time over which the index grows by a factor of e
     * @param latencyObjectiveMicros time from the submission of a message to its latency objective
     * @param deadlineMicros time from the submission of a message to its deadline
     * @param lateValueShare share of the value that is left at the deadline
     * @param valueHalves whether the value halves with each latency objective, rather than falling linearly
     */
    public void set(
            double priorityWeight,
            double successProbability,
            double expectedServiceMicros,
            long currentTime,
            double lookaheadSpanMicros,
            long latencyObjectiveMicros,
            long deadlineMicros,
            double lateValueShare,
            boolean valueHalves) {
        gain = priorityWeight * successProbability / expectedServiceMicros;
        serviceMicros = expectedServiceMicros;
        lookaheadMicros = lookaheadSpanMicros;
        now = currentTime;
        objectiveMicros = latencyObjectiveMicros;
        slackMicros = deadlineMicros - latencyObjectiveMicros;
        lateShare = lateValueShare;
        halving = valueHalves;
    }

    /** Returns the logarithm of the index of a message with this due date. */
    public double index(long due) {
        return Math.log(valueLeft(due) * gain) - Math.max(due - now, 0) / lookaheadMicros;
    }

    /** Returns the share of the value that is left when the message has been served. */
    private double valueLeft(long due) {
        double lateMicros = now + serviceMicros - (due - slackMicros);
        if (lateMicros <= 0) {
            return 1;
        }
        if (halving) {
            return Math.max(lateShare, Math.pow(0.5, Math.ceil(lateMicros / objectiveMicros)));
        }
        return 1 - (1 - lateShare) * Math.min(1, lateMicros / Math.max(1, slackMicros));
    }

    // ---- Intervals of due dates. ----

    /** Divides all due dates from {@code earliestDue} on into intervals, with a split at each of the two given due dates. */
    public void divide(long earliestDue, long splitDue, long otherSplitDue) {
        intervalCount = 0;
        long servedAt = (long) Math.ceil(now + serviceMicros);
        long earliestOnTimeDue = servedAt + slackMicros;
        if (lateShare >= 1) {
            addInterval(Long.MIN_VALUE, earliestOnTimeDue, false);
        } else if (halving) {
            addHalvingSteps(earliestDue, earliestOnTimeDue);
        } else if (slackMicros <= 0) {
            // The whole value is lost within a microsecond of the objective.
            addInterval(Long.MIN_VALUE, earliestOnTimeDue - 1, false);
            addInterval(earliestOnTimeDue - 1, earliestOnTimeDue, false);
        } else {
            long peakDue = (long) Math.ceil(Math.min(
                    earliestOnTimeDue,
                    Math.max(
                            servedAt,
                            lookaheadMicros + now + serviceMicros + slackMicros - slackMicros / (1 - lateShare))));
            addInterval(Long.MIN_VALUE, servedAt, false);
            addInterval(servedAt, peakDue, true);
            addInterval(peakDue, earliestOnTimeDue, false);
        }
        addInterval(earliestOnTimeDue, Long.MAX_VALUE, false);
        splitAt(splitDue);
        splitAt(otherSplitDue);
    }

    private void addHalvingSteps(long earliestDue, long earliestOnTimeDue) {
        int steps = 0;
        while (steps < MAX_HALVINGS && Math.pow(0.5, steps + 1) > lateShare && stepBegin(steps + 1) > earliestDue) {
            steps++;
        }
        addInterval(Long.MIN_VALUE, stepBegin(steps), false);
        for (int step = steps; step > 0; step--) {
            addInterval(stepBegin(step), step == 1 ? earliestOnTimeDue : stepBegin(step - 1), false);
        }
    }

    /** Returns the due date at which the step begins that has this many halvings. */
    private long stepBegin(int halvings) {
        return (long) Math.ceil(now + serviceMicros + slackMicros - (double) halvings * objectiveMicros);
    }

    private void addInterval(long begin, long end, boolean isRising) {
        if (begin < end) {
            if (intervalCount == begins.length) {
                begins = Arrays.copyOf(begins, 2 * intervalCount);
                ends = Arrays.copyOf(ends, 2 * intervalCount);
                rising = Arrays.copyOf(rising, 2 * intervalCount);
            }
            begins[intervalCount] = begin;
            ends[intervalCount] = end;
            rising[intervalCount++] = isRising;
        }
    }

    private void splitAt(long due) {
        for (int i = 0; i < intervalCount; i++) {
            if (begins[i] < due && due < ends[i]) {
                long end = ends[i];
                ends[i] = due;
                addInterval(due, end, rising[i]);
                return;
            }
        }
    }

    int intervalCount() {
        return intervalCount;
    }

    /** Returns the first due date of an interval. */
    long begin(int interval) {
        return begins[interval];
    }

    /** Returns the first due date after an interval. */
    long end(int interval) {
        return ends[interval];
    }

    boolean rising(int interval) {
        return rising[interval];
    }

    // ---- Queries on a treap of such messages; divide() must be called first. ----

    /** Returns the number of messages with an index of at least {@code minIndex}. */
    public <N extends DueDateTreap.Node<N>> int countAtLeast(DueDateTreap<N> messages, double minIndex) {
        int count = 0;
        for (int i = 0; i < intervalCount; i++) {
            if (rising[i]) {
                long first = messages.boundary(begins[i], ends[i], due -> index(due) < minIndex);
                count += messages.count(first, ends[i]);
            } else {
                long end = messages.boundary(begins[i], ends[i], due -> index(due) >= minIndex);
                count += messages.count(begins[i], end);
            }
        }
        return count;
    }

    /**
     * Returns the message with the lowest index, and among equal ones that with the smallest sequence number; null if the treap
     * is empty.
     */
    public <N extends DueDateTreap.Node<N>> N lowestIndexMessage(DueDateTreap<N> messages) {
        N lowest = null;
        double lowestIndex = 0;
        for (int i = 0; i < intervalCount; i++) {
            N candidate = rising[i]
                    ? messages.earliest(begins[i], ends[i], false)
                    : messages.latest(begins[i], ends[i], false);
            if (candidate == null) {
                continue;
            }
            double index = index(candidate.due);
            if (lowest == null
                    || index < lowestIndex
                    || index == lowestIndex && candidate.sequenceNumber < lowest.sequenceNumber) {
                lowest = candidate;
                lowestIndex = index;
            }
        }
        return lowest;
    }
}
