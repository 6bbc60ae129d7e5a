package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Detects silent calls: calls that have not been answered for so long that they count as lost, although they have not timed out.
 * They count as failures of their endpoints, and some are cancelled to free their slots. Times are microseconds on the caller's
 * clock.
 *
 * <p>Cost of a false positive: a very slow answer is lost.
 */
final class SilentCallDetector {
    /** Share of the slots that silent calls may occupy while messages are waiting and no slot is free. */
    private static final double MAX_SILENT_SLOTS_RATIO = 0.2;
    /** Factor on the time that a non-idempotent call may be silent, as cancelling it loses its message. */
    private static final double NON_IDEMPOTENT_SILENCE_FACTOR = 2.5;

    private final CurrentSettings settings;
    private final MessageLifecycle messages;
    private final CallsInFlight calls;
    private final AttemptTimeout attemptTimeout;
    private final CircuitBreaker breaker;
    private final ConnectionReusePolicy connections;

    SilentCallDetector(
            CurrentSettings settings,
            MessageLifecycle messages,
            CallsInFlight calls,
            AttemptTimeout attemptTimeout,
            CircuitBreaker breaker,
            ConnectionReusePolicy connections) {
        this.settings = settings;
        this.messages = messages;
        this.calls = calls;
        this.attemptTimeout = attemptTimeout;
        this.breaker = breaker;
        this.connections = connections;
    }

    /** Marks silent calls, opens breakers of failed upstreams, and requests a wake-up for when the next call may become silent. */
    void detect(long now, WakeupTimer timer) {
        for (UpstreamHealth health : calls.busyUpstreams()) {
            detect(now, health, timer);
        }
    }

    private void detect(long now, UpstreamHealth health, WakeupTimer timer) {
        for (Endpoint endpoint : health.endpoints) {
            endpoint.silentCalls = 0;
        }
        for (UpstreamCall call : health.callsInFlight) {
            long silentAt = call.sentAt + attemptTimeout.silenceThresholdMicros(health);
            if (silentAt > now) {
                timer.request(silentAt);
                continue;
            }
            // If a call to the endpoint has succeeded since this one was sent, the silent call is no evidence against
            // the endpoint.
            call.endpoint.silentCalls += call.sentAt >= call.endpoint.lastSuccessAt ? 1 : 0;
            if (!call.silent) {
                call.silent = true;
                connections.recordSilence(call);
            }
        }
        if (!health.callsInFlight.isEmpty()) {
            breaker.openIfFailed(now, health);
        }
    }

    /**
     * Cancels silent calls: those without non-idempotent messages once the breaker of their upstream is open, and one call of any
     * kind in each decision while messages are waiting and silent calls occupy many of the slots. With few slots, two silent
     * calls would otherwise block the sender.
     */
    void cancelSilentCalls(long now, Actions actions) {
        int silentCalls = silentCalls();
        if (silentCalls == 0 || !settings.limits().cancellationAllowed()) {
            return;
        }
        boolean slotsNeeded = calls.freeSlots() <= 0
                && silentCalls >= MAX_SILENT_SLOTS_RATIO * settings.limits().maxConcurrentCalls()
                && isAnyMessageWaiting(now);
        for (PendingMessage message : silentMessages()) {
            if (message.cancelling) {
                continue;
            }
            UpstreamCall call = message.call;
            if (call.cancelling || shouldCancel(now, call, slotsNeeded)) {
                message.cancelling = true;
                call.cancelling = true;
                slotsNeeded = false;
                actions.cancel(message.id, message.attempts - 1);
            }
        }
    }

    private boolean shouldCancel(long now, UpstreamCall call, boolean slotsNeeded) {
        UpstreamHealth health = call.endpoint.health;
        double silenceFactor = call.nonIdempotent ? NON_IDEMPOTENT_SILENCE_FACTOR : 1;
        return slotsNeeded && now - call.sentAt > silenceFactor * attemptTimeout.silenceThresholdMicros(health)
                || !call.nonIdempotent && health.breaker == BreakerState.OPEN;
    }

    private int silentCalls() {
        int silentCalls = 0;
        for (UpstreamHealth health : calls.busyUpstreams()) {
            for (UpstreamCall call : health.callsInFlight) {
                silentCalls += call.silent ? 1 : 0;
            }
        }
        return silentCalls;
    }

    private boolean isAnyMessageWaiting(long now) {
        for (PendingMessage message : messages.all()) {
            if (message.call == null && message.backoffUntil <= now) {
                return true;
            }
        }
        return false;
    }

    /** Returns the messages of silent calls that are not being cancelled, in the order of arrival. */
    private List<PendingMessage> silentMessages() {
        List<PendingMessage> silent = new ArrayList<>();
        for (UpstreamHealth health : calls.busyUpstreams()) {
            for (UpstreamCall call : health.callsInFlight) {
                for (PendingMessage message : call.messages) {
                    if (call.silent && message.call == call && !message.cancelling) {
                        silent.add(message);
                    }
                }
            }
        }
        silent.sort(Comparator.comparingLong(message -> message.sequenceNumber));
        return silent;
    }
}
