package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Many instances of the module, each on its own, against one modelled destination with a limit, in virtual time and from a
 * seed. A sender sees only its own calls and what their answers report. Times are microseconds.
 */
final class FleetSimulation {
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
    /** Connections that the receiver holds, in use and idle; any further one is turned away at the door, without a word of the limit. */
    int table = Integer.MAX_VALUE;
    /** How long a connection may lie idle. */
    long idleLife = 12_000_000;

    private int held;
    /** Traffic of each instance falls off by this power of its place among them; 0 for even traffic. */
    double uneven;
    /** How much later than the first each instance gets its messages, so that they learn of an outage one after another. */
    long learnsWithin;
    /** Instances that are started anew while the destination is cold, each at a moment of its own; they keep their memories. */
    int restarting;

    long restartFrom;
    long restartUntil;
    /** The largest excess over any window of the rule behind the outage, as a share of what is put down to chance: 2 x root of N + 2. */
    double excess;
    /** Of what restarts found taken on and untried: all, and what was given up with no call. */
    int untried;

    int givenUpUntried;
    /** The same of those alone that may not simply be repeated; every so many messages one is such, 0 for none. */
    int otherEach;

    int untriedOther;
    int givenUpOther;
    private final int mostHeld;
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

    FleetSimulation(int senders, long seed) {
        this(senders, seed, 4_000 / senders);
    }

    /** {@code mostHeld} messages may each instance hold. */
    FleetSimulation(int senders, long seed, int mostHeld) {
        this(senders, seed, mostHeld, type(2, DeliveryScheduler.Idempotency.NON_IDEMPOTENT));
    }

    /** {@code other}: the class of what may not simply be repeated; all else is safe and worth 2. */
    FleetSimulation(int senders, long seed, int mostHeld, DeliveryScheduler.MessageClass other) {
        this.mostHeld = mostHeld;
        random = new SplittableRandom(seed);
        answeredBy = new int[senders];
        for (int i = 0; i < senders; i++) {
            fleet.add(new Instance(i, settings(senders, random.nextLong(), mostHeld, other)));
        }
    }

