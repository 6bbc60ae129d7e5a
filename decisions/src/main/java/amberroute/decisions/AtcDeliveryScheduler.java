package amberroute.decisions;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Passes each event to the class that handles it and runs the steps of a decision in a fixed order. Messages are sent in the
 * order of the apparent tardiness cost (ATC) index of Ye et al., see {@link DispatchIndex}; each other rule is a class of this
 * package. Only one thread at a time may use a scheduler. Times are microseconds on the caller's clock.
 */
public final class AtcDeliveryScheduler implements DeliveryScheduler {
    private final CurrentSettings settings;
    private final WakeupTimer timer = new WakeupTimer();

    // Pending messages.
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final DispatchCandidates candidates = new DispatchCandidates(serviceTimes);
    private final ExpirySchedule expiry;
    private final PendingMessages pending;
    private final KeyOrdering keyOrdering;
    private final MessageLifecycle messages;

    // State of the upstreams.
    private final EndpointRegistry registry;
    private final UpstreamStates states = new UpstreamStates();
    private final HealthTransfer healthTransfer;
    private final CircuitBreaker breaker;
    private final ConnectionReusePolicy connections;
    private final CallsInFlight calls;

    // The steps of a decision.
    private final DispatchIndex index;
    private final WaitPrediction waitPrediction;
    private final AdmissionController admission;
    private final SilentCallDetector silentCalls;
    private final DispatchSelector selector;
    private final ShutdownPolicy shutdownPolicy = new ShutdownPolicy(serviceTimes);
    private final AttemptOutcomeHandler outcomeHandler;

    /**
     * Creates a scheduler without messages that expects no acknowledgements of final answers.
     *
     * @throws IllegalArgumentException if a setting is out of range
     */
    public AtcDeliveryScheduler(Settings settings) {
        this(settings, false);
    }

    /**
     * Creates a scheduler without messages.
     *
     * @param awaitAcknowledgements whether the caller passes {@link Event.CompletionAcknowledged} once a client has received a
     *     final answer; until then the next message of the same key is held back
     * @throws IllegalArgumentException if a setting is out of range
     */
    public AtcDeliveryScheduler(Settings settings, boolean awaitAcknowledgements) {
        this.settings = new CurrentSettings(settings);
        SplittableRandom random = new SplittableRandom(settings.seed());
        Backoff backoff = new Backoff(this.settings, random);
        AttemptTimeout attemptTimeout = new AttemptTimeout(this.settings, serviceTimes);
        BacklogEstimate backlog = new BacklogEstimate(serviceTimes);
        expiry = new ExpirySchedule(serviceTimes, backlog);
        pending = new PendingMessages(serviceTimes, candidates, backlog, expiry);
        keyOrdering = new KeyOrdering(this.settings, pending, awaitAcknowledgements);
        registry = new EndpointRegistry(this.settings, backoff, random, serviceTimes, pending);
        messages = new MessageLifecycle(this.settings, registry, keyOrdering, pending);

        RecoveryRamp recoveryRamp = new RecoveryRamp(this.settings, states);
        TrialSchedule trials = new TrialSchedule(this.settings, recoveryRamp, random);
        healthTransfer = new HealthTransfer(registry, serviceTimes, pending, recoveryRamp, trials, states);
        RateLimiter rateLimiter = new RateLimiter(this.settings);
        UpstreamGate gate = new UpstreamGate(this.settings, recoveryRamp, rateLimiter);
        breaker = new CircuitBreaker(this.settings, trials, recoveryRamp, candidates, states);
        connections = new ConnectionReusePolicy(this.settings);
        calls = new CallsInFlight(this.settings, serviceTimes, pending, attemptTimeout, gate, connections, registry);

        index = new DispatchIndex(this.settings, serviceTimes, attemptTimeout, candidates, backlog, pending);
        waitPrediction = new WaitPrediction(this.settings, serviceTimes, backlog, index, calls, gate, recoveryRamp);
        admission = new AdmissionController(this.settings, random, messages, pending, index, waitPrediction);
        silentCalls = new SilentCallDetector(this.settings, messages, calls, attemptTimeout, breaker, connections);
        selector = createSelector(attemptTimeout, gate);
        outcomeHandler = createOutcomeHandler(backoff, attemptTimeout, rateLimiter);
    }

