package amberroute.decisions;

import amberroute.decisions.SchedulerState.Destination;
import amberroute.decisions.SchedulerState.DispatchQueue;
import amberroute.decisions.SchedulerState.PendingMessage;
import amberroute.decisions.collections.AtcIndex;
import amberroute.decisions.collections.DecayingSum;
import amberroute.decisions.collections.IndexedTimerHeap;
import amberroute.decisions.collections.MaxHeap;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * The books of the messages that wait to be sent: which bucket each is in, which are ready, when the next one is to be looked
 * at, and how much work they are together. It follows what {@link Policy} says and decides nothing.
 */
final class PendingMessages {
    /** Beyond so many buckets of a destination empty ones go, as classes may come and vanish. */
    private static final int BUCKETS = 8;
    /** Sums are made anew after so many changes, so that errors of rounding do not add up. */
    private static final int CHANGES = 1 << 16;
    /** So many buckets more than there are free slots are put in order for a choice at first. */
    private static final int SOME = 16;
    /** The epoch of what fades moves on after so many spans: doubles reach some 700. */
    private static final int EPOCH = 50;

    private static final double LN_2 = Math.log(2);

    /** All messages of one worth: their service times where those are known, and how many there are where they are not. */
    static final class Load {
        private final DecayingSum known;
        int unknown;
        double aims;

        Load(double span) {
            known = new DecayingSum(span);
        }

        /** All their service times together; {@code usual} stands for those that are not known, 0 for their classes' aims. */
        double time(long now, double usual) {
            return known.value(now) + (usual > 0 ? unknown * usual : aims);
        }
    }

    /** When a message of a bucket that is due then gets its final answer if it still waits. */
    interface Ends {
        long end(long now, DispatchQueue b, long due);
    }

    /** The index of a bucket's messages. */
    interface Shapes {
        AtcIndex shape(long now, DispatchQueue b, AtcIndex into);
    }

    /** Added to bounds of the index, so that rounding never makes one too small. */
    private static final double NEAR = 1e-9;
    /** Times worked out from rates are rounded: a sleep is over so many microseconds before it has to be. */
    private static final long EARLY = 10;

    private final double fadeSpan;
    private final Ends ends;
    private final Shapes shapes;
    private final AtcIndex shape = new AtcIndex();
    private final TreeMap<Double, Load> loads = new TreeMap<>();
    /** Buckets that are not empty, and those with ready messages for a destination that is not asleep. */
    final List<DispatchQueue> buckets = new ArrayList<>();
    /** Those with something to send stand in arrays, so that a choice goes over numbers that lie side by side. */
    private DispatchQueue[] awake = new DispatchQueue[64];

    private double[] gains = new double[64];
    /** What of the service time fades, as a share of what does not and as of {@link #epoch}. */
    private double[] fades = new double[64];

    private long[] firsts = new long[64];
    private long epoch;
    private int awakes;
    private double[] bounds = new double[64];
    private int[] best = new int[64];
    private final MaxHeap<DispatchQueue> top = new MaxHeap<>();
    private long choice;
    /** The highest bound of those that this choice has left out so far. */
    private double rest;
    /** Ends that come, pauses and rests that are over, times up to which messages may be repeated, sleeps that are over. */
    private final IndexedTimerHeap<DispatchQueue> endsDue = new IndexedTimerHeap<>();

    private final IndexedTimerHeap<PendingMessage> pauses = new IndexedTimerHeap<>();
    private final IndexedTimerHeap<PendingMessage> lapses = new IndexedTimerHeap<>();
    private final IndexedTimerHeap<Destination> opens = new IndexedTimerHeap<>();
    /** Those that may have had all attempts: to be looked at in the next turn. */
    final List<PendingMessage> exhausted = new ArrayList<>();

    private final List<PendingMessage> over = new ArrayList<>();
    int waiting;
    /** Usual latency over all destinations: what one that never answered is taken to need. */
    double usualLatency;
    /** The same, as ends were queued with. */
    private double queuedUsual;

