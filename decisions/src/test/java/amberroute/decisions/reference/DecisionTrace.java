package amberroute.decisions.reference;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.UpstreamStatus;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.LongStream;

/**
 * Runs random scenarios with the scheduler and digests its behavior: each action with its arguments, the number of avoided
 * endpoints after each step, and periodically the state that it would transfer to another process. Events that
 * {@link RandomScenario} does not generate (admission prices, transferred and restored health, paused keys, calls in flight,
 * changed settings, failed and cached lists, shutdown) are added at fixed steps. Records are digested by the values of their
 * components and enums by their ordinals, so renaming them does not change a digest.
 */
final class DecisionTrace {
    private static final int SEEDS_PER_PLAN = 7;
    private static final int STEPS = 2_000;
    private static final int ADDED_EVENT_PERIOD_STEPS = 29;
    private static final int SNAPSHOT_PERIOD_STEPS = 250;
    private static final int SHUTDOWN_STEP = 1_700;
    private static final long FIRST_ADDED_ID = 1_000_000;

    static final List<RandomScenario.Plan> PLANS = List.of(
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, false),
            new RandomScenario.Plan(4, 2, 8, 60, 60, 6, true),
            new RandomScenario.Plan(30, 1, 16, 200, 200, 40, false),
            new RandomScenario.Plan(1, 5, 4, 100, 80, 3, true),
            new RandomScenario.Plan(60, 3, 40, 400, 400, 0, true),
            // Overload: far more messages than slots, so that arrivals are rejected and messages are shed.
            new RandomScenario.Plan(12, 2, 3, 150, 600, 20, true),
            // More dispatch queues than a selection sorts.
            new RandomScenario.Plan(250, 2, 5, 1_500, 1_500, 60, false),
            // A single slot, so that silent calls are cancelled while messages are waiting.
            new RandomScenario.Plan(3, 3, 1, 40, 40, 2, true));

    private final int planNumber;
    private final MessageDigest digest;
    private final RandomScenario.Plan plan;
    private final SplittableRandom random;
    private final List<Event> scheduledEvents = new ArrayList<>();
    private DeliveryScheduler.Settings settings;
    private long lastAddedId = FIRST_ADDED_ID;

    private DecisionTrace(int planNumber, long seed, MessageDigest digest) {
        this.planNumber = planNumber;
        this.digest = digest;
        plan = PLANS.get(planNumber);
        random = new SplittableRandom(seed * 77 + 5);
        settings = settings(seed);
    }

    /** Returns the range of the seeds of one plan as text. */
    static String seeds(int planNumber) {
        return (1 + 100 * planNumber) + " to " + (100 * planNumber + SEEDS_PER_PLAN);
    }

    /** Returns the SHA-256 digest, in hexadecimal, of the scheduler's behavior in all scenarios of one plan. */
    static String digest(int planNumber) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            LongStream.rangeClosed(1, SEEDS_PER_PLAN)
                    .forEach(seed -> new DecisionTrace(planNumber, 100 * planNumber + seed, digest)
                            .run(100 * planNumber + seed));
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    private void run(long seed) {
        DeliveryScheduler scheduler = new AtcDeliveryScheduler(settings, plan.acknowledgements());
        RandomScenario scenario = new RandomScenario(seed, plan);
        Event event = scenario.initialList();
        for (int step = 0; step < STEPS; step++) {
            step(scheduler, scenario, event);
            if (step % ADDED_EVENT_PERIOD_STEPS == 0) {
                for (Event added : addedEvents(scheduler, scenario.now())) {
                    step(scheduler, scenario, added);
                }
            }
            if (step == SHUTDOWN_STEP && seed % 2 == 0) {
                step(scheduler, scenario, new Event.ShutdownStarted(3_000_000));
            }
            step(scheduler, scenario, new Event.Decide());
            record("avoided", scheduler.avoidedEndpointCount());
            if (step % SNAPSHOT_PERIOD_STEPS == SNAPSHOT_PERIOD_STEPS - 1) {
                scheduler.snapshots(scenario.now()).forEach(snapshot -> record("snapshot", snapshot));
                scheduler.pausedKeys(scenario.now()).forEach(pause -> record("paused", pause));
            }
            event = scenario.nextEvent();
        }
    }

    private void step(DeliveryScheduler scheduler, RandomScenario scenario, Event event) {
        ScenarioActions actions = new ScenarioActions();
        scheduler.step(scenario.now(), event, actions);
        scenario.apply(actions.recorder);
    }

    /** Returns the settings of the scenario; some seeds have listed weights, zone tolls or extreme classes. */
    private DeliveryScheduler.Settings settings(long seed) {
        DeliveryScheduler.Settings scenarioSettings = RandomScenario.settings(seed, plan);
        return new DeliveryScheduler.Settings(
                scenarioSettings.seed(),
                scenarioSettings.senderCount(),
                scenarioSettings.zone(),
                scenarioSettings.tickMicros(),
                scenarioSettings.endpointListPolled(),
                scenarioSettings.overQuotaWeightFactor(),
                scenarioSettings.lateValueDecay(),
                seed % 5 == 0 ? DeliveryScheduler.WeightKind.NOMINAL : scenarioSettings.weightKind(),
                seed % 4 == 3 ? extremeClasses(scenarioSettings.classes()) : scenarioSettings.classes(),
                scenarioSettings.tenants(),
                scenarioSettings.kinds(),
                scenarioSettings.limits(),
                scenarioSettings.rules(),
                seed % 3 == 0 ? new DeliveryScheduler.Prices(0.1, 0.2, List.of(0.01, 0.2)) : scenarioSettings.prices(),
                scenarioSettings.reportFields());
    }

    /** Returns classes with extreme weights, with objectives of 1 microsecond or equal to the deadline, and late value 0 or 1. */
    private static List<DeliveryScheduler.MessageClass> extremeClasses(List<DeliveryScheduler.MessageClass> plain) {
        return List.of(
                withValue(plain.get(0), 0, 0, 1),
                withValue(plain.get(1), 1e-9, 1, plain.get(1).deadlineMicros()),
                withValue(plain.get(2), 1e9, 0, plain.get(2).deadlineMicros()));
    }

    private static DeliveryScheduler.MessageClass withValue(
            DeliveryScheduler.MessageClass plain, double weight, double lateShare, long objectiveMicros) {
        return new DeliveryScheduler.MessageClass(
                weight,
                lateShare,
                objectiveMicros,
                plain.deadlineMicros(),
                plain.idempotency(),
                plain.keyScope(),
                plain.keyLifeMicros(),
                plain.ordered());
    }

    private List<Event> addedEvents(DeliveryScheduler scheduler, long now) {
        List<Event> events = new ArrayList<>(scheduledEvents);
        scheduledEvents.clear();
        int destination = random.nextInt(plan.destinations());
        switch (random.nextInt(10)) {
            case 0 -> events.add(new Event.AdmissionPriceChanged(
                    destination,
                    random.nextDouble() * 2,
                    2 + random.nextDouble() * 3,
                    random.nextDouble(),
                    random.nextLong(2_000_000)));
            case 1 -> events.add(new Event.KeyPaused(new DeliveryScheduler.KeyPause(
                    1 + random.nextInt(Math.max(1, plan.keys())),
                    random.nextLong(1_500_000),
                    random.nextInt(3) == 0 ? 1 + random.nextInt(500) : 0)));
            case 2 -> {
                List<DeliveryScheduler.UpstreamSnapshot> snapshots = scheduler.snapshots(now);
                if (!snapshots.isEmpty()) {
                    events.add(new Event.UpstreamStateTransferred(snapshots.get(random.nextInt(snapshots.size()))));
                }
            }
            case 3 -> events.add(restored(destination));
            case 4 -> events.add(new Event.SettingsChanged(changedSettings()));
            case 5 -> events.add(new Event.EndpointListUpdated(EndpointListKind.FAILED, List.of()));
            case 6 -> events.add(new Event.EndpointListUpdated(
                    random.nextBoolean() ? EndpointListKind.CACHED : EndpointListKind.FULL, weightedList()));
            case 7 -> {
                events.add(new Event.CompletedMessageRecovered(++lastAddedId, 1 + random.nextInt(5)));
                scheduledEvents.add(new Event.CompletionAcknowledged(lastAddedId));
            }
            case 8 -> addCallInFlight(events, destination);
            default -> events.add(new Event.FleetRateLimitChanged(
                    destination,
                    random.nextBoolean() ? Double.POSITIVE_INFINITY : random.nextDouble() * 20,
                    random.nextDouble(),
                    random.nextBoolean()));
        }
        return events;
    }

    private Event restored(int destination) {
        UpstreamStatus[] statuses = UpstreamStatus.values();
        return new Event.HealthRestored(
                new DeliveryScheduler.HealthCheckpoint(
                        destination,
                        random.nextBoolean() ? 0 : firstEndpoint(destination),
                        statuses[random.nextInt(statuses.length)],
                        random.nextLong(4_000_000),
                        random.nextDouble() * 30,
                        random.nextInt(4) == 0 ? 0 : 10_000 + random.nextDouble() * 200_000),
                random.nextLong(2_000_000));
    }

    private DeliveryScheduler.Settings changedSettings() {
        List<DeliveryScheduler.MessageClass> classes = new ArrayList<>();
        for (DeliveryScheduler.MessageClass before : settings.classes()) {
            classes.add(new DeliveryScheduler.MessageClass(
                    before.priorityWeight() * (0.8 + random.nextDouble() * 0.4),
                    before.lateValueShare(),
                    before.latencyObjectiveMicros(),
                    before.deadlineMicros(),
                    before.idempotency(),
                    before.keyScope(),
                    before.keyLifeMicros(),
                    before.ordered()));
        }
        settings = settings.withClasses(classes);
        return settings;
    }

    private List<DeliveryScheduler.EndpointEntry> weightedList() {
        List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
        for (int destination = 0; destination < plan.destinations(); destination++) {
            for (int i = 0; i < plan.endpointsPerDestination(); i++) {
                entries.add(new DeliveryScheduler.EndpointEntry(
                        firstEndpoint(destination) + i,
                        destination,
                        DeliveryScheduler.EndpointState.READY,
                        random.nextInt(3) * 20.0,
                        i % 2,
                        destination % 2));
            }
        }
        return entries;
    }

    private void addCallInFlight(List<Event> events, int destination) {
        long id = ++lastAddedId;
        long endpoint = firstEndpoint(destination);
        events.add(new Event.MessageRecovered(id, random.nextInt(3), 0, 6_000_000, destination, 0, -1, 0, false));
        events.add(new Event.CallInFlight(List.of(id), endpoint, random.nextLong(3_000_000)));
        AttemptOutcome outcome = AttemptOutcome.values()[random.nextInt(AttemptOutcome.values().length)];
        scheduledEvents.add(new Event.AttemptCompleted(
                id, 0, endpoint, outcome, 50_000 + random.nextLong(2_000_000), true, 0, List.of(), -1));
    }

    private long firstEndpoint(int destination) {
        return 1 + destination * (long) plan.endpointsPerDestination();
    }

    private void record(String kind, Object... values) {
        StringBuilder line = new StringBuilder().append(planNumber).append(' ').append(kind);
        for (Object value : values) {
            append(line.append(' '), value);
        }
        digest.update(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    }

    private static void append(StringBuilder line, Object value) {
        if (value instanceof Enum<?> constant) {
            line.append(constant.ordinal());
        } else if (value instanceof Record) {
            for (RecordComponent component : value.getClass().getRecordComponents()) {
                append(line.append(' '), valueOf(component, value));
            }
        } else {
            line.append(value);
        }
    }

    private static Object valueOf(RecordComponent component, Object owner) {
        try {
            return component.getAccessor().invoke(owner);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Digests each action and passes it to the recorder of the scenario. */
    private final class ScenarioActions implements DeliveryScheduler.Actions {
        final RandomScenario.Recorder recorder = new RandomScenario.Recorder();

        @Override
        public void send(long id, long endpoint, long timeoutAt) {
            record("send", id, endpoint, timeoutAt);
            recorder.send(id, endpoint, timeoutAt);
        }

        @Override
        public void reject(long id, long retryAfterMicros) {
            record("reject", id, retryAfterMicros);
            recorder.reject(id, retryAfterMicros);
        }

        @Override
        public void fail(long id) {
            record("fail", id);
            recorder.fail(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            record("cancel", id, attempt);
            recorder.cancel(id, attempt);
        }

        @Override
        public void closeIdle(long endpoint) {
            record("closeIdle", endpoint);
        }

        @Override
        public void limitIdleReuse(long longestMicros) {
            record("limitIdleReuse", longestMicros);
        }

        @Override
        public void saveCheckpoint(DeliveryScheduler.HealthCheckpoint checkpoint) {
            record("saveCheckpoint", checkpoint);
        }

        @Override
        public void scheduleTimer(long delayMicros, long token) {
            record("scheduleTimer", delayMicros, token);
            recorder.scheduleTimer(delayMicros, token);
        }

        @Override
        public void subscribe() {
            record("subscribe");
        }
    }
}
