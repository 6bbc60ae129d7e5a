package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
import amberroute.sender.decision.SchedulerAction;
import amberroute.sender.decision.SchedulerAction.Cancel;
import amberroute.sender.decision.SchedulerAction.CloseIdle;
import amberroute.sender.decision.SchedulerAction.Fail;
import amberroute.sender.decision.SchedulerAction.Reject;
import amberroute.sender.decision.SchedulerAction.ReportUpstreamObservation;
import amberroute.sender.decision.SchedulerAction.ReportUpstreamState;
import amberroute.sender.decision.SchedulerAction.SaveCheckpoint;
import amberroute.sender.decision.SchedulerAction.ScheduleTimer;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.journal.HealthRecord;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.upstream.UpstreamClient;

/** Carries out the scheduler's actions other than the acceptance of messages and the start of calls. Event loop only. */
final class SchedulerActions {
    private static final long MICROS_PER_MILLI = 1_000;

    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final MessageCompletion completion;
    private final AttemptDispatcher attemptDispatcher;
    private final EndpointWatch endpoints;
    private final UpstreamClient upstream;
    private final FleetCoordination fleet;
    private final OwnershipTransfers transfers;
    private final UpstreamReporter upstreamReporter;

    SchedulerActions(
            SenderState state,
            SchedulerDriver scheduler,
            MessageCompletion completion,
            AttemptDispatcher attemptDispatcher,
            EndpointWatch endpoints,
            UpstreamClient upstream,
            FleetCoordination fleet) {
        folder = state.folder();
        messages = state.messages();
        transfers = state.transfers();
        upstreamReporter = new UpstreamReporter(state.metrics(), endpoints::uid);
        this.scheduler = scheduler;
        this.completion = completion;
        this.attemptDispatcher = attemptDispatcher;
        this.endpoints = endpoints;
        this.upstream = upstream;
        this.fleet = fleet;
    }

    /** Completes an accepted message if the action rejects or fails it. */
    void complete(SchedulerAction action) {
        if (action instanceof Reject reject && messages.accepted().containsKey(reject.id())) {
            completion.reject(reject.id(), millisRoundedUp(reject.retryAfter()));
        } else if (action instanceof Fail fail && messages.accepted().containsKey(fail.id())) {
            completion.fail(fail.id());
        }
    }

    /** Carries out an action that neither completes a message nor starts a call. */
    void carryOut(SchedulerAction action) {
        if (action instanceof Cancel cancel) {
            cancel(cancel);
        } else if (action instanceof CloseIdle close) {
            upstream.closeIdle(endpoint -> endpoint == close.endpoint());
        } else if (action instanceof ScheduleTimer timer) {
            scheduler.setTimer(timer.token(), timer.delay());
        } else if (action instanceof SaveCheckpoint save) {
            saveCheckpoint(save.memory());
        } else if (action instanceof ReportUpstreamState report) {
            upstreamReporter.onStateChanged(report.change());
        } else if (action instanceof ReportUpstreamObservation report) {
            upstreamReporter.onObserved(
                    report.observation(),
                    messages.accepted().get(report.observation().messageId()));
        }
    }

    private void cancel(Cancel cancel) {
        AcceptedMessage message = messages.accepted().get(cancel.id());
        if (message == null) {
            return;
        }
        if (transfers.isCalledByPredecessor(message.number)) {
            transfers.incoming().cancel(message.number);
        } else {
            attemptDispatcher.cancel(message, cancel.attempt());
        }
    }

    private void saveCheckpoint(DeliveryScheduler.HealthCheckpoint checkpoint) {
        // A suspicion is for the next process only: it neither proves an outage to peers nor that the upstream answers.
        if (checkpoint.status() != UpstreamStatus.SUSPECTED) {
            fleet.onHealthChanged(checkpoint.destination(), checkpoint.status(), checkpoint.sinceMicros());
        }
        folder.journal()
                .recordHealth(new HealthRecord(
                        checkpoint.destination(),
                        endpoints.uid(checkpoint.endpoint()),
                        checkpoint.status(),
                        folder.steadyMillis() - checkpoint.sinceMicros() / MICROS_PER_MILLI,
                        checkpoint.callsPerSecond(),
                        checkpoint.usualLatencyMicros()));
    }

    /** Converts microseconds to milliseconds, rounded up so that a client does not retry too early. */
    static long millisRoundedUp(long micros) {
        return (micros + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI;
    }
}
