package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;

/**
 * Applies the outcomes of attempts to the journal, the metrics, the fleet coordination and the scheduler. While another process
 * owns the messages, forwards outcomes to that process instead. Event loop only.
 */
final class OutcomeProcessor implements UpstreamClient.Listener {
    private final StateFolder folder;
    private final LifecycleState lifecycle;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final SenderMetrics metrics;
    private final FleetCoordination fleet;
    private final EndpointWatch endpoints;
    private final OwnershipTransfers transfers;

    OutcomeProcessor(SenderState state, SchedulerDriver scheduler, FleetCoordination fleet, EndpointWatch endpoints) {
        folder = state.folder();
        lifecycle = state.lifecycle();
        messages = state.messages();
        metrics = state.metrics();
        transfers = state.transfers();
        this.scheduler = scheduler;
        this.fleet = fleet;
        this.endpoints = endpoints;
    }

    @Override
    public void attemptCompleted(UpstreamClient.Result result) {
        if (!lifecycle.ownershipReleased()) {
            process(result);
        } else if (transfers.outgoing() != null) {
            // Keeps the endpoint's state, Retry-After above all, up to date in case this process reclaims the
            // ownership.
            scheduler.stepWithoutActions(completedEvent(result));
            transfers.outgoing().forwardOutcome(result, endpoints.uid(result.endpoint()));
        }
        // Otherwise another sender owns the replicated journal, and treats the attempt as one that may have run.
    }

    @Override
    public void beforeWrite() {
        if (!lifecycle.ownershipReleased()) {
            folder.journal().checkFencingToken();
        }
    }

    @Override
    public void callWritten(int messageCount) {
        metrics.callWritten(messageCount);
    }

    /** Journals the outcome of an attempt and reports it to the scheduler. */
    void process(UpstreamClient.Result result) {
        AcceptedMessage message = result.message();
        fleet.onAttemptCompleted(message.destination, result.outcome());
        metrics.attemptCompleted(message.destination, result.endpoint(), result.outcome());
        if (result.messageCompleted()) {
            completeMessage(message, result.outcome());
        } else if (messages.accepted().containsKey(message.number)) {
            folder.journal().recordOutcome(message, result.outcome().mayHaveRun());
        }
        scheduler.submit(completedEvent(result));
    }

    private void completeMessage(AcceptedMessage message, AttemptOutcome outcome) {
        folder.journal().complete(message);
        if (messages.accepted().remove(message.number) != null && outcome == AttemptOutcome.OK) {
            metrics.completed(message.className, SenderMetrics.MessageResult.OK);
            fleet.onDelivery(message.destination);
        }
    }

    private static Event completedEvent(UpstreamClient.Result result) {
        return new Event.AttemptCompleted(
                result.message().number,
                result.attempt(),
                result.endpoint(),
                result.outcome(),
                result.durationMicros(),
                result.messageCompleted(),
                result.retryAfterMicros(),
                result.loadReport(),
                result.connectionIdleMicros());
    }
}