    private int changes;

    /** {@code fadeSpan}: what was learned of a service time falls to 1/e of its excess in so many microseconds. */
    PendingMessages(double fadeSpan, Ends ends, Shapes shapes) {
        this.fadeSpan = fadeSpan;
        this.ends = ends;
        this.shapes = shapes;
    }

    // ---- Messages. ----

    /** Unless it is over it waits to be sent, and may be sent until {@code lapses}, MAX_VALUE for no bound but its time. */
    void await(long now, PendingMessage m, long lapses) {
        if (m.ended) {
            return;
        }
        add(m);
        if (lapses != Long.MAX_VALUE) {
            m.lapse = m.lapse == null ? new IndexedTimerHeap.Entry<>(m) : m.lapse;
            this.lapses.set(m.lapse, lapses);
        }
        if (m.attempts > 0) {
            exhausted.add(m);
        }
        look(now, m);
        recount(now, m.destination);
    }

    /** Whether it has its key's turn, and may go now or when to look at that again; null and what does not wait are left. */
    void look(long now, PendingMessage m) {
        if (m == null || !m.waits) {
            return;
        }
        long rests = m.turn == null || m.turn.first == m && m.turn.restsAfter == m
                ? now
                : m.turn.first == m ? m.turn.restUntil : Long.MAX_VALUE;
        long again = rests > now ? rests : m.notBefore;
        mark(m, rests <= now, again <= now, again <= now ? Long.MAX_VALUE : again);
    }

    /** Pauses, rests and sleeps that are over by now. */
    void advance(long now) {
        for (IndexedTimerHeap.Entry<PendingMessage> next; (next = pauses.poll(now)) != null; ) {
            look(now, next.of());
        }
        for (IndexedTimerHeap.Entry<Destination> next; (next = opens.poll(now)) != null; ) {
            wake(next.of());
        }
    }

    /** When the next message has to be ended, MAX_VALUE for never. */
    long nextEnd(long now) {
        IndexedTimerHeap.Entry<DispatchQueue> end = endsDue.peek();
        for (; end != null && ends.end(now, end.of(), end.of().first) > end.at(); end = endsDue.peek()) {
            endsDue.set(end, ends.end(now, end.of(), end.of().first));
        }
        return Math.min(at(end), at(lapses.peek()));
    }

    /** When a pause, a rest or a sleep is over next, MAX_VALUE for never. */
    long nextLook() {
        return Math.min(
                at(pauses.peek()),
                opens.peek() == null ? Long.MAX_VALUE : opens.peek().at() + EARLY);
    }

    private static long at(IndexedTimerHeap.Entry<?> entry) {
        return entry == null ? Long.MAX_VALUE : entry.at();
    }

    /** Those whose end has come, that may not be sent again, or have had so many attempts, in their order. */
    List<PendingMessage> over(long now, int attempts) {
        over.clear();
        for (PendingMessage m : exhausted) {
            if (m.waits && m.attempts >= attempts) {
                over.add(m);
            }
        }
        exhausted.clear();
        for (IndexedTimerHeap.Entry<PendingMessage> next; (next = lapses.poll(now)) != null; ) {
            over.add(next.of());
        }
        if (usualLatency > queuedUsual && anyUnknown()) {
            for (DispatchQueue b : buckets) {
                if (!b.destination.measured) {
                    queueEnd(now, b);
                }
            }
        }
        queuedUsual = usualLatency;
        for (IndexedTimerHeap.Entry<DispatchQueue> next; (next = endsDue.poll(now)) != null; ) {
            DispatchQueue b = next.of();
            PendingMessage m = b.tree.first();
            while (m != null && ends.end(now, b, m.due) <= now) {
                over.add(m);
                m = b.tree.after(m.due, m.number, Long.MAX_VALUE, false);
            }
            if (m != null) {
                endsDue.set(next, ends.end(now, b, m.due));
            }
        }
        over.sort(Comparator.comparingLong(m -> m.number));
        for (int i = over.size() - 1; i > 0; i--) {
            if (over.get(i) == over.get(i - 1)) {
                over.remove(i);
            }
        }
        return over;
    }

