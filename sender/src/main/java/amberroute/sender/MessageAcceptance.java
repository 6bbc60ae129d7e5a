package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.decision.SchedulerAction;
import amberroute.sender.decision.SchedulerAction.Fail;
import amberroute.sender.decision.SchedulerAction.Reject;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.Log;
import java.util.List;

/**
 * Carries out the scheduler's decisions on submitted messages: rejects them, or journals them and answers the client after the
 * record is durable. Event loop only. To be called before any other action of an iteration, as no call may be made for a message
 * that is not in the journal.
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
        List<PendingAcceptance> accepted =
                List.copyOf(messages.pendingAcceptances().values());
        messages.pendingAcceptances().clear();
        messages.pendingAcceptanceIds().clear();
        accepted.forEach(this::acceptGuarded);
        submissions.retryDuplicates();
    }

    /**
     * Accepts a message. A defect that it brings to light must not leave other submissions to a later iteration, in which the scheduler no
     * longer knows them; the message itself is called if it is in the table, else it is over.
     */
    private void acceptGuarded(PendingAcceptance pendingAcceptance) {
        AcceptedMessage message = pendingAcceptance.message();
        if (!Log.guarded("accept", () -> accept(pendingAcceptance))
                && !messages.accepted().containsKey(message.number)) {
            scheduler.submit(new Event.MessageCancelled(message.number));
            Log.guarded("reply", () -> replyUncertain(pendingAcceptance));
        }
    }

    /** The next process may find the record, but a rejection would promise that the message is not delivered. */
    private void replyUncertain(PendingAcceptance pendingAcceptance) {
        metrics.completed(pendingAcceptance.message().className, SenderMetrics.MessageResult.ERRORS);
        pendingAcceptance.reply().error("the message could not be recorded, or may have been");
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
            // Without replication, the message is delivered even if the force fails. With replication, the client is
            // not answered until the record is replicated, since another sender may deliver the message, or none may.
            folder.journal()
                    .whenDurable(
                            () -> pendingAcceptance.reply().ok(),
                            peers.replication() != null
                                    ? null
                                    : () -> pendingAcceptance
                                            .reply()
                                            .error("the message could not be forced to the disk"));
        } else if (folder.journal().lastWriteUncertain()) {
            replyUncertain(pendingAcceptance);
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
