package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.client.ClientServer;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.journal.Journal;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.ShutdownCoordinator;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntSupplier;

/**
 * Decides on submissions by a fixed sequence of checks, of which the first that applies decides. {@link SubmissionHandler}
 * carries out the verdict. Event loop only.
 */
final class SubmissionAdmission {
    /** Retry advice to clients while there are too few replicas; new ones are searched for continuously. */
    private static final long TOO_FEW_REPLICAS_RETRY_MS = 500;

    private static final int MAX_DEFERRED_SUBMISSIONS = 4_096;

    /** One check; returns empty if it does not apply. */
    private interface Check {
        Optional<SubmissionVerdict> check(ClientServer.Submission submission);
    }

    private final LifecycleState lifecycle;
    private final StateFolder folder;
    private final MessageTable messages;
    private final ActiveSettings activeSettings;
    private final EndpointWatch endpoints;
    private final PeerServices peers;
    private final FleetCoordination fleet;
    private final ShutdownCoordinator shutdown;
    private final IntSupplier deferredCount;
    /** Spreads the retries of rejected clients; nothing that has to be reproducible depends on it. */
    private final SplittableRandom retryJitter = new SplittableRandom();
    /** Checks that come before a submission counts as demand for its destination, in this order. */
    private final List<Check> checksBeforeDemand = List.of(
            this::checkOwnership,
            this::checkKnownId,
            this::checkKnownIdInFailover,
            this::checkReplicas,
            this::checkStopping,
            this::checkClass,
            this::checkDestination);
    /** Checks that defer or reject a valid submission, in this order. */
    private final List<Check> checksAfterDemand = List.of(this::checkPendingId, this::checkCapacity);

    /** {@code deferredCount} is the number of submissions deferred for a key whose owner is unknown. */
    SubmissionAdmission(
            SenderState state,
            EndpointWatch endpoints,
            PeerServices peers,
            FleetCoordination fleet,
            ShutdownCoordinator shutdown,
            IntSupplier deferredCount) {
        lifecycle = state.lifecycle();
        folder = state.folder();
        messages = state.messages();
        activeSettings = state.activeSettings();
        this.endpoints = endpoints;
        this.peers = peers;
        this.fleet = fleet;
        this.shutdown = shutdown;
        this.deferredCount = deferredCount;
    }

    /** Decides on a submission. A valid one counts as demand for its destination, whatever the verdict. */
    SubmissionVerdict decide(ClientServer.Submission submission) {
        Optional<SubmissionVerdict> verdict = firstVerdict(checksBeforeDemand, submission);
        if (verdict.isPresent()) {
            return verdict.get();
        }
        fleet.onSubmission(submission.destination(), messageClass(submission).priorityWeight());
        return firstVerdict(checksAfterDemand, submission).orElseGet(SubmissionVerdict.Accept::new);
    }

    private static Optional<SubmissionVerdict> firstVerdict(List<Check> checks, ClientServer.Submission submission) {
        for (Check check : checks) {
            Optional<SubmissionVerdict> verdict = check.check(submission);
            if (verdict.isPresent()) {
                return verdict;
            }
        }
        return Optional.empty();
    }

    private Optional<SubmissionVerdict> checkOwnership(ClientServer.Submission submission) {
        return lifecycle.ownershipReleased() ? Optional.of(new SubmissionVerdict.Forward()) : Optional.empty();
    }

    private Optional<SubmissionVerdict> checkKnownId(ClientServer.Submission submission) {
        if (!folder.journal().containsId(submission.id())) {
            return Optional.empty();
        }
        return Optional.of(duplicateOf(folder.journal(), submission, SubmissionVerdict.RejectionReason.ID_REUSED));
    }

    private Optional<SubmissionVerdict> checkKnownIdInFailover(ClientServer.Submission submission) {
        Journal journal =
                peers.replication() == null ? null : peers.replication().failoverJournalKnowing(submission.id());
        if (journal == null) {
            return Optional.empty();
        }
        return Optional.of(duplicateOf(journal, submission, SubmissionVerdict.RejectionReason.ID_REUSED_IN_FAILOVER));
    }

