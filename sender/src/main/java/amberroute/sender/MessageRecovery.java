package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.lifecycle.TransferredState;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.notification.FailureNotifier;
import com.google.gson.JsonArray;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Restores the state of the scheduler from the journal and from what a predecessor process transferred: at the start of a
 * process, after a reclaim, and for messages taken over from other senders. Event loop only.
 */
final class MessageRecovery {
    private static final long MICROS_PER_MILLI = 1_000;
    /** In place of the age of an unknown outcome, for a message without one. */
    private static final long NO_UNKNOWN_OUTCOME = -1;

    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final SenderMetrics metrics;
    private final FailureNotifier notifier;
    private final EndpointWatch endpoints;
    private final FleetCoordination fleet;
    private final KeyHoldTracker keyHolds;
    private final OwnershipTransfers transfers;
    private final PeerServices peers;
    private final FormerOwnerAttempts formerOwnerAttempts;

    MessageRecovery(
            SenderState state,
            SchedulerDriver scheduler,
            FailureNotifier notifier,
            EndpointWatch endpoints,
            FleetCoordination fleet,
            KeyHoldTracker keyHolds,
            PeerServices peers,
            FormerOwnerAttempts formerOwnerAttempts) {
        folder = state.folder();
        messages = state.messages();
        metrics = state.metrics();
        transfers = state.transfers();
        this.scheduler = scheduler;
        this.notifier = notifier;
        this.endpoints = endpoints;
        this.fleet = fleet;
        this.keyHolds = keyHolds;
        this.peers = peers;
        this.formerOwnerAttempts = formerOwnerAttempts;
    }

    /**
     * Applies the transferred endpoint list, if there is one. Returns endpoints that are listed only for calls still in flight.
     */
    JsonArray applyTransferredEndpoints() {
        if (transfers.transferredState() == null) {
            return new JsonArray();
        }
        Set<String> calledEndpointUids = new HashSet<>();
        transfers.transferredState().callsInFlight().forEach(call -> calledEndpointUids.add(call.uid()));
        JsonArray leavingEndpoints =
                endpoints.takeOver(transfers.transferredState().endpointList(), calledEndpointUids);
        for (TransferredState.CallInFlight call : transfers.transferredState().callsInFlight()) {
            if (endpoints.listed(call.uid())) {
                transfers.transferredCallMessages().addAll(call.numbers());
            } else {
                // The scheduler cannot track a call to an unknown endpoint, and would make it a second time.
                call.numbers().forEach(transfers.incoming()::cancel);
            }
        }
        return leavingEndpoints;
    }

    /**
     * Restores health, classes, key holds and messages. {@code leavingEndpoints} is the result of
     * {@link #applyTransferredEndpoints}; {@code applySettings} activates the settings after the classes in the journal are known.
     */
    void restore(JsonArray leavingEndpoints, Runnable applySettings) {
        restoreHealth();
        folder.journal().classes().forEach(messages.classes()::restore);
        applySettings.run();
        folder.journal().expireKeyHolds(folder.steadyMillis());
        restoreMessages();
        if (transfers.transferredState() != null) {
            restoreTransferredState();
            endpoints.release(leavingEndpoints);
        }
    }

    /**
     * Restores messages and key holds in the order in which they were journaled: messages accepted before a hold do not wait for
     * it.
     */
    private void restoreMessages() {
        Map<Long, Long> holdRanks = folder.journal().keyHoldRanks();
        for (AcceptedMessage message : List.copyOf(folder.journal().pendingMessages())) {
            Long holdRank = holdRanks.get(message.key);
            if (holdRank != null && holdRank < message.rank) {
                keyHolds.block(List.of(message.key));
            }
            restoreMessage(message);
        }
        keyHolds.block(holdRanks.keySet());
    }

    private void restoreHealth() {
        folder.journal()
                .healthRecords()
                .forEach(healthRecord -> fleet.onHealthChanged(
                        healthRecord.destination(),
                        healthRecord.status(),
                        Math.max(
                                0,
                                SchedulerClock.micros()
                                        - (folder.steadyMillis() - healthRecord.sinceMillis()) * MICROS_PER_MILLI)));
        folder.journal()
                .healthRecords()
                .forEach(healthRecord -> scheduler.submit(new Event.HealthRestored(
                        new DeliveryScheduler.HealthCheckpoint(
                                healthRecord.destination(),
                                endpointNumber(healthRecord.uid()),
                                healthRecord.status(),
                                0,
                                healthRecord.callsPerSecond(),
                                healthRecord.usualLatencyMicros()),
                        Math.max(0, folder.steadyMillis() - healthRecord.sinceMillis()) * MICROS_PER_MILLI)));
    }

