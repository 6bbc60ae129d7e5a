package amberroute.decisions.reference;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
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
 * Frozen reference implementation of {@link DeliveryScheduler}, which visits every message in each decision.
 *
 * <p>Waiting messages are sent in the order of the ATC index of Ye et al.; an arrival that is predicted to wait until after its
 * due date is rejected at once. Limits and breakers exclude upstreams from the selection and never reorder messages. Sections
 * follow the order of one step. Health and limits belong to a destination, or to an endpoint if the endpoints of its kind are
 * independent.
 */
public final class ReferenceScheduler implements DeliveryScheduler {

    // ---- Constants. ----

    /** k of the index: how many mean service times before its due date a message becomes urgent. */
    private static final double LOOKAHEAD_SERVICE_TIMES = 25;
    /** Weight of a new latency in the service time and in the present latency: about the last seven calls count. */
    private static final double RECENT_CALL_WEIGHT_RATIO = 0.15;
    /** Weight of a new latency in the usual one; small, so that a fault of tens of calls changes it little. */
    private static final double USUAL_WEIGHT_RATIO = 0.02;
    /** A present latency up to this multiple of the usual one is ordinary variation, not slowness. */
    private static final double NORMAL_LATENCY_RATIO = 2;
    /** Time constant with which a service time decays to the usual latency while no call is in flight. */
    private static final double DECAY_TIME_CONSTANT_MICROS = 1_000_000;
    /** Share of the maximum number of pending messages above which messages are shed, so that arrivals can still compete. */
    private static final double SHED_ABOVE_CAPACITY_RATIO = 0.9;
    /** A waiting message gets its final answer at least this long before its deadline, as decisions and timers take time. */
    private static final long ANSWER_MARGIN_MICROS = 40_000;
    /**
     * Timeout of an attempt that may be repeated, in expected latencies, doubled with each timeout. It is at least the minimum,
     * as a call may include connecting, and at least a share of the time left.
     */
    private static final double TIMEOUT_LATENCIES = 8;

    private static final long MIN_TIMEOUT_MICROS = 2_000_000;
    private static final double MIN_TIMEOUT_TIME_LEFT_RATIO = 0.25;
    /**
     * Time after which a call is silent, in usual latencies; at least a share of the longest deadline, as a call may include
     * connecting. A fixed time would block all slots if deadlines are short. Cost: slow connecting may count as silence.
     */
    private static final double SILENT_AFTER_LATENCIES = 6;

    private static final double MIN_SILENCE_DEADLINE_RATIO = 1 / 16.0;
    /** A message with fewer service times left may reach its deadline before a slow answer arrives. */
    private static final double AMPLE_TIME_SERVICE_TIMES = 3;
    /** Share of the slots that silent calls may occupy while messages wait, and a factor on the time of non-idempotent calls. */
    private static final double MAX_SILENT_SLOTS_RATIO = 0.2;

    private static final double NON_IDEMPOTENT_SILENCE_FACTOR = 2.5;
    /** Time before the end of a key's life from which the key counts as forgotten, as a retry takes time to arrive. */
    private static final long KEY_LIFE_MARGIN_MICROS = 300_000;
    /** Consecutive failures that open the breaker; a single one may be coincidence. */
    private static final int FAILURES_TO_OPEN = 2;
    /** Shortest outage. Successes closer together count as uninterrupted service; a longer Retry-After counts as an outage. */
    private static final long MIN_OUTAGE_MICROS = 2_500_000;

    /** Backoff after a rejection: a part for each sender, and a base if there was no Retry-After. */
    private static final long SENDER_SPACING_MICROS = 80_000;

    private static final double SENDER_SPACING_CALLS = 3.2;
    private static final long BASE_BACKOFF_MICROS = 240_000;
    /** Share of failures among recent calls from which it is doubtful that calls succeed: two consecutive failures. */
    private static final double DOUBTFUL_FAILURE_RATIO = 0.25;
    /** Remaining share of its deadline below which a message is sent to a doubtful destination. */
    private static final double RISK_ACCEPTED_DEADLINE_RATIO = 0.25;
    /** Age, as a share of the longest deadline, above which a success is no evidence that a destination is healthy. */
    private static final double STALE_SUCCESS_DEADLINE_RATIO = 0.5;
    /** AIMD: a rejection cuts the pace to this share of the used one; each success adds a share. */
    private static final double CUT_RATIO = 0.8;

