package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * The index of the messages of one dispatch queue as a function of their due dates alone, and the stretches of due dates in which
 * it only falls or only rises. Priority weight, success probability and service time are common to them, and the latency objective
 * of a message is its due date less a constant. All spans are microseconds. Not thread-safe.
 *
 * <p>The index I = w · left(t + s) · p / s · exp(−max(d − t, 0) / K), with weight w, success probability p, service time s, due date
 * d and pressure span K, is kept as its logarithm: it falls below the least double where due dates are some 700 K away, and messages
 * would tie there. An index of 0 is −infinity. From the latest due date to the earliest: what will be on time has all of its value
 * left, so the index falls with the due date. Where the value falls linearly it is (a + b·d)·exp(−d / K), which has one peak, K −
 * a/b. Where it halves it is a staircase that falls on each step. What cannot be answered before it is due has the late share left.
 */
public final class AtcIndex {
    /** Steps of a staircase; what lies below the last has less than 2^−60 of its value left, and counts as one step. */
    private static final int MAX_STEPS = 60;

    private static final int INITIAL_STRETCHES = 8;

    private double gain;
    private double serviceMicros;
    private double pressureSpanMicros;
    private long now;
    /** Span from the latency objective to the due date. */
    private long slackMicros;

    private long objectiveMicros;
    private double lateShare;
    private boolean halving;
    private int stretches;
    private long[] begins = new long[INITIAL_STRETCHES];
    private long[] ends = new long[INITIAL_STRETCHES];
    private boolean[] rising = new boolean[INITIAL_STRETCHES];

    /**
     * Sets what the messages have in common; spans are above 0.
     *
     * @param successProbability share of calls that succeed
     * @param pressureSpan the span by which urgency grows
     * @param toObjective span from the submission of a message to its latency objective
     * @param toDeadline span from the submission of a message to its deadline
     * @param lateValueShare share of the value that is left at the deadline
     * @param halves whether the value halves with each latency objective, rather than falling linearly
     */
    public void set(
            double priorityWeight,
            double successProbability,
            double serviceTime,
            long at,
            double pressureSpan,
            long toObjective,
            long toDeadline,
            double lateValueShare,
            boolean halves) {
        gain = priorityWeight * successProbability / serviceTime;
        serviceMicros = serviceTime;
        pressureSpanMicros = pressureSpan;
        now = at;
        objectiveMicros = toObjective;
        slackMicros = toDeadline - toObjective;
        lateShare = lateValueShare;
        halving = halves;
    }

    /** The logarithm of the index of a message that is due then. */
    public double index(long due) {
        return Math.log(valueLeft(due) * gain) - Math.max(due - now, 0) / pressureSpanMicros;
    }

    /** Share of the value that is left when the message has been served. */
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

    // ---- Stretches. ----

    /** Divides all due dates from {@code first} on into stretches, also at the two cuts that are given. */
    public void divide(long first, long cut, long otherCut) {
        stretches = 0;
        long served = (long) Math.ceil(now + serviceMicros);
        long onTime = served + slackMicros;
        if (lateShare >= 1) {
            addStretch(Long.MIN_VALUE, onTime, false);
        } else if (halving) {
            addStaircase(first, onTime);
        } else if (slackMicros <= 0) {
            // All value is lost within a microsecond of the objective.
            addStretch(Long.MIN_VALUE, onTime - 1, false);
            addStretch(onTime - 1, onTime, false);
        } else {
            long peak = (long) Math.ceil(Math.min(
                    onTime,
                    Math.max(
                            served,
                            pressureSpanMicros + now + serviceMicros + slackMicros - slackMicros / (1 - lateShare))));
            addStretch(Long.MIN_VALUE, served, false);
            addStretch(served, peak, true);
            addStretch(peak, onTime, false);
        }
        addStretch(onTime, Long.MAX_VALUE, false);
        cut(cut);
        cut(otherCut);
    }

    private void addStaircase(long first, long onTime) {
        int steps = 0;
        while (steps < MAX_STEPS && Math.pow(0.5, steps + 1) > lateShare && stepBegin(steps + 1) > first) {
            steps++;
        }
        addStretch(Long.MIN_VALUE, stepBegin(steps), false);
        for (int step = steps; step > 0; step--) {
            addStretch(stepBegin(step), step == 1 ? onTime : stepBegin(step - 1), false);
        }
    }

    /** The due date at which the step begins on which so many halvings are lost. */
    private long stepBegin(int halvings) {
        return (long) Math.ceil(now + serviceMicros + slackMicros - (double) halvings * objectiveMicros);
    }

    private void addStretch(long begin, long end, boolean rises) {
        if (begin < end) {
            if (stretches == begins.length) {
                begins = Arrays.copyOf(begins, 2 * stretches);
                ends = Arrays.copyOf(ends, 2 * stretches);
                rising = Arrays.copyOf(rising, 2 * stretches);
            }
            begins[stretches] = begin;
            ends[stretches] = end;
            rising[stretches++] = rises;
        }
    }

    private void cut(long at) {
        for (int i = 0; i < stretches; i++) {
            if (begins[i] < at && at < ends[i]) {
                long end = ends[i];
                ends[i] = at;
                addStretch(at, end, rising[i]);
                return;
            }
        }
    }

    int stretches() {
        return stretches;
    }

    /** The first due date of a stretch. */
    long begin(int stretch) {
        return begins[stretch];
    }

    /** The due date behind a stretch. */
    long end(int stretch) {
        return ends[stretch];
    }

    boolean rising(int stretch) {
        return rising[stretch];
    }

    // ---- Questions to a treap of such messages; divide() comes first. ----

    /** How many messages have this index or a higher one. */
    public <N extends DueDateTreap.Node<N>> int countAtLeast(DueDateTreap<N> messages, double least) {
        int count = 0;
        for (int i = 0; i < stretches; i++) {
            if (rising[i]) {
                long first = messages.boundary(begins[i], ends[i], due -> index(due) < least);
                count += messages.count(first, ends[i]);
            } else {
                long end = messages.boundary(begins[i], ends[i], due -> index(due) >= least);
                count += messages.count(begins[i], end);
            }
        }
        return count;
    }

    /** The message with the least index, of equals the one with the smallest number; null in an empty treap. */
    public <N extends DueDateTreap.Node<N>> N least(DueDateTreap<N> messages) {
        N least = null;
        double leastIndex = 0;
        for (int i = 0; i < stretches; i++) {
            N candidate = rising[i]
                    ? messages.earliest(begins[i], ends[i], false)
                    : messages.latest(begins[i], ends[i], false);
            if (candidate == null) {
                continue;
            }
            double index = index(candidate.due);
            if (least == null || index < leastIndex || index == leastIndex && candidate.number < least.number) {
                least = candidate;
                leastIndex = index;
            }
        }
        return least;
    }
}