    private void restoreMessage(AcceptedMessage message) {
        if (messages.classes().version(message.classNumber) == null) {
            message.classNumber = messages.classes().number(message.className);
        }
        if (message.pendingNotification == null && message.classNumber < 0) {
            folder.journal().endWithNotice(message, message.failed());
            metrics.completed(message.className, SenderMetrics.MessageResult.ERRORS);
        }
        if (message.pendingNotification != null) {
            resumeNotification(message);
        } else if (!message.offeredToPeer) {
            restorePending(message);
        }
    }

    /** Puts a message that another process or owner had accepted into delivery, with the attempt that it may have had in flight. */
    void restorePending(AcceptedMessage message) {
        messages.accepted().put(message.number, message);
        message.attemptByFormerOwner |= message.attemptInFlight && peers.isFailover();
        if (formerOwnerAttempts.mayBeInFlight(message)) {
            resumeInFlight(message);
            return;
        }
        boolean attemptInterrupted =
                message.attemptInFlight && !transfers.transferredCallMessages().contains(message.number);
        if (attemptInterrupted) {
            folder.journal().recordOutcome(message, true);
        }
        resume(message, attemptInterrupted);
    }

    /** Passes an accepted message to the scheduler whose last attempt, by a former owner, may still be in flight. */
    private void resumeInFlight(AcceptedMessage message) {
        submitRecovered(message, message.attempts - 1, false);
        formerOwnerAttempts.follow(message);
    }

    /** Sends the notification of a completed message again; the next message of its key waits until it is acknowledged. */
    void resumeNotification(AcceptedMessage message) {
        if (messages.isOrdered(message)) {
            scheduler.submit(new Event.CompletedMessageRecovered(message.number, message.key));
        }
        notifier.send(message);
    }

    /**
     * Passes an accepted message to the scheduler; {@code attemptInterrupted} states that an attempt may still run unobserved.
     */
    void resume(AcceptedMessage message, boolean attemptInterrupted) {
        boolean callInFlight = transfers.transferredCallMessages().contains(message.number);
        submitRecovered(message, message.attempts - (callInFlight ? 1 : 0), attemptInterrupted);
    }

    private void submitRecovered(AcceptedMessage message, int endedAttempts, boolean attemptInterrupted) {
        scheduler.submit(new Event.MessageRecovered(
                message.number,
                message.classNumber,
                message.key,
                (message.deadlineMillis - folder.steadyMillis()) * MICROS_PER_MILLI,
                message.destination,
                endedAttempts,
                unknownOutcomeAgeMicros(message),
                endpointNumber(message.unknownOutcomeEndpoint),
                attemptInterrupted));
    }

    private long unknownOutcomeAgeMicros(AcceptedMessage message) {
        if (message.unknownOutcomeSinceMillis == 0) {
            return NO_UNKNOWN_OUTCOME;
        }
        return folder.clock().isBeforeGap(message.unknownOutcomeSinceMillis)
                ? SchedulerDriver.UNLIMITED_MICROS
                : Math.max(0, (folder.steadyMillis() - message.unknownOutcomeSinceMillis) * MICROS_PER_MILLI);
    }

    private long endpointNumber(String endpointUid) {
        return endpointUid.isEmpty() ? 0 : endpoints.number(endpointUid);
    }

    private void restoreTransferredState() {
        TransferredState state = transfers.transferredState();
        long sinceTransferMicros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, System.nanoTime() - state.atNanos()));
        state.snapshots().forEach(snapshot -> scheduler.submit(new Event.UpstreamStateTransferred(snapshot)));
        for (TransferredState.CallInFlight call : state.callsInFlight()) {
            scheduler.submit(new Event.CallInFlight(
                    call.numbers(), endpoints.number(call.uid()), call.sentAgoMicros() + sinceTransferMicros));
        }
        state.pausedKeys().forEach(pause -> scheduler.submit(new Event.KeyPaused(pause)));
    }
}