    private static final double INITIAL_FAIR_SHARES = 1.2;
    private static final double MIN_FAIR_SHARES = 0.85;
    private static final double FAIR_SHARES_GAINED_PER_SECOND = 0.25;
    private static final double AMPLE_ALLOWANCE_RATIO = 0.5;
    /** Upper bound of a reported limit, as a multiple of the fleet's rate if each sender sends as much as this one. */
    private static final double MAX_REPORTED_LIMIT_RATIO = 8;

    private static final double RAISE_PER_SUCCESS_RATIO = 0.05;
    /** Minimum pace of all senders together, so that they notice when a limit is lifted. */
    private static final double MIN_FLEET_PACE_PER_SECOND = 1.2;
    /** Calls that may be sent at once under a pace. */
    private static final double BURST_CALLS = 2;
    /** Time without a rejection after which a pace expires. */
    private static final long PACE_EXPIRY_MICROS = 6_000_000;
    /** Remaining share of the allowance below which the pace is cut before calls are rejected. */
    private static final double LOW_ALLOWANCE_RATIO = 0.1;
    /** Share of the permitted overload that a slow start uses; other senders may send more than their fair share. */
    private static final double PERMITTED_OVERLOAD_RATIO = 0.9;
    /** Time constants of the average rates of sent and of successful calls. */
    private static final double SENT_RATE_TIME_CONSTANT_MICROS = 2_000_000;

    private static final double SERVED_RATE_TIME_CONSTANT_MICROS = 8_000_000;
    /** Weight of a call in ratios over all destinations: about the last thirty calls count. */
    private static final double POOLED_WEIGHT_RATIO = 0.03;
    /** Excess of the loss ratio on idle connections over that on fresh ones above which the idle limit is reduced. */
    private static final double EXCESS_LOSS_THRESHOLD_RATIO = 0.1;
    /** Share of the idle connection life by which each answered call raises the idle limit. */
    private static final double RAISE_PER_SUCCESS_LIFE_RATIO = 0.002;
    /** Factor by which an answered call raises the idle limit if the caller reports the idle time of each connection. */
    private static final double REPORTED_RAISE_FACTOR = 1.03;
    /** Share of calls without a connection above which the connection tables of endpoints are assumed to be full. */
    private static final double CONNECTION_TABLES_FULL_RATIO = 0.01;
    /** Share of the idle limit that is used when connection tables begin to be full. */
    private static final double CONNECTION_TABLES_FULL_IDLE_RATIO = 0.5;
    /**
     * Costs of an endpoint in calls in flight: fresh connection, other zone, failures, zone toll, and having failed the message
     * last. Endpoints of equal cost are selected in a random order.
     */
    private static final double FRESH_CONNECTION_COST_CALLS = 0.6;

    private static final double CROSS_ZONE_COST_CALLS = 0.8;
    private static final double FAILURE_COST_CALLS = 4;
    private static final double ZONE_TOLL_COST_CALLS = 20;
    private static final double LAST_FAILED_COST_CALLS = 2;
    /** Seconds of its quota that a tenant may use in one burst. */
    private static final double TENANT_BURST_SECONDS = 2;
    /** Initial delay before a failed subscription is renewed. */
    private static final long RESUBSCRIBE_DELAY_MICROS = 300_000;

    /** Time that a non-idempotent call needs before the end of the process, in expected latencies. */
    private static final double MIN_TIME_LEFT_LATENCIES = 3;
    /** Number of destinations above which unused ones are removed. */
    private static final int DESTINATIONS_BEFORE_EVICTION = 1_024;

    /** Maximum number of doublings of a backoff. */
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
    /** Upstreams with calls in flight: a step visits these, however long the endpoint list is. */
    private final Set<UpstreamHealth> busyUpstreams = new LinkedHashSet<>();
    /** Upstreams whose breaker has changed since the last step. */
    private final Set<UpstreamHealth> changedUpstreams = new LinkedHashSet<>();