    private static DeliveryScheduler.Settings settings(
            int senders, long seed, int mostHeld, DeliveryScheduler.MessageClass other) {
        // Slots as the platform gives them: about three times what the load keeps busy, four at the least.
        int slots = Math.max(4, 70 / senders);
        return new DeliveryScheduler.Settings(
                seed,
                senders,
                0,
                1_000,
                false,
                0.1,
                DeliveryScheduler.LateValueDecay.LINEAR,
                DeliveryScheduler.WeightKind.NONE,
                List.of(type(2, DeliveryScheduler.Idempotency.IDEMPOTENT), other),
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, 1)),
                new DeliveryScheduler.Limits(
                        slots, mostHeld, 12, false, true, true, 3_000_000, 1, 15_000_000, 1_000_000),
                new DeliveryScheduler.Rules(5_000, 10_000_000, COLD_FROM, COLD, MULTIPLE, WINDOW, 100_000),
                new DeliveryScheduler.Prices(0.06, 0, List.of()),
                new DeliveryScheduler.ReportFields(0, 1));
    }

    /** A class with 12 s, repeats of which are known for 1 s where they carry a key. */
    static DeliveryScheduler.MessageClass type(double worth, DeliveryScheduler.Idempotency effect) {
        return new DeliveryScheduler.MessageClass(
                worth,
                0.5,
                2_500_000,
                12_000_000,
                effect,
                DeliveryScheduler.KeyScope.DESTINATION,
                effect == DeliveryScheduler.Idempotency.KEYED ? 1_000_000 : 0,
                false);
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
        for (int i = 0; i < restarting; i++) {
            Instance one = fleet.get(fleet.size() - 1 - i);
            at(start + restartFrom + (restartUntil - restartFrom) * i / Math.max(1, restarting), one::restart);
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
            Instance to = fleet.get(place());
            if (!to.dead()) {
                offered++;
                to.arrive();
            }
            arrival();
        });
    }

    /** Which instance gets the next message. */
    private int place() {
        int among = fleet.size();
        if (learnsWithin > 0 && now - start >= outFrom) {
            // One after another hears of its first message in the outage.
            among = (int) Math.max(1, Math.min(among, among * (now - start - outFrom) / learnsWithin));
        }
        if (uneven == 0) {
            return random.nextInt(among);
        }
        double sum = 0;
        for (int i = 0; i < among; i++) {
            sum += Math.pow(1 + i, -uneven);
        }
        double left = sum * random.nextDouble();
        int i = 0;
        while (i < among - 1 && (left -= Math.pow(1 + i, -uneven)) > 0) {
            i++;
        }
        return i;
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
        return now - start < outFrom
                ? 1
                : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (now - start - outUntil) / (double) COLD);
    }

    /** How a call ends, and when. */
    private void serve(Instance from, long id, int attempt, BooleanSupplier lives) {
        if (out()) {
            at(now + 1_000, () -> from.ended(lives, id, attempt, AttemptOutcome.CONNECT_FAILED, 1_000, 0, List.of()));
            return;
        }
        if (connected >= places) {
            crowdedOut++;
            at(now + 1_000, () -> from.ended(lives, id, attempt, AttemptOutcome.CONNECT_FAILED, 1_000, 0, List.of()));
            return;
        }
        long idle = from.connection(table);
        if (idle < 0) {
            crowdedOut++;
            at(now + 30_000, () -> from.ended(lives, id, attempt, AttemptOutcome.FULL, 30_000, 0, List.of()));
            return;
        }
        calls++;
        if (now - start >= outUntil) {
            recent.addLast(now);
            while (recent.peekFirst() < now - WINDOW) {
                recent.removeFirst();
            }
            double budget = MULTIPLE * spare * limit * warmth() * WINDOW / 1e6;
            push = Math.max(push, recent.size() / budget);
            excess = Math.max(excess, (recent.size() - budget) / (2 * Math.sqrt(budget) + 2));
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
            at(now + 30_000, () -> from.ended(lives, id, attempt, AttemptOutcome.FULL, 30_000, idle, from.report()));
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
            from.ended(lives, id, attempt, AttemptOutcome.OK, now - sent, idle, from.report());
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

    private final class Instance implements DeliveryScheduler.Actions {
        final int index;
        private final DeliveryScheduler.Settings settings;
        AtcDeliveryScheduler policy;
        DeliveryScheduler.HealthCheckpoint memory;
        long rememberedAt;
        /** Of which start what is still under way is: its outcomes and timers count no more behind the next. */
        int life;

        final Map<Long, Integer> attempts = new HashMap<>();
        /** Found by the last restart, and neither called nor ended since. */
        private final Set<Long> untried = new HashSet<>();

        private final Deque<Long> idleSince = new ArrayDeque<>();
        long ids;

        Instance(int index, DeliveryScheduler.Settings settings) {
            this.index = index;
            this.settings = settings;
            policy = new AtcDeliveryScheduler(settings);
        }

        /** Killed and started again with what it wrote down; what it held it has to deliver. */
        void restart() {
            life++;
            Map<Long, Integer> held = new HashMap<>(attempts);
            policy = new AtcDeliveryScheduler(settings);
            list();
            if (memory != null) {
                policy.step(now, new Event.HealthRestored(memory, now - rememberedAt), this);
            }
            untried.clear();
            held.forEach((id, tried) -> {
                if (tried == 0) {
                    untried.add(id);
                    FleetSimulation.this.untried++;
                    untriedOther += type(id);
                }
            });
            held.forEach((id, tried) -> policy.step(
                    now, new Event.MessageRecovered(id, type(id), 0, 8_000_000, 1, tried, -1, 0, false), this));
            turn();
        }

        boolean dead() {
            return index < dying && now - start >= diesAt;
        }

        void list() {
            policy.step(
                    now,
                    new Event.EndpointListUpdated(
                            DeliveryScheduler.EndpointListKind.FULL,
                            List.of(
                                    new DeliveryScheduler.EndpointEntry(
                                            1, 1, DeliveryScheduler.EndpointState.READY, 1, 0, 0),
                                    new DeliveryScheduler.EndpointEntry(
                                            2, 1, DeliveryScheduler.EndpointState.READY, 1, 0, 0))),
                    this);
            turn();
        }

        void arrive() {
            attempts.put(++ids, 0);
            policy.step(now, new Event.MessageSubmitted(ids, type(ids), -1, 0, 12_000_000, 1), this);
            turn();
        }

        /** The number of its class: 1 where it may not simply be repeated. */
        private int type(long id) {
            return otherEach > 0 && id % otherEach == 0 ? 1 : 0;
        }

        private void gaveUp(long id) {
            if (untried.remove(id)) {
                givenUpUntried++;
                givenUpOther += type(id);
            }
        }

        List<Double> report() {
            return lie != null ? lie.get() : List.of(told0, told1);
        }

        /** A connection for a call: how long it has lain idle, 0 for a fresh one, -1 where there is no place for that. */
        long connection(int places) {
            if (places == Integer.MAX_VALUE) {
                return 0;
            }
            if (!idleSince.isEmpty()) {
                return Math.max(1, now - idleSince.removeLast());
            }
            if (FleetSimulation.this.held >= places) {
                return -1;
            }
            FleetSimulation.this.held++;
            return 0;
        }

        /** A call on a connection has ended: it lies idle until it is used, shut, or has lain too long. */
        private void idles() {
            if (table != Integer.MAX_VALUE) {
                long since = now;
                idleSince.addLast(since);
                at(now + idleLife, () -> shut(idleSince.remove(since) ? 1 : 0));
            }
        }

        private void shut(int connections) {
            FleetSimulation.this.held -= connections;
        }

        void ended(
                BooleanSupplier lives,
                long id,
                int attempt,
                AttemptOutcome ending,
                long took,
                long idle,
                List<Double> report) {
            if (dead() || !lives.getAsBoolean() || !attempts.containsKey(id)) {
                return;
            }
            if (ending != AttemptOutcome.CONNECT_FAILED && !(ending == AttemptOutcome.FULL && report.isEmpty())) {
                idles();
            }
            if (ending == AttemptOutcome.OK) {
                attempts.remove(id);
            }
            policy.step(
                    now,
                    new Event.AttemptCompleted(
                            id, attempt, 1, ending, took, ending == AttemptOutcome.OK, 0, report, idle),
                    this);
            turn();
        }

        private void turn() {
            policy.step(now, new Event.Decide(), this);
        }

        @Override
        public void send(long id, long endpoint, long giveUpAt) {
            int lived = life;
            untried.remove(id);
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            serve(this, id, attempt, () -> lived == life);
        }

        @Override
        public void reject(long id, long retryAfter) {
            attempts.remove(id);
            gaveUp(id);
            turnedAway++;
        }

        @Override
        public void fail(long id) {
            attempts.remove(id);
            gaveUp(id);
            ended++;
        }

        @Override
        public void cancel(long id, int attempt) {}

        @Override
        public void closeIdle(long endpoint) {
            shut(idleSince.size());
            idleSince.clear();
        }

        @Override
        public void scheduleTimer(long delay, long token) {
            int lived = life;
            at(now + delay, () -> {
                if (!dead() && lived == life) {
                    policy.step(now, new Event.TimerExpired(token), this);
                    turn();
                }
            });
        }

        @Override
        public void saveCheckpoint(DeliveryScheduler.HealthCheckpoint told) {
            memory = told;
            rememberedAt = now;
        }

        @Override
        public void subscribe() {}

        @Override
        public void log(String text) {}
    }
}
