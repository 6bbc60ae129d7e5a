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
 * Many senders, each with its own scheduler, against one modelled destination with a limit, in virtual time and from a seed. A
 * sender sees only its own calls and what their answers report. Times are microseconds.
 */
final class FleetSimulation {
    static final double OVERLOAD_MULTIPLE = 2.5;
    static final long OVERLOAD_WINDOW_MICROS = 1_500_000;
    static final long SLOW_START_MICROS = 14_000_000;
    static final double SLOW_START_CAPACITY = 0.13;
    private static final long SERVICE_MICROS = 50_000;
    private static final long REPORT_PERIOD_MICROS = 300_000;

    /** Calls a second that the destination permits, and its capacity as a multiple of that. */
    double limitPerSecond = 200;

    double capacityRatio = 1.3;
    /** Messages a second from all clients, as a share of the limit. */
    double offeredRatio = 0.5;

    long outageFrom = Long.MAX_VALUE;
    long outageUntil = Long.MAX_VALUE;
    /** The values of load reports (allowance left, limit) in place of the true ones; null for the true ones. */
    Supplier<List<Double>> reportOverride;
    /** The limit counts in fixed windows of 2 s, and rejected calls are charged to the next, up to half; else a token bucket. */
    boolean fixedWindows;
    /** Messages that each sender has to deliver when all start at the same moment. */
    int pendingAtStart;
    /** Calls that may be connected at once; further ones cannot connect. */
    int maxConnectionsInUse = Integer.MAX_VALUE;

    int unconnectedCalls;
    /** Connections that the receiver keeps, in use and idle; further ones are rejected without a load report. */
    int maxConnections = Integer.MAX_VALUE;
    /** How long a connection may be idle. */
    long idleLifeMicros = 12_000_000;

    private int openConnections;
    /** Traffic of each sender falls off by this power of its number; 0 for even traffic. */
    double trafficSkew;
    /** Span in which senders get their first messages of an outage, so that they learn of it one after another. */
    long firstMessagesWithinMicros;
    /** Senders that restart during the slow start of the destination, each at a moment of its own; they keep their checkpoints. */
    int restartingSenders;

    long restartFrom;
    long restartUntil;
    /** The largest excess in any window behind the outage, as a share of what counts as chance: 2 x root of N + 2. */
    double excess;
    /** Messages that restarts recovered untried: all, and those that were rejected without a call. */
    int recoveredUntried;

    int abandonedUntried;
    /** The same for messages of the other class; every so many messages one is of it, 0 for none. */
    int otherClassPeriod;

    int recoveredUntriedOther;
    int abandonedUntriedOther;
    private final int maxPending;
    /** Senders that stop for good, and when. */
    int stoppingSenders;

    long stopAt = Long.MAX_VALUE;

    int calls;
    int rejectedCalls;
    int answered;
    int rejectedMessages;
    int failedMessages;
    int offered;
    /** The largest load in any window behind the outage, as a share of what overloads the destination. */
    double peakOverload;

    final int[] answeredBy;
    final List<Long> answerTimes = new ArrayList<>();
    final List<Long> rejectionTimes = new ArrayList<>();

    private record ScheduledEvent(long at, long order, Runnable what) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<ScheduledEvent> scheduledEvents = new PriorityQueue<>();
    private final SplittableRandom random;
    private final List<SimulatedSender> senders = new ArrayList<>();
    private final Deque<Long> recent = new ArrayDeque<>();
    private long now = 1_000_000_000L;
    private final long start = now;
    private long order;
    private double tokens = Double.NaN;
    private long filledAt = now;
    private double free = now;
    private int connected;
    private double reportedAllowanceLeft = 1;
    private double reportedLimit;
    private long reportedAt = Long.MIN_VALUE / 2;

    FleetSimulation(int senders, long seed) {
        this(senders, seed, 4_000 / senders);
    }

    /** {@code maxPending}: messages that each sender may have pending. */
    FleetSimulation(int senders, long seed, int maxPending) {
        this(senders, seed, maxPending, messageClass(2, DeliveryScheduler.Idempotency.NON_IDEMPOTENT));
    }

    /** {@code other}: the class of some messages; all others are idempotent and have weight 2. */
    FleetSimulation(int senders, long seed, int maxPending, DeliveryScheduler.MessageClass other) {
        this.maxPending = maxPending;
        random = new SplittableRandom(seed);
        answeredBy = new int[senders];
        for (int i = 0; i < senders; i++) {
            this.senders.add(new SimulatedSender(i, settings(senders, random.nextLong(), maxPending, other)));
        }
    }

