package amberroute.sender;

import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.TransferredState;
import amberroute.sender.upstream.UpstreamClient;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Lists the calls in flight of this process for a transfer of ownership. Event loop only. */
final class CallsInFlight {
    private final UpstreamClient upstream;
    private final EndpointWatch endpoints;

    CallsInFlight(UpstreamClient upstream, EndpointWatch endpoints) {
        this.upstream = upstream;
        this.endpoints = endpoints;
    }

    /** All calls in flight, with the numbers of their messages. */
    List<TransferredState.CallInFlight> list() {
        return upstream.callsInFlight().stream()
                .map(call -> new TransferredState.CallInFlight(
                        call.items.stream()
                                .map(callMessage -> callMessage.message().number)
                                .toList(),
                        endpoints.uid(call.route.endpoint()),
                        UpstreamClient.elapsedMicros(call)))
                .toList();
    }

    /** The numbers of the endpoints with calls in flight. */
    Set<Long> endpointNumbers() {
        Set<Long> calledEndpoints = new HashSet<>();
        upstream.callsInFlight().forEach(call -> calledEndpoints.add(call.route.endpoint()));
        return calledEndpoints;
    }
}