    private final Map<Long, KeyQueue> keyQueues = new HashMap<>();
    /** Answered messages whose key waits for the acknowledgement of the answer. */
    private final Map<Long, PendingMessage> unacknowledged = new HashMap<>();

    private final Deque<KeyQueue> emptyQueues = new ArrayDeque<>();
    private final List<TokenBucket> tenantQuotas = new ArrayList<>();
    private long longestDeadlineMicros;
    private int slotsUsed;
    private long subscribeAt;
    private int subscriptionFailures;
    private double meanServiceMicros;
    /** Usual latency over all destinations, assumed for an upstream that has not answered yet. */
    private double usualLatencyMicros;

    private double unconnectedRatio;
    /** For how long an idle connection may be reused. */
    private double maxReusableIdleMicros;

    private double announcedMaxIdleMicros;
    /** Whether the caller knows the idle time of each connection and applies the limit itself. */
    private boolean callerReportsIdleTime;

    private double freshLossRatio;
    private double idleLossRatio;
    private long stopsAt = NEVER;
    private long wakeAt = NEVER;
    private long timerAt = NEVER;

    /** Creates a scheduler and checks its settings. Final answers need no acknowledgement. */
    public ReferenceScheduler(Settings settings) {
        this(settings, false);
    }

    /** Creates a scheduler; if {@code acknowledgements}, the caller passes {@link Event.CompletionAcknowledged} for each answer. */
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
            long sinceMicros = restored.checkpoint().sinceMicros() + restored.ageMicros();
            scheduleTrialOfRestored(now, restoreCheckpoint(now, restored.checkpoint(), sinceMicros));
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
        if (destinations.size() > DESTINATIONS_BEFORE_EVICTION) {
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

    /** The message was admitted by an earlier process; an attempt in flight when that process ended may still run. */
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
     * Resumes an outage or a slow start that an earlier process has seen. Otherwise the first answer of a destination in slow
     * start would release all pending messages. This covers crashes and planned restarts. Cost: a destination that has recovered
     * in the meantime gets a single call first.
     */
    private UpstreamHealth restoreCheckpoint(long now, HealthCheckpoint checkpoint, long ageMicros) {
        Endpoint endpoint = endpoints.get(checkpoint.endpoint());
        if (checkpoint.endpoint() != 0 && endpoint == null || checkpoint.status() == UpstreamStatus.HEALTHY) {
            return null;
        }
        Destination destination = destination(checkpoint.destination());
        UpstreamHealth health = endpoint == null ? destination.sharedHealth : endpoint.health;
        health.usualLatencyMicros = checkpoint.usualLatencyMicros();
        health.presentLatencyMicros = checkpoint.usualLatencyMicros();
        health.servedPerSecondBeforeOutage = checkpoint.callsPerSecond();
        if (checkpoint.usualLatencyMicros() > 0) {
            destination.serviceMicros = checkpoint.usualLatencyMicros();
            destination.serviceMeasured = true;
        }
        boolean unavailable = checkpoint.status() != UpstreamStatus.SLOW_START;
        health.breaker = unavailable ? BreakerState.OPEN : BreakerState.RAMP;
        health.openedAt = now - ageMicros;
        health.openedInSlowStart = unavailable;
        health.slowStartBeganAt = now - ageMicros;
        health.lastSlowStartCallAt = now;
        health.failureRatio = unavailable ? 1 : 0;
        return health;
    }

    private void scheduleTrialOfRestored(long now, UpstreamHealth health) {
        if (health != null) {
            health.nextTrialAt = Math.max(now, health.retryAfterUntil) + random.nextLong(trialSpreadMicros(health));
        }
    }

    /** Saves checkpoints of upstreams whose breaker has changed. What has to survive the process changes only then. */
    private void saveCheckpoints(long now, Actions actions) {
        changedUpstreams.forEach(health -> actions.saveCheckpoint(checkpoint(now, health)));
        changedUpstreams.clear();
    }

    private static HealthCheckpoint checkpoint(long now, UpstreamHealth health) {
        UpstreamStatus status =
                switch (health.breaker) {
                    case OPEN -> UpstreamStatus.UNAVAILABLE;
                    case RAMP -> UpstreamStatus.SLOW_START;
                    case CLOSED -> health.suspectedSince == NEVER ? UpstreamStatus.HEALTHY : UpstreamStatus.SUSPECTED;
                };
        long sinceMicros = now
                - switch (status) {
                    case UNAVAILABLE -> health.openedAt;
                    case SUSPECTED -> health.suspectedSince;
                    case SLOW_START, HEALTHY -> health.slowStartBeganAt;
                };
        return new HealthCheckpoint(
                health.destinationId,
                health.endpointId,
                status,
                sinceMicros,
                status == UpstreamStatus.SUSPECTED
                        ? health.servedRate.perSecondAtLastEvent()
                        : health.servedPerSecondBeforeOutage,
                health.usualLatencyMicros);
    }

    // ---- Takeover from a process that is still running. ----

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
        UpstreamHealth restored = restoreCheckpoint(
                now, snapshot.checkpoint(), snapshot.checkpoint().sinceMicros());
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
        health.servedPerSecondBeforeOutage = snapshot.checkpoint().callsPerSecond();
        health.retryAfterUntil = now + snapshot.retryAfterMicros();
        health.backoffUntil = now + snapshot.backoffMicros();
        health.pacePerSecond = snapshot.pacePerSecond();
        health.lastRejectionAt = now - snapshot.sinceRejectionMicros();
        health.lastSuccessAt = now - snapshot.sinceSuccessMicros();
        health.sentRate.add(now, snapshot.sentPerSecond() * SENT_RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND);
        health.servedRate.add(now, snapshot.servedPerSecond() * SERVED_RATE_TIME_CONSTANT_MICROS / MICROS_PER_SECOND);
        health.reportedLimit = snapshot.reportedLimit();
        health.failureRatio = snapshot.failureRatio();
        scheduleTrialOfRestored(now, restored);
    }