    private static DeliveryScheduler.Settings settings(
            int senders, long seed, int maxPending, DeliveryScheduler.MessageClass other) {
        // Slots as the platform gives them: about three times what the load keeps busy, four at the least.
        int maxConcurrentCalls = Math.max(4, 70 / senders);
        return new DeliveryScheduler.Settings(
                seed,
                senders,
                0,
                1_000,
                false,
                0.1,
                DeliveryScheduler.LateValueDecay.LINEAR,
                DeliveryScheduler.WeightKind.NONE,
                List.of(messageClass(2, DeliveryScheduler.Idempotency.IDEMPOTENT), other),
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, 1)),
                new DeliveryScheduler.Limits(
                        maxConcurrentCalls, maxPending, 12, false, true, true, 3_000_000, 1, 15_000_000, 1_000_000),
                new DeliveryScheduler.Rules(
                        5_000,
                        10_000_000,
                        SLOW_START_CAPACITY,
                        SLOW_START_MICROS,
                        OVERLOAD_MULTIPLE,
                        OVERLOAD_WINDOW_MICROS,
                        100_000),
                new DeliveryScheduler.Prices(0.06, 0, List.of()),
                new DeliveryScheduler.ReportFields(0, 1));
    }

    /** A class with 12 s, repeats of which are known for 1 s where they carry a key. */
    static DeliveryScheduler.MessageClass messageClass(
            double priorityWeight, DeliveryScheduler.Idempotency idempotency) {
        return new DeliveryScheduler.MessageClass(
                priorityWeight,
                0.5,
                2_500_000,
                12_000_000,
                idempotency,
                DeliveryScheduler.KeyScope.DESTINATION,
                idempotency == DeliveryScheduler.Idempotency.KEYED ? 1_000_000 : 0,
                false);
    }

    private void at(long when, Runnable what) {
        scheduledEvents.add(new ScheduledEvent(when, order++, what));
    }

    void run(long span) {
        for (SimulatedSender sender : senders) {
            sender.listEndpoints();
            for (int n = 0; n < pendingAtStart; n++) {
                offered++;
                sender.submit();
            }
        }
        for (int i = 0; i < restartingSenders; i++) {
            SimulatedSender sender = senders.get(senders.size() - 1 - i);
            at(
                    start + restartFrom + (restartUntil - restartFrom) * i / Math.max(1, restartingSenders),
                    sender::restart);
        }
        scheduleSubmission();
        while (!scheduledEvents.isEmpty() && scheduledEvents.peek().at() <= start + span) {
            ScheduledEvent next = scheduledEvents.poll();
            now = next.at();
            next.what().run();
        }
    }

    private void scheduleSubmission() {
        double perSecond = offeredRatio * limitAtStart();
        at(now + (long) (-Math.log(1 - random.nextDouble()) * 1e6 / perSecond), () -> {
            SimulatedSender to = senders.get(chooseSender());
            if (!to.isStopped()) {
                offered++;
                to.submit();
            }
            scheduleSubmission();
        });
    }

    /** The number of the sender that gets the next message. */
    private int chooseSender() {
        int among = senders.size();
        if (firstMessagesWithinMicros > 0 && now - start >= outageFrom) {
            // Senders get their first message of the outage one after another.
            among = (int) Math.max(1, Math.min(among, among * (now - start - outageFrom) / firstMessagesWithinMicros));
        }
        if (trafficSkew == 0) {
            return random.nextInt(among);
        }
        double sum = 0;
        for (int i = 0; i < among; i++) {
            sum += Math.pow(1 + i, -trafficSkew);
        }
        double left = sum * random.nextDouble();
        int i = 0;
        while (i < among - 1 && (left -= Math.pow(1 + i, -trafficSkew)) > 0) {
            i++;
        }
        return i;
    }

    private double first = Double.NaN;

    private double limitAtStart() {
        first = Double.isNaN(first) ? limitPerSecond : first;
        return first;
    }

    /** At a time since the start. */
    void when(long since, Runnable what) {
        at(start + since, what);
    }

    private boolean isUnavailable() {
        return now - start >= outageFrom && now - start < outageUntil;
    }

    private double capacityShare() {
        return now - start < outageFrom
                ? 1
                : Math.min(
                        1,
                        SLOW_START_CAPACITY
                                + (1 - SLOW_START_CAPACITY) * (now - start - outageUntil) / (double) SLOW_START_MICROS);
    }

    /** Schedules the outcome of a call. */
    private void serve(SimulatedSender from, long id, int attempt, BooleanSupplier stillRunning) {
        if (isUnavailable()) {
            at(
                    now + 1_000,
                    () -> from.completed(
                            stillRunning, id, attempt, AttemptOutcome.CONNECT_FAILED, 1_000, 0, List.of()));
            return;
        }
        if (connected >= maxConnectionsInUse) {
            unconnectedCalls++;
            at(
                    now + 1_000,
                    () -> from.completed(
                            stillRunning, id, attempt, AttemptOutcome.CONNECT_FAILED, 1_000, 0, List.of()));
            return;
        }
        long idle = from.connection(maxConnections);
        if (idle < 0) {
            unconnectedCalls++;
            at(
                    now + 30_000,
                    () -> from.completed(stillRunning, id, attempt, AttemptOutcome.FULL, 30_000, 0, List.of()));
            return;
        }
        calls++;
        if (now - start >= outageUntil) {
            recent.addLast(now);
            while (recent.peekFirst() < now - OVERLOAD_WINDOW_MICROS) {
                recent.removeFirst();
            }
            double budget =
                    OVERLOAD_MULTIPLE * capacityRatio * limitPerSecond * capacityShare() * OVERLOAD_WINDOW_MICROS / 1e6;
            peakOverload = Math.max(peakOverload, recent.size() / budget);
            excess = Math.max(excess, (recent.size() - budget) / (2 * Math.sqrt(budget) + 2));
        }
        double depth = fixedWindows ? 2 * limitPerSecond : Math.max(1, limitPerSecond / 2);
        if (fixedWindows) {
            boolean next = (now - start) / 2_000_000 != (filledAt - start) / 2_000_000 || Double.isNaN(tokens);
            tokens = next ? depth - Math.min(depth / 2, Double.isNaN(tokens) ? 0 : Math.max(0, -tokens)) : tokens;
        } else {
            tokens = Double.isNaN(tokens) ? depth : Math.min(depth, tokens + limitPerSecond * (now - filledAt) / 1e6);
        }
        filledAt = now;
        if (now - reportedAt >= REPORT_PERIOD_MICROS) {
            reportedAt = now;
            reportedAllowanceLeft = Math.max(0, Math.min(1, tokens / depth));
            reportedLimit = limitPerSecond * (1 + 0.1 * (2 * random.nextDouble() - 1));
        }
        double each = 1e6 / (capacityRatio * limitPerSecond * capacityShare());
        // Rejected calls use up the limit as well, down to a debt.
        tokens = Math.max(fixedWindows ? -depth : -limitPerSecond / 10, tokens - 1);
        if (tokens < 0 || free - now > 8 * each + 100_000) {
            rejectedCalls++;
            rejectionTimes.add(now - start);
            at(
                    now + 30_000,
                    () -> from.completed(stillRunning, id, attempt, AttemptOutcome.FULL, 30_000, idle, from.report()));
            return;
        }
        free = Math.max(free, now) + each;
        long durationMicros = (long) (free - now)
                + (long) (SERVICE_MICROS / Math.max(0.3, capacityShare()) * (0.5 + random.nextDouble()));
        long sent = now;
        connected++;
        at(now + durationMicros, () -> {
            connected--;
            answered++;
            answeredBy[from.index]++;
            answerTimes.add(now - start);
            from.completed(stillRunning, id, attempt, AttemptOutcome.OK, now - sent, idle, from.report());
        });
    }

    double reportedAllowanceLeft() {
        return reportedAllowanceLeft;
    }

    double reportedLimit() {
        return reportedLimit;
    }

    /** Rejected calls in a span since the start. */
    long rejectedCalls(long from, long until) {
        return rejectionTimes.stream().filter(t -> t >= from && t < until).count();
    }

    /** Answers in a span since the start, a second. */
    double answersPerSecond(long from, long until) {
        return answerTimes.stream().filter(t -> t >= from && t < until).count() * 1e6 / (until - from);
    }

    private final class SimulatedSender implements DeliveryScheduler.Actions {
        final int index;
        private final DeliveryScheduler.Settings settings;
        AtcDeliveryScheduler scheduler;
        DeliveryScheduler.HealthCheckpoint checkpoint;
        long checkpointAt;
        /** Number of the start; outcomes and timers of earlier ones are ignored. */
        int incarnation;

        final Map<Long, Integer> attempts = new HashMap<>();
        /** Recovered by the last restart, and neither called nor completed since. */
        private final Set<Long> recoveredUntriedIds = new HashSet<>();

        private final Deque<Long> idleSince = new ArrayDeque<>();
        long ids;

        SimulatedSender(int index, DeliveryScheduler.Settings settings) {
            this.index = index;
            this.settings = settings;
            scheduler = new AtcDeliveryScheduler(settings);
        }

        /** Killed and started again with its checkpoint; its pending messages are recovered. */
        void restart() {
            incarnation++;
            Map<Long, Integer> pending = new HashMap<>(attempts);
            scheduler = new AtcDeliveryScheduler(settings);
            listEndpoints();
            if (checkpoint != null) {
                scheduler.step(now, new Event.HealthRestored(checkpoint, now - checkpointAt), this);
            }
            recoveredUntriedIds.clear();
            pending.forEach((id, tried) -> {
                if (tried == 0) {
                    recoveredUntriedIds.add(id);
                    FleetSimulation.this.recoveredUntried++;
                    recoveredUntriedOther += classOf(id);
                }
            });
            pending.forEach((id, tried) -> scheduler.step(
                    now, new Event.MessageRecovered(id, classOf(id), 0, 8_000_000, 1, tried, -1, 0, false), this));
            decide();
        }

        boolean isStopped() {
            return index < stoppingSenders && now - start >= stopAt;
        }

        void listEndpoints() {
            scheduler.step(
                    now,
                    new Event.EndpointListUpdated(
                            DeliveryScheduler.EndpointListKind.FULL,
                            List.of(
                                    new DeliveryScheduler.EndpointEntry(
                                            1, 1, DeliveryScheduler.EndpointState.READY, 1, 0, 0),
                                    new DeliveryScheduler.EndpointEntry(
                                            2, 1, DeliveryScheduler.EndpointState.READY, 1, 0, 0))),
                    this);
            decide();
        }

        void submit() {
            attempts.put(++ids, 0);
            scheduler.step(now, new Event.MessageSubmitted(ids, classOf(ids), -1, 0, 12_000_000, 1), this);
            decide();
        }

        /** The number of its class: 1 for the other class. */
        private int classOf(long id) {
            return otherClassPeriod > 0 && id % otherClassPeriod == 0 ? 1 : 0;
        }

        private void abandoned(long id) {
            if (recoveredUntriedIds.remove(id)) {
                abandonedUntried++;
                abandonedUntriedOther += classOf(id);
            }
        }

        List<Double> report() {
            return reportOverride != null ? reportOverride.get() : List.of(reportedAllowanceLeft, reportedLimit);
        }

        /** A connection for a call: how long it has been idle, 0 for a fresh one, -1 where it is rejected. */
        long connection(int limit) {
            if (limit == Integer.MAX_VALUE) {
                return 0;
            }
            if (!idleSince.isEmpty()) {
                return Math.max(1, now - idleSince.removeLast());
            }
            if (FleetSimulation.this.openConnections >= limit) {
                return -1;
            }
            FleetSimulation.this.openConnections++;
            return 0;
        }

        /** A call has ended: its connection is idle until it is used, closed, or has been idle too long. */
        private void connectionBecameIdle() {
            if (maxConnections != Integer.MAX_VALUE) {
                long since = now;
                idleSince.addLast(since);
                at(now + idleLifeMicros, () -> closeConnections(idleSince.remove(since) ? 1 : 0));
            }
        }

        private void closeConnections(int connections) {
            FleetSimulation.this.openConnections -= connections;
        }

        void completed(
                BooleanSupplier stillRunning,
                long id,
                int attempt,
                AttemptOutcome outcome,
                long durationMicros,
                long idle,
                List<Double> report) {
            if (isStopped() || !stillRunning.getAsBoolean() || !attempts.containsKey(id)) {
                return;
            }
            if (outcome != AttemptOutcome.CONNECT_FAILED && !(outcome == AttemptOutcome.FULL && report.isEmpty())) {
                connectionBecameIdle();
            }
            if (outcome == AttemptOutcome.OK) {
                attempts.remove(id);
            }
            scheduler.step(
                    now,
                    new Event.AttemptCompleted(
                            id, attempt, 1, outcome, durationMicros, outcome == AttemptOutcome.OK, 0, report, idle),
                    this);
            decide();
        }

        private void decide() {
            scheduler.step(now, new Event.Decide(), this);
        }

        @Override
        public void send(long id, long endpoint, long timeoutAt) {
            int startedIn = incarnation;
            recoveredUntriedIds.remove(id);
            int attempt = attempts.merge(id, 1, Integer::sum) - 1;
            serve(this, id, attempt, () -> startedIn == incarnation);
        }

        @Override
        public void reject(long id, long retryAfter) {
            attempts.remove(id);
            abandoned(id);
            rejectedMessages++;
        }

        @Override
        public void fail(long id) {
            attempts.remove(id);
            abandoned(id);
            failedMessages++;
        }

        @Override
        public void cancel(long id, int attempt) {}

        @Override
        public void closeIdle(long endpoint) {
            closeConnections(idleSince.size());
            idleSince.clear();
        }

        @Override
        public void scheduleTimer(long delay, long token) {
            int startedIn = incarnation;
            at(now + delay, () -> {
                if (!isStopped() && startedIn == incarnation) {
                    scheduler.step(now, new Event.TimerExpired(token), this);
                    decide();
                }
            });
        }

        @Override
        public void saveCheckpoint(DeliveryScheduler.HealthCheckpoint saved) {
            checkpoint = saved;
            checkpointAt = now;
        }

        @Override
        public void subscribe() {}

        @Override
        public void log(String text) {}
    }
}
