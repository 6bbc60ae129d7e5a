package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.LateCompletionReporter;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.ShutdownSequence;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.notification.FailureNotifier;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Completes messages that were not delivered: journals the outcome, then notifies the platform. For the scheduler, a message is
 * complete after its notification is acknowledged. Event loop only; times are milliseconds of the folder's {@code SteadyClock}.
 */
final class MessageCompletion {
    private final EventLoop loop;
    private final StateFolder folder;
    private final LifecycleState lifecycle;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final SenderMetrics metrics;
    private final FailureNotifier notifier;
    private final PeerServices peers;
    private final LateCompletionReporter lateCompletionReporter = new LateCompletionReporter("completed");
    private final LateCompletionReporter lateAcknowledgementReporter =
            new LateCompletionReporter("notification_acknowledged");

    MessageCompletion(SenderState state, SchedulerDriver scheduler, FailureNotifier notifier, PeerServices peers) {
        loop = state.loop();
        folder = state.folder();
        lifecycle = state.lifecycle();
        messages = state.messages();
        metrics = state.metrics();
        this.scheduler = scheduler;
        this.notifier = notifier;
        this.peers = peers;
    }

    /** Completes an accepted message as rejected; {@code retryAfterMillis} is the retry advice to its client, 0 for none. */
    void reject(long messageNumber, long retryAfterMillis) {
        complete(
                messageNumber,
                messages.accepted().get(messageNumber).returned(retryAfterMillis),
                SenderMetrics.MessageResult.SHED);
    }

    /** Completes an accepted message as failed. */
    void fail(long messageNumber) {
        complete(messageNumber, messages.accepted().get(messageNumber).failed(), SenderMetrics.MessageResult.ERRORS);
    }

    private void complete(long messageNumber, String notification, SenderMetrics.MessageResult result) {
        AcceptedMessage message = messages.accepted().remove(messageNumber);
        reportIfLate(lateCompletionReporter, message);
        metrics.completed(message.className, result);
        folder.journal().endWithNotice(message, notification, () -> notifyWhenDurable(message));
        if (folder.journal().hasPendingWrite(message)) {
            loop.schedule(
                    () -> notifyWithoutRecord(message),
                    message.deadlineMillis - folder.steadyMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Fails messages that were offered to another sender, which may have accepted them; they are no longer in delivery here. */
    void failOffered(List<AcceptedMessage> offered) {
        for (AcceptedMessage message : offered) {
            metrics.completed(message.className, SenderMetrics.MessageResult.ERRORS);
            folder.journal().endWithNotice(message, message.failed(), () -> notifyWhenDurable(message));
        }
    }

    /** Notifies the platform at the deadline even if the outcome could not be journaled, as recovery drops expired messages. */
    private void notifyWithoutRecord(AcceptedMessage message) {
        if (!lifecycle.ownershipReleased() && folder.journal().hasPendingWrite(message)) {
            notifier.send(message);
        }
    }

    private void notifyWhenDurable(AcceptedMessage message) {
        folder.journal()
                .whenDurable(
                        () -> notifier.send(message), peers.isReplicated() ? () -> notifyUnreplicated(message) : null);
    }

    /**
     * Notifies the platform of a failure if the outcome was not replicated in time: another sender may deliver the message, and a
     * rejection would promise that none does.
     */
    private void notifyUnreplicated(AcceptedMessage message) {
        message.end(message.failed());
        notifier.send(message);
    }

    /**
     * Completes a message that has no call in flight, before the process ends: as rejected if the message certainly has not run
     * or may be repeated, otherwise as failed.
     */
    void completeUndelivered(AcceptedMessage message) {
        DeliveryScheduler.MessageClass messageClass = messages.classes().type(message.classNumber);
        boolean rejectable = ShutdownSequence.mayReject(
                message.unknownOutcomeSinceMillis != 0 || message.attemptInFlight,
                messageClass.idempotency() == DeliveryScheduler.Idempotency.IDEMPOTENT,
                messageClass.idempotency() == DeliveryScheduler.Idempotency.KEYED
                        && messageClass.keyScope() == DeliveryScheduler.KeyScope.DESTINATION);
        scheduler.submit(new Event.MessageCancelled(message.number));
        if (rejectable) {
            reject(message.number, 0);
        } else {
            fail(message.number);
        }
    }

    /** Removes a message after the platform has acknowledged its notification. */
    void onNotificationAcknowledged(AcceptedMessage message) {
        if (lifecycle.ownershipReleased()) {
            return;
        }
        reportIfLate(lateAcknowledgementReporter, message);
        folder.journal().complete(message);
        scheduler.submit(new Event.CompletionAcknowledged(message.number));
    }

    private void reportIfLate(LateCompletionReporter reporter, AcceptedMessage message) {
        reporter.passed(message, folder.steadyMillis()).ifPresent(LogEvent::warn);
    }
}
