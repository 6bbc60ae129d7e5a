package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.EndpointEntry;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/** Passes scripted events to a scheduler and asserts the rules on every action. */
final class SchedulerScript implements DeliveryScheduler.Actions {
    static final long START = 1_000_000_000L;
    static final int IDEMPOTENT = 0;
    static final int KEYED = 1;
    static final int NON_IDEMPOTENT = 2;
    static final int ORDERED = 3;

    /** An attempt that was started. */
    record Send(long at, long id, int attempt, long endpoint, long timeoutAt) {}

    private static final class SubmittedMessage {
        int messageClass;
        long due;
        long key;
        int attempts;
        boolean inFlight;
        boolean mayHaveRun;
        long unknownOutcomeSince;
        boolean completed;
    }

    final List<Send> sends = new ArrayList<>();
    final List<Long> rejected = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Send> cancelled = new ArrayList<>();
    final List<Long> closedEndpoints = new ArrayList<>();
    final List<UpstreamStateChange> stateChanges = new ArrayList<>();
    final List<UpstreamObservation> observations = new ArrayList<>();
    final List<DeliveryScheduler.HealthCheckpoint> checkpoints = new ArrayList<>();
    int subscriptions;
    long now = START;

    private final DeliveryScheduler.Settings settings;
    private final AtcDeliveryScheduler scheduler;
    private final Map<Long, SubmittedMessage> messages = new HashMap<>();
    private final Map<Long, Integer> destinationOf = new HashMap<>();
    private final Map<Integer, Long> retryAfterUntil = new HashMap<>();
    private final Map<Long, Long> unlistedSince = new HashMap<>();
    private final TreeSet<Long> timers = new TreeSet<>();
    private final List<Event> undeliveredEvents = new ArrayList<>();

    SchedulerScript(DeliveryScheduler.Settings settings) {
        this.settings = settings;
        scheduler = new AtcDeliveryScheduler(settings);
    }