    /** If another sender has seen the destination answer, a trial is due now; the own one may be many seconds away. */
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

    /** A sender sees only its own part of the traffic of a tenant, and applies a fair share of the quota to it. */
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
            message.backoffUntil = now
                    + backoffMicros(
                            connectionLimitReached(health, event) ? 0 : senderSpacingMicros(health),
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
            health.servedRate.add(now, event.outcome() == AttemptOutcome.OK ? 1 : 0);
        }
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
            long retryMicros = RESUBSCRIBE_DELAY_MICROS << Math.min(subscriptionFailures++, 6);
            subscribeAt = now + jitter(Math.min(retryMicros, settings.rules().discoveryDeadlineMicros() / 4));
            return;
        }
        subscriptionFailures = event.kind() == EndpointListKind.CACHED ? subscriptionFailures : 0;
        List<Endpoint> affected =
                new ArrayList<>(event.kind() == EndpointListKind.DELTA ? List.of() : endpoints.values());
        // Service times decay up to the change of the list by the endpoints that were listed until then
        // (docs/decisions.md, "What differs").
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
            // Without listed weights, a reported limit must be kept when the list changes.
            endpoint.health.reportedLimit = entry.weight();
        }
        return endpoint;
    }

    // ---- Conditions of each attempt and of each final answer. ----

    private boolean maySend(long now, PendingMessage message) {
        return !message.completed
                && message.call == null
                && message.attempts < settings.limits().maxAttempts()
                && now < message.due
                && now < retryableUntil(message);
    }

    /** Returns until when the class permits the message to be retried. */
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

    /** Gives the final answer: a rejection if that is safe, as the client may then submit the message again. */
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

    // ---- Expiry and admission. ----

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
        // The retry advice of messages that expire now counts the messages ahead by their present index, not by that
        // of the last decision (docs/decisions.md, "What differs").
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
     * Applies the decay of a service time to the usual latency while no call is in flight. Otherwise, with all slots in use, the
     * messages of a destination that was slow might rank below all others forever after a few timeouts, and messages with short
     * deadlines would be rejected. This covers slowness, hangs and lost calls. Cost: one call to a destination that is still slow.
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

    /** Tests the arrivals; the predicted wait is tested only while more messages are waiting than there are slots. */
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
     * Returns the larger of the work ahead divided by the slots and the work ahead for the destination divided by its concurrency
     * cap. A message is ahead if it has the higher index now, or no less priority weight, as it will then get the higher index.
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
                // A pace counts calls, and messages that wait for a limit or a slow start fill the calls.
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

    /** Returns when an upstream is expected to take calls; an outage is expected to last as long again as it has lasted. */
    private static long availableAt(long now, UpstreamHealth health) {
        long holdOffUntil = Math.max(health.retryAfterUntil, health.backoffUntil);
        return health.breaker == BreakerState.OPEN ? Math.max(holdOffUntil, 2 * now - health.openedAt) : holdOffUntil;
    }

    // ---- Dispatch. ----

    private double serviceMicros(PendingMessage message) {
        return message.destination.serviceMeasured
                ? message.destination.serviceMicros
                : usualLatencyMicros > 0 ? usualLatencyMicros : message.messageClass.latencyObjectiveMicros();
    }

    /** Returns I = (w/p) exp(-max(d - t, 0) / (k p')). */
    private double index(long now, PendingMessage message) {
        double serviceMicros = serviceMicros(message);
        double urgency = Math.exp(-Math.max(message.due - now, 0) / (LOOKAHEAD_SERVICE_TIMES * meanServiceMicros));
        return message.priorityWeight
                * remainingValueShare(message, now + serviceMicros)
                * message.destination.successProbability
                / serviceMicros
                * urgency;
    }

    /** Returns the share of the priority weight that is left at a time. */
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
                if (message.backoffUntil <= now) {
                    ready.add(message);
                } else {
                    requestWakeup(message.backoffUntil);
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

    /** Computes for each destination the least risk among its messages that are in flight or may be sent. */
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
     * While it is doubtful whether calls to an upstream succeed, only the messages with the least cost of a failure are sent: an
     * idempotent one is just retried, a keyed one uses up the life of its key, a non-idempotent one is lost. Messages with time to
     * wait for a slow answer come first, as an early timeout proves nothing. This covers trials in any outage, partial failures,
     * slow starts and what a new process finds. Cost: if most calls keep failing, non-idempotent messages wait for the last part
     * of their time.
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

    /** Returns whether the message may reach its deadline before a slow answer, so that its call times out before it is silent. */
    private boolean isShortOfTime(long now, PendingMessage message) {
        return message.due - now
                < Math.max((long) (MIN_SILENCE_DEADLINE_RATIO * longestDeadlineMicros), (long)
                        (AMPLE_TIME_SERVICE_TIMES * serviceMicros(message)));
    }

    /** Returns whether the upstream has not succeeded yet or its breaker is open; only idempotent messages share a call to it. */
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

    /** Holds back non-idempotent attempts whose outcome may arrive after the end of the process, as that would lose the message. */
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
                        < endpoint.openConnections
                                * Math.max(1, settings.limits().callsPerConnection());
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
            call.connectionIdleMicros = endpoint.openConnections > 0 ? endpoint.idleGapMicros : 0;
        }
        endpoint.openConnections = Math.max(
                endpoint.openConnections,
                1 + (endpoint.callsInFlight - 1) / Math.max(1, settings.limits().callsPerConnection()));
        endpoint.health.callsInFlight.add(call);
        busyUpstreams.add(endpoint.health);
        recordCallStarted(now, endpoint.health, call);
        return call;
    }

    /** A call times out with the first of its messages, so messages with and without ample time do not share one. */
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
     * All messages of a call time out with the first of them, as the connection is closed then. If the connection stayed open for
     * the others, a retry of the first message would be a duplicate. Cost: a non-idempotent message of the call is lost with it.
     * To wait for that message instead would cost more if calls hang.
     */
    private void send(long now, Call call, Actions actions) {
        long timeoutAt = call.messages.stream()
                .mapToLong(message -> timeoutAt(now, message, call))
                .min()
                .orElse(now);
        call.messages.forEach(message -> actions.send(message.id, call.endpoint.id, timeoutAt));
    }

    /** Non-idempotent attempts run until the deadline, as a timeout loses the message. */
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
     * Closes connections that were idle for long: before use, as they may have been dropped, and after use if many calls get no
     * connection, as those of hundreds of senders fill the connection table of an endpoint. Cost: more handshakes if idle times
     * vary widely.
     */
    private void closeIdle(Endpoint endpoint, double maxIdleMicros, Actions actions) {
        if (endpoint.openConnections > 0 && endpoint.idleGapMicros > maxIdleMicros) {
            endpoint.openConnections = 0;
            actions.closeIdle(endpoint.id);
        }
    }

    // ---- Limits, breakers and connections. ----

    /**
     * If more calls are lost on reused connections than on fresh ones, then firewalls or restarts drop idle connections without
     * notice, and those are closed before use. Cost: more handshakes.
     */
    private void recordConnectionResult(Call call, boolean lost, boolean idleTimeReported) {
        double lifeMicros = settings.limits().idleConnectionLifeMicros();
        double loss = lost ? 1 : 0;
        freshLossRatio += call.connectionIdleMicros == 0 ? POOLED_WEIGHT_RATIO * (loss - freshLossRatio) : 0;
        idleLossRatio += call.connectionIdleMicros > 0 ? POOLED_WEIGHT_RATIO * (loss - idleLossRatio) : 0;
        if (!lost && idleTimeReported) {
            // Only a connection that was idle for at least half of the limit is evidence that the limit may be higher.
            maxReusableIdleMicros *= call.connectionIdleMicros > maxReusableIdleMicros / 2 ? REPORTED_RAISE_FACTOR : 1;
            maxReusableIdleMicros = Math.min(lifeMicros, maxReusableIdleMicros);
        } else if (!lost) {
            maxReusableIdleMicros =
                    Math.min(lifeMicros, maxReusableIdleMicros + RAISE_PER_SUCCESS_LIFE_RATIO * lifeMicros);
        } else if (call.connectionIdleMicros > 0 && idleLossRatio > freshLossRatio + EXCESS_LOSS_THRESHOLD_RATIO) {
            maxReusableIdleMicros = Math.min(maxReusableIdleMicros, call.connectionIdleMicros / 2.0);
        }
    }

    /** Returns the time from which a call may be sent, NEVER if that depends on an outcome that is still to come. */
    private long nextCallAt(long now, UpstreamHealth health) {
        if (health.breaker == BreakerState.OPEN) {
            return health.trial != null ? NEVER : Math.max(health.retryAfterUntil, health.nextTrialAt);
        }
        long permittedAt = Math.max(health.retryAfterUntil, health.backoffUntil);
        // One call for each endpoint until the first success; else a restart would send all pending messages at once.
        if (health.callsInFlight.size()
                >= (health.usualLatencyMicros > 0
                        ? concurrencyCap(now, health)
                        : health.rejections > 0 ? 1 : health.endpoints.size())) {
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

    /** Returns the cap on calls in flight: all slots at up to twice the usual latency, fewer in proportion above, at least one. */
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

    /** Returns the present latency; a call in flight for longer than that counts as if it were answered now. */
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
     * Marks silent calls and opens the breaker if the upstream has failed, before any call times out. One slow call among answered
     * ones does not open the breaker, but is silent as well: later answers of its endpoint do not make its own answer likelier.
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
     * Cancels silent calls to free their slots: those without non-idempotent messages once the breaker is open, and one call of
     * any kind while all slots are in use and messages are waiting, a non-idempotent one later. That loses its message, but with
     * few slots two silent calls would block the sender. This covers hangs and dropped connections. Cost: very slow answers are
     * lost.
     */
    private void cancelSilentCalls(long now, Actions actions) {
        int slots = settings.limits().maxConcurrentCalls();
        long silentCalls = busyUpstreams.stream()
                .flatMap(health -> health.callsInFlight.stream())
                .filter(call -> call.silent)
                .count();
        boolean slotsNeeded = slotsUsed >= slots
                && silentCalls >= MAX_SILENT_SLOTS_RATIO * slots
                && messages.values().stream().anyMatch(message -> message.call == null && message.backoffUntil <= now);
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
     * An upstream has failed when each of its listed endpoints has failed, with at least two failed calls in total. A single
     * degraded endpoint is avoided while its siblings answer. If there is no recent success, one failure is enough, as the second
     * one could come only after the outage. Cost: false positives; with many endpoints an outage is detected later.
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
                * ((event.outcome() == AttemptOutcome.CONNECT_FAILED || connectionLimitReached(health, event) ? 1 : 0)
                        - unconnectedRatio);
        message.destination.successProbability += RECENT_CALL_WEIGHT_RATIO
                * ((event.outcome() == AttemptOutcome.OK ? 1 : 0) - message.destination.successProbability);
        if (!OUTCOMES_NOT_RUN.contains(event.outcome())) {
            health.failureRatio +=
                    RECENT_CALL_WEIGHT_RATIO * ((event.outcome() == AttemptOutcome.OK ? 0 : 1) - health.failureRatio);
        }
        boolean withdrawn = event.outcome() == AttemptOutcome.CANCELLED && !call.silent;
        if (event.outcome() != AttemptOutcome.MOOT && !withdrawn) {
            updateSuspicion(now, health, event.outcome());
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
                // A trial may time out before it is silent, as its message is short of time. That shows at
                // most that the upstream is slow.
                message.destination.serviceMicros += RECENT_CALL_WEIGHT_RATIO
                        * Math.max(0, event.durationMicros() - message.destination.serviceMicros);
                health.presentLatencyMicros +=
                        RECENT_CALL_WEIGHT_RATIO * Math.max(0, event.durationMicros() - health.presentLatencyMicros);
                if (!wasTrial || now - call.sentAt >= silenceThresholdMicros(health)) {
                    onFailure(now, call, event.outcome(), wasTrial);
                }
            }
            default -> {
                // A reset of a reused connection only shows that it was stale; a faulty endpoint resets fresh ones
                // as well.
                if (event.outcome() != AttemptOutcome.RESET
                        || !idleTimeReported
                        || event.connectionIdleMicros() == 0
                        || wasTrial) {
                    onFailure(now, call, event.outcome(), wasTrial);
                }
            }
        }
    }

    private void updateSuspicion(long now, UpstreamHealth health, AttemptOutcome outcome) {
        boolean begins = outcome != AttemptOutcome.OK
                && health.suspectedSince == NEVER
                && now - health.lastSuccessAt >= MIN_OUTAGE_MICROS;
        boolean ends = outcome == AttemptOutcome.OK && health.suspectedSince != NEVER;
        if (begins || ends) {
            health.suspectedSince = begins ? now : NEVER;
            changedUpstreams.add(health);
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
        if (health.breaker == BreakerState.OPEN) {
            health.breaker = falseAlarm && !health.openedInSlowStart ? BreakerState.CLOSED : BreakerState.RAMP;
            changedUpstreams.add(health);
            health.slowStartBeganAt = falseAlarm && health.openedInSlowStart ? health.slowStartBeganAt : now;
            health.lastSlowStartCallAt = now;
        }
        health.sendsLoadReports = !event.loadReport().isEmpty();
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

    /** Applies a load report: a limit sets the pace, and a low allowance cuts it before calls are rejected. */
    /** Returns whether the report holds a limit that can be right. */
    private boolean recordReportedLimit(long now, UpstreamHealth health, List<Double> report) {
        ReportFields fields = settings.reportFields();
        if (Math.max(fields.allowanceLeft(), fields.limit()) >= report.size()
                || fields.allowanceLeft() < 0
                || fields.limit() < 0
                || !(report.get(fields.limit()) >= MIN_FLEET_PACE_PER_SECOND)) {
            return false;
        }
        double maxLimit = MAX_REPORTED_LIMIT_RATIO
                * Math.max(MIN_FLEET_PACE_PER_SECOND, settings.senderCount() * health.sentRate.perSecond(now));
        health.reportedLimit = Math.min(report.get(fields.limit()), maxLimit);
        return true;
    }

    private void applyLoadReport(long now, UpstreamHealth health, List<Double> report) {
        if (!recordReportedLimit(now, health, report)) {
            return;
        }
        health.reportedAllowanceLeft = report.get(settings.reportFields().allowanceLeft());
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
            call.endpoint.openConnections = 0;
        }
        call.endpoint.consecutiveFailures++;
        if (wasTrial || health.breaker != BreakerState.OPEN && hasFailed(now, health)) {
            openBreaker(now, health);
        }
    }

    private boolean connectionLimitReached(UpstreamHealth health, Event.AttemptCompleted event) {
        return health.sendsLoadReports && event.connectionLimitReached(settings.reportFields());
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
                    connectionLimitReached(health, event) ? 0 : senderSpacingMicros(health),
                    retryAfterMicros > 0 ? 0 : BASE_BACKOFF_MICROS,
                    message.messageClass.deadlineMicros(),
                    health.rejections);
            health.backoffUntil = Math.max(health.backoffUntil, now + retryAfterMicros + backoffMicros);
        }
        recordReportedLimit(now, health, event.loadReport());
        boolean isShut = retryAfterMicros > MIN_OUTAGE_MICROS;
        if (!connectionLimitReached(health, event)) {
            isShut |= now - health.lastSuccessAt >= MIN_OUTAGE_MICROS;
        }
        if (wasTrial || isShut && health.breaker != BreakerState.OPEN) {
            openBreaker(now, health);
        } else if (call.sentAt >= health.lastPaceCutAt && !connectionLimitReached(health, event)) {
            cutPace(now, health);
        }
    }

    /** Returns the part of a backoff for each sender, which a reported limit shortens. */
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
            health.servedPerSecondBeforeOutage = health.servedRate.perSecondAtLastEvent();
        }
        if (health.breaker != BreakerState.OPEN) {
            health.openedInSlowStart = health.breaker == BreakerState.RAMP;
            health.openedAt = now;
            changedUpstreams.add(health);
            health.trial = null;
        }
        health.breaker = BreakerState.OPEN;
        health.backoffUntil = now;
        long spreadMicros = trialSpreadMicros(health);
        health.nextTrialAt = Math.max(now, health.retryAfterUntil)
                + (long) Math.max(250_000, Math.min(1_000_000, 0.3 * spreadMicros))
                + random.nextLong(spreadMicros);
    }

    /** Returns the time over which the trials of all senders are spread, which may all begin to wait in one instant. */
    private long trialSpreadMicros(UpstreamHealth health) {
        double slowStartMicros =
                (health.usualLatencyMicros == 0 ? 1 : 0.5) * MICROS_PER_SECOND / slowStartCallsPerSecond(0, health);
        return Math.max(1, (long) Math.min(1_200_000L * settings.senderCount(), slowStartMicros));
    }

    private double slowStartProgress(long now, UpstreamHealth health) {
        double durationMicros = settings.rules().slowStartMicros() + 1;
        return health.breaker == BreakerState.OPEN ? 0 : Math.min(1, (now - health.slowStartBeganAt) / durationMicros);
    }

    /** Returns the calls per second of a slow start: the rate before the outage times the permitted load at this progress. */
    private double slowStartCallsPerSecond(double progress, UpstreamHealth health) {
        Rules rules = settings.rules();
        double capacityRatio = rules.slowStartCapacity() + (1 - rules.slowStartCapacity()) * progress;
        double reportedPacePerSecond =
                Math.max(MIN_FLEET_PACE_PER_SECOND, 0.75 * health.reportedLimit) / settings.senderCount();
        return PERMITTED_OVERLOAD_RATIO
                * rules.overloadMultiple()
                * capacityRatio
                * Math.max(health.servedPerSecondBeforeOutage, reportedPacePerSecond);
    }

    /** Returns a random time between half of the given one and all of it. */
    private long jitter(long micros) {
        return micros / 2 + random.nextLong(Math.max(1, micros / 2));
    }

    // ---- Timer. ----

    private void requestWakeup(long at) {
        wakeAt = Math.min(wakeAt, at);
    }

    /** Schedules one timer for all wake-ups; it is replaced only if something is due earlier. */
    private void setTimer(long now, Actions actions) {
        if (wakeAt != NEVER && (timerAt <= now || timerAt > wakeAt)) {
            timerAt = Math.max(wakeAt, now + 1);
            actions.scheduleTimer(timerAt - now, 0);
        }
    }

    /** For comparison: returns when something is due next, as of the last decision; MAX_VALUE for never. */
    long wakeAt() {
        return wakeAt;
    }
}
