package amberroute.sender.admin;

import amberroute.sender.message.AcceptedMessage;

/**
 * Tells operators of messages whose end came late, which is what a client may hold against a sender: how many, the worst, and at
 * which point, at most one line a second. A process that is short of CPU time shows here first. Times are wall time in
 * milliseconds, as deadlines are.
 */
public final class LateCompletionReporter {
    /** Clients allow some 300 ms behind the deadline. */
    private static final long LATE_MS = 100;

    private static final long PAUSE_MS = 1_000;
    private final String point;
    private long toldAt = Long.MIN_VALUE / 2;
    private int count;
    private long worst;
    private String worstId = "";

    public LateCompletionReporter(String point) {
        this.point = point;
    }

    /** A message reached this point at this time; returns what to tell, null for nothing yet. */
    public String passed(AcceptedMessage m, long wall) {
        long late = wall - m.deadline;
        if (late > LATE_MS) {
            count++;
            if (late > worst) {
                worst = late;
                worstId = m.id;
            }
        }
        if (count == 0 || wall - toldAt < PAUSE_MS) {
            return null;
        }
        String line = count + " messages " + point + " late, by " + worst + " ms at most (" + worstId + ")";
        toldAt = wall;
        count = 0;
        worst = 0;
        return line;
    }
}
