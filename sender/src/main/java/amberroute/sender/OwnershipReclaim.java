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
 * Resumes the ownership after the successor process is gone: rereads the journal, and matches it with the calls and clients that
 * this process still has. Event loop only, except {@link #tryAcquire}.
 */
final class OwnershipReclaim implements FolderReclaim.Host {
    /** Exit code if the ownership cannot be resumed. */
    private static final int EXIT_CODE_FAILED = 1;

    /** The parts of a reclaim that the sender carries out. */
    interface Owner {
        /** Opens the state folder, whose lock this process has, and listens for the next successor. Not on the event loop. */
        void openFolder() throws IOException;

        /** Drops all messages in memory, as the journal states which are pending. */
        void clearMessages();

        /** Restores all messages from the journal, with {@code leavingEndpoints} as the endpoint watch returned them. */
        void restore(JsonArray leavingEndpoints);

        /** Resumes serving, and begins the stop that was requested in the meantime, if any. */
        void resumeServing();
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
        List<DeliveryScheduler.UpstreamSnapshot> upstreamSnapshots = scheduler.snapshots();
        List<DeliveryScheduler.KeyPause> keyPauses = scheduler.pausedKeys();
        owner.clearMessages();
        OutgoingTransfer.UnacknowledgedWork unacknowledgedWork =
                transfers.outgoing().takeBack();
        JsonArray leavingEndpoints = endpoints.resume(callsInFlight.endpointNumbers()::contains);
        Map<Long, AcceptedMessage> pendingByNumber = new HashMap<>();
        folder.journal().pendingMessages().forEach(message -> pendingByNumber.put(message.number, message));
        upstream.rebind(callMessage -> unfinishedAttempt(pendingByNumber, callMessage.message()));
        List<UpstreamClient.Result> unjournaledOutcomes = unacknowledgedWork.outcomes().stream()
                .map(result -> unjournaledOutcome(pendingByNumber, result))
                .filter(Objects::nonNull)
                .toList();
        restoreFromJournal(leavingEndpoints, callsToRestore(unjournaledOutcomes), upstreamSnapshots, keyPauses);
        unjournaledOutcomes.forEach(outcomes::process);
        owner.resumeServing();
        unacknowledgedWork
                .submissions()
                .forEach(resubmission -> submissions.submitted(resubmission.submission(), resubmission.answer()));
        LogEvent.of("ownership_reclaimed")
                .with("messages", messages.accepted().size())
                .with("calls_in_flight", upstream.callCount())
                .with("settled_outcomes", unjournaledOutcomes.size())
                .with("settled_submissions", unacknowledgedWork.submissions().size())
                .warn();
    }

    private void restoreFromJournal(
            JsonArray leavingEndpoints,
            List<TransferredState.CallInFlight> calls,
            List<DeliveryScheduler.UpstreamSnapshot> upstreamSnapshots,
            List<DeliveryScheduler.KeyPause> keyPauses) {
        transfers.setTransferredState(
                new TransferredState(System.nanoTime(), new JsonObject(), calls, upstreamSnapshots, keyPauses));
        calls.forEach(call -> transfers.transferredCallMessages().addAll(call.numbers()));
        owner.restore(leavingEndpoints);
        transfers.clearTransferredState();
    }

    /** The attempt as the journal has it, null if the successor has attempted the message again or completed it. */
    private static UpstreamClient.CallMessage unfinishedAttempt(
            Map<Long, AcceptedMessage> pendingByNumber, AcceptedMessage previous) {
        AcceptedMessage current = pendingByNumber.get(previous.number);
        boolean unfinished = current != null
                && current.pendingNotification == null
                && current.attemptInFlight
                && current.attempts == previous.attempts
                && current.attemptEndpoint.equals(previous.attemptEndpoint);
        return unfinished ? new UpstreamClient.CallMessage(current, current.attempts - 1) : null;
    }

    /** The outcome that was sent to the successor, null if the successor has journaled it. */
    private static UpstreamClient.Result unjournaledOutcome(
            Map<Long, AcceptedMessage> pendingByNumber, UpstreamClient.Result result) {
        UpstreamClient.CallMessage attempt = unfinishedAttempt(pendingByNumber, result.message());
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

    private List<TransferredState.CallInFlight> callsToRestore(List<UpstreamClient.Result> unjournaledOutcomes) {
        List<TransferredState.CallInFlight> calls = new ArrayList<>(callsInFlight.list());
        unjournaledOutcomes.forEach(result -> calls.add(new TransferredState.CallInFlight(
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
        connections.finish(EXIT_CODE_FAILED);
    }
}
