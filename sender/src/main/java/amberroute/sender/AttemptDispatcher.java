package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.decision.SchedulerAction;
import amberroute.sender.decision.SchedulerAction.Send;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.CallBatching;
import amberroute.sender.upstream.IdempotencyWindow;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.Log;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Starts the calls that the scheduler decides on: journals each attempt, and makes the call after the record is durable. An attempt
 * that is not made is reported to the scheduler as {@link AttemptOutcome#MOOT}. Event loop only.
 */
final class AttemptDispatcher {
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final EndpointWatch endpoints;
    private final UpstreamClient upstream;
    private final PeerServices peers;
    /** Attempts cancelled while their record is being forced to disk; at most one for each message. */
    private final Set<UpstreamClient.CallMessage> cancelled = new HashSet<>();

    AttemptDispatcher(
            StateFolder folder,
            MessageTable messages,
            SchedulerDriver scheduler,
            EndpointWatch endpoints,
            UpstreamClient upstream,
            PeerServices peers) {
        this.folder = folder;
        this.messages = messages;
        this.scheduler = scheduler;
        this.endpoints = endpoints;
        this.upstream = upstream;
        this.peers = peers;
    }

    /** Starts the calls of one event loop iteration, batched by {@link CallBatching}. */
    void startCalls(List<SchedulerAction> actions) {
        List<Send> sends = new ArrayList<>();
        for (SchedulerAction action : actions) {
            if (action instanceof Send send) {
                sends.add(send);
            }
        }
        CallBatching.of(sends, endpoints::messagesPerCall)
                .forEach(batch -> Log.guarded("call", () -> startCall(batch)));
    }

    private void startCall(List<Send> batch) {
        long endpoint = batch.get(0).endpoint();
        long attemptDeadlineMicros = batch.get(0).giveUpAt();
        UpstreamClient.Route route = endpoints.route(endpoint);
        List<UpstreamClient.CallMessage> callMessages = new ArrayList<>();
        for (Send send : batch) {
            AcceptedMessage message = messages.accepted().get(send.id());
            if (message == null) {
                reportMoot(send.id(), 0, endpoint, true);
            } else if (route != null && recordAttempt(message, endpoints.uid(endpoint), attemptDeadlineMicros)) {
                callMessages.add(new UpstreamClient.CallMessage(message, message.attempts - 1));
            } else {
                message.attempts++;
                reportMoot(message.number, message.attempts - 1, endpoint, false);
            }
        }
        if (!callMessages.isEmpty()) {
            startOrAbort(route, callMessages, () -> startWhenDurable(route, callMessages, attemptDeadlineMicros));
        }
    }

    /** Runs {@code start}; attempts that a defect keeps from being made end, as the scheduler takes them for calls in flight. */
    private void startOrAbort(
            UpstreamClient.Route route, List<UpstreamClient.CallMessage> callMessages, Runnable start) {
        if (!Log.guarded("call", start)) {
            abortAttempts(
                    route,
                    callMessages.stream()
                            .filter(callMessage -> !upstream.isCalled(callMessage.message()))
                            .toList());
        }
    }

    private void startWhenDurable(
            UpstreamClient.Route route, List<UpstreamClient.CallMessage> callMessages, long attemptDeadlineMicros) {
        boolean allRetrySafe =
                callMessages.stream().allMatch(callMessage -> messages.isRetrySafe(callMessage.message()));
        long longestTrustedIdleMicros =
                allRetrySafe ? SchedulerDriver.UNLIMITED_MICROS : scheduler.longestTrustedIdleMicros();
        Runnable start = () -> startUncancelled(route, callMessages, attemptDeadlineMicros, longestTrustedIdleMicros);
        folder.journal()
                .whenDurable(() -> startOrAbort(route, callMessages, start), () -> abortAttempts(route, callMessages));
    }

    /**
     * Journals an attempt with the time at which it is given up. Returns whether it may be made: an attempt of an idempotent message
     * may, even if the disk takes no record, unless the journal is replicated.
     */
    private boolean recordAttempt(AcceptedMessage message, String endpointUid, long attemptDeadlineMicros) {
        long nowMillis = folder.steadyMillis();
        long giveUpMillis =
                nowMillis + SchedulerActions.millisRoundedUp(attemptDeadlineMicros - SchedulerClock.micros());
        if (folder.journal().recordAttempt(message, endpointUid, nowMillis, giveUpMillis)) {
            return true;
        }
        if (messages.classes().type(message.classNumber).idempotency() != DeliveryScheduler.Idempotency.IDEMPOTENT
                || peers.isReplicated()) {
            return false;
        }
        folder.journal().recordAttemptEventually(message, endpointUid, nowMillis, giveUpMillis);
        return true;
    }

    /**
     * Makes the call without attempts that were cancelled, or whose message completed, while the record was being forced; none to an endpoint
     * that takes no new calls by now.
     */
    private void startUncancelled(
            UpstreamClient.Route route,
            List<UpstreamClient.CallMessage> callMessages,
            long attemptDeadlineMicros,
            long longestTrustedIdleMicros) {
        boolean takesCalls = endpoints.isReady(route.endpoint());
        List<UpstreamClient.CallMessage> remaining = callMessages.stream()
                .filter(callMessage -> takesCalls
                        && messages.accepted().containsKey(callMessage.message().number)
                        && !cancelled.contains(callMessage))
                .toList();
        List<UpstreamClient.CallMessage> dropped = callMessages.stream()
                .filter(callMessage -> !remaining.contains(callMessage))
                .toList();
        if (!dropped.isEmpty()) {
            abortAttempts(route, dropped);
        }
        if (!remaining.isEmpty()) {
            upstream.start(
                    route,
                    remaining,
                    attemptDeadlineMicros - SchedulerClock.micros(),
                    longestTrustedIdleMicros,
                    IdempotencyWindow.left(remaining, messages.classes()::type, folder.steadyMillis()));
        }
    }

    /** Ends attempts that were journaled but not made. */
    private void abortAttempts(UpstreamClient.Route route, List<UpstreamClient.CallMessage> callMessages) {
        for (UpstreamClient.CallMessage callMessage : callMessages) {
            AcceptedMessage message = callMessage.message();
            cancelled.remove(callMessage);
            boolean stillAccepted = messages.accepted().containsKey(message.number);
            if (stillAccepted) {
                folder.journal().recordOutcome(message, false);
            }
            reportMoot(message.number, callMessage.attempt(), route.endpoint(), !stillAccepted);
        }
    }

    private void reportMoot(long messageNumber, int attempt, long endpoint, boolean messageCompleted) {
        scheduler.submit(new Event.AttemptCompleted(
                messageNumber, attempt, endpoint, AttemptOutcome.MOOT, 0, messageCompleted, 0, List.of()));
    }

    /** Cancels an attempt that is in flight, or whose record is being forced. */
    void cancel(AcceptedMessage message, int attempt) {
        if (!upstream.cancel(message, attempt) && folder.journal().deferredEffectCount() > 0) {
            cancelled.add(new UpstreamClient.CallMessage(message, attempt));
        }
    }

    /**
     * Forgets cancelled attempts if all records are durable, since no call is waiting for a record then. To be called at the end
     * of an iteration.
     */
    void clearCancelledOnceDurable() {
        if (folder.journal().deferredEffectCount() == 0) {
            cancelled.clear();
        }
    }

    /** Forgets all cancelled attempts, before the messages are read from the journal again. */
    void clear() {
        cancelled.clear();
    }
}
