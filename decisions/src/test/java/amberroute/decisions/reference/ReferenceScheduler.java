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
    private static final double PRESSURE_SPAN_SERVICE_TIMES = 25;
    /** Weight of a new served latency in p and in the present latency: about the last seven calls count. */
    private static final double RECENT_CALL_WEIGHT_RATIO = 0.15;
    /** Weight of a new latency in the usual one: slow enough to outlast an episode of tens of calls. */
    private static final double USUAL_WEIGHT_RATIO = 0.02;
    /** Present latency up to this multiple of the usual is noise of ordinary service times, not slowness. */
    private static final double NORMAL_LATENCY_RATIO = 2;
    /** Span over which a service time that was learned falls back to the usual while no call is out. */
    private static final double DECAY_TIME_CONSTANT_MICROS = 1_000_000;
    /** Share of the room above which the least message is handed back, so that arrivals are still ranked. */
    private static final double SHED_ABOVE_CAPACITY_RATIO = 0.9;
    /** A held message is ended at least this long before its time is up: rounds and timers take a while. */
    private static final long ANSWER_MARGIN_MICROS = 40_000;
    /** A repeatable attempt is given up after so many expected latencies, doubled with each time-out, and not
     * before this span, as connecting is part of a call, nor this share of the time left. */
    private static final double TIMEOUT_LATENCIES = 8;

    private static final long MIN_TIMEOUT_MICROS = 2_000_000;
    private static final double MIN_TIMEOUT_TIME_LEFT_RATIO = 0.25;
    /** A call is silent after so many usual latencies, and after this share of the longest class's time, as
     * connecting is part of it: a fixed span holds all slots where times are short. Harm: slow connecting. */
    private static final double SILENT_AFTER_LATENCIES = 6;

    private static final double MIN_SILENCE_DEADLINE_RATIO = 1 / 16.0;
    /** A message with less than so many service times left may run out of time before a slow answer. */
    private static final double AMPLE_TIME_SERVICE_TIMES = 3;
    /** Share of the slots that silent calls may hold while messages wait, and how much longer unsafe ones. */
    private static final double MAX_SILENT_SLOTS_RATIO = 0.2;

    private static final double NON_IDEMPOTENT_SILENCE_FACTOR = 2.5;
    /** Transit allowed for when the life of a key runs out. */
    private static final long KEY_LIFE_MARGIN_MICROS = 300_000;
    /** Failures in a row that open the breaker: one is chance. */
    private static final int FAILURES_TO_OPEN = 2;
    /** Shortest outage: answers closer together had none between them, and a longer told wait is one. */
    private static final long MIN_OUTAGE_MICROS = 2_500_000;
    /** First pause at a door shared by all: a turn for each sender, and a base where no wait was told. */
    private static final long SENDER_SPACING_MICROS = 80_000;

    private static final double SENDER_SPACING_CALLS = 3.2;
    private static final long BASE_BACKOFF_MICROS = 240_000;
    /** Share of recent calls that ran and failed above which a destination is in doubt: two in a row. */
    private static final double DOUBTFUL_FAILURE_RATIO = 0.25;
    /** Share of its time left from which a message takes the risk of a destination in doubt. */
    private static final double RISK_ACCEPTED_DEADLINE_RATIO = 0.25;
    /** Share of the longest class's time after which an answer no longer tells that a destination is well. */
    private static final double STALE_SUCCESS_DEADLINE_RATIO = 0.5;
    /** The longest pause between trials for each sender. */
    private static final long MAX_TRIAL_INTERVAL_MICROS = 700_000;
    /** AIMD: a refusal cuts the pace to this share of what was sent; each answer adds a share. */
    private static final double CUT_RATIO = 0.8;

    private static final double INITIAL_FAIR_SHARES = 1.2;
    private static final double MIN_FAIR_SHARES = 0.85;
    private static final double FAIR_SHARES_GAINED_PER_SECOND = 0.25;
    private static final double AMPLE_ALLOWANCE_RATIO = 0.5;
    /** A told limit counts up to so many times what all would send if they sent as much as this one. */
    private static final double MAX_REPORTED_LIMIT_RATIO = 8;

    private static final double RAISE_PER_SUCCESS_RATIO = 0.05;
    /** Least pace of all senders together in calls a second, so that a limit is noticed when it lifts. */
    private static final double MIN_FLEET_PACE_PER_SECOND = 1.2;
    /** Calls that may go at once under a pace. */
    private static final double BURST_CALLS = 2;
    /** A pace with no refusal for so long is dropped. */
    private static final long PACE_EXPIRY_MICROS = 6_000_000;
    /** Share of a reported allowance under which the pace is cut before a refusal comes. */
    private static final double LOW_ALLOWANCE_RATIO = 0.1;
    /** Share of the permitted push that a slow start uses: other senders may see more than their part. */
    private static final double PERMITTED_OVERLOAD_RATIO = 0.9;
    /** Spans over which sent and served rates are averaged. */
    private static final double SENT_RATE_TIME_CONSTANT_MICROS = 2_000_000;

    private static final double SERVED_RATE_TIME_CONSTANT_MICROS = 8_000_000;
    /** Weight of a call in shares over all destinations: about the last thirty calls count. */
    private static final double POOLED_WEIGHT_RATIO = 0.03;
    /** By how much more is lost on idle connections than on fresh ones when they are dropped unseen. */
    private static final double EXCESS_LOSS_THRESHOLD_RATIO = 0.1;
    /** Part of the connections' life by which each answer raises the idle time that is trusted. */
    private static final double RAISE_PER_SUCCESS_LIFE_RATIO = 0.002;
    /** The same where the idle time of each call's connection is told, as a factor. */
    private static final double REPORTED_RAISE_FACTOR = 1.03;
    /** Share of calls without connection from which tables of connections are taken to be full. */
    private static final double CONNECTION_TABLES_FULL_RATIO = 0.01;
    /** Part of the trusted idle time from which a gap shows that a table's place is held to little use. */
    private static final double CONNECTION_TABLES_FULL_IDLE_RATIO = 0.5;
    /** Endpoint choice, in calls in flight: fresh connection, far zone, failing endpoint, point of toll,
     * the one that failed this message last. Equals are taken in a random order of listing. */
    private static final double FRESH_CONNECTION_COST_CALLS = 0.6;

    private static final double CROSS_ZONE_COST_CALLS = 0.8;
    private static final double FAILURE_COST_CALLS = 4;
    private static final double ZONE_TOLL_COST_CALLS = 20;
    private static final double LAST_FAILED_COST_CALLS = 2;
    /** Seconds of a tenant's share that it may use in one go. */
    private static final double TENANT_BURST_SECONDS = 2;
    /** First pause before a failed subscription is renewed. */
    private static final long SUBSCRIPTION_RETRY_MICROS = 300_000;

    /** Unsafe calls start until so many expected latencies before the process ends. */
    private static final double MIN_TIME_LEFT_LATENCIES = 3;
    /** So many destinations are kept without a look at which still matter. */
    private static final int MAX_UNUSED_DESTINATIONS = 1_024;

    /** Pauses double no more often than this. */
    private static final int MAX_DOUBLINGS = 3;

    private static final long NEVER = Long.MAX_VALUE;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final Set<AttemptOutcome> OUTCOMES_NOT_RUN =
            EnumSet.of(AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.MOOT);

    // ---- State. ----

    private Settings settings;
    private final boolean acknowledgements;
    private final SplittableRandom random;
    private final Map<Long, PendingMessage> messages = new LinkedHashMap<>();
    private final List<PendingMessage> arrivals = new ArrayList<>();
    private final Map<Integer, Destination> destinations = new TreeMap<>();
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    /** Scopes with calls out: a step walks these, however long the list is. */
    private final Set<UpstreamHealth> busyUpstreams = new LinkedHashSet<>();
    /** Scopes whose breaker has turned since the last step. */
    private final Set<UpstreamHealth> changedUpstreams = new LinkedHashSet<>();

    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    /** Answered messages whose key's turn waits for the answer to be concluded. */
    private final Map<Long, PendingMessage> unacknowledged = new HashMap<>();

    private final Deque<KeyQueue> emptyQueues = new ArrayDeque<>();
    private final List<TokenBucket> tenantQuotas = new ArrayList<>();
    private long longestDeadlineMicros;
    private int slotsUsed;
    private long subscribeAt;
    private int subscriptionFailures;
    private double meanServiceMicros;
    /** Usual latency over all destinations: what a scope that never answered is taken to need. */
    private double usualLatencyMicros;

    private double unconnectedRatio;
    /** How long an idle connection is trusted, and shares of calls lost on fresh and on idle ones. */
    private double maxReusableIdleMicros;

    private double announcedMaxIdleMicros;
    /** The caller knows each connection's idle time and keeps to {@code trustedIdle} by itself. */
    private boolean callerReportsIdleTime;

    private double freshLossRatio;
    private double idleLossRatio;
    private long stopsAt = NEVER;
    private long wakeAt = NEVER;
    private long timerAt = NEVER;

    /** A sender with nothing but its settings; they are checked here. Answers are final as they are given. */
    public ReferenceScheduler(Settings settings) {
        this(settings, false);
    }

    /** {@code concludes}: the caller tells by {@link Event.CompletionAcknowledged} when an answer has been received. */
    public ReferenceScheduler(Settings settings, boolean acknowledgements) {
        this.acknowledgements = acknowledgements;
        configure(settings);
        random = new SplittableRandom(settings.seed());
        for (Tenant tenant : settings.tenants()) {
            tenantQuotas.add(new TokenBucket(tenant.quotaPerSecond() / settings.senderCount(), TENANT_BURST_SECONDS));
        }
        subscribeAt = settings.endpointListPolled() ? 0 : NEVER;
        maxReusableIdleMicros = settings.limits().idleConnectionLifeMicros();
    }

    private void configure(Settings replacement) {
        Limits limits = replacement.limits();
        Rules rules = replacement.rules();
        require(replacement.senderCount() > 0 && !replacement.classes().isEmpty(), "senders or classes");
        require(
                limits.maxConcurrentCalls() > 0 && limits.maxPendingMessages() > 0 && limits.maxAttempts() > 0,
                "limits");
        require(rules.slowStartCapacity() > 0 && rules.slowStartMicros() >= 0 && rules.overloadMultiple() > 0, "rules");
        require(
                replacement.classes().stream()
                        .allMatch(messageClass ->
                                messageClass.deadlineMicros() > 0 && messageClass.latencyObjectiveMicros() > 0),
                "classes");
        settings = replacement;
        longestDeadlineMicros = replacement.classes().stream()
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
        if (event instanceof Event.MessageSubmitted submitted) {
            onArrival(now, submitted);
        } else if (event instanceof Event.AttemptCompleted completed) {
            onAttemptCompleted(now, completed, actions);
        } else if (event instanceof Event.MessageRecovered recovered) {
            onRecovered(now, recovered);
        } else if (event instanceof Event.HealthRestored restored) {
            restoreCheckpoint(now, restored.checkpoint(), restored.checkpoint().sinceMicros() + restored.ageMicros());
        } else if (event instanceof Event.CallInFlight inFlight) {
            onCallInFlight(now, inFlight, actions);
        } else if (event instanceof Event.CompletedMessageRecovered completedMessage) {
            PendingMessage message = new PendingMessage();
            message.keyQueue = keyQueue(completedMessage.key());
            message.keyQueue.messages.add(message);
            unacknowledged.put(completedMessage.id(), message);
        } else if (event instanceof Event.UpstreamStateTransferred transferred) {
            restoreSnapshot(now, transferred.snapshot());
        } else if (event instanceof Event.KeyPaused paused) {
            onKeyPaused(now, paused.pause());
        } else if (event instanceof Event.SettingsChanged changed) {
            configure(changed.settings());
        } else if (event instanceof Event.FleetRateLimitChanged limitChanged) {
            onFleetRateLimit(now, limitChanged);
        } else if (event instanceof Event.ShutdownStarted started) {
            stopsAt = now + started.timeLeftMicros();
        } else if (event instanceof Event.CompletionAcknowledged acknowledged) {
            onAcknowledged(now, acknowledged.id());
        } else if (event instanceof Event.MessageCancelled cancelled) {
            onCancelled(now, cancelled.id());
        } else if (event instanceof Event.EndpointListUpdated updated) {
            onEndpointListUpdated(now, updated);
        } else if (event instanceof Event.TimerExpired) {
            timerAt = timerAt <= now ? NEVER : timerAt;
        } else if (event instanceof Event.Decide) {
            decide(now, actions);
        }
    }

    @Override
    public int avoidedEndpointCount() {
        return (int) endpoints.values().stream()
                .filter(endpoint -> endpoint.state == EndpointState.READY
                        && (endpoint.health.breaker == BreakerState.OPEN
                                || endpoint.consecutiveFailures + endpoint.silentCalls >= FAILURES_TO_OPEN))
                .count();
    }

    private void onArrival(long now, Event.MessageSubmitted event) {
        if (messages.containsKey(event.id())) {
            return;
        }
        if (destinations.size() > MAX_UNUSED_DESTINATIONS) {
            destinations
                    .values()
                    .removeIf(destination -> destination.endpoints.isEmpty()
                            && messages.values().stream().noneMatch(message -> message.destination == destination));
        }
        PendingMessage message =
                accept(now, event.id(), event.messageClass(), event.key(), event.timeLeftMicros(), event.destination());
        message.priorityWeight *= withinQuota(now, event.tenant()) ? 1 : settings.overQuotaWeightFactor();
        arrivals.add(message);
    }

    private PendingMessage accept(long now, long id, int messageClass, long key, long timeLeftMicros, int destination) {
        PendingMessage message = new PendingMessage();
        message.id = id;
        message.messageClass =
                settings.classes().get(Math.min(messageClass, settings.classes().size() - 1));
        message.destination = destination(destination);
        message.due = now + Math.min(message.messageClass.deadlineMicros(), timeLeftMicros);
        message.latencyObjectiveAt =
                message.due - message.messageClass.deadlineMicros() + message.messageClass.latencyObjectiveMicros();
        message.priorityWeight = message.messageClass.priorityWeight();
        if (message.messageClass.ordered() && key != 0) {
            message.keyQueue = keyQueue(key);
            message.keyQueue.messages.add(message);
        }
        messages.put(message.id, message);
        return message;
    }

    private KeyQueue keyQueue(long key) {
        KeyQueue keyQueue = keyQueues.computeIfAbsent(key, k -> new KeyQueue());
        keyQueue.key = key;
        return keyQueue;
    }

    /** It passed the arrival test in an earlier process; what was out when that ended may still run. */
    private void onRecovered(long now, Event.MessageRecovered event) {
        if (messages.containsKey(event.id())) {
            return;
        }
        PendingMessage message =
                accept(now, event.id(), event.messageClass(), event.key(), event.timeLeftMicros(), event.destination());
        message.attempts = event.attempts();
        message.priorityWeight = message.attempts == 0 && message.messageClass.idempotency() != Idempotency.IDEMPOTENT
                ? settings.classes().stream()
                        .mapToDouble(MessageClass::priorityWeight)
                        .max()
                        .orElse(0)
                : message.priorityWeight;
        if (event.unknownOutcomeAgeMicros() >= 0) {
            message.unknownOutcomeSince = now - event.unknownOutcomeAgeMicros();
            message.unknownOutcomeEndpoint = endpoints.get(event.unknownOutcomeEndpoint());
        }
        if (event.attemptInterrupted() && message.keyQueue != null) {
            message.keyQueue.pausedUntil = now + settings.rules().settlePeriodMicros();
            message.keyQueue.exemptFromPause = message;
        }
    }

    /**
     * An outage or its end that an earlier process saw goes on in this one, else the first answer would let
     * out all that is held, at a destination that is still cold. It covers crashes and planned restarts.
     * Harm: a destination that is well again since is tried by one call first.
     */
    private void restoreCheckpoint(long now, HealthCheckpoint checkpoint, long ageMicros) {
        Endpoint endpoint = endpoints.get(checkpoint.endpoint());
        if (checkpoint.endpoint() != 0 && endpoint == null || checkpoint.status() == UpstreamStatus.HEALTHY) {
            return;
        }
        Destination destination = destination(checkpoint.destination());
        UpstreamHealth health = endpoint == null ? destination.sharedHealth : endpoint.health;
        health.usualLatencyMicros = checkpoint.usualLatencyMicros();
        health.presentLatencyMicros = checkpoint.usualLatencyMicros();
        health.callsPerSecondBeforeOutage = checkpoint.callsPerSecond();
        if (checkpoint.usualLatencyMicros() > 0) {
            destination.serviceMicros = checkpoint.usualLatencyMicros();
            destination.serviceMeasured = true;
        }
        health.breaker = checkpoint.status() == UpstreamStatus.UNAVAILABLE ? BreakerState.OPEN : BreakerState.RAMP;
        health.openedAt = now - ageMicros;
        health.slowStartBeganAt = now - ageMicros;
        health.lastSlowStartCallAt = now;
        health.nextTrialAt = now;
        health.failureRatio = checkpoint.status() == UpstreamStatus.UNAVAILABLE ? 1 : 0;
    }

    /** What is to outlast the process changes with the breaker only, so it is seldom written. */
    private void saveCheckpoints(long now, Actions actions) {
        changedUpstreams.forEach(health -> actions.saveCheckpoint(checkpoint(now, health)));
        changedUpstreams.clear();
    }

    private static HealthCheckpoint checkpoint(long now, UpstreamHealth health) {
        UpstreamStatus status =
                switch (health.breaker) {
                    case OPEN -> UpstreamStatus.UNAVAILABLE;
                    case RAMP -> UpstreamStatus.SLOW_START;
                    case CLOSED -> UpstreamStatus.HEALTHY;
                };
        long sinceMicros = now - (status == UpstreamStatus.UNAVAILABLE ? health.openedAt : health.slowStartBeganAt);
        return new HealthCheckpoint(
                health.destinationId,
                health.endpointId,
                status,
                sinceMicros,
                health.callsPerSecondBeforeOutage,
                health.usualLatencyMicros);
    }

    // ---- Taking over from a process that still runs. ----

    private void onCallInFlight(long now, Event.CallInFlight event, Actions actions) {
        Endpoint endpoint = endpoints.get(event.endpoint());
        List<PendingMessage> inFlight = event.ids().stream()
                .map(messages::get)
                .filter(message -> message != null && message.call == null)
                .toList();
        if (endpoint != null && !inFlight.isEmpty()) {
            Call call = startCall(now, endpoint, actions);
            call.sentAt = now - event.sentAgoMicros();
            inFlight.forEach(message -> addToCall(now, message, call));
        }
    }

    private void onKeyPaused(long now, KeyPause pause) {
        KeyQueue keyQueue = keyQueue(pause.key());
        keyQueue.pausedUntil = now + pause.remainingMicros();
        keyQueue.exemptFromPause = messages.get(pause.exemptMessage());
        if (keyQueue.messages.isEmpty()) {
            emptyQueues.add(keyQueue);
        }
    }

    @Override
    public List<KeyPause> pausedKeys(long now) {
        return keyQueues.values().stream()
                .filter(keyQueue -> keyQueue.pausedUntil > now)
                .map(keyQueue -> new KeyPause(
                        keyQueue.key,
                        keyQueue.pausedUntil - now,
                        keyQueue.exemptFromPause == null ? 0 : keyQueue.exemptFromPause.id))
                .toList();
    }

    @Override
    public List<UpstreamSnapshot> snapshots(long now) {
        return endpoints.values().stream()
                .map(endpoint -> endpoint.health)
                .distinct()
                .map(health -> {
                    Destination destination = health.endpoints.get(0).destination;
                    return new UpstreamSnapshot(
                            checkpoint(now, health),
                            Math.max(0, health.retryAfterUntil - now),
                            Math.max(0, health.backoffUntil - now),
                            health.pacePerSecond,
                            now - health.lastRejectionAt,
                            now - health.lastSuccessAt,
                            health.presentLatencyMicros,
                            destination.serviceMeasured ? destination.serviceMicros : 0,
                            destination.successProbability,
                            health.sentRate.perSecond(now),
                            health.servedRate.perSecond(now),
                            health.reportedLimit,
                            health.failureRatio);
                })
                .toList();
    }

    private void restoreSnapshot(long now, UpstreamSnapshot snapshot) {
        Endpoint endpoint = endpoints.get(snapshot.checkpoint().endpoint());
        if (snapshot.checkpoint().endpoint() != 0 && endpoint == null) {
            return;
        }
        restoreCheckpoint(now, snapshot.checkpoint(), snapshot.checkpoint().sinceMicros());
        Destination destination = destination(snapshot.checkpoint().destination());
        UpstreamHealth health = endpoint == null ? destination.sharedHealth : endpoint.health;
        health.usualLatencyMicros = snapshot.checkpoint().usualLatencyMicros();
        health.presentLatencyMicros = snapshot.presentLatencyMicros();
        usualLatencyMicros = usualLatencyMicros == 0
                ? health.usualLatencyMicros
                : usualLatencyMicros + RECENT_CALL_WEIGHT_RATIO * (health.usualLatencyMicros - usualLatencyMicros);
        destination.serviceMeasured |= snapshot.expectedServiceMicros() > 0;
        destination.serviceMicros =
                snapshot.expectedServiceMicros() > 0 ? snapshot.expectedServiceMicros() : destination.serviceMicros;
        destination.successProbability = snapshot.successProbability();
        health.callsPerSecondBeforeOutage = snapshot.checkpoint().callsPerSecond();
        health.retryAfterUntil = now + snapshot.retryAfterMicros();
        health.backoffUntil = now + snapshot.backoffMicros();
        health.pacePerSecond = snapshot.pacePerSecond();
        health.lastRejectionAt = now - snapshot.sinceRejectionMicros();
        health.lastSuccessAt = now - snapshot.sinceSuccessMicros();
        health.sentRate.add(now, snapshot.sentPerSecond() * SENT_RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND);
        health.servedRate.add(now, snapshot.servedPerSecond() * SERVED_RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND);
        health.reportedLimit = snapshot.reportedLimit();
        health.failureRatio = snapshot.failureRatio();
    }

    /** That another has seen it answer is worth a trial now: its own turn may be many seconds away. */
    private void onFleetRateLimit(long now, Event.FleetRateLimitChanged event) {
        Destination destination = destination(event.destination());
        destination.fleetRateLimit.set(now, event.perSecond(), event.initialCredit());
        destination.endpoints.forEach(
                endpoint -> endpoint.health.nextTrialAt = event.recovered() ? now : endpoint.health.nextTrialAt);
    }

    private void onAcknowledged(long now, long id) {
        PendingMessage message = unacknowledged.remove(id);
        if (message != null) {
            leaveKeyQueue(now, message);
        }
    }

    private Destination destination(int id) {
        return destinations.computeIfAbsent(
                id,
                newId -> new Destination(new UpstreamHealth(
                        newId, 0, SENT_RATE_TIME_CONSTANT_MICROS, SERVED_RATE_TIME_CONSTANT_MICROS)));
    }

    /** A sender sees only its own part of a tenant's traffic and takes an even part of its share. */
    private boolean withinQuota(long now, int tenant) {
        return tenant < 0
                || tenant >= tenantQuotas.size()
                || tenantQuotas.get(tenant).tryTake(now);
    }

    private void onCancelled(long now, long id) {
        PendingMessage message = messages.get(id);
        if (message != null) {
            message.completed = true;
            removeIfCompleted(now, message);
        }
    }

    private void onAttemptCompleted(long now, Event.AttemptCompleted event, Actions actions) {
        PendingMessage message = messages.get(event.id());
        if (message == null || message.call == null || message.attempts - 1 != event.attempt()) {
            return;
        }
        Call call = message.call;
        message.call = null;
        message.cancelling = false;
        message.completed |= event.messageCompleted();
        if (--call.outstanding == 0) {
            slotsUsed--;
            call.endpoint.callsInFlight--;
            call.endpoint.lastUsedAt = now;
            call.endpoint.destination.serviceUpdatedAt = now;
            call.endpoint.health.callsInFlight.remove(call);
            if (call.endpoint.callsInFlight == 0 && unconnectedRatio > CONNECTION_TABLES_FULL_RATIO) {
                closeIdle(
                        call.endpoint,
                        CONNECTION_TABLES_FULL_IDLE_RATIO
                                * Math.max(0, 1 - unconnectedRatio / 0.1)
                                * maxReusableIdleMicros,
                        actions);
            }
            removeIfGone(call.endpoint);
            if (call.endpoint.health.callsInFlight.isEmpty()) {
                busyUpstreams.remove(call.endpoint.health);
                call.endpoint.health.endpoints.forEach(endpoint -> endpoint.silentCalls = 0);
            }
        }
        boolean mayHaveRun = !OUTCOMES_NOT_RUN.contains(event.outcome());
        if (mayHaveRun && message.unknownOutcomeSince == NEVER) {
            message.unknownOutcomeSince = call.sentAt;
            message.unknownOutcomeEndpoint = call.endpoint;
        }
        if (message.keyQueue != null
                && mayHaveRun
                && event.outcome() != AttemptOutcome.OK
                && event.outcome() != AttemptOutcome.ERROR) {
            message.keyQueue.pausedUntil = now + settings.rules().settlePeriodMicros();
            message.keyQueue.exemptFromPause = message;
        }
        message.timeouts += event.outcome() == AttemptOutcome.TIMEOUT ? 1 : 0;
        message.lastFailedEndpoint = call.endpoint;
        UpstreamHealth health = call.endpoint.health;
        if (message.attempts >= Math.max(2, message.destination.endpoints.size())) {
            message.notBefore = now
                    + backoffMicros(
                            event.connectionLimitReached(settings.reportFields()) ? 0 : senderSpacingMicros(health),
                            0,
                            message.messageClass.deadlineMicros(),
                            message.attempts - 1);
        }
        if (event.retryAfterMicros() > 0) {
            health.retryAfterUntil = Math.max(health.retryAfterUntil, now + event.retryAfterMicros() + 1);
        }
        if (!call.outcomeLearned) {
            call.outcomeLearned = true;
            updateUpstream(now, message, call, event);
        }
        health.servedRate.add(now, event.outcome() == AttemptOutcome.OK ? 1 : 0);
        removeIfCompleted(now, message);
    }

    private void removeIfCompleted(long now, PendingMessage message) {
        if (!message.completed || message.call != null) {
            return;
        }
        messages.remove(message.id);
        if (message.keyQueue != null && message.answeredHere && acknowledgements) {
            unacknowledged.put(message.id, message);
        } else {
            leaveKeyQueue(now, message);
        }
    }

    private void leaveKeyQueue(long now, PendingMessage message) {
        if (message.keyQueue != null) {
            message.keyQueue.messages.remove(message);
            if (message.keyQueue.messages.isEmpty()) {
                emptyQueues.add(message.keyQueue);
            }
        }
        while (!emptyQueues.isEmpty() && emptyQueues.peek().pausedUntil <= now) {
            KeyQueue emptyQueue = emptyQueues.poll();
            if (emptyQueue.messages.isEmpty()) {
                keyQueues.remove(emptyQueue.key, emptyQueue);
            }
        }
    }

    private void onEndpointListUpdated(long now, Event.EndpointListUpdated event) {
        if (event.kind() == EndpointListKind.FAILED) {
            long retryMicros = SUBSCRIPTION_RETRY_MICROS << Math.min(subscriptionFailures++, 6);
            subscribeAt = now + jitter(Math.min(retryMicros, settings.rules().discoveryDeadlineMicros() / 4));
            return;
        }
        subscriptionFailures = event.kind() == EndpointListKind.CACHED ? subscriptionFailures : 0;
        List<Endpoint> affected =
                new ArrayList<>(event.kind() == EndpointListKind.DELTA ? List.of() : endpoints.values());
        // The second: what was learned fades up to a change of the list by the endpoints that were listed until then.
        destinations.values().forEach(destination -> decayServiceTime(now, destination));
        affected.forEach(endpoint -> endpoint.state = EndpointState.GONE);
        event.entries().forEach(entry -> affected.add(update(entry)));
        affected.forEach(this::removeIfGone);
    }

    private void removeIfGone(Endpoint endpoint) {
        if (endpoint.state == EndpointState.GONE && endpoint.callsInFlight == 0) {
            endpoints.remove(endpoint.id, endpoint);
            endpoint.destination.endpoints.remove(endpoint);
            endpoint.health.endpoints.remove(endpoint);
        }
    }

    private Endpoint update(EndpointEntry entry) {
        Endpoint endpoint = endpoints.get(entry.endpoint());
        if (endpoint == null) {
            endpoint = new Endpoint();
            endpoint.id = entry.endpoint();
            endpoint.destination = destination(entry.destination());
            DestinationKind kind = settings.kinds().isEmpty()
                    ? new DestinationKind(false, 1)
                    : settings.kinds()
                            .get(Math.min(entry.kind(), settings.kinds().size() - 1));
            endpoint.health = !kind.independentEndpoints()
                    ? endpoint.destination.sharedHealth
                    : new UpstreamHealth(
                            entry.destination(),
                            endpoint.id,
                            SENT_RATE_TIME_CONSTANT_MICROS,
                            SERVED_RATE_TIME_CONSTANT_MICROS);
            endpoint.messagesPerCall = Math.max(1, kind.messagesPerCall());
            endpoints.put(endpoint.id, endpoint);
            List<Endpoint> siblings = endpoint.destination.endpoints;
            siblings.add(random.nextInt(siblings.size() + 1), endpoint);
            endpoint.health.endpoints.add(endpoint);
        }
        endpoint.zone = entry.zone();
        endpoint.state = entry.state();
        if (settings.weightKind() != WeightKind.NONE) {
            // Where the list tells none, a limit that was reported must outlast the next change of the list.
            endpoint.health.reportedLimit = entry.weight();
        }
        return endpoint;
    }

    // ---- Effects: each send and each answer goes through these. ----

    private boolean maySend(long now, PendingMessage message) {
        return !message.completed
                && message.call == null
                && message.attempts < settings.limits().maxAttempts()
                && now < message.due
                && now < retryableUntil(message);
    }

    /** Until when the class lets this message be sent again. */
    private static long retryableUntil(PendingMessage message) {
        if (message.unknownOutcomeSince == NEVER || message.messageClass.idempotency() == Idempotency.IDEMPOTENT) {
            return NEVER;
        }
        return message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 0
                : message.unknownOutcomeSince + message.messageClass.keyLifeMicros() - KEY_LIFE_MARGIN_MICROS;
    }

    private static boolean retryableAt(PendingMessage message, Endpoint endpoint) {
        if (message.unknownOutcomeSince == NEVER || message.messageClass.idempotency() == Idempotency.IDEMPOTENT) {
            return true;
        }
        return switch (message.messageClass.keyScope()) {
            case DESTINATION -> true;
            case ZONE -> message.unknownOutcomeEndpoint != null && message.unknownOutcomeEndpoint.zone == endpoint.zone;
            case ENDPOINT -> message.unknownOutcomeEndpoint == endpoint;
        };
    }

    private static boolean mayReject(PendingMessage message) {
        return message.call == null
                && (message.messageClass.idempotency() == Idempotency.IDEMPOTENT
                        || message.unknownOutcomeSince == NEVER
                        || message.messageClass.idempotency() == Idempotency.KEYED
                                && message.messageClass.keyScope() == KeyScope.DESTINATION);
    }

    /** The final answer: a refusal wherever that is harmless, since the client may then come again. */
    private void answer(long now, PendingMessage message, long retryAfterMicros, Actions actions) {
        if (mayReject(message)) {
            actions.reject(
                    message.id,
                    settings.limits().retryAdviceAllowed()
                            ? Math.max(
                                    0,
                                    Math.min(retryAfterMicros, settings.limits().maxRetryAdviceMicros()))
                            : 0);
        } else {
            actions.fail(message.id);
        }
        message.completed = true;
        message.answeredHere = true;
        removeIfCompleted(now, message);
    }

    // ---- Answers due and admission. ----

    private void decide(long now, Actions actions) {
        wakeAt = NEVER;
        if (subscribeAt <= now) {
            actions.subscribe();
            subscribeAt = NEVER;
        }
        requestWakeup(subscribeAt);
        answerExpired(now, actions);
        admit(now, actions);
        busyUpstreams.forEach(health -> detectSilentCalls(now, health));
        cancelSilentCalls(now, actions);
        if (maxReusableIdleMicros != announcedMaxIdleMicros) {
            announcedMaxIdleMicros = maxReusableIdleMicros;
            actions.limitIdleReuse((long) maxReusableIdleMicros);
        }
        dispatch(now, actions);
        saveCheckpoints(now, actions);
        setTimer(now, actions);
    }

    private void answerExpired(long now, Actions actions) {
        // The first of what differs from the module of before: advice for what ends now counts what is ahead by the
        // index of
        // this moment, not of the last turn (docs/decisions.md, "What differs").
        messages.values().forEach(message -> {
            if (message.call == null && !message.completed) {
                decayServiceTime(now, message.destination);
            }
        });
        messages.values()
                .forEach(message ->
                        message.index = message.call == null && !message.completed ? index(now, message) : 0);
        double totalServiceMicros = 0;
        int waiting = 0;
        for (PendingMessage message : List.copyOf(messages.values())) {
            if (message.call != null || message.completed) {
                continue;
            }
            decayServiceTime(now, message.destination);
            long expiryAt = message.due - Math.max(ANSWER_MARGIN_MICROS, (long) serviceMicros(message));
            if (now >= Math.min(expiryAt, retryableUntil(message))
                    || message.attempts >= settings.limits().maxAttempts()) {
                answer(now, message, predictedWaitMicros(now, message), actions);
            } else {
                requestWakeup(Math.min(expiryAt, retryableUntil(message)));
                totalServiceMicros += serviceMicros(message);
                waiting++;
            }
        }
        meanServiceMicros = waiting == 0 ? 1 : totalServiceMicros / waiting;
        for (PendingMessage message : messages.values()) {
            message.index = message.call == null && !message.completed ? index(now, message) : 0;
        }
    }

    /**
     * What was learned of a slow destination ages while nothing is sent there: p falls back to the usual.
     * With all slots taken its index would else stand behind all others for good, and short messages be
     * turned away, after a few time-outs. It covers slowness, hangs and lost calls. Harm: one more call to
     * what is still slow.
     */
    private static void decayServiceTime(long now, Destination destination) {
        double baselineMicros = destination.serviceMicros;
        for (Endpoint endpoint : destination.endpoints) {
            if (endpoint.callsInFlight > 0) {
                destination.serviceUpdatedAt = now;
            }
            baselineMicros = endpoint.health.usualLatencyMicros > 0
                    ? Math.min(baselineMicros, endpoint.health.usualLatencyMicros)
                    : baselineMicros;
        }
        double remainingRatio = Math.exp((destination.serviceUpdatedAt - now) / DECAY_TIME_CONSTANT_MICROS);
        destination.serviceMicros = baselineMicros + (destination.serviceMicros - baselineMicros) * remainingRatio;
        destination.serviceUpdatedAt = now;
    }

    /** The arrival test binds once more messages are held unsent than there are slots. */
    private void admit(long now, Actions actions) {
        long waiting = messages.values().stream()
                .filter(message -> message.call == null)
                .count();
        for (PendingMessage message : arrivals) {
            if (message.completed) {
                continue;
            }
            long waitMicros = predictedWaitMicros(now, message);
            if (waiting > settings.limits().maxConcurrentCalls() && message.due - now - waitMicros < 0) {
                answer(now, message, waitMicros, actions);
            }
        }
        arrivals.clear();
        while (messages.size() > SHED_ABOVE_CAPACITY_RATIO * settings.limits().maxPendingMessages()) {
            PendingMessage lowest = messages.values().stream()
                    .filter(message -> message.call == null && !message.completed)
                    .min(Comparator.comparingDouble(message -> message.index))
                    .orElse(null);
            if (lowest == null) {
                return;
            }
            answer(now, lowest, predictedWaitMicros(now, lowest), actions);
        }
    }

    /**
     * W: the larger of the work ahead over all slots and that ahead at the destination over its cap. Ahead
     * is what has the higher index now or, being worth no less, will have it as this one ages.
     */
    private long predictedWaitMicros(long now, PendingMessage message) {
        double totalMicros = 0;
        double destinationMicros = 0;
        double messagesAhead = 0;
        for (PendingMessage other : messages.values()) {
            boolean ahead = other.call != null
                    || other.index >= message.index
                    || other.priorityWeight >= message.priorityWeight;
            if (other == message || other.completed || !ahead) {
                continue;
            }
            totalMicros += serviceMicros(other);
            if (other.destination == message.destination) {
                destinationMicros += serviceMicros(other);
                messagesAhead += other.call == null ? 1 : 0;
            }
        }
        double cap = 0;
        double messagesPerSecond = 0;
        long availableAt = NEVER;
        UpstreamHealth lastCounted = null;
        for (Endpoint endpoint : message.destination.endpoints) {
            if (endpoint.state == EndpointState.READY && endpoint.health != lastCounted) {
                lastCounted = endpoint.health;
                cap += concurrencyCap(now, lastCounted);
                // Paces count calls: what waits behind a limit or a slow start fills them.
                messagesPerSecond += endpoint.messagesPerCall
                        * (lastCounted.breaker == BreakerState.CLOSED
                                ? lastCounted.pacePerSecond
                                : slowStartCallsPerSecond((1 + slowStartProgress(now, lastCounted)) / 2, lastCounted));
                availableAt = Math.min(availableAt, availableAt(now, lastCounted));
            }
        }
        double waitMicros =
                Math.max(totalMicros / settings.limits().maxConcurrentCalls(), destinationMicros / Math.max(1, cap));
        messagesPerSecond = Math.min(messagesPerSecond, message.destination.fleetRateLimit.perSecond());
        if (messagesPerSecond > 0) {
            double pacedMicros = Math.min(
                    messagesAhead / messagesPerSecond * MICROS_PER_SECOND,
                    settings.rules().slowStartMicros());
            waitMicros = Math.max(waitMicros, Math.max(0, availableAt - now) + pacedMicros);
        }
        return (long) waitMicros;
    }

    /** When a scope is expected to take calls: an outage without a told end counts as half over. */
    private static long availableAt(long now, UpstreamHealth health) {
        long holdOffUntil = Math.max(health.retryAfterUntil, health.backoffUntil);
        return health.breaker == BreakerState.OPEN ? Math.max(holdOffUntil, 2 * now - health.openedAt) : holdOffUntil;
    }

    // ---- Choice. ----

    private double serviceMicros(PendingMessage message) {
        return message.destination.serviceMeasured
                ? message.destination.serviceMicros
                : usualLatencyMicros > 0 ? usualLatencyMicros : message.messageClass.latencyObjectiveMicros();
    }

    /** I = (w/p) exp(-max(d - t, 0) / (k p')). */
    private double index(long now, PendingMessage message) {
        double serviceMicros = serviceMicros(message);
        double urgency = Math.exp(-Math.max(message.due - now, 0) / (PRESSURE_SPAN_SERVICE_TIMES * meanServiceMicros));
        return message.priorityWeight
                * remainingValueShare(message, now + serviceMicros)
                * message.destination.successProbability
                / serviceMicros
                * urgency;
    }

    /** Share of the worth that is left at a time. */
    private double remainingValueShare(PendingMessage message, double at) {
        if (at <= message.latencyObjectiveAt) {
            return 1;
        }
        double lateValueShare = message.messageClass.lateValueShare();
        if (settings.lateValueDecay() == LateValueDecay.HALVING) {
            return Math.max(
                    lateValueShare,
                    Math.pow(
                            0.5,
                            Math.ceil((at - message.latencyObjectiveAt)
                                    / message.messageClass.latencyObjectiveMicros())));
        }
        double spanMicros = Math.max(1, message.due - message.latencyObjectiveAt);
        return 1 - (1 - lateValueShare) * Math.min(1, (at - message.latencyObjectiveAt) / spanMicros);
    }

    private void dispatch(long now, Actions actions) {
        List<PendingMessage> ready = new ArrayList<>();
        for (PendingMessage message : messages.values()) {
            if (maySend(now, message) && isKeyReady(now, message)) {
                if (message.notBefore <= now) {
                    ready.add(message);
                } else {
                    requestWakeup(message.notBefore);
                }
            }
        }
        ready.sort(Comparator.comparingDouble((PendingMessage message) -> -message.index));
        updateLeastRisks(now);
        Map<Destination, Call> openCalls = new HashMap<>();
        List<Call> started = new ArrayList<>();
        for (PendingMessage message : ready) {
            Call openCall = openCalls.get(message.destination);
            boolean rateLimitPermits = message.destination.fleetRateLimit.nextMessageAt(now) <= now;
            boolean mayJoin = openCall != null
                    && rateLimitPermits
                    && openCall.messageCount < openCall.endpoint.messagesPerCall
                    && mayRisk(now, message, openCall.endpoint.health)
                    && mayShareTimeout(now, message, openCall)
                    && (message.messageClass.idempotency() == Idempotency.IDEMPOTENT
                            || !isUnproven(openCall.endpoint.health));
            if (mayJoin
                    && retryableAt(message, openCall.endpoint)
                    && endsBeforeShutdown(now, message, openCall.endpoint)) {
                addToCall(now, message, openCall);
                continue;
            }
            if (slotsUsed >= settings.limits().maxConcurrentCalls()) {
                continue;
            }
            Endpoint endpoint = selectEndpoint(now, message);
            if (endpoint != null) {
                Call call = startCall(now, endpoint, actions);
                openCalls.put(message.destination, call);
                started.add(call);
                addToCall(now, message, call);
            }
        }
        started.forEach(call -> send(now, call, actions));
    }

    /** The least that a failed call costs or could cost among the messages for each destination. */
    private void updateLeastRisks(long now) {
        destinations.values().forEach(destination -> destination.leastRisk = Integer.MAX_VALUE);
        for (PendingMessage message : messages.values()) {
            boolean counts = message.call != null || maySend(now, message) && isKeyReady(now, message);
            if (counts) {
                message.destination.leastRisk = Math.min(message.destination.leastRisk, risk(now, message));
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
    private boolean mayRisk(long now, PendingMessage message, UpstreamHealth health) {
        boolean late = message.due - now < RISK_ACCEPTED_DEADLINE_RATIO * message.messageClass.deadlineMicros();
        return risk(now, message) <= message.destination.leastRisk
                || !isUnproven(health) && (health.failureRatio < DOUBTFUL_FAILURE_RATIO || late);
    }

    private int risk(long now, PendingMessage message) {
        return message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                ? 4
                : message.messageClass.idempotency().ordinal() + (isShortOfTime(now, message) ? 2 : 0);
    }

    /** Its time may run out before a slow answer: it would be given up before that is silence. */
    private boolean isShortOfTime(long now, PendingMessage message) {
        return message.due - now
                < Math.max((long) (MIN_SILENCE_DEADLINE_RATIO * longestDeadlineMicros), (long)
                        (AMPLE_TIME_SERVICE_TIMES * serviceMicros(message)));
    }

    /** Nothing is known of a scope, or only that it failed: only safe messages share a call to it. */
    private static boolean isUnproven(UpstreamHealth health) {
        return health.breaker == BreakerState.OPEN || health.usualLatencyMicros == 0;
    }

    private boolean isKeyReady(long now, PendingMessage message) {
        if (message.keyQueue == null || message.keyQueue.messages.peek() != message) {
            return message.keyQueue == null;
        }
        boolean pauseOver = message.keyQueue.exemptFromPause == message || message.keyQueue.pausedUntil <= now;
        requestWakeup(pauseOver ? NEVER : message.keyQueue.pausedUntil);
        return pauseOver;
    }

    private Endpoint selectEndpoint(long now, PendingMessage message) {
        Endpoint best = null;
        double bestCost = Double.POSITIVE_INFINITY;
        long earliestAt = NEVER;
        for (Endpoint endpoint : message.destination.endpoints) {
            boolean usable = endpoint.state == EndpointState.READY
                    && retryableAt(message, endpoint)
                    && mayRisk(now, message, endpoint.health);
            if (!usable || !endsBeforeShutdown(now, message, endpoint)) {
                continue;
            }
            long at = Math.max(nextCallAt(now, endpoint.health), message.destination.fleetRateLimit.nextMessageAt(now));
            if (at > now) {
                earliestAt = Math.min(earliestAt, at);
            } else if (cost(now, message, endpoint) < bestCost) {
                best = endpoint;
                bestCost = cost(now, message, endpoint);
            }
        }
        if (best == null) {
            requestWakeup(earliestAt);
        }
        return best;
    }

    /** Before the process ends, no unsafe attempt starts whose outcome it may not see: that would lose it. */
    private boolean endsBeforeShutdown(long now, PendingMessage message, Endpoint endpoint) {
        return stopsAt == NEVER
                || message.messageClass.idempotency() != Idempotency.NON_IDEMPOTENT
                || now
                                + MIN_TIME_LEFT_LATENCIES
                                        * Math.max(serviceMicros(message), presentLatencyMicros(now, endpoint.health))
                        < stopsAt;
    }

    private double cost(long now, PendingMessage message, Endpoint endpoint) {
        boolean warm = (endpoint.callsInFlight > 0 || now - endpoint.lastUsedAt < maxReusableIdleMicros)
                && endpoint.callsInFlight
                        < endpoint.connections * Math.max(1, settings.limits().callsPerConnection());
        boolean crossZone = settings.prices().crossZone() > 0 && endpoint.zone != settings.zone();
        List<Double> zoneTolls = settings.prices().zoneTolls();
        double zoneToll = endpoint.zone < zoneTolls.size() ? zoneTolls.get(endpoint.zone) : 0;
        return endpoint.callsInFlight
                + (warm ? 0 : FRESH_CONNECTION_COST_CALLS)
                + (crossZone ? CROSS_ZONE_COST_CALLS : 0)
                + (endpoint == message.lastFailedEndpoint ? LAST_FAILED_COST_CALLS : 0)
                + FAILURE_COST_CALLS * (endpoint.failureRatio + endpoint.silentCalls)
                + ZONE_TOLL_COST_CALLS * zoneToll;
    }

    private Call startCall(long now, Endpoint endpoint, Actions actions) {
        Call call = new Call();
        call.endpoint = endpoint;
        call.sentAt = now;
        slotsUsed++;
        if (endpoint.callsInFlight++ == 0) {
            endpoint.idleGapMicros = now - endpoint.lastUsedAt;
            if (!callerReportsIdleTime) {
                closeIdle(endpoint, maxReusableIdleMicros, actions);
            }
            call.connectionIdleMicros = endpoint.connections > 0 ? endpoint.idleGapMicros : 0;
        }
        endpoint.connections = Math.max(
                endpoint.connections,
                1 + (endpoint.callsInFlight - 1) / Math.max(1, settings.limits().callsPerConnection()));
        endpoint.health.callsInFlight.add(call);
        busyUpstreams.add(endpoint.health);
        recordCallStarted(now, endpoint.health, call);
        return call;
    }

    /** A call is given up with the first of its messages: those with time to wait must not fail by that. */
    private boolean mayShareTimeout(long now, PendingMessage message, Call call) {
        return call.shortOfTime == isShortOfTime(now, message);
    }

    private void addToCall(long now, PendingMessage message, Call call) {
        call.shortOfTime |= isShortOfTime(now, message);
        call.messageCount++;
        call.outstanding++;
        call.messages.add(message);
        call.nonIdempotent |= message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        message.destination.fleetRateLimit.consume();
        message.attempts++;
        message.call = call;
    }

    /**
     * All messages of a call are given up together, with its least patient one: their connection is closed
     * then. Left open for the others, a resend of it would be a second copy. Harm: an unsafe one ends
     * with it; waiting for that one instead costs more where calls hang.
     */
    private void send(long now, Call call, Actions actions) {
        long timeoutAt = call.messages.stream()
                .mapToLong(message -> timeoutAt(now, message, call))
                .min()
                .orElse(now);
        call.messages.forEach(message -> actions.send(message.id, call.endpoint.id, timeoutAt));
    }

    /** Unsafe attempts run to the end, as giving one up loses the message. */
    private long timeoutAt(long now, PendingMessage message, Call call) {
        if (message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT
                || message.attempts >= settings.limits().maxAttempts()) {
            return message.due;
        }
        double expectedMicros = Math.max(serviceMicros(message), presentLatencyMicros(now, call.endpoint.health));
        double timeoutMicros =
                Math.max(MIN_TIMEOUT_MICROS, TIMEOUT_LATENCIES * expectedMicros) * (1 << Math.min(message.timeouts, 4));
        return Math.min(
                message.due, now + (long) Math.max(timeoutMicros, MIN_TIMEOUT_TIME_LEFT_RATIO * (message.due - now)));
    }

    /**
     * Shuts connections where this sender's last gap was long: before use, as they may have been dropped;
     * and after it where many calls get none, as those of hundreds of senders fill an endpoint's table.
     * Harm: handshakes where gaps vary widely.
     */
    private void closeIdle(Endpoint endpoint, double maxIdleMicros, Actions actions) {
        if (endpoint.connections > 0 && endpoint.idleGapMicros > maxIdleMicros) {
            endpoint.connections = 0;
            actions.closeIdle(endpoint.id);
        }
    }

    // ---- Guards. ----

    /**
     * Calls lost on connections that had lain idle, more than on fresh ones, show that idle ones are dropped
     * unseen; they are shut before use. It covers firewalls and restarts too. Harm: more handshakes.
     */
    private void recordConnectionResult(Call call, boolean lost, boolean idleTimeReported) {
        double lifeMicros = settings.limits().idleConnectionLifeMicros();
        double loss = lost ? 1 : 0;
        freshLossRatio += call.connectionIdleMicros == 0 ? POOLED_WEIGHT_RATIO * (loss - freshLossRatio) : 0;
        idleLossRatio += call.connectionIdleMicros > 0 ? POOLED_WEIGHT_RATIO * (loss - idleLossRatio) : 0;
        if (!lost && idleTimeReported) {
            // Only what was in use again after nearly so long shows that more can be trusted.
            maxReusableIdleMicros *= call.connectionIdleMicros > maxReusableIdleMicros / 2 ? REPORTED_RAISE_FACTOR : 1;
            maxReusableIdleMicros = Math.min(lifeMicros, maxReusableIdleMicros);
        } else if (!lost) {
            maxReusableIdleMicros =
                    Math.min(lifeMicros, maxReusableIdleMicros + RAISE_PER_SUCCESS_LIFE_RATIO * lifeMicros);
        } else if (call.connectionIdleMicros > 0 && idleLossRatio > freshLossRatio + EXCESS_LOSS_THRESHOLD_RATIO) {
            maxReusableIdleMicros = Math.min(maxReusableIdleMicros, call.connectionIdleMicros / 2.0);
        }
    }

    /** From when a scope's guards let a call out; NEVER if only an outcome can tell. */
    private long nextCallAt(long now, UpstreamHealth health) {
        long permittedAt = Math.max(health.retryAfterUntil, health.backoffUntil);
        if (health.breaker == BreakerState.OPEN) {
            return health.trial != null ? NEVER : Math.max(permittedAt, health.nextTrialAt);
        }
        // What never answered gets a call for each endpoint: after a restart all held would else go at once.
        if (health.callsInFlight.size()
                >= (health.usualLatencyMicros == 0 ? health.endpoints.size() : concurrencyCap(now, health))) {
            return NEVER;
        }
        if (health.breaker == BreakerState.RAMP
                && now - health.slowStartBeganAt >= settings.rules().slowStartMicros()) {
            health.breaker = BreakerState.CLOSED;
        }
        if (health.breaker == BreakerState.RAMP) {
            permittedAt = Math.max(
                    permittedAt,
                    Math.min(
                            health.lastSlowStartCallAt
                                    + (long) (MICROS_PER_SECOND
                                            / slowStartCallsPerSecond(slowStartProgress(now, health), health)),
                            health.slowStartBeganAt + settings.rules().slowStartMicros()));
        }
        if (now - health.lastRejectionAt > PACE_EXPIRY_MICROS && health.reportedLimit == 0) {
            health.pacePerSecond = Double.POSITIVE_INFINITY;
        }
        return Double.isInfinite(health.pacePerSecond)
                ? permittedAt
                : Math.max(
                        permittedAt,
                        health.nextPacedCallAt - (long) ((BURST_CALLS - 1) * MICROS_PER_SECOND / health.pacePerSecond));
    }

    private void recordCallStarted(long now, UpstreamHealth health, Call call) {
        health.sentRate.add(now, 1);
        if (!Double.isInfinite(health.pacePerSecond)) {
            health.nextPacedCallAt =
                    Math.max(health.nextPacedCallAt, now) + (long) (MICROS_PER_SECOND / health.pacePerSecond);
        }
        if (health.breaker == BreakerState.OPEN) {
            health.trial = call;
        } else if (health.breaker == BreakerState.RAMP) {
            health.lastSlowStartCallAt = now;
        }
    }

    /** Latency-scaled cap: all slots at the usual pace, else their share usual over present; at least one. */
    private int concurrencyCap(long now, UpstreamHealth health) {
        int slots = settings.limits().maxConcurrentCalls();
        if (health.usualLatencyMicros == 0) {
            return slots;
        }
        return (int) Math.max(
                1,
                Math.min(
                        slots,
                        slots * NORMAL_LATENCY_RATIO * health.usualLatencyMicros / presentLatencyMicros(now, health)));
    }

    /** Present latency: a call unanswered for longer than it counts as though it were answered now. */
    private static double presentLatencyMicros(long now, UpstreamHealth health) {
        double latencyMicros = health.presentLatencyMicros;
        for (Call call : health.callsInFlight) {
            double ageMicros = now - call.sentAt;
            if (ageMicros > latencyMicros && call.sentAt >= health.lastSuccessAt) {
                latencyMicros += RECENT_CALL_WEIGHT_RATIO * (ageMicros - latencyMicros);
            }
        }
        return latencyMicros;
    }

    private long silenceThresholdMicros(UpstreamHealth health) {
        double latencyMicros = health.usualLatencyMicros > 0
                ? Math.max(health.usualLatencyMicros, health.presentLatencyMicros)
                : usualLatencyMicros;
        return Math.max((long) (MIN_SILENCE_DEADLINE_RATIO * longestDeadlineMicros), (long)
                (SILENT_AFTER_LATENCIES * latencyMicros));
    }

    /**
     * Silence opens the breaker before anything times out; one slow call among answered ones does not, but
     * it is silent all the same: what its endpoint has answered since does not bring its answer.
     */
    private void detectSilentCalls(long now, UpstreamHealth health) {
        health.endpoints.forEach(endpoint -> endpoint.silentCalls = 0);
        for (Call call : health.callsInFlight) {
            long silentAt = call.sentAt + silenceThresholdMicros(health);
            if (silentAt > now) {
                requestWakeup(silentAt);
                continue;
            }
            call.endpoint.silentCalls += call.sentAt >= call.endpoint.lastSuccessAt ? 1 : 0;
            if (!call.silent) {
                call.silent = true;
                recordConnectionResult(call, true, false);
            }
        }
        if (!health.callsInFlight.isEmpty() && health.breaker != BreakerState.OPEN && hasFailed(now, health)) {
            openBreaker(now, health);
        }
    }

    /**
     * Silent calls give their slots back: repeatable ones once their scope is silent; with all slots busy and
     * messages waiting any of them, unsafe ones later. Those are lost by it, but with few slots two such
     * stop a sender. It covers hangs and dropped connections. Harm: very slow answers are lost.
     */
    private void cancelSilentCalls(long now, Actions actions) {
        int slots = settings.limits().maxConcurrentCalls();
        long silentCalls = busyUpstreams.stream()
                .flatMap(health -> health.callsInFlight.stream())
                .filter(call -> call.silent)
                .count();
        boolean slotsNeeded = slotsUsed >= slots
                && silentCalls >= MAX_SILENT_SLOTS_RATIO * slots
                && messages.values().stream().anyMatch(message -> message.call == null && message.notBefore <= now);
        for (PendingMessage message : messages.values()) {
            if (message.call != null
                    && message.call.silent
                    && !message.cancelling
                    && settings.limits().cancellationAllowed()) {
                Call call = message.call;
                UpstreamHealth health = call.endpoint.health;
                boolean shouldCancel = slotsNeeded
                                && now - call.sentAt
                                        > (call.nonIdempotent ? NON_IDEMPOTENT_SILENCE_FACTOR : 1)
                                                * silenceThresholdMicros(health)
                        || !call.nonIdempotent && health.breaker == BreakerState.OPEN;
                if (shouldCancel || call.cancelling) {
                    message.cancelling = true;
                    call.cancelling = true;
                    slotsNeeded = false;
                    actions.cancel(message.id, message.attempts - 1);
                }
            }
        }
    }

    /**
     * A scope has failed when each of its listed endpoints has, in so many calls together: one sick endpoint
     * is passed over while its siblings answer. Where no answer is recent one will do, as the second would
     * come after the outage. Harm: with many endpoints an outage is seen later; false alarms.
     */
    private boolean hasFailed(long now, UpstreamHealth health) {
        int failures = 0;
        for (Endpoint endpoint : health.endpoints) {
            int endpointFailures = endpoint.consecutiveFailures + endpoint.silentCalls;
            if (endpointFailures == 0 && endpoint.state == EndpointState.READY) {
                return false;
            }
            failures += endpointFailures;
        }
        return failures >= FAILURES_TO_OPEN
                || failures > 0 && now - health.lastSuccessAt > STALE_SUCCESS_DEADLINE_RATIO * longestDeadlineMicros;
    }

    private void updateUpstream(long now, PendingMessage message, Call call, Event.AttemptCompleted event) {
        UpstreamHealth health = call.endpoint.health;
        boolean wasTrial = health.trial == call;
        if (wasTrial) {
            health.trial = null;
        }
        boolean idleTimeReported = event.connectionIdleMicros() >= 0;
        callerReportsIdleTime |= idleTimeReported;
        if (idleTimeReported) {
            call.connectionIdleMicros = event.connectionIdleMicros();
        }
        if (!call.silent) {
            recordConnectionResult(
                    call,
                    event.outcome() == AttemptOutcome.RESET || event.outcome() == AttemptOutcome.TIMEOUT,
                    idleTimeReported);
        }
        unconnectedRatio += POOLED_WEIGHT_RATIO
                * ((event.outcome() == AttemptOutcome.CONNECT_FAILED
                                        || event.connectionLimitReached(settings.reportFields())
                                ? 1
                                : 0)
                        - unconnectedRatio);
        message.destination.successProbability += RECENT_CALL_WEIGHT_RATIO
                * ((event.outcome() == AttemptOutcome.OK ? 1 : 0) - message.destination.successProbability);
        if (!OUTCOMES_NOT_RUN.contains(event.outcome())) {
            health.failureRatio +=
                    RECENT_CALL_WEIGHT_RATIO * ((event.outcome() == AttemptOutcome.OK ? 0 : 1) - health.failureRatio);
        }
        switch (event.outcome()) {
            case OK -> onSuccess(now, call, event);
            case FULL -> onRejection(now, message, call, event, wasTrial);
            case MOOT -> {}
            case CANCELLED -> {
                if (call.silent && call.sentAt >= call.endpoint.lastSuccessAt) {
                    onFailure(now, call, event.outcome(), wasTrial);
                }
            }
            case TIMEOUT -> {
                // A trial given up early for its message's sake shows slowness at most: another is due.
                message.destination.serviceMicros += RECENT_CALL_WEIGHT_RATIO
                        * Math.max(0, event.durationMicros() - message.destination.serviceMicros);
                health.presentLatencyMicros +=
                        RECENT_CALL_WEIGHT_RATIO * Math.max(0, event.durationMicros() - health.presentLatencyMicros);
                if (!wasTrial || now - call.sentAt >= silenceThresholdMicros(health)) {
                    onFailure(now, call, event.outcome(), wasTrial);
                }
            }
            default -> {
                // A kept connection that is reset tells of itself; a sick endpoint shows on a fresh one.
                if (event.outcome() != AttemptOutcome.RESET
                        || !idleTimeReported
                        || event.connectionIdleMicros() == 0
                        || wasTrial) {
                    onFailure(now, call, event.outcome(), wasTrial);
                }
            }
        }
    }

    private void onSuccess(long now, Call call, Event.AttemptCompleted event) {
        UpstreamHealth health = call.endpoint.health;
        Destination destination = call.endpoint.destination;
        double latencyMicros = Math.max(1, event.durationMicros());
        usualLatencyMicros = usualLatencyMicros == 0
                ? latencyMicros
                : usualLatencyMicros + POOLED_WEIGHT_RATIO * (latencyMicros - usualLatencyMicros);
        destination.serviceMicros = destination.serviceMeasured
                ? destination.serviceMicros + RECENT_CALL_WEIGHT_RATIO * (latencyMicros - destination.serviceMicros)
                : latencyMicros;
        destination.serviceMeasured = true;
        health.presentLatencyMicros = health.usualLatencyMicros == 0
                ? latencyMicros
                : health.presentLatencyMicros
                        + RECENT_CALL_WEIGHT_RATIO * (latencyMicros - health.presentLatencyMicros);
        if (health.usualLatencyMicros == 0) {
            health.usualLatencyMicros = latencyMicros;
        } else if (health.presentLatencyMicros < NORMAL_LATENCY_RATIO * health.usualLatencyMicros) {
            health.usualLatencyMicros += USUAL_WEIGHT_RATIO * (latencyMicros - health.usualLatencyMicros);
        }
        call.endpoint.failureRatio *= 1 - RECENT_CALL_WEIGHT_RATIO;
        call.endpoint.consecutiveFailures = 0;
        call.endpoint.lastSuccessAt = now;
        health.rejections /= 2;
        boolean falseAlarm = now - health.lastSuccessAt < MIN_OUTAGE_MICROS;
        health.lastSuccessAt = now;
        health.failedTrials = 0;
        if (health.breaker == BreakerState.OPEN) {
            health.breaker = falseAlarm ? BreakerState.CLOSED : BreakerState.RAMP;
            changedUpstreams.add(health);
            health.slowStartBeganAt = now;
            health.lastSlowStartCallAt = now;
        }
        applyLoadReport(now, health, event.loadReport());
        if (!Double.isInfinite(health.pacePerSecond) && !(health.reportedAllowanceLeft < AMPLE_ALLOWANCE_RATIO)) {
            double fairShareSinceRaise = health.reportedLimit
                    / settings.senderCount()
                    * Math.min(1, (now - health.lastPaceRaiseAt) / MICROS_PER_SECOND);
            health.pacePerSecond += health.reportedLimit > 0
                    ? FAIR_SHARES_GAINED_PER_SECOND * fairShareSinceRaise
                    : RAISE_PER_SUCCESS_RATIO * health.pacePerSecond;
            health.lastPaceRaiseAt = now;
        }
    }

    /** A reported allowance that runs low cuts the pace before refusals do. */
    private void applyLoadReport(long now, UpstreamHealth health, List<Double> report) {
        ReportFields fields = settings.reportFields();
        if (Math.max(fields.allowanceLeft(), fields.limit()) >= report.size()
                || fields.allowanceLeft() < 0
                || fields.limit() < 0
                || !(report.get(fields.limit()) >= MIN_FLEET_PACE_PER_SECOND)) {
            return;
        }
        double maxLimit = MAX_REPORTED_LIMIT_RATIO
                * Math.max(MIN_FLEET_PACE_PER_SECOND, settings.senderCount() * health.sentRate.perSecond(now));
        health.reportedLimit = Math.min(report.get(fields.limit()), maxLimit);
        health.reportedAllowanceLeft = report.get(fields.allowanceLeft());
        if (Double.isInfinite(health.pacePerSecond)) {
            health.pacePerSecond = INITIAL_FAIR_SHARES * health.reportedLimit / settings.senderCount();
        } else if (health.reportedAllowanceLeft < LOW_ALLOWANCE_RATIO
                && now - health.lastPaceCutAt > MICROS_PER_SECOND) {
            cutPace(now, health);
        }
    }

    private void onFailure(long now, Call call, AttemptOutcome outcome, boolean wasTrial) {
        UpstreamHealth health = call.endpoint.health;
        call.endpoint.failureRatio += RECENT_CALL_WEIGHT_RATIO * (1 - call.endpoint.failureRatio);
        if (outcome == AttemptOutcome.CONNECT_FAILED) {
            call.endpoint.connections = 0;
        }
        call.endpoint.consecutiveFailures++;
        if (wasTrial || health.breaker != BreakerState.OPEN && hasFailed(now, health)) {
            openBreaker(now, health);
        }
    }

    private void onRejection(
            long now, PendingMessage message, Call call, Event.AttemptCompleted event, boolean wasTrial) {
        long retryAfterMicros = event.retryAfterMicros();
        UpstreamHealth health = call.endpoint.health;
        boolean sentAfterLastRejection = call.sentAt >= health.lastRejectionAt;
        health.rejections += sentAfterLastRejection ? 1 : 0;
        health.lastRejectionAt = now;
        if (sentAfterLastRejection || retryAfterMicros > 0) {
            long backoffMicros = backoffMicros(
                    event.connectionLimitReached(settings.reportFields()) ? 0 : senderSpacingMicros(health),
                    retryAfterMicros > 0 ? 0 : BASE_BACKOFF_MICROS,
                    message.messageClass.deadlineMicros(),
                    health.rejections);
            health.backoffUntil = Math.max(health.backoffUntil, now + retryAfterMicros + backoffMicros);
        }
        if (wasTrial || retryAfterMicros > MIN_OUTAGE_MICROS && health.breaker != BreakerState.OPEN) {
            openBreaker(now, health);
        } else if (call.sentAt >= health.lastPaceCutAt && !event.connectionLimitReached(settings.reportFields())) {
            cutPace(now, health);
        }
    }

    /** A turn among all senders, or half of the class's time up to all of it; doubled with each try. */
    private static long senderSpacingMicros(UpstreamHealth health) {
        return (long) Math.min(SENDER_SPACING_MICROS, SENDER_SPACING_CALLS * 1e6 / health.reportedLimit);
    }

    private long backoffMicros(long senderSpacingMicros, long baseMicros, long maxInitialMicros, int attempts) {
        long initialMicros =
                Math.min(jitter(baseMicros + senderSpacingMicros * settings.senderCount()), jitter(maxInitialMicros));
        return initialMicros << Math.min(attempts - 1, MAX_DOUBLINGS);
    }

    private void cutPace(long now, UpstreamHealth health) {
        double servedPerSecond = health.servedRate.perSecond(now);
        double usedPerSecond =
                Math.min(health.pacePerSecond, Math.max(servedPerSecond, health.sentRate.perSecond(now)));
        double minPerSecond =
                Math.max(MIN_FLEET_PACE_PER_SECOND, MIN_FAIR_SHARES * health.reportedLimit) / settings.senderCount();
        health.pacePerSecond = Math.max(Math.max(minPerSecond, CUT_RATIO * servedPerSecond), CUT_RATIO * usedPerSecond);
        health.lastPaceCutAt = now;
        health.lastRejectionAt = Math.max(health.lastRejectionAt, now);
    }

    private void openBreaker(long now, UpstreamHealth health) {
        if (health.breaker == BreakerState.CLOSED) {
            health.callsPerSecondBeforeOutage = health.servedRate.perSecondAtLastEvent();
        }
        if (health.breaker != BreakerState.OPEN) {
            health.openedAt = now;
            changedUpstreams.add(health);
            health.trial = null;
            health.failedTrials = 0;
        }
        health.breaker = BreakerState.OPEN;
        long intervalMicros = backoffMicros(
                SENDER_SPACING_MICROS, BASE_BACKOFF_MICROS, longestDeadlineMicros, 1 + ++health.failedTrials);
        intervalMicros =
                Math.min(intervalMicros, jitter((long) (1.5 * MICROS_PER_SECOND / slowStartCallsPerSecond(0, health))));
        health.nextTrialAt = now + Math.min(MAX_TRIAL_INTERVAL_MICROS * settings.senderCount(), intervalMicros);
    }

    private double slowStartProgress(long now, UpstreamHealth health) {
        double durationMicros = settings.rules().slowStartMicros() + 1;
        return health.breaker == BreakerState.OPEN ? 0 : Math.min(1, (now - health.slowStartBeganAt) / durationMicros);
    }

    /** Messages a second that a slow start lets out: own former pace times what the rule allows. */
    private double slowStartCallsPerSecond(double progress, UpstreamHealth health) {
        Rules rules = settings.rules();
        double capacityRatio = rules.slowStartCapacity() + (1 - rules.slowStartCapacity()) * progress;
        double reportedPacePerSecond =
                Math.max(MIN_FLEET_PACE_PER_SECOND, 0.75 * health.reportedLimit) / settings.senderCount();
        return PERMITTED_OVERLOAD_RATIO
                * rules.overloadMultiple()
                * capacityRatio
                * Math.max(health.callsPerSecondBeforeOutage, reportedPacePerSecond);
    }

    /** Between half of a pause and all of it. */
    private long jitter(long micros) {
        return micros / 2 + random.nextLong(Math.max(1, micros / 2));
    }

    // ---- Timer. ----

    private void requestWakeup(long at) {
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
