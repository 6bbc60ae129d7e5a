package amberroute.decisions.reference;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.reference.ReferenceState.*;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * All decisions of one sender. Its interface (settings, events, actions) is {@code DeliveryScheduler.java}.
 *
 * <p>Held messages leave by the ATC index of Ye et al.; an arrival whose due date minus predicted wait is
 * negative is refused at once. Guards withhold a destination from that choice and never reorder it.
 * Sections follow the order of one step. A scope carries health and limits and is the destination, or the
 * endpoint where routes are apart.
 */
public final class ReferenceScheduler implements DeliveryScheduler {

    // ---- Figures. Spans in microseconds unless said otherwise. ----

    /** k of the index: how many mean service times ahead of its due date a message starts to press. */
    private static final double LOOK_AHEAD = 25;
    /** Weight of a new served latency in p and in the present latency: about the last seven calls count. */
    private static final double FAST = 0.15;
    /** Weight of a new latency in the usual one: slow enough to outlast an episode of tens of calls. */
    private static final double SLOW = 0.02;
    /** Present latency up to this multiple of the usual is noise of ordinary service times, not slowness. */
    private static final double AT_PACE = 2;
    /** Span over which a service time that was learned falls back to the usual while no call is out. */
    private static final double FADE = 1_000_000;
    /** Share of the room above which the least message is handed back, so that arrivals are still ranked. */
    private static final double ROOM = 0.9;
    /** A held message is ended at least this long before its time is up: rounds and timers take a while. */
    private static final long END_MARGIN = 40_000;
    /** A repeatable attempt is given up after so many expected latencies, doubled with each time-out, and not
     * before this span, as connecting is part of a call, nor this share of the time left. */
    private static final double GIVE_UP = 8;

    private static final long GIVE_UP_LEAST = 2_000_000;
    private static final double GIVE_UP_SHARE = 0.25;
    /** A call is silent after so many usual latencies, and after this share of the longest class's time, as
     * connecting is part of it: a fixed span holds all slots where times are short. Harm: slow connecting. */
    private static final double SILENT = 6;

    private static final double SILENT_SHARE = 1 / 16.0;
    /** A message with less than so many service times left may run out of time before a slow answer. */
    private static final double AMPLE = 3;
    /** Share of the slots that silent calls may hold while messages wait, and how much longer unsafe ones. */
    private static final double SILENT_SLOTS = 0.2;

    private static final double PATIENCE = 2.5;
    /** Transit allowed for when the life of a key runs out. */
    private static final long KEY_MARGIN = 300_000;
    /** Failures in a row that open the breaker: one is chance. */
    private static final int STREAK = 2;
    /** Shortest outage: answers closer together had none between them, and a longer told wait is one. */
    private static final long OUTAGE_LEAST = 2_500_000;
    /** First pause at a door shared by all: a turn for each sender, and a base where no wait was told. */
    private static final long TURN = 80_000;

    private static final double TURNS = 3.2;
    private static final long BACKOFF = 240_000;
    /** Share of recent calls that ran and failed above which a destination is in doubt: two in a row. */
    private static final double DOUBT = 0.25;
    /** Share of its time left from which a message takes the risk of a destination in doubt. */
    private static final double LAST_SHARE = 0.25;
    /** Share of the longest class's time after which an answer no longer tells that a destination is well. */
    private static final double OLD = 0.5;
    /** The longest pause between trials for each sender. */
    private static final long TRIAL_LONGEST = 700_000;
    /** AIMD: a refusal cuts the pace to this share of what was sent; each answer adds a share. */
    private static final double CUT = 0.8;

    private static final double PART = 1.2;
    private static final double PART_KEPT = 0.85;
    private static final double PART_GAIN = 0.25;
    private static final double ENOUGH = 0.5;
    /** A told limit counts up to so many times what all would send if they sent as much as this one. */
    private static final double MOST_TOLD = 8;

    private static final double RAISE = 0.05;
    /** Least pace of all senders together in calls a second, so that a limit is noticed when it lifts. */
    private static final double LEAST_PACE = 1.2;
    /** Calls that may go at once under a pace. */
    private static final double PACE_BURST = 2;
    /** A pace with no refusal for so long is dropped. */
    private static final long PACE_LIFE = 6_000_000;
    /** Share of a reported allowance under which the pace is cut before a refusal comes. */
    private static final double LOW_ALLOWANCE = 0.1;
    /** Share of the permitted push that a slow start uses: other senders may see more than their part. */
    private static final double RAMP_SAFETY = 0.9;
    /** Spans over which sent and served rates are averaged. */
    private static final double SENT_SPAN = 2_000_000;

    private static final double SERVED_SPAN = 8_000_000;
    /** Weight of a call in shares over all destinations: about the last thirty calls count. */
    private static final double FAST_POOLED = 0.03;
    /** By how much more is lost on idle connections than on fresh ones when they are dropped unseen. */
    private static final double STALE = 0.1;
    /** Part of the connections' life by which each answer raises the idle time that is trusted. */
    private static final double IDLE_RAISE = 0.002;
    /** The same where the idle time of each call's connection is told, as a factor. */
    private static final double TOLD_RAISE = 1.03;
    /** Share of calls without connection from which tables of connections are taken to be full. */
    private static final double CROWDED = 0.01;
    /** Part of the trusted idle time from which a gap shows that a table's place is held to little use. */
    private static final double SELDOM = 0.5;
    /** Endpoint choice, in calls in flight: fresh connection, far zone, failing endpoint, point of toll,
     * the one that failed this message last. Equals are taken in a random order of listing. */
    private static final double COLD_CONNECTION = 0.6;

    private static final double FAR = 0.8;
    private static final double FAILING = 4;
    private static final double TOLL = 20;
    private static final double FAILED_HERE = 2;
    /** Seconds of a tenant's share that it may use in one go. */
    private static final double TENANT_BURST = 2;
    /** First pause before a failed subscription is renewed. */
    private static final long FOLLOW_PAUSE = 300_000;

    /** Unsafe calls start until so many expected latencies before the process ends. */
    private static final double LAST_CALLS = 3;
    /** So many destinations are kept without a look at which still matter. */
    private static final int DESTINATIONS = 1_024;

    /** Pauses double no more often than this. */
    private static final int MOST_DOUBLINGS = 3;

    private static final long NEVER = Long.MAX_VALUE;
    private static final double SECOND = 1e6;
    private static final Set<AttemptOutcome> NEVER_RAN =
            EnumSet.of(AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MOOT);

    // ---- State. ----

    private Settings settings;
    private final boolean concludes;
    private final SplittableRandom random;
    private final Map<Long, PendingMessage> messages = new LinkedHashMap<>();
    private final List<PendingMessage> arrivals = new ArrayList<>();
    private final Map<Integer, Destination> destinations = new TreeMap<>();
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    /** Scopes with calls out: a step walks these, however long the list is. */
    private final Set<UpstreamHealth> busy = new LinkedHashSet<>();
    /** Scopes whose breaker has turned since the last step. */
    private final Set<UpstreamHealth> turned = new LinkedHashSet<>();

    private final Map<Long, KeyQueue> turns = new HashMap<>();
    /** Answered messages whose key's turn waits for the answer to be concluded. */
    private final Map<Long, PendingMessage> concluding = new HashMap<>();

