package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.client.ClientServer;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Carries out the verdicts of {@link SubmissionAdmission}: answers the client, or passes the message to the scheduler, which
 * decides in the next event loop iteration. Event loop only.
 */
final class SubmissionHandler implements ClientServer.Acceptor {
    private static final long MICROS_PER_MILLI = 1_000;

    private final EventLoop loop;
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final SenderMetrics metrics;
    private final PeerServices peers;
    private final OwnershipTransfers transfers;
    private final List<DeferredSubmission> deferred = new ArrayList<>();
    /** Submissions of ids that the next iteration accepts or rejects. */
    private List<DeferredSubmission> duplicates = new ArrayList<>();

    private final Map<SubmissionVerdict.RejectionReason, Long> rejectionCounts =
            new EnumMap<>(SubmissionVerdict.RejectionReason.class);
    private SubmissionAdmission admission;

    SubmissionHandler(SenderState state, SchedulerDriver scheduler, PeerServices peers) {
        loop = state.loop();
        folder = state.folder();
        messages = state.messages();
        metrics = state.metrics();
        transfers = state.transfers();
        this.scheduler = scheduler;
        this.peers = peers;
    }

    /** To be called once, before the first submission. */
    void setAdmission(SubmissionAdmission submissionAdmission) {
        admission = submissionAdmission;
    }

    @Override
    public void submitted(ClientServer.Submission submission, ClientServer.Answer reply) {
        carryOut(admission.decide(submission), submission, reply);
    }

    @Override
    public void outOfMemory(ClientServer.Submission submission, ClientServer.Answer reply) {
        reject(new SubmissionVerdict.Reject(SubmissionVerdict.RejectionReason.CAPACITY, 0), submission, reply);
    }

    /** The number of submissions that wait until a peer has taken over their ordered key. */
    int deferredCount() {
        return deferred.size();
    }

    /** Decides again on submissions that wait for the owner of their key; false if there are none. */
    boolean retryDeferred() {
        if (deferred.isEmpty()) {
            return false;
        }
        List<DeferredSubmission> retried = List.copyOf(deferred);
        deferred.clear();
        retried.forEach(deferredSubmission -> carryOut(
                admission.decideWhileStopping(deferredSubmission.submission()),
                deferredSubmission.submission(),
                deferredSubmission.reply()));
        return true;
    }

    /** The number of submissions rejected for this reason since the start of the process. */
    long rejectionCount(SubmissionVerdict.RejectionReason reason) {
        return rejectionCounts.getOrDefault(reason, 0L);
    }

    private void carryOut(SubmissionVerdict verdict, ClientServer.Submission submission, ClientServer.Answer reply) {
        if (verdict instanceof SubmissionVerdict.Accept) {
            accept(submission, reply);
        } else if (verdict instanceof SubmissionVerdict.Forward) {
            forward(submission, reply);
        } else if (verdict instanceof SubmissionVerdict.Duplicate duplicate) {
            duplicate.journal().whenDurable(reply::ok, null);
        } else if (verdict instanceof SubmissionVerdict.Reject rejection) {
            reject(rejection, submission, reply);
        } else if (verdict instanceof SubmissionVerdict.Invalid invalid) {
            replyInvalid(invalid.reason(), submission, reply);
        } else if (verdict instanceof SubmissionVerdict.Defer defer) {
            defer(defer.reason(), submission, reply);
        }
    }

    private void accept(ClientServer.Submission submission, ClientServer.Answer reply) {
        AcceptedMessage message = new AcceptedMessage(
                folder.journal().nextNumber(),
                submission.id(),
                submission.idempotencyKey(),
                submission.className(),
                submission.key(),
                submission.destination(),
                folder.steadyMillis() + submission.timeLeftMillis(),
                submission.body());
        message.classNumber = messages.classes().number(submission.className());
        if (messages.isOrdered(message) && folder.journal().keyHolds().isHeld(message.key)) {
            peers.handoff().requestKey(message.key);
        }
        messages.pendingAcceptances().put(message.number, new PendingAcceptance(message, reply));
        messages.pendingAcceptanceIds().add(message.id);
        scheduler.submit(new Event.MessageSubmitted(
                message.number,
                message.classNumber,
                0,
                submission.key(),
                submission.timeLeftMillis() * MICROS_PER_MILLI,
                submission.destination()));
    }

    private void forward(ClientServer.Submission submission, ClientServer.Answer reply) {
        if (!transfers.outgoing().forwardSubmission(submission, reply)) {
            shed(submission.className(), reply, 0);
        }
    }

    private void reject(
            SubmissionVerdict.Reject rejection, ClientServer.Submission submission, ClientServer.Answer reply) {
        rejectionCounts.merge(rejection.reason(), 1L, Long::sum);
        if (rejection.reason() == SubmissionVerdict.RejectionReason.ID_REUSED) {
            LogEvent.of("submission_id_reused").with("id", submission.id()).warn();
        }
        shed(submission.className(), reply, rejection.retryAfterMillis());
    }

    /** Rejects a message of this class; {@code retryAfterMillis} is the retry advice, 0 for none. */
    void shed(String className, ClientServer.Answer reply, long retryAfterMillis) {
        metrics.completed(className, SenderMetrics.MessageResult.SHED);
        reply.busy(retryAfterMillis);
    }

    private void replyInvalid(
            SubmissionVerdict.InvalidReason reason, ClientServer.Submission submission, ClientServer.Answer reply) {
        if (reason == SubmissionVerdict.InvalidReason.UNKNOWN_DESTINATION) {
            metrics.completed(submission.className(), SenderMetrics.MessageResult.ERRORS);
        }
        reply.error(reason.wireText());
    }

    private void defer(
            SubmissionVerdict.DeferReason reason, ClientServer.Submission submission, ClientServer.Answer reply) {
        DeferredSubmission deferredSubmission = new DeferredSubmission(submission, reply);
        if (reason == SubmissionVerdict.DeferReason.DUPLICATE_ARRIVING) {
            duplicates.add(deferredSubmission);
        } else {
            deferred.add(deferredSubmission);
        }
    }

    /** To be called when an iteration has decided on the ids that were pending: decides on the other submissions of them. */
    void retryDuplicates() {
        if (duplicates.isEmpty()) {
            return;
        }
        List<DeferredSubmission> retried = duplicates;
        duplicates = new ArrayList<>();
        // In a task of its own, as the ownership of the journal may be released behind the iteration.
        loop.execute(() -> retried.forEach(this::retryDuplicate));
    }

    /**
     * Rejects a duplicate that is deferred once more, as the first submission was rejected and another duplicate took its place: many would
     * be deferred again and again. That of a client that has left must not take the place.
     */
    private void retryDuplicate(DeferredSubmission duplicate) {
        SubmissionVerdict verdict = admission.decide(duplicate.submission());
        boolean deferredAgain = verdict instanceof SubmissionVerdict.Defer defer
                && defer.reason() == SubmissionVerdict.DeferReason.DUPLICATE_ARRIVING;
        SubmissionVerdict rejection =
                new SubmissionVerdict.Reject(SubmissionVerdict.RejectionReason.DUPLICATE_REJECTED, 0);
        boolean rejected = deferredAgain || !duplicate.reply().isClientConnected();
        carryOut(rejected ? rejection : verdict, duplicate.submission(), duplicate.reply());
    }
}