    private boolean anyUnknown() {
        for (Load load : loads.values()) {
            if (load.unknown > 0) {
                return true;
            }
        }
        return false;
    }

    /** Ends are queued for when they come at the soonest: service times fall by themselves, and rise only with news. */
    private void queueEnd(long now, DispatchQueue b) {
        if (b.tree.size() > 0) {
            long end = ends.end(now, b, b.first);
            if (!b.end.queued() || end < b.end.at()) {
                endsDue.set(b.end, end);
            }
        }
    }

    private void add(PendingMessage m) {
        DispatchQueue b = bucket(m);
        m.bucket = b;
        m.waits = true;
        b.tree.add(m, false, false);
        b.first = b.tree.size() == 1 ? m.due : Math.min(b.first, m.due);
        b.last = b.tree.size() == 1 ? m.due : Math.max(b.last, m.due);
        waiting++;
        if (b.place < 0) {
            b.place = buckets.size();
            buckets.add(b);
        }
    }

    private static DispatchQueue bucket(PendingMessage m) {
        Destination d = m.destination;
        for (DispatchQueue b : d.buckets) {
            if (b.worth == m.worth && (b.type == m.type || b.type.equals(m.type))) {
                return b;
            }
        }
        if (d.buckets.size() >= BUCKETS) {
            d.buckets.removeIf(b -> b.place < 0 && b.counted == 0);
        }
        DispatchQueue fresh = new DispatchQueue(d, m.type, m.worth);
        d.buckets.add(fresh);
        return fresh;
    }

    /** Waits no more: it goes out, or is over. To be recounted behind it. */
    void remove(PendingMessage m) {
        if (!m.waits) {
            return;
        }
        DispatchQueue b = m.bucket;
        boolean wasReady = m.ready();
        m.waits = false;
        waiting--;
        b.tree.remove(m);
        dequeue(pauses, m.pause);
        dequeue(lapses, m.lapse);
        if (b.tree.size() == 0) {
            buckets.get(buckets.size() - 1).place = b.place;
            buckets.set(b.place, buckets.get(buckets.size() - 1));
            buckets.remove(buckets.size() - 1);
            b.place = -1;
            endsDue.remove(b.end);
        } else {
            b.first = m.due == b.first ? b.tree.first().due : b.first;
            b.last = m.due == b.last ? b.tree.last(Long.MIN_VALUE, Long.MAX_VALUE, false).due : b.last;
        }
        if (wasReady) {
            readied(b, m.due, false);
        }
    }

    private static void dequeue(IndexedTimerHeap<PendingMessage> queue, IndexedTimerHeap.Entry<PendingMessage> entry) {
        if (entry != null) {
            queue.remove(entry);
        }
    }

    /** {@code again}: when that is to be looked at anew, MAX_VALUE for never. */
    private void mark(PendingMessage m, boolean turn, boolean ready, long again) {
        boolean wasReady = m.ready();
        m.bucket.tree.mark(m, ready, turn);
        if (again == Long.MAX_VALUE) {
            dequeue(pauses, m.pause);
        } else {
            m.pause = m.pause == null ? new IndexedTimerHeap.Entry<>(m) : m.pause;
            pauses.set(m.pause, again);
        }
        if (ready != wasReady) {
            readied(m.bucket, m.due, ready);
        }
    }

    private void readied(DispatchQueue b, long due, boolean ready) {
        if (ready) {
            b.firstReady = b.tree.readies() == 1 ? due : Math.min(b.firstReady, due);
        } else if (b.tree.readies() > 0 && due == b.firstReady) {
            b.firstReady = b.tree.from(Long.MIN_VALUE, Long.MAX_VALUE, true).due;
        }
        list(b);
    }