    private DispatchSelector createSelector(AttemptTimeout attemptTimeout, UpstreamGate gate) {
        DispatchRisk risk = new DispatchRisk(attemptTimeout);
        EndpointSelector endpoints =
                new EndpointSelector(settings, gate, risk, shutdownPolicy, connections, candidates, timer);
        return new DispatchSelector(
                pending, candidates, index, calls, endpoints, risk, shutdownPolicy, attemptTimeout, states);
    }

    private AttemptOutcomeHandler createOutcomeHandler(
            Backoff backoff, AttemptTimeout attemptTimeout, RateLimiter rateLimiter) {
        return new AttemptOutcomeHandler(
                settings,
                messages,
                calls,
                pending,
                keyOrdering,
                new RetryPolicy(backoff),
                backoff,
                serviceTimes,
                attemptTimeout,
                connections,
                breaker,
                rateLimiter,
                states);
    }

    // ---- Events. ----

    @Override
    public void step(long now, Event event, Actions actions) {
        if (event instanceof Event.Decide) {
            decide(now, actions);
        } else if (event instanceof Event.TimerExpired) {
            timer.onExpired(now);
        } else if (event instanceof Event.AttemptCompleted completed) {
            outcomeHandler.handle(now, completed, actions);
        } else if (!onMessageEvent(now, event) && !onUpstreamEvent(now, event)) {
            onProcessEvent(now, event, actions);
        }
    }

    /** Handles an event that a client caused; returns false for other events. */
    private boolean onMessageEvent(long now, Event event) {
        if (event instanceof Event.MessageSubmitted submitted) {
            onSubmitted(now, submitted);
        } else if (event instanceof Event.CompletionAcknowledged acknowledged) {
            keyOrdering.acknowledge(now, acknowledged.id());
        } else if (event instanceof Event.MessageCancelled cancelled) {
            messages.cancel(now, cancelled.id());
        } else {
            return false;
        }
        return true;
    }

    /** Handles an event of the endpoint list or of the fleet; returns false for other events. */
    private boolean onUpstreamEvent(long now, Event event) {
        if (event instanceof Event.EndpointListUpdated updated) {
            registry.update(now, updated);
        } else if (event instanceof Event.FleetRateLimitChanged changed) {
            onFleetRateLimit(now, changed);
        } else if (event instanceof Event.AdmissionPriceChanged price) {
            registry.destination(price.destination()).admissionPrice = price;
        } else {
            return false;
        }
        return true;
    }

    /** Handles an event of this process or of the previous one; ignores other events. */
    private void onProcessEvent(long now, Event event, Actions actions) {
        if (event instanceof Event.MessageRecovered recovered) {
            onRecovered(now, recovered);
        } else if (event instanceof Event.CompletedMessageRecovered recovered) {
            keyOrdering.appendAnswered(recovered.key(), recovered.id());
        } else if (event instanceof Event.CallInFlight inFlight) {
            onCallInFlight(now, inFlight, actions);
        } else if (event instanceof Event.KeyPaused paused) {
            PendingMessage exempt = messages.get(paused.pause().exemptMessage());
            keyOrdering.restorePause(now, paused.pause(), exempt);
        } else if (event instanceof Event.HealthRestored restored) {
            long ageMicros = restored.checkpoint().sinceMicros() + restored.ageMicros();
            healthTransfer.restore(now, restored.checkpoint(), ageMicros);
        } else if (event instanceof Event.UpstreamStateTransferred transferred) {
            healthTransfer.restore(now, transferred.snapshot());
        } else if (event instanceof Event.SettingsChanged changed) {
            onSettings(changed.settings());
        } else if (event instanceof Event.ShutdownStarted started) {
            shutdownPolicy.stopAt(now + started.timeLeftMicros());
        }
    }

    private void onSubmitted(long now, Event.MessageSubmitted event) {
        if (messages.get(event.id()) != null) {
            return;
        }
        registry.evictUnused();
        PendingMessage message = messages.accept(
                now, event.id(), event.messageClass(), event.key(), event.timeLeftMicros(), event.destination());
        admission.onArrival(now, message, event.tenant());
        messages.enqueue(now, message);
    }

