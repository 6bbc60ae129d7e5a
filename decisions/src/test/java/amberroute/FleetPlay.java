package amberroute;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Supplier;

import amberroute.Relay.Ending;
import amberroute.Relay.Event;

/**
 * Many instances of the module, each on its own, against one modelled destination with a limit, in virtual time and from a
 * seed. A sender sees only its own calls and what their answers report. Times are microseconds.
 */
final class FleetPlay {
    static final double MULTIPLE = 2.5;
    static final long WINDOW = 1_500_000;
    static final long COLD = 14_000_000;
    static final double COLD_FROM = 0.13;
    private static final long SERVICE = 50_000;
    private static final long REPORTED_EACH = 300_000;

    /** Calls a second that the destination takes, and how many times that it can do. */
    double limit = 200;
    double spare = 1.3;
    /** Messages a second from all clients, as a share of the limit. */
    double load = 0.5;
    long outFrom = Long.MAX_VALUE;
    long outUntil = Long.MAX_VALUE;
    /** What reports say instead of the truth, x0 and x1; null for the truth. */
    Supplier<List<Double>> lie;
    /** A count in fixed spans of 2 s, and what is refused in one is charged to the next, up to half; else a plain rate. */
    boolean windows;
    /** Messages that each instance has to deliver when all start in the same moment. */
    int heldAtStart;
    /** Calls that may be connected at once; any further one finds no place. */
    int places = Integer.MAX_VALUE;
    int crowdedOut;
    /** Instances that stop, and when. */
    int dying;
    long diesAt = Long.MAX_VALUE;

    int calls;
    int refused;
    int answered;
    int turnedAway;
    int ended;
    int offered;
    /** The largest load over any window of the rule behind the outage, as a share of what brings the destination down. */
    double push;
    final int[] answeredBy;
    final List<Long> answers = new ArrayList<>();
    final List<Long> refusals = new ArrayList<>();

    private record Due(long at, long order, Runnable what) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final SplittableRandom random;
    private final List<Instance> fleet = new ArrayList<>();
    private final Deque<Long> recent = new ArrayDeque<>();
    private long now = 1_000_000_000L;
    private final long start = now;
    private long order;
    private double tokens = Double.NaN;
    private long filledAt = now;
    private double free = now;
    private int connected;
    private double told0 = 1;
    private double told1;
    private long toldAt = Long.MIN_VALUE / 2;

    FleetPlay(int senders, long seed) {
        random = new SplittableRandom(seed);
        answeredBy = new int[senders];
        for (int i = 0; i < senders; i++) {
            fleet.add(new Instance(i, settings(senders, random.nextLong())));
        }
    }

    private static Relay.Settings settings(int senders, long seed) {
        // Slots as the platform gives them: about three times what the load keeps busy, four at the least.
        int slots = Math.max(4, 70 / senders);
        return new Relay.Settings(seed, senders, 0, 1_000, false, 0.1, Relay.LateWorth.EVEN, Relay.WeightKind.NONE,
                List.of(new Relay.MessageClass(2, 0.5, 2_500_000, 12_000_000, Relay.Effect.SAFE,
                        Relay.KeyScope.DESTINATION, 0, false)), List.of(), List.of(new Relay.Kind(false, 1)),
                new Relay.Limits(slots, 4_000 / senders, 12, false, true, true, 3_000_000, 1, 15_000_000, 1_000_000),
                new Relay.Rules(5_000, 10_000_000, COLD_FROM, COLD, MULTIPLE, WINDOW, 100_000),
                new Relay.Prices(0.06, 0, List.of()), new Relay.ReportFields(0, 1));
    }

    private void at(long when, Runnable what) {
        due.add(new Due(when, order++, what));
    }

    void run(long span) {
        for (Instance i : fleet) {
            i.list();
            for (int n = 0; n < heldAtStart; n++) {
                offered++;
                i.arrive();
            }
        }
        arrival();
        while (!due.isEmpty() && due.peek().at() <= start + span) {
            Due next = due.poll();
            now = next.at();
            next.what().run();
        }
    }

    private void arrival() {
        double perSecond = load * limitAtStart();
        at(now + (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond), () -> {
            Instance to = fleet.get(random.nextInt(fleet.size()));
            if (!to.dead()) {
                offered++;
                to.arrive();
            }
            arrival();
        });
    }

    private double first = Double.NaN;

    private double limitAtStart() {
        first = Double.isNaN(first) ? limit : first;
        return first;
    }

    /** At a time since the start. */
    void when(long since, Runnable what) {
        at(start + since, what);
    }

    private boolean out() {
        return now - start >= outFrom && now - start < outUntil;
    }

