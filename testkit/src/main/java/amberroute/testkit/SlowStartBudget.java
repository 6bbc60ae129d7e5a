package amberroute.testkit;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The rule for destinations that come back from an outage: in no window may a destination get more calls than its budget, and the
 * rule is broken if over two thirds of the calls came from senders that had seen the outage. Times are microseconds.
 */
public final class SlowStartBudget {
    /** Share of the calls of a window that has to come from senders that saw the outage for the rule to be broken. */
    private static final double INFORMED_SHARE = 2 / 3.0;

    private static final double FEW_CALLS = 30;

    private record Call(long at, boolean informed) {}

    private final Deque<Call> window = new ArrayDeque<>();
    private int informedCalls;
    private boolean exceeded;
    private boolean ruleBroken;
    private double peakShare;
    private double peakInformedShare;

    /** Returns the calls that a window may hold where the present capacity permits {@code permittedCalls}. */
    public static double budget(double permittedCalls) {
        double root = Math.sqrt(permittedCalls);
        return permittedCalls + (permittedCalls < FEW_CALLS ? 3 * root + 3 : 2 * root + 2);
    }

    /** Counts a call that reaches the destination, answered or not. */
    public void recordCall(long now, boolean informed, double permittedCalls, long windowMicros) {
        window.addLast(new Call(now, informed));
        informedCalls += informed ? 1 : 0;
        while (window.peekFirst().at() < now - windowMicros) {
            informedCalls -= window.removeFirst().informed() ? 1 : 0;
        }
        double budget = budget(permittedCalls);
        peakShare = Math.max(peakShare, window.size() / budget);
        peakInformedShare = Math.max(peakInformedShare, informedCalls / budget);
        if (!exceeded && window.size() > budget) {
            exceeded = true;
            ruleBroken = informedCalls > INFORMED_SHARE * window.size();
        }
    }

    /** Returns whether the first window over the budget came for over two thirds from senders that had seen the outage. */
    public boolean ruleBroken() {
        return ruleBroken;
    }

    /** Returns whether any window was over the budget. */
    public boolean exceeded() {
        return exceeded;
    }

    /** Returns the largest number of calls of a window, in budgets. */
    public double peakShare() {
        return peakShare;
    }

    /** Returns the largest number of calls of a window by senders that had seen the outage, in budgets. */
    public double peakInformedShare() {
        return peakInformedShare;
    }
}
