package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.Idempotency;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which messages are sent next: free slots go to the highest index among all dispatch queues whose destination accepts
 * a call. If a message cannot be sent for a reason that holds for its whole interval of due dates, the interval is skipped.
 * Times are microseconds on the caller's clock.
 */
final class DispatchSelector {
    private final PendingMessages pending;
    private final DispatchCandidates candidates;
    private final DispatchIndex index;
    private final CallsInFlight calls;
    private final EndpointSelector endpointSelector;
    private final DispatchRisk risk;
    private final ShutdownPolicy shutdownPolicy;
    private final AttemptTimeout attemptTimeout;
    private final UpstreamStates states;
    /** Number of the current selection round; some results are valid for one round. */
    private long round;

    /** Calls that the current round has started. */
    private final List<UpstreamCall> startedCalls = new ArrayList<>();
    /** Number of calls of the current round that have room for more messages. */
    private int openCalls;

    DispatchSelector(
            PendingMessages pending,
            DispatchCandidates candidates,
            DispatchIndex index,
            CallsInFlight calls,
            EndpointSelector endpointSelector,
            DispatchRisk risk,
            ShutdownPolicy shutdownPolicy,
            AttemptTimeout attemptTimeout,
            UpstreamStates states) {
        this.pending = pending;
        this.candidates = candidates;
        this.index = index;
        this.calls = calls;
        this.endpointSelector = endpointSelector;
        this.risk = risk;
        this.shutdownPolicy = shutdownPolicy;
        this.attemptTimeout = attemptTimeout;
        this.states = states;
    }

    /** Sends the messages that may be sent now, and requests a wake-up for those that may be sent later. */
    void dispatch(long now, WakeupTimer timer, Actions actions) {
        pending.resumeDue(now);
        round++;
        if (calls.freeSlots() > 0) {
            fillSlots(now, actions);
            for (UpstreamCall call : startedCalls) {
                send(now, call, actions);
            }
            startedCalls.clear();
        }
        timer.request(pending.nextResumeAt());
    }

    private void send(long now, UpstreamCall call, Actions actions) {
        long timeoutAt = attemptTimeout.timeoutAt(now, call);
        states.recordCall(now, call.endpoint.health, call.messages.get(0).id);
        for (PendingMessage message : call.messages) {
            actions.send(message.id, call.endpoint.id, timeoutAt);
        }
    }

    private void fillSlots(long now, Actions actions) {
        double lookaheadMicros = index.lookaheadMicros();
        candidates.beginRound(now, lookaheadMicros, calls.freeSlots());
        openCalls = 0;
        while (calls.freeSlots() > 0 || openCalls > 0) {
            DispatchQueue queue = candidates.next(now, lookaheadMicros);
            if (queue == null) {
                return;
            }
            if (mayTakeMore(queue.destination) && advance(now, queue, actions)) {
                candidates.putBack(queue);
            }
        }
    }

    private boolean mayTakeMore(Destination destination) {
        return openCall(destination) != null || calls.freeSlots() > 0 && destination.blockedRound != round;
    }

    /** Returns the call that this round started to a destination if it has room for more messages, otherwise null. */
    private UpstreamCall openCall(Destination destination) {
        return destination.openCallRound == round && destination.openCall.hasRoom() ? destination.openCall : null;
    }

    /**
     * Starts the iterator of a queue, or sends its current message and moves on. Returns false if no more messages of the queue
     * may be sent.
     */
    private boolean advance(long now, DispatchQueue queue, Actions actions) {
        if (!queue.iteratorStarted) {
            queue.iteratorStarted = true;
            index.prepare(now, queue, queue.iterator.atcIndex());
            return queue.iterator.begin();
        }
        PendingMessage message = queue.iterator.current();
        boolean dispatched = dispatch(now, message, actions);
        return dispatched || !RetryPolicy.retryableAnywhere(message)
                ? queue.iterator.advance()
                : queue.iterator.skipInterval();
    }

    /** Adds a message to the open call of its destination, or starts a call with it. Returns false if neither is possible. */
    private boolean dispatch(long now, PendingMessage message, Actions actions) {
        Destination destination = message.destination;
        UpstreamCall existingCall = openCall(destination);
        UpstreamCall call = existingCall;
        if (existingCall == null
                || destination.fleetRateLimit.nextMessageAt(now) > now
                || !mayJoin(now, message, existingCall)) {
            Endpoint endpoint = calls.freeSlots() > 0 ? endpointSelector.select(now, round, message) : null;
            if (endpoint == null) {
                return false;
            }
            call = calls.start(now, endpoint, actions);
            destination.openCall = call;
            destination.openCallRound = round;
            startedCalls.add(call);
        }
        calls.add(now, message, call);
        openCalls += (call.hasRoom() ? 1 : 0) - (existingCall != null ? 1 : 0);
        return true;
    }

    /**
     * Returns whether a message may join a call. Messages with and without ample time do not share a call, because it times out
     * with the first of its messages.
     */
    private boolean mayJoin(long now, PendingMessage message, UpstreamCall call) {
        UpstreamHealth health = call.endpoint.health;
        return call.shortOfTime == attemptTimeout.isShortOfTime(now, message)
                && risk.permits(now, round, message, health)
                && (message.messageClass.idempotency() == Idempotency.IDEMPOTENT || !health.isUnproven())
                && RetryPolicy.retryableAt(message, call.endpoint)
                && shutdownPolicy.permits(now, message, health);
    }
}
