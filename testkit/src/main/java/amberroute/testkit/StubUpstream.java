package amberroute.testkit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Random;

/**
 * How a stand-in partner's endpoint behaves: how many calls it serves at once, how long each takes, how many wait, what
 * its limit is, how it warms up after a start and when it falls over. Decides only; whoever serves the sockets asks it.
 * Times are microseconds on the caller's clock, randomness comes from the seed.
 */
public final class StubUpstream {
    /** What an endpoint does with calls besides serving them. */
    public enum Mode {
        UP,
        HANG,
        REFUSE,
        /** Refuses each call and closes its connection. */
        REFUSE_AND_CLOSE,
        DEAD,
        /** Answers each call with an error. */
        ERRORS
    }

    /**
     * {@code service} is the mean time of a call, spread exponentially by {@code spread} of it; {@code perSecond} limits
     * messages a second, 0 for none, counted in fixed windows where {@code window} is not 0; a cold endpoint starts with
     * {@code coldFrom} of its capacity and has all after {@code coldSpan}; more messages than {@code fallMultiple} of
     * its present capacity within {@code fallSpan} bring it down for {@code fallFor}; never where that is 0.
     */
    public record Parameters(
            int slots,
            int queue,
            long serviceMicros,
            double spread,
            double itemCost,
            double perSecond,
            long windowMicros,
            boolean sendsRetryAfter,
            double slowStartFrom,
            long slowStartMicros,
            double overloadMultiple,
            long overloadWindowMicros,
            long overloadMicros,
            long keyLifeMicros) {

        /** A quick partner with much room and no limit. */
        public static Parameters unlimited() {
            return new Parameters(
                    64, 256, 5_000, 0.5, 0.1, 0, 0, true, 0.15, 10_000_000, 2.5, 1_500_000, 2_000_000, 60_000_000);
        }

        /** The same with a slow start from this share of the capacity over this span, and a destination that never falls. */
        public Parameters recovering(double fromShare, long spanMicros) {
            return new Parameters(
                    slots,
                    queue,
                    serviceMicros,
                    spread,
                    itemCost,
                    perSecond,
                    windowMicros,
                    sendsRetryAfter,
                    fromShare,
                    spanMicros,
                    overloadMultiple,
                    overloadWindowMicros,
                    0,
                    keyLifeMicros);
        }

        /** The same with this many messages a second at most. */
        public Parameters limited(double most, long windowMicros) {
            return new Parameters(
                    slots,
                    queue,
                    serviceMicros,
                    spread,
                    itemCost,
                    most,
                    windowMicros,
                    sendsRetryAfter,
                    slowStartFrom,
                    slowStartMicros,
                    overloadMultiple,
                    overloadWindowMicros,
                    overloadMicros,
                    keyLifeMicros);
        }

        /** The same with this many slots, places to wait and time for a call. */
        public Parameters sized(int calls, int waiting, long micros) {
            return new Parameters(
                    calls,
                    waiting,
                    micros,
                    spread,
                    itemCost,
                    perSecond,
                    windowMicros,
                    sendsRetryAfter,
                    slowStartFrom,
                    slowStartMicros,
                    overloadMultiple,
                    overloadWindowMicros,
                    overloadMicros,
                    keyLifeMicros);
        }

        /** Messages a second when warm. */
        public double capacity() {
            return slots * 1e6 / serviceMicros;
        }
    }

    /** What happens to a call: it runs for so long once begun, waits, is refused with a wait (0: none told), or hangs. */
    public record Verdict(Kind kind, long time) {
        /** How a call is received. */
        public enum Kind {
            RUN,
            WAIT,
            REFUSE_LIMIT,
            REFUSE_FULL,
            REFUSE_AND_CLOSE,
            SILENT,
            ERROR
        }
    }

    private final Parameters parameters;
    private final Random random;
    private final Map<String, Long> keys = new HashMap<>();
    private final Deque<long[]> recent = new ArrayDeque<>();
    private Mode mode = Mode.UP;
    private int running;
    private int waiting;
    private double tokens;
    private long tokensUpdatedAt;
    private long windowStartedAt;
    private double callsInWindow;
    private long slowStartSince = Long.MIN_VALUE / 2;
    private long overloadedUntil = Long.MIN_VALUE / 2;
    private double highestSlowStartShare;
    private long overloadCount;
    private long overLimit;

    public StubUpstream(Parameters figures, long seed) {
        this.parameters = figures;
        random = new Random(seed);
        tokens = Math.max(1, figures.perSecond() / 4);
    }

    public Parameters parameters() {
        return parameters;
    }

    public Mode mode() {
        return mode;
    }

    /** Goes down or comes back; who comes back is cold. */
    public void setMode(Mode next, long now) {
        if (next == Mode.UP && mode != Mode.UP) {
            slowStartSince = now;
            recent.clear();
        }
        mode = next;
    }

    /** Share of its capacity that it has now. */
    public double slowStartProgress(long now) {
        double age = (double) (now - slowStartSince) / Math.max(1, parameters.slowStartMicros());
        return age >= 1 ? 1 : parameters.slowStartFrom() + (1 - parameters.slowStartFrom()) * Math.max(0, age);
    }

