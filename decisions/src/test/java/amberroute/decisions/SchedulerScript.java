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

/** Plays scripted events against a policy and asserts the rules on every action. */
final class SchedulerScript implements DeliveryScheduler.Actions {
    static final long START = 1_000_000_000L;
    static final int SAFE = 0;
    static final int KEYED = 1;
    static final int UNSAFE = 2;
    static final int ORDERED = 3;

    record Send(long at, long id, int attempt, long endpoint, long giveUpAt) {}

    private static final class Told {
        int type;
        long due;
        long key;
        int attempts;
        boolean out;
        boolean mayHaveRun;
        long doubtSince;
        boolean ended;
    }

    final List<Send> sends = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    final List<Long> failed = new ArrayList<>();
    final List<Send> cancelled = new ArrayList<>();
    final List<Long> closed = new ArrayList<>();
    int follows;
    long now = START;

    private final DeliveryScheduler.Settings settings;
    private final AtcDeliveryScheduler policy;
    private final Map<Long, Told> messages = new HashMap<>();
    private final Map<Long, Integer> destinationOf = new HashMap<>();
    private final Map<Integer, Long> waits = new HashMap<>();
    private final Map<Long, Long> mayNotUse = new HashMap<>();
    private final TreeSet<Long> timers = new TreeSet<>();
    private final List<Event> batch = new ArrayList<>();

    SchedulerScript(DeliveryScheduler.Settings settings) {
        this.settings = settings;
        policy = new AtcDeliveryScheduler(settings);
    }