    private void list(DispatchQueue b) {
        boolean listed = b.tree.readies() > 0 && !b.destination.asleep;
        if (listed && b.awakePlace < 0) {
            if (awakes == awake.length) {
                awake = Arrays.copyOf(awake, 2 * awakes);
                gains = Arrays.copyOf(gains, 2 * awakes);
                fades = Arrays.copyOf(fades, 2 * awakes);
                firsts = Arrays.copyOf(firsts, 2 * awakes);
            }
            b.awakePlace = awakes;
            awake[awakes++] = b;
        } else if (!listed && b.awakePlace >= 0) {
            DispatchQueue last = awake[--awakes];
            awake[awakes] = null;
            if (last != b) {
                awake[b.awakePlace] = last;
                last.awakePlace = b.awakePlace;
                gains[b.awakePlace] = gains[awakes];
                fades[b.awakePlace] = fades[awakes];
                firsts[b.awakePlace] = firsts[awakes];
            }
            b.awakePlace = -1;
        }
        figures(b);
    }

    private void figures(DispatchQueue b) {
        if (b.awakePlace >= 0) {
            fade(b.countedAt);
            gains[b.awakePlace] = b.destination.measured ? b.gain : Double.NaN;
            fades[b.awakePlace] = b.fading > 0 ? b.fading / b.steady * Math.exp((b.countedAt - epoch) / fadeSpan) : 0;
            firsts[b.awakePlace] = b.firstReady;
        }
    }

    /** Nothing is looked for there until this time, MAX_VALUE for none, or until it is {@link #wake}d. */
    void sleep(long now, Destination d, long until) {
        if (until <= now) {
            return;
        }
        d.asleep = true;
        if (until != Long.MAX_VALUE) {
            opens.set(d.opens, until - EARLY);
        }
        d.buckets.forEach(this::list);
    }

    void wake(Destination d) {
        if (d.asleep) {
            d.asleep = false;
            opens.remove(d.opens);
            d.buckets.forEach(this::list);
        }
    }

    // ---- Service times. ----

    /** What a message needs: what was learned, or where nothing was the usual latency, or the class's aim. */
    double serviceTime(long now, Destination d, DeliveryScheduler.MessageClass type) {
        if (d.measured) {
            fade(now, d);
            return d.p;
        }
        return usualLatency > 0 ? usualLatency : type.latencyObjectiveMicros();
    }

    double serviceTime(long now, PendingMessage m) {
        return serviceTime(now, m.destination, m.type);
    }

    /** The service times of all that is out to a scope and not over. */
    double timeOut(long now, SchedulerState.UpstreamHealth scope) {
        double time = 0;
        for (SchedulerState.Call call : scope.calls) {
            for (PendingMessage m : call.load) {
                time += m.out == call && !m.ended ? serviceTime(now, m) : 0;
            }
        }
        return time;
    }

    /** What was learned falls back to the usual while no call is out. */
    void fade(long now, Destination d) {
        if (d.calls == 0 && d.heardAt != now) {
            double usual = usual(d);
            d.p = usual + (d.p - usual) * Math.exp((d.heardAt - now) / fadeSpan);
        }
        d.heardAt = now;
    }

    private static double usual(Destination d) {
        double usual = d.p;
        for (SchedulerState.Endpoint point : d.endpoints) {
            usual = point.scope.usual > 0 ? Math.min(usual, point.scope.usual) : usual;
        }
        return usual;
    }

    /** What waits for a destination, or what is known of that, has changed: sums and ends follow. */
    void recount(long now, Destination d) {
        fade(now, d);
        double steady = d.calls > 0 ? d.p : usual(d);
        count(now, d, steady, d.p - steady);
        for (DispatchQueue b : d.buckets) {
            queueEnd(now, b);
        }
    }

    /** Something is known of it that was not: it may take calls again. */
    void news(long now, Destination d) {
        recount(now, d);
        wake(d);
    }

