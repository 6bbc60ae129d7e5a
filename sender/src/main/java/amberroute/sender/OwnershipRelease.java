package amberroute.sender;

import amberroute.sender.client.ClientServer;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.ConnectionRetirement;
import amberroute.sender.lifecycle.LifecyclePhase;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.OutgoingTransfer;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.lifecycle.TransferredState;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonObject;
import java.util.List;

/** Transfers the ownership of the messages to a successor process that requests it. Event loop only. */
final class OwnershipRelease implements OutgoingTransfer.Host {
    /** A message with less time left completes before the transfer, as the successor's first iteration may come this late. */
    private static final long MIN_TIME_LEFT_MS = 700;
    /** Number of steps in which idle client connections are closed. */
    private static final int CONNECTION_RETIREMENT_STEPS = 100;

    private final LifecycleState lifecycle;
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final MessageCompletion completion;
    private final EndpointWatch endpoints;
    private final EndpointFileFollower endpointFile;
    private final UpstreamClient upstream;
    private final CallsInFlight callsInFlight;
    private final ClientServer clientServer;
    private final ConnectionRetirement connections;
    private final PeerServices peers;
    private final OwnershipTransfers transfers;
    private final Runnable startReclaim;

    /** {@code startReclaim} starts the reclaim of the state folder. */
    OwnershipRelease(
            SenderState state,
            DeliveryComponents delivery,
            EndpointFileFollower endpointFile,
            CallsInFlight callsInFlight,
            ConnectionRetirement connections,
            Runnable startReclaim) {
        lifecycle = state.lifecycle();
        folder = state.folder();
        messages = state.messages();
        transfers = state.transfers();
        scheduler = delivery.scheduler;
        completion = delivery.completion;
        endpoints = delivery.endpoints;
        upstream = delivery.upstream;
        clientServer = delivery.clientServer;
        peers = delivery.peers;
        this.endpointFile = endpointFile;
        this.callsInFlight = callsInFlight;
        this.connections = connections;
        this.startReclaim = startReclaim;
    }

    @Override
    public String rejectionReason() {
        if (!lifecycle.ready()) {
            return "not serving";
        }
        if (peers.handoff() != null) {
            return "hands over to peers, which excludes this";
        }
        // The successor would not know of these calls, and would make them a second time.
        return transfers.incoming() != null && transfers.incoming().hasCallsInFlight()
                ? "calls of the process before this one are still out"
                : null;
    }

    @Override
    public JsonObject releaseOwnership() {
        // Answers submissions that wait for the iteration, as neither process would own them afterwards.
        scheduler.runIteration();
        completeMessagesDueSoon();
        // No ownership is released yet: if this statement fails, this process goes on.
        JsonObject state = stateToTransfer();
        lifecycle.releaseOwnership();
        lifecycle.enter(LifecyclePhase.TRANSFERRED);
        scheduler.halt();
        endpoints.stop();
        // Notifications in flight continue here. The successor sends them again, which is harmless but later.
        clientServer.retire();
        upstream.closeIdle(endpoint -> true);
        endpointFile.close();
        folder.close();
        LogEvent.of("ownership_transferred")
                .with("messages", messages.accepted().size())
                .with("calls_in_flight", upstream.callCount())
                .warn();
        int connectionsPerStep = 1 + clientServer.connections() / CONNECTION_RETIREMENT_STEPS;
        connections.startRetiring(connectionsPerStep, transfers.outgoing()::unansweredSubmissions);
        return state;
    }

    private void completeMessagesDueSoon() {
        long minDeadlineMillis = folder.steadyMillis() + MIN_TIME_LEFT_MS;
        for (AcceptedMessage message : List.copyOf(messages.accepted().values())) {
            if (!message.attemptInFlight && message.deadlineMillis < minDeadlineMillis) {
                completion.completeUndelivered(message);
            }
        }
    }

    private JsonObject stateToTransfer() {
        return new TransferredState(
                        System.nanoTime(),
                        endpoints.toJson(callsInFlight.endpointNumbers()::contains),
                        callsInFlight.list(),
                        scheduler.snapshots(),
                        scheduler.pausedKeys())
                .write(endpoints::uid);
    }

    @Override
    public void cancel(long messageNumber) {
        AcceptedMessage message = messages.accepted().get(messageNumber);
        if (message != null) {
            upstream.cancel(message, message.attempts - 1);
        }
    }

    @Override
    public void successorGone() {
        startReclaim.run();
    }
}
