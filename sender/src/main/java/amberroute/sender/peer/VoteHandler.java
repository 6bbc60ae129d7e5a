package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaState;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteReply;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteRequest;
import io.netty.channel.ChannelHandlerContext;

/**
 * Answers candidates. Invariant: a granted term is on disk before the answer leaves, and where this process owned the journal nothing more of
 * it is committed here before that. Lives on the event loop.
 */
final class VoteHandler {
    private final ReplicationContext context;
    private final OwnedJournals owned;
    private final ElectionCoordinator elections;

    VoteHandler(ReplicationContext context, OwnedJournals owned, ElectionCoordinator elections) {
        this.context = context;
        this.owned = owned;
        this.elections = elections;
    }

    void onVoteRequest(ChannelHandlerContext channel, ReplicaStore.StoredReplica replica, VoteRequest request) {
        ReplicaState before = owned.currentState(replica);
        ReplicaState next = before.onVoteRequest(request.term(), request.sender(), request.candidatePosition());
        boolean grantable = next.hasGranted(request.term(), request.sender());
        boolean formerJournalOpen = request.preVote() && isFormerJournalOpen(replica, request);
        boolean granted = request.preVote()
                ? grantable && !formerJournalOpen && mayStand(replica, request, before)
                : grantable && grant(replica, next);
        VoteReply reply = new VoteReply(
                context.self(),
                replica.journalId,
                Math.max(before.term(), replica.state.term()),
                granted,
                request.term(),
                formerJournalOpen,
                before.isVoter() && before.logPosition().compareTo(request.candidatePosition()) > 0);
        boolean lost = granted && !request.preVote() && replica.runningHere;
        JournalReplicator running = owned.replicatorOf(replica);
        if (lost && running != null) {
            running.endTerm();
        }
        channel.writeAndFlush(ReplicationCodec.encode(reply)).addListener(sent -> {
            if (lost) {
                owned.superseded(replica, request.term(), request.sender());
            }
        });
    }

    /** An owner itself may stand at any time, another only where the owner is silent. */
    private boolean mayStand(ReplicaStore.StoredReplica replica, VoteRequest request, ReplicaState state) {
        return request.sender().equals(state.owner()) || !owned.hearsOwner(replica);
    }

    private boolean grant(ReplicaStore.StoredReplica replica, ReplicaState next) {
        if (!context.store().persistState(replica, next)) {
            return false;
        }
        elections.cancel(replica);
        // Whoever was granted the term has time to begin.
        replica.heardAtNanos = System.nanoTime();
        return true;
    }

    private boolean isFormerJournalOpen(ReplicaStore.StoredReplica replica, VoteRequest request) {
        return request.sender().equals(replica.originalOwner())
                && request.candidatePosition().equals(LogPosition.NONE)
                && isFormerJournalOpen(replica, request.sender());
    }

    /**
     * Whether a journal that a daemon had before it lost its folder has no new owner yet, or one here whose keys that daemon does not
     * hold back: until it does, it may accept nothing new of them. A journal that nobody has spoken of for longer than a message lives
     * has no key that matters.
     */
    private boolean isFormerJournalOpen(ReplicaStore.StoredReplica newJournal, String originalOwner) {
        long now = System.nanoTime();
        boolean open = false;
        for (ReplicaStore.StoredReplica replica : context.store().all().values()) {
            if (replica != newJournal
                    && !replica.completed
                    && replica.originalOwner().equals(originalOwner)
                    && mayHavePendingKeys(replica, now)) {
                open |= isUnsettled(replica, originalOwner, now);
            }
        }
        return open;
    }

    private boolean mayHavePendingKeys(ReplicaStore.StoredReplica replica, long now) {
        long forgottenAfterNanos = context.maxMessageLifeNanos() + ReplicationContext.LONG_SILENT_NANOS;
        return replica.runningHere
                || !replica.copyFolderName.isEmpty() && now - replica.heardAtNanos <= forgottenAfterNanos;
    }

    private boolean isUnsettled(ReplicaStore.StoredReplica replica, String originalOwner, long now) {
        if (replica.runningHere) {
            return !owned.failovers().isHeldBy(replica.journalId, originalOwner);
        }
        if (replica.state.owner().equals(originalOwner)) {
            // It says itself that it has it no more: nobody need wait until that is noticed.
            replica.heardAtNanos = Math.min(replica.heardAtNanos, now - ReplicationContext.LONG_SILENT_NANOS);
            return true;
        }
        // Its new owner tells by itself, as long as it is alive.
        return context.membership().view().hasFailed(replica.state.owner());
    }
}