    private final Deque<KeyQueue> resting = new ArrayDeque<>();
    private final List<TokenBucket> shares = new ArrayList<>();
    private long longestTime;
    private int slotsUsed;
    private long followAt;
    private int followFailures;
    private double meanP;
    /** Usual latency over all destinations: what a scope that never answered is taken to need. */
    private double usualLatency;

    private double unconnected;
    /** How long an idle connection is trusted, and shares of calls lost on fresh and on idle ones. */
    private double trustedIdle;

    private double toldTrust;
    /** The caller knows each connection's idle time and keeps to {@code trustedIdle} by itself. */
    private boolean idleTold;

    private double freshLost;
    private double idleLost;
    private long stopsAt = NEVER;
    private long wakeAt = NEVER;
    private long timerAt = NEVER;

    /** A sender with nothing but its settings; they are checked here. Answers are final as they are given. */
    public ReferenceScheduler(Settings settings) {
        this(settings, false);
    }

    /** {@code concludes}: the caller tells by {@link Event.CompletionAcknowledged} when an answer has been received. */
    public ReferenceScheduler(Settings settings, boolean concludes) {
        this.concludes = concludes;
        configure(settings);
        random = new SplittableRandom(settings.seed());
        for (Tenant tenant : settings.tenants()) {
            shares.add(new TokenBucket(tenant.quotaPerSecond() / settings.senderCount(), TENANT_BURST));
        }
        followAt = settings.endpointListPolled() ? 0 : NEVER;
        trustedIdle = settings.limits().idleConnectionLifeMicros();
    }

    private void configure(Settings fresh) {
        Limits limits = fresh.limits();
        Rules rules = fresh.rules();
        require(fresh.senderCount() > 0 && !fresh.classes().isEmpty(), "senders or classes");
        require(
                limits.maxConcurrentCalls() > 0 && limits.maxPendingMessages() > 0 && limits.maxAttempts() > 0,
                "limits");
        require(rules.slowStartCapacity() > 0 && rules.slowStartMicros() >= 0 && rules.overloadMultiple() > 0, "rules");
        require(
                fresh.classes().stream().allMatch(c -> c.deadlineMicros() > 0 && c.latencyObjectiveMicros() > 0),
                "classes");
        settings = fresh;
        longestTime = fresh.classes().stream()
                .mapToLong(MessageClass::deadlineMicros)
                .max()
                .orElse(0);
    }

    private static void require(boolean holds, String setting) {
        if (!holds) {
            throw new IllegalArgumentException("setting " + setting + " is out of range");
        }
    }

    // ---- Events. ----

    @Override
    public void step(long now, Event event, Actions actions) {
        if (event instanceof Event.MessageSubmitted e) {
            onArrival(now, e);
        } else if (event instanceof Event.AttemptCompleted e) {
            onOutcome(now, e, actions);
        } else if (event instanceof Event.MessageRecovered e) {
            onResumed(now, e);
        } else if (event instanceof Event.HealthRestored e) {
            onRemembered(now, e.checkpoint(), e.checkpoint().sinceMicros() + e.ageMicros());
        } else if (event instanceof Event.CallInFlight e) {
            onUnderway(now, e, actions);
        } else if (event instanceof Event.CompletedMessageRecovered e) {
            PendingMessage m = new PendingMessage();
            m.turn = turn(e.key());
            m.turn.queue.add(m);
            concluding.put(e.id(), m);
        } else if (event instanceof Event.UpstreamStateTransferred e) {
            onTakenOver(now, e.snapshot());
        } else if (event instanceof Event.KeyPaused e) {
            onResting(now, e.pause());
        } else if (event instanceof Event.SettingsChanged e) {
            configure(e.settings());
        } else if (event instanceof Event.FleetRateLimitChanged e) {
            onCeiling(now, e);
        } else if (event instanceof Event.ShutdownStarted e) {
            stopsAt = now + e.timeLeftMicros();
        } else if (event instanceof Event.CompletionAcknowledged e) {
            onConcluded(now, e.id());
        } else if (event instanceof Event.MessageCancelled e) {
            onWithdrawn(now, e.id());
        } else if (event instanceof Event.EndpointListUpdated e) {
            onListing(now, e);
        } else if (event instanceof Event.TimerExpired) {
            timerAt = timerAt <= now ? NEVER : timerAt;
        } else if (event instanceof Event.Decide) {
            decide(now, actions);
        }
    }

    @Override
    public int avoidedEndpointCount() {
        return (int) endpoints.values().stream()
                .filter(point -> point.state == EndpointState.READY
                        && (point.scope.breaker == BreakerState.OPEN || point.failures + point.lost >= STREAK))
                .count();
    }

    private void onArrival(long now, Event.MessageSubmitted e) {
        if (messages.containsKey(e.id())) {
            return;
        }
        if (destinations.size() > DESTINATIONS) {
            destinations
                    .values()
                    .removeIf(d ->
                            d.endpoints.isEmpty() && messages.values().stream().noneMatch(m -> m.destination == d));
        }
        PendingMessage m = take(now, e.id(), e.messageClass(), e.key(), e.timeLeftMicros(), e.destination());
        m.worth *= withinShare(now, e.tenant()) ? 1 : settings.overQuotaWeightFactor();
        arrivals.add(m);
    }

    private PendingMessage take(long now, long id, int messageClass, long key, long timeLeft, int destination) {
        PendingMessage m = new PendingMessage();
        m.id = id;
        m.type =
                settings.classes().get(Math.min(messageClass, settings.classes().size() - 1));
        m.destination = destination(destination);
        m.due = now + Math.min(m.type.deadlineMicros(), timeLeft);
        m.aim = m.due - m.type.deadlineMicros() + m.type.latencyObjectiveMicros();
        m.worth = m.type.priorityWeight();
        if (m.type.ordered() && key != 0) {
            m.turn = turn(key);
            m.turn.queue.add(m);
        }
        messages.put(m.id, m);
        return m;
    }

    private KeyQueue turn(long key) {
        KeyQueue turn = turns.computeIfAbsent(key, k -> new KeyQueue());
        turn.key = key;
        return turn;
    }

    /** It passed the arrival test in an earlier process; what was out when that ended may still run. */
    private void onResumed(long now, Event.MessageRecovered e) {
        if (messages.containsKey(e.id())) {
            return;
        }
        PendingMessage m = take(now, e.id(), e.messageClass(), e.key(), e.timeLeftMicros(), e.destination());
        m.attempts = e.attempts();
        m.worth = m.attempts == 0 && m.type.idempotency() != Idempotency.IDEMPOTENT
                ? settings.classes().stream()
                        .mapToDouble(MessageClass::priorityWeight)
                        .max()
                        .orElse(0)
                : m.worth;
        if (e.unknownOutcomeAgeMicros() >= 0) {
            m.doubtSince = now - e.unknownOutcomeAgeMicros();
            m.doubtAt = endpoints.get(e.unknownOutcomeEndpoint());
        }
        if (e.attemptInterrupted() && m.turn != null) {
            m.turn.restUntil = now + settings.rules().settlePeriodMicros();
            m.turn.restsAfter = m;
        }
    }