    private double warmth() {
        return now - start < outFrom ? 1
                : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - start - outUntil) / (double) COLD);
    }

    /** How a call ends, and when. */
    private void serve(Instance from, long id, int attempt) {
        if (out()) {
            at(now + 1_000, () -> from.ended(id, attempt, Ending.CONNECT_FAILED, 1_000));
            return;
        }
        if (connected >= places) {
            crowdedOut++;
            at(now + 1_000, () -> from.ended(id, attempt, Ending.CONNECT_FAILED, 1_000));
            return;
        }
        calls++;
        if (now - start >= outUntil) {
            recent.addLast(now);
            while (recent.peekFirst() < now - WINDOW) {
                recent.removeFirst();
            }
            push = Math.max(push, recent.size() / (MULTIPLE * spare * limit * warmth() * WINDOW / 1e6));
        }
        double depth = windows ? 2 * limit : Math.max(1, limit / 2);
        if (windows) {
            boolean next = (now - start) / 2_000_000 != (filledAt - start) / 2_000_000 || Double.isNaN(tokens);
            tokens = next ? depth - Math.min(depth / 2, Double.isNaN(tokens) ? 0 : Math.max(0, -tokens)) : tokens;
        } else {
            tokens = Double.isNaN(tokens) ? depth : Math.min(depth, tokens + limit * (now - filledAt) / 1e6);
        }
        filledAt = now;
        if (now - toldAt >= REPORTED_EACH) {
            toldAt = now;
            told0 = Math.max(0, Math.min(1, tokens / depth));
            told1 = limit * (1 + 0.1 * (2 * random.nextDouble() - 1));
        }
        double each = 1e6 / (spare * limit * warmth());
        // Refused calls use the limit up, down to a debt.
        tokens = Math.max(windows ? -depth : -limit / 10, tokens - 1);
        if (tokens < 0 || free - now > 8 * each + 100_000) {
            refused++;
            refusals.add(now - start);
            at(now + 30_000, () -> from.ended(id, attempt, Ending.FULL, 30_000));
            return;
        }
        free = Math.max(free, now) + each;
        long took = (long) (free - now) + (long) (SERVICE / Math.max(0.3, warmth()) * (0.5 + random.nextDouble()));
        long sent = now;
        connected++;
        at(now + took, () -> {
            connected--;
            answered++;
            answeredBy[from.index]++;
            answers.add(now - start);
            from.ended(id, attempt, Ending.OK, now - sent);
        });
    }

    double told0() {
        return told0;
    }

    double told1() {
        return told1;
    }

    /** Refusals in a span since the start. */
    long refused(long from, long until) {
        return refusals.stream().filter(t -> t >= from && t < until).count();
    }

    /** Answers in a span since the start, a second. */
    double rate(long from, long until) {
        return answers.stream().filter(t -> t >= from && t < until).count() * 1e6 / (until - from);
    }

    private final class Instance implements Relay.Actions {
        final int index;
        final Policy policy;
        final Map<Long, Integer> attempts = new HashMap<>();
        long ids;

        Instance(int index, Relay.Settings settings) {
            this.index = index;
            policy = new Policy(settings);
        }

        boolean dead() {
            return index < dying && now - start >= diesAt;
        }

        void list() {
            policy.step(now, new Event.Listing(Relay.ListKind.FULL, List.of(
                    new Relay.Entry(1, 1, Relay.Listed.READY, 1, 0, 0),
                    new Relay.Entry(2, 1, Relay.Listed.READY, 1, 0, 0))), this);
            turn();
        }

        void arrive() {
            attempts.put(++ids, 0);
            policy.step(now, new Event.Arrival(ids, 0, -1, 0, 12_000_000, 1), this);
            turn();
        }

        void ended(long id, int attempt, Ending ending, long took) {
            if (dead()) {
                return;
            }
            List<Double> report = ending == Ending.CONNECT_FAILED ? List.of()
                    : lie != null ? lie.get() : List.of(told0, told1);
            policy.step(now, new Event.Outcome(id, attempt, 1, ending, took, ending == Ending.OK, 0, report, 0), this);
            turn();
        }

        private void turn() {
            policy.step(now, new Event.Turn(), this);
        }

        @Override
        public void send(long id, long endpoint, long giveUpAt) {
            serve(this, id, attempts.merge(id, 1, Integer::sum) - 1);
        }

        @Override
        public void refuse(long id, long retryAfter) {
            turnedAway++;
        }

        @Override
        public void fail(long id) {
            ended++;
        }

        @Override
        public void cancel(long id, int attempt) {
        }

        @Override
        public void closeIdle(long endpoint) {
        }

        @Override
        public void wake(long delay, long token) {
            at(now + delay, () -> {
                if (!dead()) {
                    policy.step(now, new Event.TimerDue(token), this);
                    turn();
                }
            });
        }

        @Override
        public void follow() {
        }

        @Override
        public void log(String text) {
        }
    }
}