    private static SubmissionVerdict duplicateOf(
            Journal journal, ClientServer.Submission submission, SubmissionVerdict.RejectionReason reasonIfDifferent) {
        int contentHash = AcceptedMessage.content(
                submission.className(),
                submission.key(),
                submission.destination(),
                submission.idempotencyKey(),
                submission.body());
        return journal.hasDifferentContent(submission.id(), contentHash)
                ? new SubmissionVerdict.Reject(reasonIfDifferent, 0)
                : new SubmissionVerdict.Duplicate(journal);
    }

    /** Rejects submissions while there are too few replicas; a rejected message may safely be submitted again. */
    private Optional<SubmissionVerdict> checkReplicas(ClientServer.Submission submission) {
        if (peers.replication() == null || peers.replication().isReady() || shutdown.stopping()) {
            return Optional.empty();
        }
        boolean adviseRetry = activeSettings.settings().limits().retryAdviceAllowed();
        return Optional.of(new SubmissionVerdict.Reject(
                SubmissionVerdict.RejectionReason.TOO_FEW_REPLICAS, adviseRetry ? TOO_FEW_REPLICAS_RETRY_MS : 0));
    }

    private Optional<SubmissionVerdict> checkStopping(ClientServer.Submission submission) {
        return shutdown.stopping() ? Optional.of(decideWhileStopping(submission)) : Optional.empty();
    }

    /**
     * Defers or rejects a submission during a stop. Its message must not overtake pending messages of this sender with the same
     * ordered key.
     */
    SubmissionVerdict decideWhileStopping(ClientServer.Submission submission) {
        long orderedKey = messages.classes().number(submission.className()) >= 0
                        && messageClass(submission).ordered()
                ? submission.key()
                : 0;
        boolean mayBeHandedOver = peers.handoff() != null && orderedKey != 0;
        if (mayBeHandedOver
                && peers.handoff().isHoldUndecided(orderedKey)
                && deferredCount.getAsInt() < MAX_DEFERRED_SUBMISSIONS) {
            return new SubmissionVerdict.Defer(SubmissionVerdict.DeferReason.KEY_OWNER_UNKNOWN);
        }
        long retryAdviceMillis = shutdown.retryAdviceMillis(retryJitter.nextDouble());
        long handedOverKeyRetryMillis = mayBeHandedOver ? peers.handoff().retryElsewhereDelayMillis(orderedKey) : 0;
        return new SubmissionVerdict.Reject(
                SubmissionVerdict.RejectionReason.STOPPING, Math.max(retryAdviceMillis, handedOverKeyRetryMillis));
    }

    private Optional<SubmissionVerdict> checkClass(ClientServer.Submission submission) {
        return messages.classes().number(submission.className()) < 0
                ? Optional.of(new SubmissionVerdict.Invalid(SubmissionVerdict.InvalidReason.UNKNOWN_CLASS))
                : Optional.empty();
    }

    private Optional<SubmissionVerdict> checkDestination(ClientServer.Submission submission) {
        return endpoints.listed(submission.destination())
                ? Optional.empty()
                : Optional.of(new SubmissionVerdict.Invalid(SubmissionVerdict.InvalidReason.UNKNOWN_DESTINATION));
    }

    private Optional<SubmissionVerdict> checkPendingId(ClientServer.Submission submission) {
        return messages.pendingAcceptanceIds().contains(submission.id())
                ? Optional.of(new SubmissionVerdict.Defer(SubmissionVerdict.DeferReason.DUPLICATE_ARRIVING))
                : Optional.empty();
    }

    private Optional<SubmissionVerdict> checkCapacity(ClientServer.Submission submission) {
        return messages.pendingCount() >= activeSettings.settings().limits().maxPendingMessages()
                ? Optional.of(new SubmissionVerdict.Reject(SubmissionVerdict.RejectionReason.CAPACITY, 0))
                : Optional.empty();
    }

    private DeliveryScheduler.MessageClass messageClass(ClientServer.Submission submission) {
        return messages.classes().type(messages.classes().number(submission.className()));
    }
}
