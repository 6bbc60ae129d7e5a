package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;

/**
 * Applies the outcome of an attempt to its message and to its upstream. Each message of a call has its own outcome. Every
 * outcome updates Retry-After of the upstream; only the first one of a call updates the rest of the
 * upstream's health. Times are microseconds on the caller's clock.
 */
final class AttemptOutcomeHandler {
    private final CurrentSettings settings;
    private final MessageLifecycle messages;
    private final CallsInFlight calls;
    private final PendingMessages pending;
    private final KeyOrdering keyOrdering;
    private final RetryPolicy retryPolicy;
    private final Backoff backoff;
    private final ServiceTimes serviceTimes;
    private final AttemptTimeout attemptTimeout;
    private final ConnectionReusePolicy connections;
    private final CircuitBreaker breaker;
    private final RateLimiter rateLimiter;
    private final UpstreamStates states;

    AttemptOutcomeHandler(
            CurrentSettings settings,
            MessageLifecycle messages,
            CallsInFlight calls,
            PendingMessages pending,
            KeyOrdering keyOrdering,
            RetryPolicy retryPolicy,
            Backoff backoff,
            ServiceTimes serviceTimes,
            AttemptTimeout attemptTimeout,
            ConnectionReusePolicy connections,
            CircuitBreaker breaker,
            RateLimiter rateLimiter,
            UpstreamStates states) {
        this.settings = settings;
        this.messages = messages;
        this.calls = calls;
        this.pending = pending;
        this.keyOrdering = keyOrdering;
        this.retryPolicy = retryPolicy;
        this.backoff = backoff;
        this.serviceTimes = serviceTimes;
        this.attemptTimeout = attemptTimeout;
        this.connections = connections;
        this.breaker = breaker;
        this.rateLimiter = rateLimiter;
        this.states = states;
    }

    /** Handles an outcome; ignores attempts that are not in flight. */
    void handle(long now, AttemptCompleted event, Actions actions) {
        PendingMessage message = messages.get(event.id());
        if (message == null || message.call == null || message.attempts - 1 != event.attempt()) {
            return;
        }
        UpstreamCall call = message.call;
        message.call = null;
        message.cancelling = false;
        message.completed |= event.messageCompleted();
        calls.recordOutcome(now, call, actions);
        updateMessage(now, message, call, event);
        UpstreamHealth health = call.endpoint.health;
        if (event.retryAfterMicros() > 0) {
            health.retryAfterUntil = Math.max(health.retryAfterUntil, now + event.retryAfterMicros() + 1);
        }
        if (!call.outcomeRecorded) {
            call.outcomeRecorded = true;
            updateUpstream(now, message, call, event);
        }
        messages.enqueue(now, message);
        messages.removeIfCompleted(now, message);
        pending.updateEstimatesAndWake(now, call.endpoint.destination);
    }

    private void updateMessage(long now, PendingMessage message, UpstreamCall call, AttemptCompleted event) {
        AttemptOutcome outcome = event.outcome();
        if (outcome.mayHaveRun()) {
            RetryPolicy.recordUnknownOutcome(message, call);
            if (outcome != AttemptOutcome.OK && outcome != AttemptOutcome.ERROR) {
                keyOrdering.pauseAfter(now, message);
            }
        }
        message.timeouts += outcome == AttemptOutcome.TIMEOUT ? 1 : 0;
        message.lastFailedEndpoint = call.endpoint;
        retryPolicy.backOff(now, message, call.endpoint.health, event);
    }

    private void updateUpstream(long now, PendingMessage message, UpstreamCall call, AttemptCompleted event) {
        UpstreamHealth health = call.endpoint.health;
        AttemptOutcome outcome = event.outcome();
        boolean wasTrial = health.trial == call;
        if (wasTrial) {
            health.trial = null;
        }
        connections.recordOutcome(call, event);
        health.callsInState.recordOutcome(outcome, call.silent);
        double success = outcome == AttemptOutcome.OK ? 1 : 0;
        message.destination.successProbability +=
                UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * (success - message.destination.successProbability);
        if (outcome.mayHaveRun()) {
            health.failureRatio += UpstreamHealth.RECENT_CALL_WEIGHT_RATIO * (1 - success - health.failureRatio);
        }
        boolean withdrawn = outcome == AttemptOutcome.CANCELLED && !call.silent;
        if (outcome != AttemptOutcome.MOOT && !withdrawn) {
            states.recordOutcome(now, health, outcome, message.id);
        }
        switch (outcome) {
            case OK -> handleSuccess(now, call, event);
            case FULL -> handleRejection(now, message, call, event, wasTrial);
            case MOOT -> {
                // The message was no longer wanted, which says nothing about the upstream.
            }
            case CANCELLED -> handleCancellation(now, call, wasTrial);
            case TIMEOUT -> handleTimeout(now, message, call, event, wasTrial);
            case RESET -> handleReset(now, call, event, wasTrial);
            default -> breaker.recordFailure(now, call, outcome, wasTrial);
        }
        health.servedRate.add(now, success);
    }