    /**
     * An outage or its end that an earlier process saw goes on in this one, else the first answer would let
     * out all that is held, at a destination that is still cold. It covers crashes and planned restarts.
     * Harm: a destination that is well again since is tried by one call first.
     */
    private void onRemembered(long now, HealthCheckpoint memory, long age) {
        Endpoint point = endpoints.get(memory.endpoint());
        if (memory.endpoint() != 0 && point == null || memory.status() == UpstreamStatus.HEALTHY) {
            return;
        }
        Destination destination = destination(memory.destination());
        UpstreamHealth scope = point == null ? destination.shared : point.scope;
        scope.usual = memory.usualLatencyMicros();
        scope.present = memory.usualLatencyMicros();
        scope.formerPace = memory.callsPerSecond();
        if (memory.usualLatencyMicros() > 0) {
            destination.p = memory.usualLatencyMicros();
            destination.measured = true;
        }
        scope.breaker = memory.status() == UpstreamStatus.UNAVAILABLE ? BreakerState.OPEN : BreakerState.RAMP;
        scope.openedAt = now - age;
        scope.rampFrom = now - age;
        scope.rampSent = now;
        scope.trialAt = now;
        scope.harm = memory.status() == UpstreamStatus.UNAVAILABLE ? 1 : 0;
    }

    /** What is to outlast the process changes with the breaker only, so it is seldom written. */
    private void remember(long now, Actions actions) {
        turned.forEach(scope -> actions.saveCheckpoint(memory(now, scope)));
        turned.clear();
    }

    private static HealthCheckpoint memory(long now, UpstreamHealth scope) {
        UpstreamStatus health =
                switch (scope.breaker) {
                    case OPEN -> UpstreamStatus.UNAVAILABLE;
                    case RAMP -> UpstreamStatus.SLOW_START;
                    case CLOSED -> UpstreamStatus.HEALTHY;
                };
        long since = now - (health == UpstreamStatus.UNAVAILABLE ? scope.openedAt : scope.rampFrom);
        return new HealthCheckpoint(scope.destination, scope.endpoint, health, since, scope.formerPace, scope.usual);
    }

    // ---- Taking over from a process that still runs. ----

    private void onUnderway(long now, Event.CallInFlight e, Actions actions) {
        Endpoint point = endpoints.get(e.endpoint());
        List<PendingMessage> load = e.ids().stream()
                .map(messages::get)
                .filter(m -> m != null && m.out == null)
                .toList();
        if (point != null && !load.isEmpty()) {
            Call call = startCall(now, point, actions);
            call.sentAt = now - e.sentAgoMicros();
            load.forEach(m -> load(now, m, call));
        }
    }

    private void onResting(long now, KeyPause rest) {
        KeyQueue turn = turn(rest.key());
        turn.restUntil = now + rest.remainingMicros();
        turn.restsAfter = messages.get(rest.exemptMessage());
        if (turn.queue.isEmpty()) {
            resting.add(turn);
        }
    }

    @Override
    public List<KeyPause> pausedKeys(long now) {
        return turns.values().stream()
                .filter(t -> t.restUntil > now)
                .map(t -> new KeyPause(t.key, t.restUntil - now, t.restsAfter == null ? 0 : t.restsAfter.id))
                .toList();
    }

    @Override
    public List<UpstreamSnapshot> snapshots(long now) {
        return endpoints.values().stream()
                .map(point -> point.scope)
                .distinct()
                .map(s -> {
                    Destination d = s.members.get(0).destination;
                    return new UpstreamSnapshot(
                            memory(now, s),
                            Math.max(0, s.waitUntil - now),
                            Math.max(0, s.backoffUntil - now),
                            s.pace,
                            now - s.lastRefusal,
                            now - s.lastOk,
                            s.present,
                            d.measured ? d.p : 0,
                            d.odds,
                            s.sent.perSecond(now),
                            s.served.perSecond(now),
                            s.weight,
                            s.harm);
                })
                .toList();
    }

    private void onTakenOver(long now, UpstreamSnapshot l) {
        Endpoint point = endpoints.get(l.checkpoint().endpoint());
        if (l.checkpoint().endpoint() != 0 && point == null) {
            return;
        }
        onRemembered(now, l.checkpoint(), l.checkpoint().sinceMicros());
        Destination destination = destination(l.checkpoint().destination());
        UpstreamHealth scope = point == null ? destination.shared : point.scope;
        scope.usual = l.checkpoint().usualLatencyMicros();
        scope.present = l.presentLatencyMicros();
        usualLatency = usualLatency == 0 ? scope.usual : usualLatency + FAST * (scope.usual - usualLatency);
        destination.measured |= l.expectedServiceMicros() > 0;
        destination.p = l.expectedServiceMicros() > 0 ? l.expectedServiceMicros() : destination.p;
        destination.odds = l.successProbability();
        scope.formerPace = l.checkpoint().callsPerSecond();
        scope.waitUntil = now + l.retryAfterMicros();
        scope.backoffUntil = now + l.backoffMicros();
        scope.pace = l.pacePerSecond();
        scope.lastRefusal = now - l.sinceRejectionMicros();
        scope.lastOk = now - l.sinceSuccessMicros();
        scope.sent.add(now, l.sentPerSecond() * SENT_SPAN / SECOND);
        scope.served.add(now, l.servedPerSecond() * SERVED_SPAN / SECOND);
        scope.weight = l.reportedLimit();
        scope.harm = l.failureRatio();
    }

    /** That another has seen it answer is worth a trial now: its own turn may be many seconds away. */
    private void onCeiling(long now, Event.FleetRateLimitChanged e) {
        Destination destination = destination(e.destination());
        destination.ceiling.set(now, e.perSecond(), e.initialCredit());
        destination.endpoints.forEach(p -> p.scope.trialAt = e.recovered() ? now : p.scope.trialAt);
    }

    private void onConcluded(long now, long id) {
        PendingMessage m = concluding.remove(id);
        if (m != null) {
            leaveTurn(now, m);
        }
    }

    private Destination destination(int number) {
        return destinations.computeIfAbsent(
                number, n -> new Destination(new UpstreamHealth(n, 0, SENT_SPAN, SERVED_SPAN)));
    }

    /** A sender sees only its own part of a tenant's traffic and takes an even part of its share. */
    private boolean withinShare(long now, int tenant) {
        return tenant < 0 || tenant >= shares.size() || shares.get(tenant).take(now);
    }

    private void onWithdrawn(long now, long id) {
        PendingMessage m = messages.get(id);
        if (m != null) {
            m.ended = true;
            forgetIfDone(now, m);
        }
    }

    private void onOutcome(long now, Event.AttemptCompleted e, Actions actions) {
        PendingMessage m = messages.get(e.id());
        if (m == null || m.out == null || m.attempts - 1 != e.attempt()) {
            return;
        }
        Call call = m.out;
        m.out = null;
        m.calledOff = false;
        m.ended |= e.messageCompleted();
        if (--call.waiting == 0) {
            slotsUsed--;
            call.endpoint.inFlight--;
            call.endpoint.lastUse = now;
            call.endpoint.destination.heardAt = now;
            call.endpoint.scope.calls.remove(call);
            if (call.endpoint.inFlight == 0 && unconnected > CROWDED) {
                closeIdle(call.endpoint, SELDOM * Math.max(0, 1 - unconnected / 0.1) * trustedIdle, actions);
            }
            dropIfGone(call.endpoint);
            if (call.endpoint.scope.calls.isEmpty()) {
                busy.remove(call.endpoint.scope);
                call.endpoint.scope.members.forEach(point -> point.lost = 0);
            }
        }
        boolean ran = !NEVER_RAN.contains(e.outcome());
        if (ran && m.doubtSince == NEVER) {
            m.doubtSince = call.sentAt;
            m.doubtAt = call.endpoint;
        }
        if (m.turn != null && ran && e.outcome() != AttemptOutcome.OK && e.outcome() != AttemptOutcome.ERROR) {
            m.turn.restUntil = now + settings.rules().settlePeriodMicros();
            m.turn.restsAfter = m;
        }
        m.timeOuts += e.outcome() == AttemptOutcome.TIMEOUT ? 1 : 0;
        m.failedAt = call.endpoint;
        UpstreamHealth scope = call.endpoint.scope;
        if (m.attempts >= Math.max(2, m.destination.endpoints.size())) {
            m.notBefore = now
                    + pause(
                            e.connectionLimitReached(settings.reportFields()) ? 0 : turn(scope),
                            0,
                            m.type.deadlineMicros(),
                            m.attempts - 1);
        }
        if (e.retryAfterMicros() > 0) {
            scope.waitUntil = Math.max(scope.waitUntil, now + e.retryAfterMicros() + 1);
        }
        if (!call.noted) {
            call.noted = true;
            learn(now, m, call, e);
        }
        scope.served.add(now, e.outcome() == AttemptOutcome.OK ? 1 : 0);
        forgetIfDone(now, m);
    }

