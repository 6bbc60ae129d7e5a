package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.upstream.UpstreamClient;
import java.util.List;

/** Applies changes of the endpoint list to connections, fleet rate limits and the scheduler. Event loop only. */
final class EndpointListUpdates implements EndpointWatch.Listener {
    private final EndpointWatch endpoints;
    private final UpstreamClient upstream;
    private final FleetCoordination fleet;
    private final SchedulerDriver scheduler;

    EndpointListUpdates(
            EndpointWatch endpoints, UpstreamClient upstream, FleetCoordination fleet, SchedulerDriver scheduler) {
        this.endpoints = endpoints;
        this.upstream = upstream;
        this.fleet = fleet;
        this.scheduler = scheduler;
    }

    @Override
    public void listed(DeliveryScheduler.EndpointListKind kind, List<DeliveryScheduler.EndpointEntry> entries) {
        upstream.preventWrites(route -> !endpoints.isReady(route.endpoint()));
        // A new endpoint at the address of a removed one must not reuse its connections.
        upstream.closeIdle(endpoints::hasLeft);
        fleet.applyKnownRateLimits(entries);
        scheduler.submit(new Event.EndpointListUpdated(kind, entries));
    }
}