    private void handleSuccess(long now, UpstreamCall call, AttemptCompleted event) {
        Endpoint endpoint = call.endpoint;
        UpstreamHealth health = endpoint.health;
        serviceTimes.recordSuccess(endpoint.destination, health, Math.max(1, event.durationMicros()));
        health.rejections /= 2;
        breaker.recordSuccess(now, call);
        health.sendsLoadReports = !event.loadReport().isEmpty();
        rateLimiter.applyLoadReport(now, health, event.loadReport());
        rateLimiter.raisePace(now, health);
    }

    /**
     * A rejection of a call that was sent after the last rejection, or one with Retry-After, causes a backoff. A rejection that
     * does not open the breaker cuts the pace if its call was sent after the last cut and no connection limit was reached.
     */
    private void handleRejection(
            long now, PendingMessage message, UpstreamCall call, AttemptCompleted event, boolean wasTrial) {
        UpstreamHealth health = call.endpoint.health;
        long retryAfterMicros = event.retryAfterMicros();
        boolean sentAfterLastRejection = call.sentAt >= health.lastRejectionAt;
        health.rejections += sentAfterLastRejection ? 1 : 0;
        health.lastRejectionAt = now;
        if (sentAfterLastRejection || retryAfterMicros > 0) {
            long backoffMicros = backoff.delayMicros(
                    backoff.senderSpacingMicros(health, event),
                    retryAfterMicros > 0 ? 0 : Backoff.BASE_MICROS,
                    message.messageClass.deadlineMicros(),
                    health.rejections);
            health.backoffUntil = Math.max(health.backoffUntil, now + retryAfterMicros + backoffMicros);
        }
        rateLimiter.recordReportedLimit(now, health, event.loadReport());
        boolean opened = breaker.recordRejection(now, health, event, wasTrial);
        if (!opened
                && call.sentAt >= health.lastPaceCutAt
                && !health.connectionLimitReached(event, settings.get().reportFields())) {
            rateLimiter.cutPace(now, health);
        }
    }

    /**
     * A call that was cancelled because it was silent is a failure, unless its endpoint has answered another call successfully
     * after this one was sent.
     */
    private void handleCancellation(long now, UpstreamCall call, boolean wasTrial) {
        if (call.silent && call.sentAt >= call.endpoint.lastSuccessAt) {
            breaker.recordFailure(now, call, AttemptOutcome.CANCELLED, wasTrial);
        }
    }

    /**
     * A trial may time out before it counts as silent, because its message is short of time. That shows at most that the
     * upstream is slow, so it is no failure and the next trial may start at once.
     */
    private void handleTimeout(
            long now, PendingMessage message, UpstreamCall call, AttemptCompleted event, boolean wasTrial) {
        UpstreamHealth health = call.endpoint.health;
        serviceTimes.recordTimeout(message.destination, health, event.durationMicros());
        if (!wasTrial || now - call.sentAt >= attemptTimeout.silenceThresholdMicros(health)) {
            breaker.recordFailure(now, call, AttemptOutcome.TIMEOUT, wasTrial);
        }
    }

    /** A reset of a reused connection only shows that the connection was stale; a faulty endpoint resets fresh ones as well. */
    private void handleReset(long now, UpstreamCall call, AttemptCompleted event, boolean wasTrial) {
        boolean reused = event.connectionIdleMicros() > 0;
        if (!reused || wasTrial) {
            breaker.recordFailure(now, call, AttemptOutcome.RESET, wasTrial);
        }
    }
}