    /** The usual latency moves by a share towards what was measured; the first is taken as it is. */
    void usual(double measured, double share) {
        usualLatency += usualLatency == 0 ? measured : share * (measured - usualLatency);
    }

    // ---- By the index. ----

    /** No message of the bucket that is due then or later has a higher index; {@code k}: the span of pressure. */
    double bound(long now, DispatchQueue b, long due, double k) {
        double gain = b.destination.measured
                ? b.gain
                : Math.log(b.worth * b.destination.odds / serviceTime(now, b.destination, b.type));
        return gain - Math.max(due - now, 0) / k + NEAR;
    }

    // ---- A choice. ----

    /**
     * Buckets come by {@link #candidate}, those with the highest bound first. For a choice with few free slots most of them
     * need not be put in order: only some with the highest bounds are, until these do not do.
     */
    void beginChoice(long now, double k, int free) {
        choice++;
        top.clear();
        int most = SOME + free;
        if (awakes <= most) {
            all(now, k);
            return;
        }
        double fade = fade(now);
        bounds = bounds.length < awakes ? new double[awake.length] : bounds;
        best = best.length < most ? new int[most] : best;
        int least = 0;
        rest = Double.NEGATIVE_INFINITY;
        for (int i = 0; i < awakes; i++) {
            double bound = bound(i, now, k, fade);
            bounds[i] = bound;
            if (i < most) {
                best[i] = i;
                least = bound < bounds[best[least]] ? i : least;
            } else if (bound > bounds[best[least]]) {
                rest = Math.max(rest, bounds[best[least]]);
                best[least] = i;
                for (int j = 0; j < most; j++) {
                    least = bounds[best[j]] < bounds[best[least]] ? j : least;
                }
            } else {
                rest = Math.max(rest, bound);
            }
        }
        for (int j = 0; j < most; j++) {
            put(awake[best[j]], bounds[best[j]]);
        }
    }

    /** The next to look at, null where there is none; the first time it stands there by its bound alone ({@code begun}). */
    DispatchQueue candidate(long now, double k) {
        if (rest > Double.NEGATIVE_INFINITY && (top.isEmpty() || top.key() <= rest)) {
            all(now, k);
        }
        return top.isEmpty() ? null : top.pop();
    }

    /** It has more, by where its walk is. */
    void candidateAgain(DispatchQueue b) {
        top.push(b, b.walk.index(), b.walk.here().number);
    }

    private void all(long now, double k) {
        rest = Double.NEGATIVE_INFINITY;
        double fade = fade(now);
        for (int i = 0; i < awakes; i++) {
            put(awake[i], bound(i, now, k, fade));
        }
    }

    /** What is left now of what there was at the epoch, which moves on ahead of where doubles end. */
    private double fade(long now) {
        double fade = Math.exp((epoch - now) / fadeSpan);
        if (now - epoch > EPOCH * fadeSpan) {
            for (int i = 0; i < awakes; i++) {
                fades[i] *= fade;
            }
            epoch = now;
            return 1;
        }
        return fade;
    }

    /** As {@link #bound(long, DispatchQueue, long, double)}, and nearer: by the service time that it has now. */
    private double bound(int i, long now, double k, double fade) {
        double gain = gains[i];
        if (Double.isNaN(gain)) {
            return bound(now, awake[i], firsts[i], k);
        }
        return gain - logAtLeast(1 + fades[i] * fade) - Math.max(firsts[i] - now, 0) / k + NEAR;
    }

    /** A bound on the logarithm of a number of at least 1 from below, by 0.0009 at most; a fraction of what that costs. */
    static double logAtLeast(double x) {
        long bits = Double.doubleToRawLongBits(x);
        double m = Double.longBitsToDouble(bits & 0xfffffffffffffL | 0x3ff0000000000000L);
        return ((bits >> 52) - 1_023) * LN_2 + 3 * (m * m - 1) / (m * m + 4 * m + 1);
    }