    /** A call of so many messages has come whole. */
    public Verdict arrive(long now, int messages) {
        if (mode == Mode.HANG) {
            return new Verdict(Verdict.Kind.SILENT, 0);
        }
        if (mode == Mode.ERRORS) {
            return new Verdict(Verdict.Kind.ERROR, 0);
        }
        if (mode == Mode.REFUSE_AND_CLOSE) {
            return new Verdict(Verdict.Kind.REFUSE_AND_CLOSE, 0);
        }
        if (mode == Mode.REFUSE || now < overloadedUntil) {
            return new Verdict(Verdict.Kind.REFUSE_FULL, 0);
        }
        // Whatever comes weighs, also what is refused below.
        if (overrun(now, messages)) {
            return new Verdict(Verdict.Kind.REFUSE_FULL, 0);
        }
        long wait = limit(now, messages);
        if (wait > 0) {
            overLimit++;
            return new Verdict(Verdict.Kind.REFUSE_LIMIT, parameters.sendsRetryAfter() ? wait : 0);
        }
        if (running + waiting >= parameters.slots() + parameters.queue()) {
            return new Verdict(Verdict.Kind.REFUSE_FULL, 0);
        }
        if (running < parameters.slots()) {
            return begin(now, messages);
        }
        waiting++;
        return new Verdict(Verdict.Kind.WAIT, 0);
    }

    private Verdict begin(long now, int messages) {
        running++;
        double base =
                parameters.serviceMicros() * (1 + parameters.itemCost() * (messages - 1)) / slowStartProgress(now);
        double factor = 1 - parameters.spread() + parameters.spread() * -Math.log(1 - random.nextDouble());
        return new Verdict(Verdict.Kind.RUN, (long) Math.min(base * factor, base * 8));
    }

    /** A running call ended. */
    public void end() {
        running--;
    }

    /** Whether a waiting call may begin; the caller starts it with {@link #resume} or drops it with {@link #leave}. */
    public boolean mayResume() {
        return waiting > 0 && running < parameters.slots();
    }

    /** The next waiting call begins. */
    public Verdict resume(long now, int messages) {
        waiting--;
        return begin(now, messages);
    }

    /** A waiting call was dropped unbegun. */
    public void leave() {
        waiting--;
    }

    /** Whether an effect of this key happens now: not where the key was seen within its life. */
    public boolean firstUseOfKey(long now, String key) {
        Long seen = keys.get(key);
        if (seen != null && now - seen < parameters.keyLifeMicros()) {
            return false;
        }
        if (keys.size() > 65_536) {
            for (Iterator<Long> it = keys.values().iterator(); it.hasNext(); ) {
                if (now - it.next() >= parameters.keyLifeMicros()) {
                    it.remove();
                }
            }
        }
        keys.put(key, now);
        return true;
    }

    /** 0 where the limit has room, else how long until it has. */
    private long limit(long now, int messages) {
        double rate = parameters.perSecond();
        if (rate <= 0) {
            return 0;
        }
        if (parameters.windowMicros() > 0) {
            long start = now - Math.floorMod(now, parameters.windowMicros());
            if (start != windowStartedAt) {
                windowStartedAt = start;
                callsInWindow = 0;
            }
            if (callsInWindow + messages > Math.max(1, rate * parameters.windowMicros() / 1e6)) {
                return start + parameters.windowMicros() - now;
            }
            callsInWindow += messages;
            return 0;
        }
        tokens = Math.min(Math.max(messages, rate / 4), tokens + rate * (now - tokensUpdatedAt) / 1e6);
        tokensUpdatedAt = now;
        if (tokens < messages) {
            return (long) Math.ceil((messages - tokens) * 1e6 / rate);
        }
        tokens -= messages;
        return 0;
    }

    /** Counts what is sent to a cold endpoint, and falls over where that is too much for what it can do. */
    private boolean overrun(long now, int messages) {
        if (slowStartProgress(now) >= 1) {
            recent.clear();
            return false;
        }
        recent.addLast(new long[] {now, messages});
        while (recent.peekFirst()[0] < now - parameters.overloadWindowMicros()) {
            recent.removeFirst();
        }
        double sum = recent.stream().mapToLong(r -> r[1]).sum();
        double room = parameters.overloadMultiple()
                * parameters.capacity()
                * slowStartProgress(now)
                * parameters.overloadWindowMicros()
                / 1e6;
        highestSlowStartShare = Math.max(highestSlowStartShare, sum / Math.max(1, room));
        if (parameters.overloadMicros() > 0 && sum > Math.max(room, parameters.slots())) {
            overloadCount++;
            overloadedUntil = now + parameters.overloadMicros();
            slowStartSince = overloadedUntil;
            recent.clear();
            return true;
        }
        return false;
    }

    /** The largest share of what it could stand that was used while it was cold; above 1 it fell over. */
    public double highestSlowStartShare() {
        return highestSlowStartShare;
    }

    /** How often it fell over. */
    public long overloadCount() {
        return overloadCount;
    }

    /** Calls refused above the limit. */
    public long overLimit() {
        return overLimit;
    }
}
