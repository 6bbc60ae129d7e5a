package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.DestinationKind;
import amberroute.decisions.DeliveryScheduler.EndpointEntry;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.decisions.DeliveryScheduler.Event.EndpointListUpdated;
import amberroute.decisions.DeliveryScheduler.WeightKind;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * The destinations and endpoints of the endpoint list, and the subscription to that list. An endpoint that is no longer listed
 * is kept until its last call has ended. Times are microseconds on the caller's clock.
 */
final class EndpointRegistry {
    /** First delay before a failed subscription is renewed; it doubles with each further failure. */
    private static final long RESUBSCRIBE_DELAY_MICROS = 300_000;

    private static final int MAX_RESUBSCRIBE_DOUBLINGS = 6;
    /** A failed subscription is renewed at least this many times within the discovery deadline. */
    private static final int RESUBSCRIBES_PER_DISCOVERY_DEADLINE = 4;
    /** Unused destinations are evicted only if there are more destinations than this. */
    private static final int MIN_DESTINATIONS_BEFORE_EVICTION = 1_024;

    private static final DestinationKind DEFAULT_KIND = new DestinationKind(false, 1);

    private final CurrentSettings settings;
    private final Backoff backoff;
    private final SplittableRandom random;
    private final ServiceTimes serviceTimes;
    private final PendingMessages pending;
    private final Map<Integer, Destination> destinations = new TreeMap<>();
    private final Map<Long, Endpoint> endpoints = new TreeMap<>();
    private int destinationsBeforeEviction = MIN_DESTINATIONS_BEFORE_EVICTION;
    private long subscribeAt;
    private int failedSubscriptions;

    EndpointRegistry(
            CurrentSettings settings,
            Backoff backoff,
            SplittableRandom random,
            ServiceTimes serviceTimes,
            PendingMessages pending) {
        this.settings = settings;
        this.backoff = backoff;
        this.random = random;
        this.serviceTimes = serviceTimes;
        this.pending = pending;
        subscribeAt = settings.get().endpointListPolled() ? 0 : Micros.NEVER;
    }

    /** Returns the destination with this id and creates it if necessary; it need not be listed. */
    Destination destination(int id) {
        Destination destination = destinations.get(id);
        if (destination == null) {
            destination = new Destination(new UpstreamHealth(id, 0));
            destinations.put(id, destination);
        }
        return destination;
    }

    /** Returns all destinations in the order of their ids. */
    Collection<Destination> destinations() {
        return destinations.values();
    }

    /** Returns the endpoint with this id, null if there is none. */
    Endpoint endpoint(long id) {
        return endpoints.get(id);
    }

    /** Returns all endpoints in the order of their ids, including those that are gone and still have calls in flight. */
    Collection<Endpoint> endpoints() {
        return endpoints.values();
    }

    /** Returns the health of all known endpoints, each only once. */
    Set<UpstreamHealth> upstreams() {
        Set<UpstreamHealth> upstreams = new LinkedHashSet<>();
        for (Endpoint endpoint : endpoints.values()) {
            upstreams.add(endpoint.health);
        }
        return upstreams;
    }

    /** Removes destinations that have no listed endpoints and no messages, once there are many destinations. */
    void evictUnused() {
        if (destinations.size() > destinationsBeforeEviction) {
            destinations
                    .values()
                    .removeIf(destination -> destination.endpoints.isEmpty() && destination.pendingMessages == 0);
            destinationsBeforeEviction = Math.max(MIN_DESTINATIONS_BEFORE_EVICTION, 2 * destinations.size());
        }
    }

    /** Subscribes to the list if that is due, and otherwise requests a wake-up for when it is. */
    void subscribeIfDue(long now, WakeupTimer timer, Actions actions) {
        if (subscribeAt <= now) {
            actions.subscribe();
            subscribeAt = Micros.NEVER;
        }
        timer.request(subscribeAt);
    }

    /** Applies an endpoint list, changes of it, or a failed subscription. */
    void update(long now, EndpointListUpdated event) {
        if (event.kind() == EndpointListKind.FAILED) {
            long delayMicros = RESUBSCRIBE_DELAY_MICROS << Math.min(failedSubscriptions++, MAX_RESUBSCRIBE_DOUBLINGS);
            long maxDelayMicros = settings.rules().discoveryDeadlineMicros() / RESUBSCRIBES_PER_DISCOVERY_DEADLINE;
            subscribeAt = now + backoff.jitter(Math.min(delayMicros, maxDelayMicros));
            return;
        }
        failedSubscriptions = event.kind() == EndpointListKind.CACHED ? failedSubscriptions : 0;
        List<Endpoint> updated = new ArrayList<>();
        if (event.kind() != EndpointListKind.DELTA) {
            updated.addAll(endpoints.values());
        }
        destinations.values().forEach(destination -> serviceTimes.decay(now, destination));
        updated.forEach(endpoint -> endpoint.state = EndpointState.GONE);
        event.entries().forEach(entry -> updated.add(update(entry)));
        updated.forEach(this::removeIfGone);
        Set<Destination> changed = new LinkedHashSet<>();
        updated.forEach(endpoint -> changed.add(endpoint.destination));
        changed.forEach(destination -> pending.updateEstimatesAndWake(now, destination));
    }

    /** Removes an endpoint that is no longer listed and has no call in flight. */
    void removeIfGone(Endpoint endpoint) {
        if (endpoint.state == EndpointState.GONE && endpoint.callsInFlight == 0) {
            endpoints.remove(endpoint.id, endpoint);
            endpoint.destination.endpoints.remove(endpoint);
            endpoint.health.endpoints.remove(endpoint);
        }
    }

    private Endpoint update(EndpointEntry entry) {
        Endpoint endpoint = endpoints.get(entry.endpoint());
        if (endpoint == null) {
            endpoint = add(entry);
        }
        endpoint.zone = entry.zone();
        endpoint.state = entry.state();
        if (settings.get().weightKind() != WeightKind.NONE) {
            // If the list has no weights, a reported limit must survive a change of the list.
            endpoint.health.reportedLimit = entry.weight();
        }
        return endpoint;
    }

    /** Adds an endpoint at a random position among its siblings, because the order decides between endpoints of equal cost. */
    private Endpoint add(EndpointEntry entry) {
        Destination destination = destination(entry.destination());
        List<DestinationKind> kinds = settings.get().kinds();
        DestinationKind kind = kinds.isEmpty() ? DEFAULT_KIND : kinds.get(Math.min(entry.kind(), kinds.size() - 1));
        UpstreamHealth health = kind.independentEndpoints()
                ? new UpstreamHealth(entry.destination(), entry.endpoint())
                : destination.sharedHealth;
        Endpoint endpoint = new Endpoint(entry.endpoint(), destination, health, Math.max(1, kind.messagesPerCall()));
        endpoints.put(endpoint.id, endpoint);
        List<Endpoint> siblings = destination.endpoints;
        siblings.add(random.nextInt(siblings.size() + 1), endpoint);
        health.endpoints.add(endpoint);
        return endpoint;
    }
}
