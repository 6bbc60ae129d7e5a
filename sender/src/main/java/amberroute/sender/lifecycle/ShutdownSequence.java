package amberroute.sender.lifecycle;

import amberroute.sender.client.OrderlyClose;

/**
 * What a stop does with what is held, step by step: who is told what, when calls are called off, and when the process
 * may end. Decides only; times are milliseconds on the caller's clock, and whoever carries it out asks
 * {@link #next} again and again.
 *
 * <p>A restart goes on delivering until nothing is held or its deadline comes; the rest stays in the journal, which the
 * next process owes. A stop for good gives every message its final answer: it delivers until {@link #CUT_SHARE} of its
 * time is gone, then calls off what is out, ends all that is left, and waits for the notices to be answered.
 */
public final class ShutdownSequence {
    /** What the next process may count on: all that is left, what no peer takes, or nothing, as there is none. */
    public enum Mode {
        RESTART,
        MOVE,
        FINAL
    }

    /** What to do now. */
    public enum Step {
        /** Goes on as before, but takes nothing new. */
        DELIVER,
        /** Calls off all calls that are out, and starts none. */
        CALL_OFF,
        /** Ends all that is held by notices. */
        END_ALL,
        /** Waits for notices to be answered. */
        AWAIT_NOTICES,
        /** Takes no connection any more and closes those on which nobody waits: what was just answered still leaves. */
        CLOSE,
        /** The process may end. */
        DONE
    }

    /** What there is to do, as counted by the caller; {@code clients} are their connections, with those that still close. */
    public record Load(int held, int callsOut, int noticesOut, int clients) {}

    /** Of a final stop's time, what delivering may take; the rest is for calls to end and for notices. */
    static final double CUT_SHARE = 0.7;
    /** However long the time, so much is enough for calls to be closed and notices to be answered. */
    static final long CUT_MOST = 3_000;
    /** Clients of one that leaves for good come to others so many milliseconds apart, and within this time. */
    static final long SPREAD = 5;

    public static final long SPREAD_LONGEST = 1_000;
    /** The last answers and closes pass on the sockets before the process ends; those who are slow to read them have longer. */
    static final long LINGER = 60;

    static final long LINGER_LONGEST = OrderlyClose.LINGER_MS;

    private final Mode mode;
    private final long deadline;
    private final long cutAt;
    private final long backAfter;
    private long quietSince = -1;

    /** {@code backAfter} is how long after its end a restarted sender serves again. */
    public ShutdownSequence(Mode mode, long now, long span, long backAfter) {
        this.mode = mode;
        this.backAfter = backAfter;
        deadline = now + span;
        cutAt = deadline - Math.min(CUT_MOST, (long) (span * (1 - CUT_SHARE)));
    }

    public Mode mode() {
        return mode;
    }

    long left(long now) {
        return Math.max(0, deadline - now);
    }

    /** How long calls may still take, for the decisions that look ahead. */
    public long deliverLeft(long now) {
        return Math.max(0, (mode == Mode.FINAL ? cutAt : deadline) - now);
    }

    /**
     * When whoever is turned away may come again: to this sender after a restart; after a last stop to others, spread over
     * {@link #SPREAD} for each of so many connections so that they are not rushed, by a random {@code place} from 0 to 1.
     */
    public long advice(long now, int connections, double place) {
        return mode != Mode.FINAL
                ? left(now) + backAfter
                : (long) (place * Math.min(SPREAD_LONGEST, SPREAD * connections));
    }

    public Step next(long now, Load load) {
        boolean over = now >= deadline;
        if (load.held() > 0 && !over) {
            if (mode != Mode.FINAL || now < cutAt) {
                quietSince = -1;
                return Step.DELIVER;
            }
            return load.callsOut() > 0 ? Step.CALL_OFF : Step.END_ALL;
        }
        if (load.noticesOut() > 0 && !over) {
            return Step.AWAIT_NOTICES;
        }
        if (quietSince < 0) {
            quietSince = now;
        }
        return now - quietSince >= (load.clients() > 0 && !over ? LINGER_LONGEST : LINGER) ? Step.DONE : Step.CLOSE;
    }

    /**
     * How a message ends that no call may be made for any more. A refusal promises that handing it in again does no
     * harm: so only where it surely has not run, or where running twice does none.
     */
    public static boolean mayReturn(boolean mayHaveRun, boolean safe, boolean keyedEverywhere) {
        return !mayHaveRun || safe || keyedEverywhere;
    }
}
