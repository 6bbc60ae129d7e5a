package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.Idempotency;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The calls in flight and the slots that they use. Starts calls, adds messages to them and ends them. Times are microseconds on
 * the caller's clock.
 */
final class CallsInFlight {
    private final CurrentSettings settings;
    private final ServiceTimes serviceTimes;
    private final PendingMessages pending;
    private final AttemptTimeout attemptTimeout;
    private final UpstreamGate gate;
    private final ConnectionReusePolicy connections;
    private final EndpointRegistry registry;
    /** Upstreams with calls in flight; a decision visits only these, however long the endpoint list is. */
    private final Set<UpstreamHealth> busyUpstreams = new LinkedHashSet<>();

    private int slotsUsed;

    CallsInFlight(
            CurrentSettings settings,
            ServiceTimes serviceTimes,
            PendingMessages pending,
            AttemptTimeout attemptTimeout,
            UpstreamGate gate,
            ConnectionReusePolicy connections,
            EndpointRegistry registry) {
        this.settings = settings;
        this.serviceTimes = serviceTimes;
        this.pending = pending;
        this.attemptTimeout = attemptTimeout;
        this.gate = gate;
        this.connections = connections;
        this.registry = registry;
    }

    /** Returns the number of free slots; negative if the limit was lowered below the number of calls in flight. */
    int freeSlots() {
        return settings.limits().maxConcurrentCalls() - slotsUsed;
    }

    /** Returns the upstreams with calls in flight, in the order of their first calls; the caller must not change the set. */
    Set<UpstreamHealth> busyUpstreams() {
        return busyUpstreams;
    }

    /** Starts a call; the caller must call {@link #add} afterwards. */
    UpstreamCall start(long now, Endpoint endpoint, Actions actions) {
        UpstreamCall call = new UpstreamCall(endpoint, now);
        slotsUsed++;
        serviceTimes.decay(now, endpoint.destination);
        connections.onCallStarting(now, call, actions);
        endpoint.callsInFlight++;
        endpoint.destination.callsInFlight++;
        endpoint.health.callsInFlight.add(call);
        busyUpstreams.add(endpoint.health);
        gate.recordCallStarted(now, endpoint.health, call);
        return call;
    }

    /** Adds a message to a call that has room. */
    void add(long now, PendingMessage message, UpstreamCall call) {
        call.shortOfTime |= attemptTimeout.isShortOfTime(now, message);
        call.outstandingMessages++;
        call.messages.add(message);
        call.nonIdempotent |= message.messageClass.idempotency() == Idempotency.NON_IDEMPOTENT;
        message.destination.fleetRateLimit.consume();
        message.attempts++;
        message.call = call;
        pending.remove(message);
        pending.updateEstimates(now, message.destination);
    }

    /** Records that one message of a call has its outcome; ends the call with the last of them. */
    void recordOutcome(long now, UpstreamCall call, Actions actions) {
        if (--call.outstandingMessages > 0) {
            return;
        }
        Endpoint endpoint = call.endpoint;
        UpstreamHealth health = endpoint.health;
        slotsUsed--;
        endpoint.callsInFlight--;
        endpoint.lastUsedAt = now;
        endpoint.destination.serviceUpdatedAt = now;
        endpoint.destination.callsInFlight--;
        health.callsInFlight.remove(call);
        if (endpoint.callsInFlight == 0) {
            connections.onEndpointIdle(endpoint, actions);
        }
        registry.removeIfGone(endpoint);
        if (health.callsInFlight.isEmpty()) {
            busyUpstreams.remove(health);
            for (Endpoint member : health.endpoints) {
                member.silentCalls = 0;
            }
        }
    }
}