    /**
     * Recovers a message that an earlier process admitted; an attempt that was in flight when that process ended may still run.
     * A message that is not idempotent and was never tried gets the highest priority weight: during an outage idempotent
     * messages are preferred as trials, so it may have got no call, and it would otherwise be sent last and expire.
     */
    private void onRecovered(long now, Event.MessageRecovered event) {
        if (messages.get(event.id()) != null) {
            return;
        }
        PendingMessage message = messages.accept(
                now, event.id(), event.messageClass(), event.key(), event.timeLeftMicros(), event.destination());
        message.attempts = event.attempts();
        if (message.attempts == 0 && message.messageClass.idempotency() != Idempotency.IDEMPOTENT) {
            message.priorityWeight = settings.highestPriorityWeight();
        }
        if (event.unknownOutcomeAgeMicros() >= 0) {
            message.unknownOutcomeSince = now - event.unknownOutcomeAgeMicros();
            message.unknownOutcomeEndpoint = registry.endpoint(event.unknownOutcomeEndpoint());
        }
        if (event.attemptInterrupted()) {
            keyOrdering.pauseAfter(now, message);
        }
        messages.enqueue(now, message);
    }

    private void onCallInFlight(long now, Event.CallInFlight event, Actions actions) {
        Endpoint endpoint = registry.endpoint(event.endpoint());
        List<PendingMessage> inFlight = new ArrayList<>();
        for (long id : event.ids()) {
            PendingMessage message = messages.get(id);
            if (message != null && message.call == null) {
                inFlight.add(message);
            }
        }
        if (endpoint != null && !inFlight.isEmpty()) {
            UpstreamCall call = calls.start(now, endpoint, actions);
            call.sentAt = now - event.sentAgoMicros();
            inFlight.forEach(message -> calls.add(now, message, call));
        }
    }

    private void onSettings(Settings replacement) {
        settings.replace(replacement);
        registry.destinations().forEach(candidates::wake);
        messages.all().forEach(expiry::checkAttempts);
    }

    /**
     * Applies a rate limit of the fleet. If another sender has seen the destination answer, the next trial is permitted at
     * once, because it may otherwise be many seconds away.
     */
    private void onFleetRateLimit(long now, Event.FleetRateLimitChanged event) {
        Destination destination = registry.destination(event.destination());
        destination.fleetRateLimit.set(now, event.perSecond(), event.initialCredit());
        if (event.recovered()) {
            destination.endpoints.forEach(endpoint -> endpoint.health.nextTrialAt = now);
        }
        candidates.wake(destination);
    }

    // ---- Decisions. ----

    private void decide(long now, Actions actions) {
        timer.beginDecision();
        registry.subscribeIfDue(now, timer, actions);
        answerExpired(now, actions);
        index.updateMeanServiceTime(now);
        admission.admitArrivals(now, actions);
        silentCalls.detect(now, timer);
        silentCalls.cancelSilentCalls(now, actions);
        connections.announceIdleLimit(actions);
        selector.dispatch(now, timer, actions);
        states.report(now, actions);
        timer.schedule(now, actions);
    }

    private void answerExpired(long now, Actions actions) {
        for (PendingMessage message : pending.expired(now, settings.limits().maxAttempts())) {
            messages.answer(now, message, waitPrediction.predictedWaitMicros(now, message), actions);
        }
        timer.request(expiry.nextExpiryAt(now));
    }

    // ---- Queries. ----

    @Override
    public int avoidedEndpointCount() {
        int avoided = 0;
        for (Endpoint endpoint : registry.endpoints()) {
            avoided += endpoint.isReady() && CircuitBreaker.avoids(endpoint) ? 1 : 0;
        }
        return avoided;
    }

    @Override
    public List<KeyPause> pausedKeys(long now) {
        return keyOrdering.pausedKeys(now);
    }

    @Override
    public List<UpstreamSnapshot> snapshots(long now) {
        List<UpstreamSnapshot> snapshots = new ArrayList<>();
        registry.upstreams().forEach(health -> snapshots.add(HealthTransfer.snapshot(now, health)));
        return List.copyOf(snapshots);
    }
}