    private void forgetIfDone(long now, PendingMessage m) {
        if (!m.ended || m.out != null) {
            return;
        }
        messages.remove(m.id);
        if (m.turn != null && m.answered && concludes) {
            concluding.put(m.id, m);
        } else {
            leaveTurn(now, m);
        }
    }

    private void leaveTurn(long now, PendingMessage m) {
        if (m.turn != null) {
            m.turn.queue.remove(m);
            if (m.turn.queue.isEmpty()) {
                resting.add(m.turn);
            }
        }
        while (!resting.isEmpty() && resting.peek().restUntil <= now) {
            KeyQueue done = resting.poll();
            if (done.queue.isEmpty()) {
                turns.remove(done.key, done);
            }
        }
    }

    private void onListing(long now, Event.EndpointListUpdated e) {
        if (e.kind() == EndpointListKind.FAILED) {
            long pause = FOLLOW_PAUSE << Math.min(followFailures++, 6);
            followAt = now + jitter(Math.min(pause, settings.rules().discoveryDeadlineMicros() / 4));
            return;
        }
        followFailures = e.kind() == EndpointListKind.CACHED ? followFailures : 0;
        List<Endpoint> touched = new ArrayList<>(e.kind() == EndpointListKind.DELTA ? List.of() : endpoints.values());
        // The second: what was learned fades up to a change of the list by the endpoints that were listed until then.
        destinations.values().forEach(d -> fade(now, d));
        touched.forEach(known -> known.state = EndpointState.GONE);
        e.entries().forEach(entry -> touched.add(update(entry)));
        touched.forEach(this::dropIfGone);
    }

    private void dropIfGone(Endpoint known) {
        if (known.state == EndpointState.GONE && known.inFlight == 0) {
            endpoints.remove(known.id, known);
            known.destination.endpoints.remove(known);
            known.scope.members.remove(known);
        }
    }

    private Endpoint update(EndpointEntry entry) {
        Endpoint point = endpoints.get(entry.endpoint());
        if (point == null) {
            point = new Endpoint();
            point.id = entry.endpoint();
            point.destination = destination(entry.destination());
            DestinationKind kind = settings.kinds().isEmpty()
                    ? new DestinationKind(false, 1)
                    : settings.kinds()
                            .get(Math.min(entry.kind(), settings.kinds().size() - 1));
            point.scope = !kind.independentEndpoints()
                    ? point.destination.shared
                    : new UpstreamHealth(entry.destination(), point.id, SENT_SPAN, SERVED_SPAN);
            point.messagesPerCall = Math.max(1, kind.messagesPerCall());
            endpoints.put(point.id, point);
            List<Endpoint> siblings = point.destination.endpoints;
            siblings.add(random.nextInt(siblings.size() + 1), point);
            point.scope.members.add(point);
        }
        point.zone = entry.zone();
        point.state = entry.state();
        if (settings.weightKind() != WeightKind.NONE) {
            // Where the list tells none, a limit that was reported must outlast the next change of the list.
            point.scope.weight = entry.weight();
        }
        return point;
    }

    // ---- Effects: each send and each answer goes through these. ----

    private boolean maySend(long now, PendingMessage m) {
        return !m.ended
                && m.out == null
                && m.attempts < settings.limits().maxAttempts()
                && now < m.due
                && now < repeatableUntil(m);
    }

    /** Until when the class lets this message be sent again. */
    private static long repeatableUntil(PendingMessage m) {
        if (m.doubtSince == NEVER || m.type.idempotency() == Idempotency.IDEMPOTENT) {
            return NEVER;
        }
        return m.type.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 0
                : m.doubtSince + m.type.keyLifeMicros() - KEY_MARGIN;
    }

