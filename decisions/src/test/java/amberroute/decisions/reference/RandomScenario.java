package amberroute.decisions.reference;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Generates random events for one scheduler: submissions, destinations that are healthy, slow, unreachable, rejecting or failing,
 * Retry-After, keys, changes of the endpoint list, recovered and cancelled messages, and rate limits. Calls that the scheduler
 * starts end as those of real upstreams would. The same seed and scheduler give the same events.
 */
final class RandomScenario {
    /** Records the actions of one step in their order. */
    static final class Recorder implements DeliveryScheduler.Actions {
        final List<String> lines = new ArrayList<>();
        final List<long[]> sends = new ArrayList<>();
        final List<Long> answered = new ArrayList<>();
        final List<long[]> cancels = new ArrayList<>();
        long timerDelayMicros = -1;

        /** Returns all actions except timers. */
        List<String> actionsWithoutTimers() {
            return lines.stream().filter(line -> !line.startsWith("wake ")).toList();
        }

        @Override
        public void send(long id, long endpoint, long timeoutAt) {
            lines.add("send " + id + " " + endpoint + " " + timeoutAt);
            sends.add(new long[] {id, endpoint, timeoutAt});
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            lines.add("refuse " + id + " " + retryAfterMicros);
            answered.add(id);
        }

        @Override
        public void fail(long id) {
            lines.add("fail " + id);
            answered.add(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            lines.add("cancel " + id + " " + attempt);
            cancels.add(new long[] {id, attempt});
        }

        @Override
        public void closeIdle(long endpoint) {
            lines.add("closeIdle " + endpoint);
        }

        @Override
        public void limitIdleReuse(long longestMicros) {
            lines.add("trustIdle " + longestMicros);
        }

        @Override
        public void saveCheckpoint(DeliveryScheduler.HealthCheckpoint checkpoint) {
            lines.add("remember " + checkpoint);
        }

        @Override
        public void scheduleTimer(long delayMicros, long token) {
            lines.add("wake " + delayMicros);
            timerDelayMicros = delayMicros;
        }

        @Override
        public void subscribe() {
            lines.add("follow");
        }
    }

    /** Parameters of a scenario. */
    record Plan(
            int destinations,
            int endpointsPerDestination,
            int maxConcurrentCalls,
            int maxPendingMessages,
            double submissionsPerSecond,
            int keys,
            boolean acknowledgements) {}

    /** The outcome of a call and its time. */
    private record ScheduledOutcome(
            long at,
            long id,
            int attempt,
            long endpoint,
            AttemptOutcome outcome,
            long durationMicros,
            long retryAfterMicros) {}

    enum UpstreamBehavior {
        HEALTHY,
        SLOW,
        UNREACHABLE,
        REJECTING,
        FAILING
    }

