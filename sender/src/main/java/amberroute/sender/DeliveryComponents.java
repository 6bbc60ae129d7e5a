package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.client.ClientServer;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.notification.FailureNotifier;
import amberroute.sender.upstream.UpstreamClient;
import java.util.List;

/**
 * Creates and connects the components of a sender that deliver messages: submission, scheduling, calls, outcomes and
 * notifications. Created before the event loop runs; the components are used on it.
 */
final class DeliveryComponents {
    final EndpointWatch endpoints;
    final SchedulerDriver scheduler;
    final PeerServices peers;
    final FleetCoordination fleet;
    final OutcomeProcessor outcomes;
    final UpstreamClient upstream;
    final FailureNotifier notifier;
    final SubmissionHandler submissions;
    final ClientServer clientServer;
    final MessageCompletion completion;
    final AttemptDispatcher attemptDispatcher;
    final MessageAcceptance acceptance;
    final SchedulerActions schedulerActions;
    final KeyHoldTracker keyHolds;
    final FormerOwnerAttempts formerOwnerAttempts;
    final MessageRecovery recovery;
    private final EndpointListUpdates endpointListUpdates;

    /** {@code actionHandler} is called once per event loop iteration, with the actions that the scheduler has decided on. */
    DeliveryComponents(
            SenderState state,
            EventLoopStallDetector stallDetector,
            DeliveryScheduler deliveryScheduler,
            SchedulerDriver.ActionHandler actionHandler) {
        SenderConfig config = state.config();
        StateFolder folder = state.folder();
        MessageTable messages = state.messages();
        SenderMetrics metrics = state.metrics();
        endpoints = new EndpointWatch(state.loop(), config, this::onEndpointList);
        scheduler = new SchedulerDriver(deliveryScheduler, state, stallDetector, endpoints::settled, actionHandler);
        peers = new PeerServices(config, state.loop(), folder, state.lifecycle());
        fleet = new FleetCoordination(state, scheduler);
        outcomes = new OutcomeProcessor(state, scheduler, fleet, endpoints);
        upstream = newUpstreamClient(state, stallDetector);
        notifier = new FailureNotifier(
                state.loop(),
                config.notificationAddress(),
                config.settings().seed() + 1,
                this::onNotificationAcknowledged);
        submissions = new SubmissionHandler(state, scheduler, peers);
        clientServer =
                new ClientServer(state.loop(), submissions, config.maxClientConnections(), config.requestMemoryBytes());
        completion = new MessageCompletion(state, scheduler, notifier, peers);
        attemptDispatcher = new AttemptDispatcher(folder, messages, scheduler, endpoints, upstream, peers);
        acceptance = new MessageAcceptance(folder, messages, scheduler, metrics, submissions, peers);
        schedulerActions =
                new SchedulerActions(state, scheduler, completion, attemptDispatcher, endpoints, upstream, fleet);
        keyHolds = new KeyHoldTracker(config.name(), folder, messages, scheduler, peers);
        formerOwnerAttempts = new FormerOwnerAttempts(state, scheduler, endpoints, outcomes);
        recovery =
                new MessageRecovery(state, scheduler, notifier, endpoints, fleet, keyHolds, peers, formerOwnerAttempts);
        endpointListUpdates = new EndpointListUpdates(endpoints, upstream, fleet, scheduler);
    }

    private UpstreamClient newUpstreamClient(SenderState state, EventLoopStallDetector stallDetector) {
        SenderConfig config = state.config();
        DeliveryScheduler.Limits limits = state.activeSettings().settings().limits();
        return new UpstreamClient(
                state.loop(),
                stallDetector,
                outcomes,
                limits.connectTimeoutMicros(),
                limits.idleConnectionLifeMicros(),
                config.maxUpstreamConnections(),
                config.reportNames());
    }

    private void onEndpointList(
            DeliveryScheduler.EndpointListKind kind, List<DeliveryScheduler.EndpointEntry> entries) {
        endpointListUpdates.listed(kind, entries);
    }

    private void onNotificationAcknowledged(AcceptedMessage message) {
        completion.onNotificationAcknowledged(message);
    }
}
