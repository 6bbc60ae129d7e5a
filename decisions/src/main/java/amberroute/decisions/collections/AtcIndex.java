package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * The index of messages of one kind as a function of their due dates alone, and the stretches of due dates in which it only
 * falls or only rises. Their worth, odds, service time and aim are common; the aim is the due date less a constant.
 *
 * <p>The index is kept as its logarithm: I = w·left(t + p)·odds / p · exp(−max(d − t, 0) / K) falls below the least double
 * where due dates are some 700 K away, and messages would tie there. An index of 0 is −infinity. From the latest
 * due date to the earliest: what will be on time has all its worth left, so the index falls with the due date. Where worth
 * falls evenly it is (a + b·d)·exp(−d / K), which has one peak, K − a/b. Where it halves it is a stair, falling on each step. What
 * cannot be answered before it is due has the late share left.
 */
public final class AtcIndex {
    /** Steps of a stair; what lies below the last has less than 2^−60 of its worth left, and is taken for one step. */
    private static final int STEPS = 60;

    private double gain;
    private double p;
    private double k;
    private long now;
    private long slack;
    private long aim;
    private double lateShare;
    private boolean halving;
    private int pieces;
    private long[] from = new long[8];
    private long[] to = new long[8];
    private boolean[] rising = new boolean[8];

    /**
     * What all have in common: worth, share of calls that are answered, service time {@code p}, the span {@code k} by which
     * pressure is measured, and of their class the spans from taking on to aim and to deadline and the share that is left
     * at the deadline. All spans in microseconds and above 0.
     */
    public void set(
            double worth,
            double odds,
            double serviceTime,
            long at,
            double span,
            long toAim,
            long toDeadline,
            double late,
            boolean halves) {
        gain = worth * odds / serviceTime;
        p = serviceTime;
        k = span;
        now = at;
        aim = toAim;
        slack = toDeadline - toAim;
        lateShare = late;
        halving = halves;
    }

    /** The logarithm of the index of what is due then. */
    public double index(long due) {
        return Math.log(left(due) * gain) - Math.max(due - now, 0) / k;
    }

    /** A bound from above for what is due then or later. */
    public static double bound(double gain, long due, long now, double k) {
        return Math.log(gain) - Math.max(due - now, 0) / k;
    }

    /** Share of the worth that is left when it has been served. */
    private double left(long due) {
        double late = now + p - (due - slack);
        if (late <= 0) {
            return 1;
        }
        if (halving) {
            return Math.max(lateShare, Math.pow(0.5, Math.ceil(late / aim)));
        }
        return 1 - (1 - lateShare) * Math.min(1, late / Math.max(1, slack));
    }

    // ---- Stretches. ----

    /** Divides all due dates from {@code first} on into stretches, also at the two that are given. */
    public void divide(long first, long cut, long otherCut) {
        pieces = 0;
        long served = (long) Math.ceil(now + p);
        long onTime = served + slack;
        if (lateShare >= 1) {
            piece(Long.MIN_VALUE, onTime, false);
        } else if (halving) {
            stairs(first, onTime);
        } else if (slack <= 0) {
            // All is lost within a microsecond of the aim.
            piece(Long.MIN_VALUE, onTime - 1, false);
            piece(onTime - 1, onTime, false);
        } else {
            long peak =
                    (long) Math.ceil(Math.min(onTime, Math.max(served, k + now + p + slack - slack / (1 - lateShare))));
            piece(Long.MIN_VALUE, served, false);
            piece(served, peak, true);
            piece(peak, onTime, false);
        }
        piece(onTime, Long.MAX_VALUE, false);
        cut(cut);
        cut(otherCut);
    }

    private void stairs(long first, long onTime) {
        int steps = 0;
        while (steps < STEPS && Math.pow(0.5, steps + 1) > lateShare && stair(steps + 1) > first) {
            steps++;
        }
        piece(Long.MIN_VALUE, stair(steps), false);
        for (int step = steps; step > 0; step--) {
            piece(stair(step), step == 1 ? onTime : stair(step - 1), false);
        }
    }

    /** Where the step begins, as a due date, on which so many halvings are lost. */
    private long stair(int halvings) {
        return (long) Math.ceil(now + p + slack - (double) halvings * aim);
    }

    private void piece(long begin, long end, boolean rises) {
        if (begin < end) {
            if (pieces == from.length) {
                from = Arrays.copyOf(from, 2 * pieces);
                to = Arrays.copyOf(to, 2 * pieces);
                rising = Arrays.copyOf(rising, 2 * pieces);
            }
            from[pieces] = begin;
            to[pieces] = end;
            rising[pieces++] = rises;
        }
    }

    private void cut(long at) {
        for (int i = 0; i < pieces; i++) {
            if (from[i] < at && at < to[i]) {
                long end = to[i];
                to[i] = at;
                piece(at, end, rising[i]);
                return;
            }
        }
    }

    int pieces() {
        return pieces;
    }

    long from(int piece) {
        return from[piece];
    }

    long to(int piece) {
        return to[piece];
    }

    boolean rising(int piece) {
        return rising[piece];
    }

    // ---- Questions to a tree of such messages; divide() comes first. ----

    /** How many have this index or a higher one. */
    public <N extends DueDateTreap.Node<N>> int atLeast(DueDateTreap<N> tree, double least) {
        int count = 0;
        for (int i = 0; i < pieces; i++) {
            if (rising[i]) {
                count += tree.count(tree.turning(from[i], to[i], due -> index(due) < least), to[i]);
            } else {
                count += tree.count(from[i], tree.turning(from[i], to[i], due -> index(due) >= least));
            }
        }
        return count;
    }

    /** The one with the least index, of equals the one with the smallest number; null in an empty tree. */
    public <N extends DueDateTreap.Node<N>> N least(DueDateTreap<N> tree) {
        N least = null;
        double lowest = 0;
        for (int i = 0; i < pieces; i++) {
            N here = rising[i] ? tree.from(from[i], to[i], false) : tree.last(from[i], to[i], false);
            double index = here == null ? 0 : index(here.due);
            if (here != null && (least == null || index < lowest || index == lowest && here.number < least.number)) {
                least = here;
                lowest = index;
            }
        }
        return least;
    }
}