    private void put(DispatchQueue b, double bound) {
        if (b.choice != choice) {
            b.choice = choice;
            b.begun = false;
            top.add(b, bound, 0);
        }
    }

    /** How many of a bucket have an index that is no less. */
    int ahead(long now, DispatchQueue b, double index, double k) {
        return b.tree.size() == 0 || bound(now, b, b.first, k) < index
                ? 0
                : shapes.shape(now, b, shape).atLeast(b.tree, index);
    }

    /** The service times of all that is worth less than so much and has an index that is no less. */
    double timeAhead(long now, double worth, double index, double k) {
        double sum = 0;
        if (!loads.headMap(worth, false).isEmpty()) {
            for (DispatchQueue b : buckets) {
                int n = b.worth < worth ? ahead(now, b, index, k) : 0;
                sum += n > 0 ? n * serviceTime(now, b.destination, b.type) : 0;
            }
        }
        return sum;
    }

    /** The one with the least index of all that wait; buckets that cannot have it are not looked into. */
    PendingMessage least(long now, double k) {
        PendingMessage least = null;
        double lowest = 0;
        for (DispatchQueue b : buckets) {
            double slowest = Math.max(b.destination.p, serviceTime(now, b.destination, b.type));
            double floor = Math.log(b.worth * b.destination.odds * Math.min(1, b.type.lateValueShare()) / slowest)
                    - NEAR
                    - Math.max(b.last - now, 0) / k;
            if (least == null || floor <= lowest) {
                PendingMessage m = shapes.shape(now, b, shape).least(b.tree);
                double index = shape.index(m.due);
                if (least == null || index < lowest || index == lowest && m.number < least.number) {
                    least = m;
                    lowest = index;
                }
            }
        }
        return least;
    }

    // ---- Sums. ----

    /**
     * Counts what waits for a destination with the service time that it has now: {@code steady} and a part that fades. To be
     * called when either has changed, or how many wait.
     */
    private void count(long now, Destination d, double steady, double fading) {
        for (DispatchQueue b : d.buckets) {
            Load load = loads.get(b.worth);
            if (b.counted > 0 && load != null) {
                if (b.steady < 0) {
                    load.unknown -= b.counted;
                    load.aims -= b.counted * (double) b.type.latencyObjectiveMicros();
                } else {
                    load.known.add(
                            now, -b.counted * b.steady, -b.counted * b.fading * load.known.factor(b.countedAt, now));
                }
            }
            b.counted = b.tree.size();
            b.steady = d.measured ? steady : -1;
            b.fading = fading;
            b.countedAt = now;
            b.gain = d.measured ? Math.log(b.worth * d.odds / steady) : 0;
            figures(b);
            if (b.counted > 0) {
                load = load == null ? loads.computeIfAbsent(b.worth, w -> new Load(fadeSpan)) : load;
                if (b.steady < 0) {
                    load.unknown += b.counted;
                    load.aims += b.counted * (double) b.type.latencyObjectiveMicros();
                } else {
                    load.known.add(now, b.counted * steady, b.counted * fading);
                }
            }
        }
        if (++changes > CHANGES) {
            sumAnew(now);
        }
    }

    private void sumAnew(long now) {
        changes = 0;
        loads.values().removeIf(load -> {
            load.known.clear();
            load.aims = 0;
            load.unknown = 0;
            return true;
        });
        for (DispatchQueue b : buckets) {
            Load load = loads.computeIfAbsent(b.worth, w -> new Load(fadeSpan));
            if (b.steady < 0) {
                load.unknown += b.counted;
                load.aims += b.counted * (double) b.type.latencyObjectiveMicros();
            } else {
                load.known.add(now, b.counted * b.steady, b.counted * b.fading * load.known.factor(b.countedAt, now));
            }
        }
    }

    /** The service times of all that is worth so much at least. */
    double time(long now, double worth) {
        double sum = 0;
        for (Load load : loads.tailMap(worth, true).values()) {
            sum += load.time(now, usualLatency);
        }
        return sum;
    }
}