    static DeliveryScheduler.Settings settings(int slots, boolean onRequest, int perCall) {
        List<DeliveryScheduler.MessageClass> classes = List.of(
                type(3, DeliveryScheduler.Idempotency.IDEMPOTENT, false),
                        type(1, DeliveryScheduler.Idempotency.KEYED, false),
                type(4, DeliveryScheduler.Idempotency.NON_IDEMPOTENT, false),
                        type(1, DeliveryScheduler.Idempotency.KEYED, true));
        return new DeliveryScheduler.Settings(
                7,
                2,
                0,
                5_000,
                onRequest,
                0.1,
                DeliveryScheduler.LateValueDecay.LINEAR,
                DeliveryScheduler.WeightKind.NONE,
                classes,
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, perCall)),
                new DeliveryScheduler.Limits(slots, 60, 8, false, true, true, 2_000_000, 1, 5_000_000, 1_000_000),
                new DeliveryScheduler.Rules(20_000, 10_000_000, 0.2, 10_000_000, 2, 3_000_000, 100_000),
                new DeliveryScheduler.Prices(0.02, 0, List.of()),
                new DeliveryScheduler.ReportFields(-1, -1));
    }

    private static DeliveryScheduler.MessageClass type(
            double worth, DeliveryScheduler.Idempotency effect, boolean inOrder) {
        return new DeliveryScheduler.MessageClass(
                worth, 0.5, 2_000_000, 16_000_000, effect, DeliveryScheduler.KeyScope.DESTINATION, 6_000_000, inOrder);
    }

    /** Lists endpoints that are ready; their numbers are destination times ten and up. */
    SchedulerScript list(int destination, int count) {
        List<EndpointEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(entry(destination, i, EndpointState.READY));
        }
        return with(new Event.EndpointListUpdated(EndpointListKind.DELTA, entries))
                .turn();
    }

    SchedulerScript change(int destination, int index, EndpointState state) {
        mayNotUse.put(destination * 10L + index, now);
        return with(new Event.EndpointListUpdated(EndpointListKind.DELTA, List.of(entry(destination, index, state))))
                .turn();
    }

    private EndpointEntry entry(int destination, int index, EndpointState state) {
        destinationOf.put(destination * 10L + index, destination);
        return new EndpointEntry(destination * 10L + index, destination, state, 1, 0, 0);
    }

    SchedulerScript arrive(long id, int type, int destination, long key) {
        Told told = new Told();
        told.type = type;
        told.due = now + settings.classes().get(type).deadlineMicros();
        told.key = key;
        messages.put(id, told);
        return with(new Event.MessageSubmitted(id, type, 0, key, told.due - now, destination));
    }

    SchedulerScript arrive(long id, int type, int destination) {
        return arrive(id, type, destination, 0);
    }

    /** Ends the last attempt of a message. */
    SchedulerScript end(long id, AttemptOutcome ending, long wait) {
        Told told = messages.get(id);
        assertTrue(told.out, "no attempt of " + id + " is out");
        Send send = last(id);
        boolean never = ending == AttemptOutcome.FULL
                || ending == AttemptOutcome.CONNECT_FAILED
                || ending == AttemptOutcome.MOOT;
        told.out = false;
        told.ended |= ending == AttemptOutcome.OK;
        if (!never && !told.mayHaveRun) {
            told.mayHaveRun = true;
            told.doubtSince = send.at();
        }
        if (wait > 0) {
            waits.merge(destinationOf.get(send.endpoint()), now + wait, Math::max);
        }
        return with(new Event.AttemptCompleted(
                id, send.attempt(), send.endpoint(), ending, now - send.at(), told.ended, wait, List.of()));
    }

    SchedulerScript end(long id, AttemptOutcome ending) {
        return end(id, ending, 0);
    }

    List<DeliveryScheduler.UpstreamSnapshot> learned() {
        return policy.snapshots(now);
    }

    List<DeliveryScheduler.KeyPause> rests() {
        return policy.pausedKeys(now);
    }

    int avoided() {
        return policy.avoidedEndpointCount();
    }

    void configure(DeliveryScheduler.Settings other) {
        policy.step(now, new Event.SettingsChanged(other), this);
    }

    SchedulerScript with(Event event) {
        batch.add(event);
        return this;
    }

    /** Passes what has gathered as one moment. */
    SchedulerScript turn() {
        batch.forEach(event -> policy.step(now, event, this));
        batch.clear();
        policy.step(now, new Event.Decide(), this);
        return this;
    }

    /** Lets time pass, serving timers in rounds of 5 ms; attempts that run out of time end as such. */
    SchedulerScript pass(long span) {
        long until = now + span;
        turn();
        while (now < until) {
            now = Math.min(until, now + 5_000);
            boolean due = false;
            while (!timers.isEmpty() && timers.first() <= now) {
                with(new Event.TimerExpired(0));
                timers.pollFirst();
                due = true;
            }
            for (Send send : List.copyOf(sends)) {
                Told told = messages.get(send.id());
                if (told.out && send == last(send.id()) && send.giveUpAt() <= now) {
                    end(send.id(), AttemptOutcome.TIMEOUT);
                    due = true;
                }
            }
            if (due || !batch.isEmpty()) {
                turn();
            }
            messages.forEach((id, told) -> assertTrue(
                    told.ended || now <= told.due + 20_000,
                    "no final answer in time for " + id + (told.out ? ", out" : ", held")));
        }
        return this;
    }

    Send last(long id) {
        Send found = null;
        for (Send send : sends) {
            found = send.id() == id ? send : found;
        }
        assertNotNull(found, "nothing was sent for " + id);
        return found;
    }

    long sendsTo(int destination, long since) {
        return sends.stream()
                .filter(s -> s.at() >= since && destinationOf.get(s.endpoint()) == destination)
                .count();
    }

    boolean isOut(long id) {
        return messages.get(id).out;
    }

    @Override
    public void send(long id, long endpoint, long giveUpAt) {
        Told told = messages.get(id);
        assertFalse(told.ended, "sent after its end: " + id);
        assertFalse(told.out, "two attempts out: " + id);
        if (told.mayHaveRun) {
            assertTrue(told.type != UNSAFE, "unsafe sent again: " + id);
            assertTrue(told.type == SAFE || now <= told.doubtSince + 6_000_000, "key forgotten: " + id);
        }
        int destination = destinationOf.get(endpoint);
        assertTrue(now >= waits.getOrDefault(destination, 0L), "sent inside a told wait: " + id);
        assertFalse(mayNotUse.containsKey(endpoint), "sent to a draining or gone endpoint: " + id);
        assertTrue(giveUpAt <= told.due, "runs past the client's time: " + id);
        if (told.type == ORDERED && told.key != 0) {
            messages.forEach((other, t) -> assertTrue(
                    t == told || t.type != ORDERED || t.key != told.key || other > id || t.ended && !t.out,
                    "out of turn: " + id));
        }
        told.out = true;
        sends.add(new Send(now, id, told.attempts++, endpoint, giveUpAt));
    }

    @Override
    public void reject(long id, long retryAfter) {
        Told told = messages.get(id);
        assertFalse(told.ended, "answered twice: " + id);
        assertFalse(told.out && told.type != SAFE, "refused while out: " + id);
        assertFalse(told.type == UNSAFE && told.mayHaveRun, "refused though it may have run: " + id);
        told.ended = true;
        refused.add(id);
    }

    @Override
    public void fail(long id) {
        assertFalse(messages.get(id).ended, "answered twice: " + id);
        messages.get(id).ended = true;
        failed.add(id);
    }

    @Override
    public void cancel(long id, int attempt) {
        assertEquals(last(id).attempt(), attempt, "cancels an attempt that is not out");
        cancelled.add(last(id));
        end(id, AttemptOutcome.CANCELLED);
    }

    @Override
    public void closeIdle(long endpoint) {
        assertTrue(destinationOf.containsKey(endpoint), "closes connections to an unknown endpoint");
        closed.add(endpoint);
    }

    @Override
    public void scheduleTimer(long delay, long token) {
        assertTrue(delay > 0, "a timer in the past");
        timers.add(now + delay);
    }

    @Override
    public void subscribe() {
        follows++;
    }

    @Override
    public void log(String text) {
        assertFalse(text.isEmpty(), "empty log line");
    }
}
