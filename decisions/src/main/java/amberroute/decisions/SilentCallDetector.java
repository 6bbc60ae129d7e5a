package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Finds calls that have been unanswered for so long that they count as lost, before they time out: they count as failures of
 * their endpoints, and some are cancelled to free their slots. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a false positive: a very slow answer is lost.
 */
final class SilentCallDetector {
    /** Share of the slots that silent calls may hold while messages wait and no slot is free. */
    private static final double SILENT_SLOTS_RATIO = 0.2;
    /** How much longer a non-idempotent call may be silent before it is cancelled, as that loses its message. */
    private static final double NON_IDEMPOTENT_PATIENCE_RATIO = 2.5;

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

    /** Finds what is silent now, opens breakers by it, and requests a wake-up for what may be silent next. */
    void detect(long now, WakeupTimer timer) {
        for (UpstreamHealth health : calls.busyUpstreams()) {
            detect(now, health, timer);
        }
    }

    private void detect(long now, UpstreamHealth health, WakeupTimer timer) {
        for (Endpoint endpoint : health.members) {
            endpoint.silentCalls = 0;
        }
        for (UpstreamCall call : health.calls) {
            long silentAt = call.sentAt + attemptTimeout.silenceMicros(health);
            if (silentAt > now) {
                timer.request(silentAt);
                continue;
            }
            // Behind a success of the endpoint only the call itself is taken for lost.
            call.endpoint.silentCalls += call.sentAt >= call.endpoint.lastSuccessAt ? 1 : 0;
            if (!call.silent) {
                call.silent = true;
                connections.recordSilence(call);
            }
        }
        if (!health.calls.isEmpty()) {
            breaker.openIfFailed(now, health);
        }
    }

    /**
     * Cancels silent calls: idempotent ones once the breaker of their upstream is open, and one of any kind in each decision
     * while messages wait and silent calls hold many of the slots, as with few slots two such calls would stop a sender.
     */
    void cancel(long now, Actions actions) {
        int silentCalls = silentCalls();
        if (silentCalls == 0 || !settings.limits().cancellationAllowed()) {
            return;
        }
        boolean slotsNeeded = calls.freeSlots() <= 0
                && silentCalls >= SILENT_SLOTS_RATIO * settings.limits().maxConcurrentCalls()
                && anyMessageWaits(now);
        for (PendingMessage message : silentMessages()) {
            if (message.cancelling) {
                continue;
            }
            UpstreamCall call = message.call;
            if (call.cancelling || isCancelledFirst(now, call, slotsNeeded)) {
                message.cancelling = true;
                call.cancelling = true;
                slotsNeeded = false;
                actions.cancel(message.id, message.attempts - 1);
            }
        }
    }

    private boolean isCancelledFirst(long now, UpstreamCall call, boolean slotsNeeded) {
        UpstreamHealth health = call.endpoint.health;
        double patienceRatio = call.nonIdempotent ? NON_IDEMPOTENT_PATIENCE_RATIO : 1;
        return slotsNeeded && now - call.sentAt > patienceRatio * attemptTimeout.silenceMicros(health)
                || !call.nonIdempotent && health.breaker == BreakerState.OPEN;
    }

    private int silentCalls() {
        int silentCalls = 0;
        for (UpstreamHealth health : calls.busyUpstreams()) {
            for (UpstreamCall call : health.calls) {
                silentCalls += call.silent ? 1 : 0;
            }
        }
        return silentCalls;
    }

    private boolean anyMessageWaits(long now) {
        for (PendingMessage message : messages.all()) {
            if (message.call == null && message.backoffUntil <= now) {
                return true;
            }
        }
        return false;
    }

    /** The messages of silent calls that are not being cancelled, in the order of arrival. */
    private List<PendingMessage> silentMessages() {
        List<PendingMessage> silent = new ArrayList<>();
        for (UpstreamHealth health : calls.busyUpstreams()) {
            for (UpstreamCall call : health.calls) {
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
