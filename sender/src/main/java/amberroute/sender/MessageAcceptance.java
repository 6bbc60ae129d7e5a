package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.decision.SchedulerAction;
import amberroute.sender.decision.SchedulerAction.Fail;
import amberroute.sender.decision.SchedulerAction.Reject;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import java.util.List;

/**
 * Carries out what the scheduler decides on messages in the iteration of their arrival: rejects them, or journals them and answers the
 * client once the record is durable. Event loop only; to be called before any other action, as nothing may leave for a message that
 * the journal does not have.
 */
final class MessageAcceptance {
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final SenderMetrics metrics;
    private final SubmissionHandler submissions;
    private final PeerServices peers;

    MessageAcceptance(
            StateFolder folder,
            MessageTable messages,
            SchedulerDriver scheduler,
            SenderMetrics metrics,
            SubmissionHandler submissions,
            PeerServices peers) {
        this.folder = folder;
        this.messages = messages;
        this.scheduler = scheduler;
        this.metrics = metrics;
        this.submissions = submissions;
        this.peers = peers;
    }

    /** Answers all submissions since the last iteration. */
    void answerSubmissions(List<SchedulerAction> actions) {
        for (SchedulerAction action : actions) {
            if (action instanceof Reject reject) {
                rejectSubmission(reject.id(), SchedulerActions.millisRoundedUp(reject.retryAfter()));
            } else if (action instanceof Fail fail) {
                rejectSubmission(fail.id(), 0);
            }
        }
        messages.pendingAcceptances().values().forEach(this::accept);
        messages.pendingAcceptances().clear();
        messages.pendingAcceptanceIds().clear();
    }

    private void rejectSubmission(long messageNumber, long retryAfterMillis) {
        PendingAcceptance rejected = messages.pendingAcceptances().remove(messageNumber);
        if (rejected != null) {
            submissions.shed(rejected.message().className, rejected.reply(), retryAfterMillis);
            scheduler.submit(new Event.CompletionAcknowledged(rejected.message().number));
        }
    }

    private void accept(PendingAcceptance pendingAcceptance) {
        AcceptedMessage message = pendingAcceptance.message();
        if (pendingAcceptance.reply().isClientConnected() && folder.journal().accept(message)) {
            messages.accepted().put(message.number, message);
            // Without replication the message is delivered even if the force fails. With it the client has no answer
            // until the record is replicated, since another daemon may deliver the message, or none.
            folder.journal()
                    .whenDurable(
                            () -> pendingAcceptance.reply().ok(),
                            peers.replication() != null
                                    ? null
                                    : () -> pendingAcceptance
                                            .reply()
                                            .error("the message could not be forced to the disk"));
        } else if (folder.journal().lastWriteUncertain()) {
            // The next process may find the record: a rejection would promise that nobody delivers the message.
            metrics.completed(message.className, SenderMetrics.MessageResult.ERRORS);
            pendingAcceptance.reply().error("the message could not be recorded, or may have been");
            scheduler.submit(new Event.MessageCancelled(message.number));
        } else {
            submissions.shed(
                    message.className,
                    pendingAcceptance.reply(),
                    folder.journal().retryAfterMillis());
            scheduler.submit(new Event.MessageCancelled(message.number));
        }
    }
}