    static DeliveryScheduler.Settings settings(
            int maxConcurrentCalls, boolean endpointListPolled, int messagesPerCall) {
        List<DeliveryScheduler.MessageClass> classes = List.of(
                messageClass(3, DeliveryScheduler.Idempotency.IDEMPOTENT, false),
                        messageClass(1, DeliveryScheduler.Idempotency.KEYED, false),
                messageClass(4, DeliveryScheduler.Idempotency.NON_IDEMPOTENT, false),
                        messageClass(1, DeliveryScheduler.Idempotency.KEYED, true));
        return new DeliveryScheduler.Settings(
                7,
                2,
                0,
                5_000,
                endpointListPolled,
                0.1,
                DeliveryScheduler.LateValueDecay.LINEAR,
                DeliveryScheduler.WeightKind.NONE,
                classes,
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, messagesPerCall)),
                new DeliveryScheduler.Limits(
                        maxConcurrentCalls, 60, 8, false, true, true, 2_000_000, 1, 5_000_000, 1_000_000),
                new DeliveryScheduler.Rules(20_000, 10_000_000, 0.2, 10_000_000, 2, 3_000_000, 100_000),
                new DeliveryScheduler.Prices(0.02, 0, List.of()),
                new DeliveryScheduler.ReportFields(-1, -1));
    }

    /** Returns the settings of one sender of a fleet, otherwise as above with a pushed endpoint list and one message in a call. */
    static DeliveryScheduler.Settings settings(
            long seed, int senders, int maxConcurrentCalls, DeliveryScheduler.ReportFields reports) {
        DeliveryScheduler.Settings base = settings(maxConcurrentCalls, false, 1);
        return new DeliveryScheduler.Settings(
                seed,
                senders,
                0,
                base.tickMicros(),
                false,
                0.1,
                base.lateValueDecay(),
                base.weightKind(),
                base.classes(),
                base.tenants(),
                base.kinds(),
                base.limits(),
                base.rules(),
                base.prices(),
                reports);
    }

    private static DeliveryScheduler.MessageClass messageClass(
            double priorityWeight, DeliveryScheduler.Idempotency idempotency, boolean ordered) {
        return new DeliveryScheduler.MessageClass(
                priorityWeight,
                0.5,
                2_000_000,
                16_000_000,
                idempotency,
                DeliveryScheduler.KeyScope.DESTINATION,
                6_000_000,
                ordered);
    }

    /** Lists ready endpoints; their ids are ten times the destination's id and up. */
    SchedulerScript listEndpoints(int destination, int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(destination, i, EndpointState.READY));
        }
        return add(new Event.EndpointListUpdated(EndpointListKind.DELTA, entries))
                .decide();
    }

    SchedulerScript changeEndpoint(int destination, int index, EndpointState state) {
        unlistedSince.put(destination * 10L + index, now);
        return add(new Event.EndpointListUpdated(EndpointListKind.DELTA, List.of(entry(destination, index, state))))
                .decide();
    }

    private EndpointEntry entry(int destination, int index, EndpointState state) {
        destinationOf.put(destination * 10L + index, destination);
        return new EndpointEntry(destination * 10L + index, destination, state, 1, 0, 0);
    }

    SchedulerScript submit(long id, int messageClass, int destination, long key) {
        SubmittedMessage message = new SubmittedMessage();
        message.messageClass = messageClass;
        message.due = now + settings.classes().get(messageClass).deadlineMicros();
        message.key = key;
        messages.put(id, message);
        return add(new Event.MessageSubmitted(id, messageClass, 0, key, message.due - now, destination));
    }

    SchedulerScript submit(long id, int messageClass, int destination) {
        return submit(id, messageClass, destination, 0);
    }

    /** Completes the attempt of a message that is in flight. */
    SchedulerScript complete(long id, AttemptOutcome outcome, long retryAfterMicros) {
        SubmittedMessage message = messages.get(id);
        assertTrue(message.inFlight, "no attempt of " + id + " is in flight");
        Send send = lastSend(id);
        boolean didNotRun = outcome == AttemptOutcome.FULL
                || outcome == AttemptOutcome.CONNECT_FAILED
                || outcome == AttemptOutcome.MOOT;
        message.inFlight = false;
        message.completed |= outcome == AttemptOutcome.OK;
        if (!didNotRun && !message.mayHaveRun) {
            message.mayHaveRun = true;
            message.unknownOutcomeSince = send.at();
        }
        if (retryAfterMicros > 0) {
            retryAfterUntil.merge(destinationOf.get(send.endpoint()), now + retryAfterMicros, Math::max);
        }
        return add(new Event.AttemptCompleted(
                id,
                send.attempt(),
                send.endpoint(),
                outcome,
                now - send.at(),
                message.completed,
                retryAfterMicros,
                List.of()));
    }

    /** Notes that a test ends the attempt of a message by an event of its own: the message is over, or the attempt did not run. */
    void ended(long id, boolean messageCompleted) {
        messages.get(id).inFlight = false;
        messages.get(id).completed = messageCompleted;
    }

    SchedulerScript complete(long id, AttemptOutcome outcome) {
        return complete(id, outcome, 0);
    }

    List<DeliveryScheduler.UpstreamSnapshot> snapshots() {
        return scheduler.snapshots(now);
    }

    List<DeliveryScheduler.KeyPause> pausedKeys() {
        return scheduler.pausedKeys(now);
    }

    int avoidedEndpoints() {
        return scheduler.avoidedEndpointCount();
    }

    void configure(DeliveryScheduler.Settings newSettings) {
        scheduler.step(now, new Event.SettingsChanged(newSettings), this);
    }

    SchedulerScript add(Event event) {
        undeliveredEvents.add(event);
        return this;
    }

    /** Passes the added events as one moment, then decides. */
    SchedulerScript decide() {
        undeliveredEvents.forEach(event -> scheduler.step(now, event, this));
        undeliveredEvents.clear();
        scheduler.step(now, new Event.Decide(), this);
        return this;
    }

    /** Advances the time in ticks of 5 ms, in which timers expire and attempts time out. */
    SchedulerScript advance(long spanMicros) {
        long until = now + spanMicros;
        decide();
        while (now < until) {
            now = Math.min(until, now + 5_000);
            boolean decisionDue = false;
            while (!timers.isEmpty() && timers.first() <= now) {
                add(new Event.TimerExpired(0));
                timers.pollFirst();
                decisionDue = true;
            }
            for (Send send : List.copyOf(sends)) {
                SubmittedMessage message = messages.get(send.id());
                if (message.inFlight && send == lastSend(send.id()) && send.timeoutAt() <= now) {
                    complete(send.id(), AttemptOutcome.TIMEOUT);
                    decisionDue = true;
                }
            }
            if (decisionDue || !undeliveredEvents.isEmpty()) {
                decide();
            }
            messages.forEach((id, message) -> assertTrue(
                    message.completed || now <= message.due + 20_000,
                    "no final answer in time for " + id + (message.inFlight ? ", in flight" : ", waiting")));
        }
        return this;
    }

    Send lastSend(long id) {
        Send found = null;
        for (Send send : sends) {
            found = send.id() == id ? send : found;
        }
        assertNotNull(found, "nothing was sent for " + id);
        return found;
    }

    long sendsTo(int destination, long since) {
        return sends.stream()
                .filter(send -> send.at() >= since && destinationOf.get(send.endpoint()) == destination)
                .count();
    }

    boolean isInFlight(long id) {
        return messages.get(id).inFlight;
    }

    @Override
    public void send(long id, long endpoint, long timeoutAt) {
        SubmittedMessage message = messages.get(id);
        assertFalse(message.completed, "sent after its completion: " + id);
        assertFalse(message.inFlight, "two attempts in flight: " + id);
        if (message.mayHaveRun) {
            assertTrue(message.messageClass != NON_IDEMPOTENT, "non-idempotent message retried: " + id);
            assertTrue(
                    message.messageClass == IDEMPOTENT || now <= message.unknownOutcomeSince + 6_000_000,
                    "retried after the end of the key life: " + id);
        }
        int destination = destinationOf.get(endpoint);
        assertTrue(now >= retryAfterUntil.getOrDefault(destination, 0L), "sent before Retry-After was over: " + id);
        assertFalse(unlistedSince.containsKey(endpoint), "sent to a draining or gone endpoint: " + id);
        assertTrue(timeoutAt <= message.due, "times out after its due date: " + id);
        if (message.messageClass == ORDERED && message.key != 0) {
            messages.forEach((otherId, otherMessage) -> assertTrue(
                    otherMessage == message
                            || otherMessage.messageClass != ORDERED
                            || otherMessage.key != message.key
                            || otherId > id
                            || otherMessage.completed && !otherMessage.inFlight,
                    "sent out of order: " + id));
        }
        message.inFlight = true;
        sends.add(new Send(now, id, message.attempts++, endpoint, timeoutAt));
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        SubmittedMessage message = messages.get(id);
        assertFalse(message.completed, "answered twice: " + id);
        assertFalse(message.inFlight && message.messageClass != IDEMPOTENT, "rejected while in flight: " + id);
        assertFalse(
                message.messageClass == NON_IDEMPOTENT && message.mayHaveRun,
                "rejected although it may have run: " + id);
        message.completed = true;
        rejected.add(id);
    }

    @Override
    public void fail(long id) {
        assertFalse(messages.get(id).completed, "answered twice: " + id);
        messages.get(id).completed = true;
        failed.add(id);
    }

    @Override
    public void cancel(long id, int attempt) {
        assertEquals(lastSend(id).attempt(), attempt, "cancels an attempt that is not in flight");
        cancelled.add(lastSend(id));
        complete(id, AttemptOutcome.CANCELLED);
    }

    @Override
    public void closeIdle(long endpoint) {
        assertTrue(destinationOf.containsKey(endpoint), "closes connections to an unknown endpoint");
        closedEndpoints.add(endpoint);
    }

    @Override
    public void scheduleTimer(long delayMicros, long token) {
        assertTrue(delayMicros > 0, "the timer's delay is not above 0");
        timers.add(now + delayMicros);
    }

    @Override
    public void subscribe() {
        subscriptions++;
    }

    @Override
    public void upstreamStateChanged(UpstreamStateChange change) {
        stateChanges.add(change);
    }

    @Override
    public void saveCheckpoint(DeliveryScheduler.HealthCheckpoint checkpoint) {
        checkpoints.add(checkpoint);
    }

    @Override
    public void upstreamObserved(UpstreamObservation observation) {
        observations.add(observation);
    }
}
