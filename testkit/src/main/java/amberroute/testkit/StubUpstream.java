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
        DEAD
    }

    /**
     * {@code service} is the mean time of a call, spread exponentially by {@code spread} of it; {@code perSecond} limits
     * messages a second, 0 for none, counted in fixed windows where {@code window} is not 0; a cold endpoint starts with
     * {@code coldFrom} of its capacity and has all after {@code coldSpan}; more messages than {@code fallMultiple} of
     * its present capacity within {@code fallSpan} bring it down for {@code fallFor}.
     */
    public record Figures(
            int slots,
            int queue,
            long service,
            double spread,
            double itemCost,
            double perSecond,
            long window,
            boolean tellsWait,
            double coldFrom,
            long coldSpan,
            double fallMultiple,
            long fallSpan,
            long fallFor,
            long keyLife) {

        /** A quick partner with much room and no limit. */
        public static Figures roomy() {
            return new Figures(
                    64, 256, 5_000, 0.5, 0.1, 0, 0, true, 0.15, 10_000_000, 2.5, 1_500_000, 2_000_000, 60_000_000);
        }

        /** The same with this many messages a second at most. */
        public Figures limited(double most, long windowMicros) {
            return new Figures(
                    slots,
                    queue,
                    service,
                    spread,
                    itemCost,
                    most,
                    windowMicros,
                    tellsWait,
                    coldFrom,
                    coldSpan,
                    fallMultiple,
                    fallSpan,
                    fallFor,
                    keyLife);
        }

        /** The same with this many slots, places to wait and time for a call. */
        public Figures sized(int calls, int waiting, long micros) {
            return new Figures(
                    calls,
                    waiting,
                    micros,
                    spread,
                    itemCost,
                    perSecond,
                    window,
                    tellsWait,
                    coldFrom,
                    coldSpan,
                    fallMultiple,
                    fallSpan,
                    fallFor,
                    keyLife);
        }

        /** Messages a second when warm. */
        public double capacity() {
            return slots * 1e6 / service;
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
            SILENT
        }
    }

    private final Figures figures;
    private final Random random;
    private final Map<String, Long> keys = new HashMap<>();
    private final Deque<long[]> recent = new ArrayDeque<>();
    private Mode mode = Mode.UP;
    private int running;
    private int waiting;
    private double tokens;
    private long tokensAt;
    private long windowAt;
    private double inWindow;
    private long coldSince = Long.MIN_VALUE / 2;
    private long fallenUntil = Long.MIN_VALUE / 2;
    private double highestShare;
    private long falls;
    private long overLimit;

    public StubUpstream(Figures figures, long seed) {
        this.figures = figures;
        random = new Random(seed);
        tokens = Math.max(1, figures.perSecond() / 4);
    }

    public Figures figures() {
        return figures;
    }

    public Mode mode() {
        return mode;
    }

    /** Goes down or comes back; who comes back is cold. */
    public void become(Mode next, long now) {
        if (next == Mode.UP && mode != Mode.UP) {
            coldSince = now;
            recent.clear();
        }
        mode = next;
    }

    /** Share of its capacity that it has now. */
    public double warmth(long now) {
        double age = (double) (now - coldSince) / Math.max(1, figures.coldSpan());
        return age >= 1 ? 1 : figures.coldFrom() + (1 - figures.coldFrom()) * Math.max(0, age);
    }

    /** A call of so many messages has come whole. */
    public Verdict arrive(long now, int messages) {
        if (mode == Mode.HANG) {
            return new Verdict(Verdict.Kind.SILENT, 0);
        }
        if (mode == Mode.REFUSE || now < fallenUntil) {
            return new Verdict(Verdict.Kind.REFUSE_FULL, 0);
        }
        // Whatever comes weighs, also what is refused below.
        if (overrun(now, messages)) {
            return new Verdict(Verdict.Kind.REFUSE_FULL, 0);
        }
        long wait = limit(now, messages);
        if (wait > 0) {
            overLimit++;
            return new Verdict(Verdict.Kind.REFUSE_LIMIT, figures.tellsWait() ? wait : 0);
        }
        if (running + waiting >= figures.slots() + figures.queue()) {
            return new Verdict(Verdict.Kind.REFUSE_FULL, 0);
        }
        if (running < figures.slots()) {
            return begin(now, messages);
        }
        waiting++;
        return new Verdict(Verdict.Kind.WAIT, 0);
    }

    private Verdict begin(long now, int messages) {
        running++;
        double base = figures.service() * (1 + figures.itemCost() * (messages - 1)) / warmth(now);
        double factor = 1 - figures.spread() + figures.spread() * -Math.log(1 - random.nextDouble());
        return new Verdict(Verdict.Kind.RUN, (long) Math.min(base * factor, base * 8));
    }

    /** A running call ended. */
    public void end() {
        running--;
    }

    /** Whether a waiting call may begin; the caller starts it with {@link #resume} or drops it with {@link #leave}. */
    public boolean mayResume() {
        return waiting > 0 && running < figures.slots();
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
    public boolean fresh(long now, String key) {
        Long seen = keys.get(key);
        if (seen != null && now - seen < figures.keyLife()) {
            return false;
        }
        if (keys.size() > 65_536) {
            for (Iterator<Long> it = keys.values().iterator(); it.hasNext(); ) {
                if (now - it.next() >= figures.keyLife()) {
                    it.remove();
                }
            }
        }
        keys.put(key, now);
        return true;
    }

    /** 0 where the limit has room, else how long until it has. */
    private long limit(long now, int messages) {
        double rate = figures.perSecond();
        if (rate <= 0) {
            return 0;
        }
        if (figures.window() > 0) {
            long start = now - Math.floorMod(now, figures.window());
            if (start != windowAt) {
                windowAt = start;
                inWindow = 0;
            }
            if (inWindow + messages > Math.max(1, rate * figures.window() / 1e6)) {
                return start + figures.window() - now;
            }
            inWindow += messages;
            return 0;
        }
        tokens = Math.min(Math.max(messages, rate / 4), tokens + rate * (now - tokensAt) / 1e6);
        tokensAt = now;
        if (tokens < messages) {
            return (long) Math.ceil((messages - tokens) * 1e6 / rate);
        }
        tokens -= messages;
        return 0;
    }

    /** Counts what is sent to a cold endpoint, and falls over where that is too much for what it can do. */
    private boolean overrun(long now, int messages) {
        if (warmth(now) >= 1) {
            recent.clear();
            return false;
        }
        recent.addLast(new long[] {now, messages});
        while (recent.peekFirst()[0] < now - figures.fallSpan()) {
            recent.removeFirst();
        }
        double sum = recent.stream().mapToLong(r -> r[1]).sum();
        double room = figures.fallMultiple() * figures.capacity() * warmth(now) * figures.fallSpan() / 1e6;
        highestShare = Math.max(highestShare, sum / Math.max(1, room));
        if (sum > Math.max(room, figures.slots())) {
            falls++;
            fallenUntil = now + figures.fallFor();
            coldSince = fallenUntil;
            recent.clear();
            return true;
        }
        return false;
    }

    /** The largest share of what it could stand that was used while it was cold; above 1 it fell over. */
    public double highestShare() {
        return highestShare;
    }

    /** How often it fell over. */
    public long falls() {
        return falls;
    }

    /** Calls refused above the limit. */
    public long overLimit() {
        return overLimit;
    }
}