    private static boolean remembered(PendingMessage m, Endpoint point) {
        if (m.doubtSince == NEVER || m.type.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return switch (m.type.keyScope()) {
            case DESTINATION -> true;
            case ZONE -> m.doubtAt != null && m.doubtAt.zone == point.zone;
            case ENDPOINT -> m.doubtAt == point;
        };
    }

    private static boolean mayRefuse(PendingMessage m) {
        return m.out == null
                && (m.type.idempotency() == Idempotency.IDEMPOTENT
                        || m.doubtSince == NEVER
                        || m.type.idempotency() == Idempotency.KEYED && m.type.keyScope() == KeyScope.DESTINATION);
    }

    /** The final answer: a refusal wherever that is harmless, since the client may then come again. */
    private void answer(long now, PendingMessage m, long advice, Actions actions) {
        if (mayRefuse(m)) {
            actions.reject(
                    m.id,
                    settings.limits().retryAdviceAllowed()
                            ? Math.max(0, Math.min(advice, settings.limits().maxRetryAdviceMicros()))
                            : 0);
        } else {
            actions.fail(m.id);
        }
        m.ended = true;
        m.answered = true;
        forgetIfDone(now, m);
    }

    // ---- Answers due and admission. ----

    private void decide(long now, Actions actions) {
        wakeAt = NEVER;
        if (followAt <= now) {
            actions.subscribe();
            followAt = NEVER;
        }
        note(followAt);
        settleDue(now, actions);
        admit(now, actions);
        busy.forEach(scope -> watch(now, scope));
        callOff(now, actions);
        if (trustedIdle != toldTrust) {
            toldTrust = trustedIdle;
            actions.limitIdleReuse((long) trustedIdle);
        }
        choose(now, actions);
        remember(now, actions);
        setTimer(now, actions);
    }

    private void settleDue(long now, Actions actions) {
        // The first of what differs from the module of before: advice for what ends now counts what is ahead by the
        // index of
        // this moment, not of the last turn (docs/decisions.md, "What differs").
        messages.values().forEach(m -> {
            if (m.out == null && !m.ended) {
                fade(now, m.destination);
            }
        });
        messages.values().forEach(m -> m.index = m.out == null && !m.ended ? index(now, m) : 0);
        double sum = 0;
        int n = 0;
        for (PendingMessage m : List.copyOf(messages.values())) {
            if (m.out != null || m.ended) {
                continue;
            }
            fade(now, m.destination);
            long end = m.due - Math.max(END_MARGIN, (long) serviceTime(m));
            if (now >= Math.min(end, repeatableUntil(m))
                    || m.attempts >= settings.limits().maxAttempts()) {
                answer(now, m, predictedWait(now, m), actions);
            } else {
                note(Math.min(end, repeatableUntil(m)));
                sum += serviceTime(m);
                n++;
            }
        }
        meanP = n == 0 ? 1 : sum / n;
        for (PendingMessage m : messages.values()) {
            m.index = m.out == null && !m.ended ? index(now, m) : 0;
        }
    }

    /**
     * What was learned of a slow destination ages while nothing is sent there: p falls back to the usual.
     * With all slots taken its index would else stand behind all others for good, and short messages be
     * turned away, after a few time-outs. It covers slowness, hangs and lost calls. Harm: one more call to
     * what is still slow.
     */
    private static void fade(long now, Destination destination) {
        double usual = destination.p;
        for (Endpoint point : destination.endpoints) {
            if (point.inFlight > 0) {
                destination.heardAt = now;
            }
            usual = point.scope.usual > 0 ? Math.min(usual, point.scope.usual) : usual;
        }
        double left = Math.exp((destination.heardAt - now) / FADE);
        destination.p = usual + (destination.p - usual) * left;
        destination.heardAt = now;
    }

    /** The arrival test binds once more messages are held unsent than there are slots. */
    private void admit(long now, Actions actions) {
        long held = messages.values().stream().filter(m -> m.out == null).count();
        for (PendingMessage m : arrivals) {
            if (m.ended) {
                continue;
            }
            long wait = predictedWait(now, m);
            if (held > settings.limits().maxConcurrentCalls() && m.due - now - wait < 0) {
                answer(now, m, wait, actions);
            }
        }
        arrivals.clear();
        while (messages.size() > ROOM * settings.limits().maxPendingMessages()) {
            PendingMessage least = messages.values().stream()
                    .filter(m -> m.out == null && !m.ended)
                    .min(Comparator.comparingDouble(m -> m.index))
                    .orElse(null);
            if (least == null) {
                return;
            }
            answer(now, least, predictedWait(now, least), actions);
        }
    }

    /**
     * W: the larger of the work ahead over all slots and that ahead at the destination over its cap. Ahead
     * is what has the higher index now or, being worth no less, will have it as this one ages.
     */
    private long predictedWait(long now, PendingMessage m) {
        double all = 0;
        double here = 0;
        double aheadHere = 0;
        for (PendingMessage other : messages.values()) {
            boolean ahead = other.out != null || other.index >= m.index || other.worth >= m.worth;
            if (other == m || other.ended || !ahead) {
                continue;
            }
            all += serviceTime(other);
            if (other.destination == m.destination) {
                here += serviceTime(other);
                aheadHere += other.out == null ? 1 : 0;
            }
        }
        double cap = 0;
        double pace = 0;
        long opens = NEVER;
        UpstreamHealth last = null;
        for (Endpoint point : m.destination.endpoints) {
            if (point.state == EndpointState.READY && point.scope != last) {
                last = point.scope;
                cap += cap(now, last);
                // Paces count calls: what waits behind a limit or a slow start fills them.
                pace += point.messagesPerCall
                        * (last.breaker == BreakerState.CLOSED
                                ? last.pace
                                : rampPace((1 + warmth(now, last)) / 2, last));
                opens = Math.min(opens, returnsAt(now, last));
            }
        }
        double wait = Math.max(all / settings.limits().maxConcurrentCalls(), here / Math.max(1, cap));
        pace = Math.min(pace, m.destination.ceiling.perSecond());
        if (pace > 0) {
            double paced = Math.min(aheadHere / pace * SECOND, settings.rules().slowStartMicros());
            wait = Math.max(wait, Math.max(0, opens - now) + paced);
        }
        return (long) wait;
    }

    /** When a scope is expected to take calls: an outage without a told end counts as half over. */
    private static long returnsAt(long now, UpstreamHealth scope) {
        long told = Math.max(scope.waitUntil, scope.backoffUntil);
        return scope.breaker == BreakerState.OPEN ? Math.max(told, 2 * now - scope.openedAt) : told;
    }

    // ---- Choice. ----

    private double serviceTime(PendingMessage m) {
        return m.destination.measured
                ? m.destination.p
                : usualLatency > 0 ? usualLatency : m.type.latencyObjectiveMicros();
    }

    /** I = (w/p) exp(-max(d - t, 0) / (k p')). */
    private double index(long now, PendingMessage m) {
        double p = serviceTime(m);
        double pressure = Math.exp(-Math.max(m.due - now, 0) / (LOOK_AHEAD * meanP));
        return m.worth * timeliness(m, now + p) * m.destination.odds / p * pressure;
    }

    /** Share of the worth that is left at a time. */
    private double timeliness(PendingMessage m, double at) {
        if (at <= m.aim) {
            return 1;
        }
        double late = m.type.lateValueShare();
        if (settings.lateValueDecay() == LateValueDecay.HALVING) {
            return Math.max(late, Math.pow(0.5, Math.ceil((at - m.aim) / m.type.latencyObjectiveMicros())));
        }
        double span = Math.max(1, m.due - m.aim);
        return 1 - (1 - late) * Math.min(1, (at - m.aim) / span);
    }

    private void choose(long now, Actions actions) {
        List<PendingMessage> ready = new ArrayList<>();
        for (PendingMessage m : messages.values()) {
            if (maySend(now, m) && hasTurn(now, m)) {
                if (m.notBefore <= now) {
                    ready.add(m);
                } else {
                    note(m.notBefore);
                }
            }
        }
        ready.sort(Comparator.comparingDouble((PendingMessage m) -> -m.index));
        judgeRisks(now);
        Map<Destination, Call> filling = new HashMap<>();
        List<Call> started = new ArrayList<>();
        for (PendingMessage m : ready) {
            Call open = filling.get(m.destination);
            boolean free = m.destination.ceiling.opensAt(now) <= now;
            boolean joins = open != null
                    && free
                    && open.messages < open.endpoint.messagesPerCall
                    && mayRisk(now, m, open.endpoint.scope)
                    && sharesFate(now, m, open)
                    && (m.type.idempotency() == Idempotency.IDEMPOTENT || !probing(open.endpoint.scope));
            if (joins && remembered(m, open.endpoint) && endsInTime(now, m, open.endpoint)) {
                load(now, m, open);
                continue;
            }
            if (slotsUsed >= settings.limits().maxConcurrentCalls()) {
                continue;
            }
            Endpoint point = endpointFor(now, m);
            if (point != null) {
                Call call = startCall(now, point, actions);
                filling.put(m.destination, call);
                started.add(call);
                load(now, m, call);
            }
        }
        started.forEach(call -> send(now, call, actions));
    }

    /** The least that a failed call costs or could cost among the messages for each destination. */
    private void judgeRisks(long now) {
        destinations.values().forEach(d -> d.leastRisk = Integer.MAX_VALUE);
        for (PendingMessage m : messages.values()) {
            boolean counts = m.out != null || maySend(now, m) && hasTurn(now, m);
            if (counts) {
                m.destination.leastRisk = Math.min(m.destination.leastRisk, risk(now, m));
            }
        }
    }

    /**
     * While it is in doubt whether calls to a scope succeed, only those messages go whose failure costs
     * least: a safe one is just sent again, a keyed one uses up the life of its key, an unsafe one is lost;
     * and rather those with time to wait for a slow answer, as one given up early proves nothing.
     * It covers trials in an outage of any kind, brown-outs, cold returns and what a new process finds.
     * Harm: where most calls go on failing, unsafe messages wait for the last part of their time.
     */
    private boolean mayRisk(long now, PendingMessage m, UpstreamHealth scope) {
        boolean late = m.due - now < LAST_SHARE * m.type.deadlineMicros();
        return risk(now, m) <= m.destination.leastRisk || !probing(scope) && (scope.harm < DOUBT || late);
    }

    private int risk(long now, PendingMessage m) {
        return m.type.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 4
                : m.type.idempotency().ordinal() + (hurried(now, m) ? 2 : 0);
    }

    /** Its time may run out before a slow answer: it would be given up before that is silence. */
    private boolean hurried(long now, PendingMessage m) {
        return m.due - now < Math.max((long) (SILENT_SHARE * longestTime), (long) (AMPLE * serviceTime(m)));
    }

    /** Nothing is known of a scope, or only that it failed: only safe messages share a call to it. */
    private static boolean probing(UpstreamHealth scope) {
        return scope.breaker == BreakerState.OPEN || scope.usual == 0;
    }

    private boolean hasTurn(long now, PendingMessage m) {
        if (m.turn == null || m.turn.queue.peek() != m) {
            return m.turn == null;
        }
        boolean rested = m.turn.restsAfter == m || m.turn.restUntil <= now;
        note(rested ? NEVER : m.turn.restUntil);
        return rested;
    }

    private Endpoint endpointFor(long now, PendingMessage m) {
        Endpoint best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long opens = NEVER;
        for (Endpoint point : m.destination.endpoints) {
            boolean usable = point.state == EndpointState.READY && remembered(m, point) && mayRisk(now, m, point.scope);
            if (!usable || !endsInTime(now, m, point)) {
                continue;
            }
            long at = Math.max(opensAt(now, point.scope), m.destination.ceiling.opensAt(now));
            if (at > now) {
                opens = Math.min(opens, at);
            } else if (cost(now, m, point) < bestCost) {
                best = point;
                bestCost = cost(now, m, point);
            }
        }
        if (best == null) {
            note(opens);
        }
        return best;
    }

    /** Before the process ends, no unsafe attempt starts whose outcome it may not see: that would lose it. */
    private boolean endsInTime(long now, PendingMessage m, Endpoint point) {
        return stopsAt == NEVER
                || m.type.idempotency() != Idempotency.NON_IDEMPOTENT
                || now + LAST_CALLS * Math.max(serviceTime(m), present(now, point.scope)) < stopsAt;
    }

    private double cost(long now, PendingMessage m, Endpoint point) {
        boolean warm = (point.inFlight > 0 || now - point.lastUse < trustedIdle)
                && point.inFlight
                        < point.connections * Math.max(1, settings.limits().callsPerConnection());
        boolean far = settings.prices().crossZone() > 0 && point.zone != settings.zone();
        List<Double> tolls = settings.prices().zoneTolls();
        double toll = point.zone < tolls.size() ? tolls.get(point.zone) : 0;
        return point.inFlight
                + (warm ? 0 : COLD_CONNECTION)
                + (far ? FAR : 0)
                + (point == m.failedAt ? FAILED_HERE : 0)
                + FAILING * (point.failing + point.lost)
                + TOLL * toll;
    }

    private Call startCall(long now, Endpoint point, Actions actions) {
        Call call = new Call();
        call.endpoint = point;
        call.sentAt = now;
        slotsUsed++;
        if (point.inFlight++ == 0) {
            point.gap = now - point.lastUse;
            if (!idleTold) {
                closeIdle(point, trustedIdle, actions);
            }
            call.idleBefore = point.connections > 0 ? point.gap : 0;
        }
        point.connections = Math.max(
                point.connections,
                1 + (point.inFlight - 1) / Math.max(1, settings.limits().callsPerConnection()));
        point.scope.calls.add(call);
        busy.add(point.scope);
        charge(now, point.scope, call);
        return call;
    }

    /** A call is given up with the first of its messages: those with time to wait must not fail by that. */
    private boolean sharesFate(long now, PendingMessage m, Call call) {
        return call.hurried == hurried(now, m);
    }

    private void load(long now, PendingMessage m, Call call) {
        call.hurried |= hurried(now, m);
        call.messages++;
        call.waiting++;
        call.load.add(m);
        call.unsafe |= m.type.idempotency() == Idempotency.NON_IDEMPOTENT;
        m.destination.ceiling.charge();
        m.attempts++;
        m.out = call;
    }

    /**
     * All messages of a call are given up together, with its least patient one: their connection is closed
     * then. Left open for the others, a resend of it would be a second copy. Harm: an unsafe one ends
     * with it; waiting for that one instead costs more where calls hang.
     */
    private void send(long now, Call call, Actions actions) {
        long giveUp =
                call.load.stream().mapToLong(m -> giveUpAt(now, m, call)).min().orElse(now);
        call.load.forEach(m -> actions.send(m.id, call.endpoint.id, giveUp));
    }

    /** Unsafe attempts run to the end, as giving one up loses the message. */
    private long giveUpAt(long now, PendingMessage m, Call call) {
        if (m.type.idempotency() == Idempotency.NON_IDEMPOTENT
                || m.attempts >= settings.limits().maxAttempts()) {
            return m.due;
        }
        double expected = Math.max(serviceTime(m), present(now, call.endpoint.scope));
        double patience = Math.max(GIVE_UP_LEAST, GIVE_UP * expected) * (1 << Math.min(m.timeOuts, 4));
        return Math.min(m.due, now + (long) Math.max(patience, GIVE_UP_SHARE * (m.due - now)));
    }

    /**
     * Shuts connections where this sender's last gap was long: before use, as they may have been dropped;
     * and after it where many calls get none, as those of hundreds of senders fill an endpoint's table.
     * Harm: handshakes where gaps vary widely.
     */
    private void closeIdle(Endpoint point, double longest, Actions actions) {
        if (point.connections > 0 && point.gap > longest) {
            point.connections = 0;
            actions.closeIdle(point.id);
        }
    }

    // ---- Guards. ----

    /**
     * Calls lost on connections that had lain idle, more than on fresh ones, show that idle ones are dropped
     * unseen; they are shut before use. It covers firewalls and restarts too. Harm: more handshakes.
     */
    private void judgeConnection(Call call, boolean lost, boolean told) {
        double life = settings.limits().idleConnectionLifeMicros();
        double seen = lost ? 1 : 0;
        freshLost += call.idleBefore == 0 ? FAST_POOLED * (seen - freshLost) : 0;
        idleLost += call.idleBefore > 0 ? FAST_POOLED * (seen - idleLost) : 0;
        if (!lost && told) {
            // Only what was in use again after nearly so long shows that more can be trusted.
            trustedIdle *= call.idleBefore > trustedIdle / 2 ? TOLD_RAISE : 1;
            trustedIdle = Math.min(life, trustedIdle);
        } else if (!lost) {
            trustedIdle = Math.min(life, trustedIdle + IDLE_RAISE * life);
        } else if (call.idleBefore > 0 && idleLost > freshLost + STALE) {
            trustedIdle = Math.min(trustedIdle, call.idleBefore / 2.0);
        }
    }

    /** From when a scope's guards let a call out; NEVER if only an outcome can tell. */
    private long opensAt(long now, UpstreamHealth scope) {
        long at = Math.max(scope.waitUntil, scope.backoffUntil);
        if (scope.breaker == BreakerState.OPEN) {
            return scope.trial != null ? NEVER : Math.max(at, scope.trialAt);
        }
        // What never answered gets a call for each endpoint: after a restart all held would else go at once.
        if (scope.calls.size() >= (scope.usual == 0 ? scope.members.size() : cap(now, scope))) {
            return NEVER;
        }
        if (scope.breaker == BreakerState.RAMP
                && now - scope.rampFrom >= settings.rules().slowStartMicros()) {
            scope.breaker = BreakerState.CLOSED;
        }
        if (scope.breaker == BreakerState.RAMP) {
            at = Math.max(
                    at,
                    Math.min(
                            scope.rampSent + (long) (SECOND / rampPace(warmth(now, scope), scope)),
                            scope.rampFrom + settings.rules().slowStartMicros()));
        }
        if (now - scope.lastRefusal > PACE_LIFE && scope.weight == 0) {
            scope.pace = Double.POSITIVE_INFINITY;
        }
        return Double.isInfinite(scope.pace)
                ? at
                : Math.max(at, scope.paceNext - (long) ((PACE_BURST - 1) * SECOND / scope.pace));
    }

    private void charge(long now, UpstreamHealth scope, Call call) {
        scope.sent.add(now, 1);
        if (!Double.isInfinite(scope.pace)) {
            scope.paceNext = Math.max(scope.paceNext, now) + (long) (SECOND / scope.pace);
        }
        if (scope.breaker == BreakerState.OPEN) {
            scope.trial = call;
        } else if (scope.breaker == BreakerState.RAMP) {
            scope.rampSent = now;
        }
    }

    /** Latency-scaled cap: all slots at the usual pace, else their share usual over present; at least one. */
    private int cap(long now, UpstreamHealth scope) {
        int slots = settings.limits().maxConcurrentCalls();
        if (scope.usual == 0) {
            return slots;
        }
        return (int) Math.max(1, Math.min(slots, slots * AT_PACE * scope.usual / present(now, scope)));
    }

    /** Present latency: a call unanswered for longer than it counts as though it were answered now. */
    private static double present(long now, UpstreamHealth scope) {
        double present = scope.present;
        for (Call call : scope.calls) {
            double age = now - call.sentAt;
            if (age > present && call.sentAt >= scope.lastOk) {
                present += FAST * (age - present);
            }
        }
        return present;
    }

    private long silence(UpstreamHealth scope) {
        double usual = scope.usual > 0 ? Math.max(scope.usual, scope.present) : usualLatency;
        return Math.max((long) (SILENT_SHARE * longestTime), (long) (SILENT * usual));
    }

    /**
     * Silence opens the breaker before anything times out; one slow call among answered ones does not, but
     * it is silent all the same: what its endpoint has answered since does not bring its answer.
     */
    private void watch(long now, UpstreamHealth scope) {
        scope.members.forEach(point -> point.lost = 0);
        for (Call call : scope.calls) {
            long silentAt = call.sentAt + silence(scope);
            if (silentAt > now) {
                note(silentAt);
                continue;
            }
            call.endpoint.lost += call.sentAt >= call.endpoint.lastOk ? 1 : 0;
            if (!call.silent) {
                call.silent = true;
                judgeConnection(call, true, false);
            }
        }
        if (!scope.calls.isEmpty() && scope.breaker != BreakerState.OPEN && failed(now, scope)) {
            open(now, scope);
        }
    }

    /**
     * Silent calls give their slots back: repeatable ones once their scope is silent; with all slots busy and
     * messages waiting any of them, unsafe ones later. Those are lost by it, but with few slots two such
     * stop a sender. It covers hangs and dropped connections. Harm: very slow answers are lost.
     */
    private void callOff(long now, Actions actions) {
        int slots = settings.limits().maxConcurrentCalls();
        long silent = busy.stream()
                .flatMap(scope -> scope.calls.stream())
                .filter(c -> c.silent)
                .count();
        boolean pressed = slotsUsed >= slots
                && silent >= SILENT_SLOTS * slots
                && messages.values().stream().anyMatch(m -> m.out == null && m.notBefore <= now);
        for (PendingMessage m : messages.values()) {
            if (m.out != null
                    && m.out.silent
                    && !m.calledOff
                    && settings.limits().cancellationAllowed()) {
                Call call = m.out;
                UpstreamHealth scope = call.endpoint.scope;
                boolean due = pressed && now - call.sentAt > (call.unsafe ? PATIENCE : 1) * silence(scope)
                        || !call.unsafe && scope.breaker == BreakerState.OPEN;
                if (due || call.calledOff) {
                    m.calledOff = true;
                    call.calledOff = true;
                    pressed = false;
                    actions.cancel(m.id, m.attempts - 1);
                }
            }
        }
    }

    /**
     * A scope has failed when each of its listed endpoints has, in so many calls together: one sick endpoint
     * is passed over while its siblings answer. Where no answer is recent one will do, as the second would
     * come after the outage. Harm: with many endpoints an outage is seen later; false alarms.
     */
    private boolean failed(long now, UpstreamHealth scope) {
        int failures = 0;
        for (Endpoint point : scope.members) {
            int here = point.failures + point.lost;
            if (here == 0 && point.state == EndpointState.READY) {
                return false;
            }
            failures += here;
        }
        return failures >= STREAK || failures > 0 && now - scope.lastOk > OLD * longestTime;
    }

    private void learn(long now, PendingMessage m, Call call, Event.AttemptCompleted e) {
        UpstreamHealth scope = call.endpoint.scope;
        boolean wasTrial = scope.trial == call;
        if (wasTrial) {
            scope.trial = null;
        }
        boolean told = e.connectionIdleMicros() >= 0;
        idleTold |= told;
        if (told) {
            call.idleBefore = e.connectionIdleMicros();
        }
        if (!call.silent) {
            judgeConnection(call, e.outcome() == AttemptOutcome.RESET || e.outcome() == AttemptOutcome.TIMEOUT, told);
        }
        unconnected += FAST_POOLED
                * ((e.outcome() == AttemptOutcome.CONNECT_FAILED || e.connectionLimitReached(settings.reportFields())
                                ? 1
                                : 0)
                        - unconnected);
        m.destination.odds += FAST * ((e.outcome() == AttemptOutcome.OK ? 1 : 0) - m.destination.odds);
        if (!NEVER_RAN.contains(e.outcome())) {
            scope.harm += FAST * ((e.outcome() == AttemptOutcome.OK ? 0 : 1) - scope.harm);
        }
        switch (e.outcome()) {
            case OK -> onOk(now, call, e);
            case FULL -> onFull(now, m, call, e, wasTrial);
            case MOOT -> {}
            case CANCELLED -> {
                if (call.silent && call.sentAt >= call.endpoint.lastOk) {
                    onFailure(now, call, e.outcome(), wasTrial);
                }
            }
            case TIMEOUT -> {
                // A trial given up early for its message's sake shows slowness at most: another is due.
                m.destination.p += FAST * Math.max(0, e.durationMicros() - m.destination.p);
                scope.present += FAST * Math.max(0, e.durationMicros() - scope.present);
                if (!wasTrial || now - call.sentAt >= silence(scope)) {
                    onFailure(now, call, e.outcome(), wasTrial);
                }
            }
            default -> {
                // A kept connection that is reset tells of itself; a sick endpoint shows on a fresh one.
                if (e.outcome() != AttemptOutcome.RESET || !told || e.connectionIdleMicros() == 0 || wasTrial) {
                    onFailure(now, call, e.outcome(), wasTrial);
                }
            }
        }
    }

    private void onOk(long now, Call call, Event.AttemptCompleted e) {
        UpstreamHealth scope = call.endpoint.scope;
        Destination destination = call.endpoint.destination;
        double took = Math.max(1, e.durationMicros());
        usualLatency = usualLatency == 0 ? took : usualLatency + FAST_POOLED * (took - usualLatency);
        destination.p = destination.measured ? destination.p + FAST * (took - destination.p) : took;
        destination.measured = true;
        scope.present = scope.usual == 0 ? took : scope.present + FAST * (took - scope.present);
        if (scope.usual == 0) {
            scope.usual = took;
        } else if (scope.present < AT_PACE * scope.usual) {
            scope.usual += SLOW * (took - scope.usual);
        }
        call.endpoint.failing *= 1 - FAST;
        call.endpoint.failures = 0;
        call.endpoint.lastOk = now;
        scope.refusals /= 2;
        boolean falseAlarm = now - scope.lastOk < OUTAGE_LEAST;
        scope.lastOk = now;
        scope.trials = 0;
        if (scope.breaker == BreakerState.OPEN) {
            scope.breaker = falseAlarm ? BreakerState.CLOSED : BreakerState.RAMP;
            turned.add(scope);
            scope.rampFrom = now;
            scope.rampSent = now;
        }
        readReport(now, scope, e.loadReport());
        if (!Double.isInfinite(scope.pace) && !(scope.left < ENOUGH)) {
            double part = scope.weight / settings.senderCount() * Math.min(1, (now - scope.lastRaise) / SECOND);
            scope.pace += scope.weight > 0 ? PART_GAIN * part : RAISE * scope.pace;
            scope.lastRaise = now;
        }
    }

    /** A reported allowance that runs low cuts the pace before refusals do. */
    private void readReport(long now, UpstreamHealth scope, List<Double> report) {
        ReportFields fields = settings.reportFields();
        if (Math.max(fields.allowanceLeft(), fields.limit()) >= report.size()
                || fields.allowanceLeft() < 0
                || fields.limit() < 0
                || !(report.get(fields.limit()) >= LEAST_PACE)) {
            return;
        }
        double most = MOST_TOLD * Math.max(LEAST_PACE, settings.senderCount() * scope.sent.perSecond(now));
        scope.weight = Math.min(report.get(fields.limit()), most);
        scope.left = report.get(fields.allowanceLeft());
        if (Double.isInfinite(scope.pace)) {
            scope.pace = PART * scope.weight / settings.senderCount();
        } else if (scope.left < LOW_ALLOWANCE && now - scope.lastCut > SECOND) {
            cutPace(now, scope);
        }
    }

    private void onFailure(long now, Call call, AttemptOutcome ending, boolean wasTrial) {
        UpstreamHealth scope = call.endpoint.scope;
        call.endpoint.failing += FAST * (1 - call.endpoint.failing);
        if (ending == AttemptOutcome.CONNECT_FAILED) {
            call.endpoint.connections = 0;
        }
        call.endpoint.failures++;
        if (wasTrial || scope.breaker != BreakerState.OPEN && failed(now, scope)) {
            open(now, scope);
        }
    }

    private void onFull(long now, PendingMessage m, Call call, Event.AttemptCompleted e, boolean wasTrial) {
        long wait = e.retryAfterMicros();
        UpstreamHealth scope = call.endpoint.scope;
        boolean fresh = call.sentAt >= scope.lastRefusal;
        scope.refusals += fresh ? 1 : 0;
        scope.lastRefusal = now;
        if (fresh || wait > 0) {
            long pause = pause(
                    e.connectionLimitReached(settings.reportFields()) ? 0 : turn(scope),
                    wait > 0 ? 0 : BACKOFF,
                    m.type.deadlineMicros(),
                    scope.refusals);
            scope.backoffUntil = Math.max(scope.backoffUntil, now + wait + pause);
        }
        if (wasTrial || wait > OUTAGE_LEAST && scope.breaker != BreakerState.OPEN) {
            open(now, scope);
        } else if (call.sentAt >= scope.lastCut && !e.connectionLimitReached(settings.reportFields())) {
            cutPace(now, scope);
        }
    }

    /** A turn among all senders, or half of the class's time up to all of it; doubled with each try. */
    private static long turn(UpstreamHealth scope) {
        return (long) Math.min(TURN, TURNS * 1e6 / scope.weight);
    }

    private long pause(long each, long base, long span, int tries) {
        long turn = Math.min(jitter(base + each * settings.senderCount()), jitter(span));
        return turn << Math.min(tries - 1, MOST_DOUBLINGS);
    }

    private void cutPace(long now, UpstreamHealth scope) {
        double shown = scope.served.perSecond(now);
        double before = Math.min(scope.pace, Math.max(shown, scope.sent.perSecond(now)));
        double least = Math.max(LEAST_PACE, PART_KEPT * scope.weight) / settings.senderCount();
        scope.pace = Math.max(Math.max(least, CUT * shown), CUT * before);
        scope.lastCut = now;
        scope.lastRefusal = Math.max(scope.lastRefusal, now);
    }

    private void open(long now, UpstreamHealth scope) {
        if (scope.breaker == BreakerState.CLOSED) {
            scope.formerPace = scope.served.atLast();
        }
        if (scope.breaker != BreakerState.OPEN) {
            scope.openedAt = now;
            turned.add(scope);
            scope.trial = null;
            scope.trials = 0;
        }
        scope.breaker = BreakerState.OPEN;
        long pause = pause(TURN, BACKOFF, longestTime, 1 + ++scope.trials);
        pause = Math.min(pause, jitter((long) (1.5 * SECOND / rampPace(0, scope))));
        scope.trialAt = now + Math.min(TRIAL_LONGEST * settings.senderCount(), pause);
    }

    private double warmth(long now, UpstreamHealth scope) {
        double span = settings.rules().slowStartMicros() + 1;
        return scope.breaker == BreakerState.OPEN ? 0 : Math.min(1, (now - scope.rampFrom) / span);
    }

    /** Messages a second that a slow start lets out: own former pace times what the rule allows. */
    private double rampPace(double warm, UpstreamHealth scope) {
        Rules rules = settings.rules();
        double capacity = rules.slowStartCapacity() + (1 - rules.slowStartCapacity()) * warm;
        double told = Math.max(LEAST_PACE, 0.75 * scope.weight) / settings.senderCount();
        return RAMP_SAFETY * rules.overloadMultiple() * capacity * Math.max(scope.formerPace, told);
    }

    /** Between half of a pause and all of it. */
    private long jitter(long pause) {
        return pause / 2 + random.nextLong(Math.max(1, pause / 2));
    }

    // ---- Timer. ----

    private void note(long at) {
        wakeAt = Math.min(wakeAt, at);
    }

    /** One timer stands for all: it is set anew only when something is due earlier. */
    private void setTimer(long now, Actions actions) {
        if (wakeAt != NEVER && (timerAt <= now || timerAt > wakeAt)) {
            timerAt = Math.max(wakeAt, now + 1);
            actions.scheduleTimer(timerAt - now, 0);
        }
    }

    /** For comparing: when something is due next as of the last turn, MAX_VALUE for never. */
    long wakeAt() {
        return wakeAt;
    }
}
