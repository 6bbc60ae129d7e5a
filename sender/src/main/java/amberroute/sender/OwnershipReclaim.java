package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.client.ClientServer;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.ConnectionRetirement;
import amberroute.sender.lifecycle.FolderReclaim;
import amberroute.sender.lifecycle.OutgoingTransfer;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.lifecycle.TransferredState;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * Resumes the ownership after the successor process has gone: the journal is read again, and the calls and clients that this process
 * still has are matched with it. Event loop only, but for {@link #tryAcquire}.
 */
final class OwnershipReclaim implements FolderReclaim.Host {
    /** Exit code of a process that cannot go on. */
    private static final int EXIT_FAILED = 1;

    /** What the reclaim asks of the sender. */
    interface Owner {
        /** Opens the state folder, whose lock is held, and listens for the next successor. Not on the event loop. */
        void openFolder() throws IOException;

        /** Forgets all messages, as the journal says which are pending. */
        void forgetMessages();

        /** Restores all messages from the journal, with {@code leaving} as the endpoint watch returned it. */
        void restore(JsonArray leaving);

        /** Serves again, with the stop that was requested meanwhile, if any. */
        void serveAgain();
    }

    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final EndpointWatch endpoints;
    private final UpstreamClient upstream;
    private final CallsInFlight callsInFlight;
    private final ClientServer clientServer;
    private final OutcomeProcessor outcomes;
    private final ClientServer.Acceptor submissions;
    private final ConnectionRetirement connections;
    private final OwnershipTransfers transfers;
    private final Owner owner;

    OwnershipReclaim(
            SenderState state,
            DeliveryComponents delivery,
            CallsInFlight callsInFlight,
            ConnectionRetirement connections,
            Owner owner) {
        folder = state.folder();
        messages = state.messages();
        transfers = state.transfers();
        scheduler = delivery.scheduler;
        endpoints = delivery.endpoints;
        upstream = delivery.upstream;
        clientServer = delivery.clientServer;
        outcomes = delivery.outcomes;
        submissions = delivery.submissions;
        this.callsInFlight = callsInFlight;
        this.connections = connections;
        this.owner = owner;
    }

    @Override
    public boolean tryAcquire() throws IOException {
        if (!folder.tryLock()) {
            return false;
        }
        try {
            owner.openFolder();
            return true;
        } catch (IOException | RuntimeException e) {
            folder.close();
            throw e;
        }
    }

    @Override
    public void resume() {
        connections.stopRetiring();
        List<DeliveryScheduler.UpstreamSnapshot> snapshots = scheduler.snapshots();
        List<DeliveryScheduler.KeyPause> pauses = scheduler.pausedKeys();
        owner.forgetMessages();
        OutgoingTransfer.UnacknowledgedWork unsettled = transfers.outgoing().takeBack();
        JsonArray leaving = endpoints.resume(callsInFlight.endpointNumbers()::contains);
        Map<Long, AcceptedMessage> live = new HashMap<>();
        folder.journal().pendingMessages().forEach(message -> live.put(message.number, message));
        upstream.rebind(item -> unsettledAttempt(live, item.message()));
        List<UpstreamClient.Result> unsettledOutcomes = unsettled.outcomes().stream()
                .map(result -> unsettledOutcome(live, result))
                .filter(Objects::nonNull)
                .toList();
        restore(leaving, callsWith(unsettledOutcomes), snapshots, pauses);
        unsettledOutcomes.forEach(outcomes::process);
        owner.serveAgain();
        unsettled.submissions().forEach(again -> submissions.submitted(again.submission(), again.answer()));
        LogEvent.of("ownership_reclaimed")
                .with("messages", messages.accepted().size())
                .with("calls_in_flight", upstream.callCount())
                .with("settled_outcomes", unsettledOutcomes.size())
                .with("settled_submissions", unsettled.submissions().size())
                .warn();
    }

    private void restore(
            JsonArray leaving,
            List<TransferredState.CallInFlight> calls,
            List<DeliveryScheduler.UpstreamSnapshot> snapshots,
            List<DeliveryScheduler.KeyPause> pauses) {
        transfers.setState(new TransferredState(System.nanoTime(), new JsonObject(), calls, snapshots, pauses));
        calls.forEach(call -> transfers.callsInFlight().addAll(call.numbers()));
        owner.restore(leaving);
        transfers.clearState();
    }

    /** The attempt as the journal has it, null where the successor has gone on with the message, or completed it. */
    private static UpstreamClient.CallMessage unsettledAttempt(
            Map<Long, AcceptedMessage> live, AcceptedMessage before) {
        AcceptedMessage current = live.get(before.number);
        boolean unsettled = current != null
                && current.pendingNotification == null
                && current.attemptInFlight
                && current.attempts == before.attempts
                && current.attemptEndpoint.equals(before.attemptEndpoint);
        return unsettled ? new UpstreamClient.CallMessage(current, current.attempts - 1) : null;
    }

    /** An outcome that the successor was sent and has not journaled, null where it has. */
    private static UpstreamClient.Result unsettledOutcome(
            Map<Long, AcceptedMessage> live, UpstreamClient.Result result) {
        UpstreamClient.CallMessage attempt = unsettledAttempt(live, result.message());
        return attempt == null
                ? null
                : new UpstreamClient.Result(
                        attempt.message(),
                        attempt.attempt(),
                        result.endpoint(),
                        result.outcome(),
                        result.durationMicros(),
                        result.messageCompleted(),
                        result.retryAfterMicros(),
                        result.loadReport(),
                        result.connectionIdleMicros());
    }

    private List<TransferredState.CallInFlight> callsWith(List<UpstreamClient.Result> unsettledOutcomes) {
        List<TransferredState.CallInFlight> calls = new ArrayList<>(callsInFlight.list());
        unsettledOutcomes.forEach(result -> calls.add(new TransferredState.CallInFlight(
                List.of(result.message().number), endpoints.uid(result.endpoint()), result.durationMicros())));
        return calls;
    }

    @Override
    public void abandon() {
        transfers.outgoing().abandon();
        upstream.cancelAll();
        clientServer.closeResting(Integer.MAX_VALUE);
    }

    @Override
    public void failed() {
        connections.finish(EXIT_FAILED);
    }
}