    private final SplittableRandom random;
    private final Plan plan;
    private final PriorityQueue<ScheduledOutcome> scheduledOutcomes = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.id(), b.id()));
    private final Map<Long, Integer> attempts = new HashMap<>();
    private final Map<Long, ScheduledOutcome> inFlight = new LinkedHashMap<>();
    private final Map<Long, Boolean> pending = new LinkedHashMap<>();
    private final UpstreamBehavior[] behaviors;
    private final boolean[] listed;
    private final List<Long> unacknowledged = new ArrayList<>();
    private long now = 1_000_000;
    private long nextId = 1;
    private long timerAt = Long.MAX_VALUE;
    private long nextSubmissionAt;

    RandomScenario(long seed, Plan plan) {
        random = new SplittableRandom(seed);
        this.plan = plan;
        behaviors = new UpstreamBehavior[plan.destinations()];
        java.util.Arrays.fill(behaviors, UpstreamBehavior.HEALTHY);
        listed = new boolean[plan.destinations() * plan.endpointsPerDestination()];
        nextSubmissionAt = now;
    }

    static DeliveryScheduler.Settings settings(long seed, Plan plan) {
        SplittableRandom random = new SplittableRandom(seed * 31 + 7);
        List<DeliveryScheduler.MessageClass> classes = List.of(
                new DeliveryScheduler.MessageClass(
                        2,
                        0.5,
                        1_500_000,
                        12_000_000,
                        DeliveryScheduler.Idempotency.IDEMPOTENT,
                        DeliveryScheduler.KeyScope.DESTINATION,
                        0,
                        false),
                new DeliveryScheduler.MessageClass(
                        1,
                        0.5,
                        1_000_000,
                        10_000_000,
                        DeliveryScheduler.Idempotency.KEYED,
                        DeliveryScheduler.KeyScope.values()[random.nextInt(3)],
                        4_000_000 + random.nextInt(8_000_000),
                        true),
                new DeliveryScheduler.MessageClass(
                        4,
                        random.nextDouble(),
                        2_000_000,
                        8_000_000,
                        DeliveryScheduler.Idempotency.NON_IDEMPOTENT,
                        DeliveryScheduler.KeyScope.DESTINATION,
                        0,
                        random.nextBoolean()));
        return new DeliveryScheduler.Settings(
                seed,
                1 + random.nextInt(3),
                0,
                5_000,
                random.nextBoolean(),
                0.3,
                random.nextBoolean()
                        ? DeliveryScheduler.LateValueDecay.LINEAR
                        : DeliveryScheduler.LateValueDecay.HALVING,
                DeliveryScheduler.WeightKind.NONE,
                classes,
                random.nextBoolean()
                        ? List.of()
                        : List.of(new DeliveryScheduler.Tenant(20), new DeliveryScheduler.Tenant(100)),
                List.of(
                        new DeliveryScheduler.DestinationKind(random.nextBoolean(), 1),
                        new DeliveryScheduler.DestinationKind(false, 5)),
                new DeliveryScheduler.Limits(
                        plan.maxConcurrentCalls(),
                        plan.maxPendingMessages(),
                        3 + random.nextInt(10),
                        false,
                        true,
                        true,
                        3_000_000,
                        1,
                        15_000_000,
                        1_000_000),
                new DeliveryScheduler.Rules(300_000, 6_000_000, 0.15, 12_000_000, 2.5, 1_500_000, 100_000),
                new DeliveryScheduler.Prices(0.06, random.nextInt(2) * 0.1, List.of()),
                new DeliveryScheduler.ReportFields(0, 1));
    }

    private long endpointId(int destination, int index) {
        return 1 + destination * (long) plan.endpointsPerDestination() + index;
    }

    Event initialList() {
        List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
        for (int destination = 0; destination < plan.destinations(); destination++) {
            for (int i = 0; i < plan.endpointsPerDestination(); i++) {
                entries.add(new DeliveryScheduler.EndpointEntry(
                        endpointId(destination, i),
                        destination,
                        DeliveryScheduler.EndpointState.READY,
                        0,
                        i % 2,
                        destination % 2));
                listed[destination * plan.endpointsPerDestination() + i] = true;
            }
        }
        return new Event.EndpointListUpdated(DeliveryScheduler.EndpointListKind.FULL, entries);
    }

    long now() {
        return now;
    }

    int pendingCount() {
        return pending.size();
    }

    /** Returns the next event; the caller makes a decision after each one. */
    Event nextEvent() {
        if (!unacknowledged.isEmpty() && random.nextInt(3) == 0) {
            return new Event.CompletionAcknowledged(unacknowledged.remove(0));
        }
        int choice = random.nextInt(1_000);
        if (choice < 3) {
            behaviors[random.nextInt(behaviors.length)] =
                    UpstreamBehavior.values()[random.nextInt(UpstreamBehavior.values().length)];
        } else if (choice < 5) {
            int listIndex = random.nextInt(listed.length);
            listed[listIndex] = !listed[listIndex];
            int destination = listIndex / plan.endpointsPerDestination();
            return new Event.EndpointListUpdated(
                    DeliveryScheduler.EndpointListKind.DELTA,
                    List.of(new DeliveryScheduler.EndpointEntry(
                            listIndex + 1,
                            destination,
                            listed[listIndex]
                                    ? DeliveryScheduler.EndpointState.READY
                                    : random.nextBoolean()
                                            ? DeliveryScheduler.EndpointState.GONE
                                            : DeliveryScheduler.EndpointState.DRAINING,
                            0,
                            listIndex % plan.endpointsPerDestination() % 2,
                            destination % 2)));
        } else if (choice < 6) {
            return recovered();
        } else if (choice < 8 && !pending.isEmpty()) {
            long id = pending.keySet().iterator().next();
            pending.remove(id);
            return new Event.MessageCancelled(id);
        } else if (choice < 9) {
            return new Event.FleetRateLimitChanged(
                    random.nextInt(plan.destinations()), random.nextInt(30), 1, random.nextBoolean());
        }
        long nextAt = Math.min(
                Math.min(timerAt, nextSubmissionAt),
                scheduledOutcomes.isEmpty()
                        ? Long.MAX_VALUE
                        : scheduledOutcomes.peek().at());
        now = Math.max(now, nextAt);
        if (!scheduledOutcomes.isEmpty() && scheduledOutcomes.peek().at() <= now) {
            return completed(scheduledOutcomes.poll());
        }
        if (timerAt <= now) {
            timerAt = Long.MAX_VALUE;
            return new Event.TimerExpired(0);
        }
        nextSubmissionAt = now
                + (random.nextInt(200) == 0
                        ? 0
                        : (long) (-Math.log(1 - random.nextDouble()) / plan.submissionsPerSecond() * 1e6));
        return submitted();
    }

    private Event submitted() {
        int messageClass = random.nextInt(3);
        long id = nextId++;
        pending.put(id, true);
        attempts.put(id, 0);
        long deadlineMicros = messageClass == 0 ? 12_000_000 : messageClass == 1 ? 10_000_000 : 8_000_000;
        return new Event.MessageSubmitted(
                id,
                messageClass,
                random.nextInt(3) - 1,
                key(),
                random.nextInt(4) == 0 ? 100_000 + random.nextLong(deadlineMicros) : deadlineMicros,
                random.nextInt(plan.destinations()));
    }

    private long key() {
        return plan.keys() == 0 || random.nextInt(3) == 0 ? 0 : 1 + random.nextInt(plan.keys());
    }

    private Event recovered() {
        long id = nextId++;
        pending.put(id, true);
        int attemptCount = random.nextInt(3);
        attempts.put(id, attemptCount);
        boolean outcomeUnknown = attemptCount > 0 && random.nextBoolean();
        int destination = random.nextInt(plan.destinations());
        return new Event.MessageRecovered(
                id,
                random.nextInt(3),
                key(),
                100_000 + random.nextLong(8_000_000),
                destination,
                attemptCount,
                outcomeUnknown ? random.nextLong(3_000_000) : -1,
                outcomeUnknown ? endpointId(destination, random.nextInt(plan.endpointsPerDestination())) : 0,
                outcomeUnknown && random.nextBoolean());
    }

    private Event completed(ScheduledOutcome call) {
        inFlight.remove(call.id());
        boolean messageCompleted = call.outcome() == AttemptOutcome.OK || random.nextInt(200) == 0;
        if (messageCompleted) {
            pending.remove(call.id());
            if (plan.acknowledgements()) {
                // A sender acknowledges completed messages at once.
                unacknowledged.remove(call.id());
            }
        }
        return new Event.AttemptCompleted(
                call.id(),
                call.attempt(),
                call.endpoint(),
                call.outcome(),
                call.durationMicros(),
                messageCompleted,
                call.retryAfterMicros(),
                random.nextInt(20) == 0 ? List.of(random.nextDouble(), 10 + random.nextDouble() * 50) : List.of(),
                random.nextBoolean() ? -1 : random.nextLong(5_000_000));
    }

    /** Applies the actions of a step: the outcome of each call is scheduled according to the behavior of its destination. */
    void apply(Recorder recorded) {
        for (long[] send : recorded.sends) {
            int destination = (int) ((send[1] - 1) / plan.endpointsPerDestination());
            long durationMicros = 20_000 + random.nextLong(200_000);
            AttemptOutcome outcome = random.nextInt(100) == 0 ? AttemptOutcome.ERROR : AttemptOutcome.OK;
            long retryAfterMicros = 0;
            switch (behaviors[destination]) {
                case SLOW -> durationMicros *= 10;
                case UNREACHABLE -> {
                    outcome = random.nextBoolean() ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT;
                    durationMicros = outcome == AttemptOutcome.TIMEOUT ? Long.MAX_VALUE : durationMicros;
                }
                case REJECTING -> {
                    outcome = random.nextInt(4) == 0 ? AttemptOutcome.OK : AttemptOutcome.FULL;
                    retryAfterMicros =
                            outcome == AttemptOutcome.FULL && random.nextInt(3) == 0 ? random.nextLong(4_000_000) : 0;
                }
                case FAILING -> outcome = random.nextBoolean()
                        ? AttemptOutcome.ERROR
                        : random.nextBoolean() ? AttemptOutcome.RESET : AttemptOutcome.OK;
                default -> {}
            }
            long completesAt = durationMicros == Long.MAX_VALUE ? send[2] : Math.min(send[2], now + durationMicros);
            if (completesAt == send[2] && outcome != AttemptOutcome.CONNECT_FAILED) {
                outcome = AttemptOutcome.TIMEOUT;
            }
            int attempt = attempts.merge(send[0], 1, Integer::sum) - 1;
            ScheduledOutcome call = new ScheduledOutcome(
                    completesAt, send[0], attempt, send[1], outcome, completesAt - now, retryAfterMicros);
            inFlight.put(send[0], call);
            scheduledOutcomes.add(call);
        }
        for (long[] cancel : recorded.cancels) {
            ScheduledOutcome call = inFlight.remove(cancel[0]);
            if (call != null) {
                scheduledOutcomes.remove(call);
                ScheduledOutcome cancelled = new ScheduledOutcome(
                        now + 1_000, call.id(), call.attempt(), call.endpoint(), AttemptOutcome.CANCELLED, 1_000, 0);
                inFlight.put(call.id(), cancelled);
                scheduledOutcomes.add(cancelled);
            }
        }
        for (long id : recorded.answered) {
            pending.remove(id);
            if (plan.acknowledgements()) {
                unacknowledged.add(id);
            }
        }
        if (recorded.timerDelayMicros >= 0) {
            timerAt = now + recorded.timerDelayMicros;
        }
    }
}
