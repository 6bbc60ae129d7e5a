package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaState;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendEntries;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendReply;
import amberroute.sender.peer.ReplicationProtocolMessage.JournalCompleted;
import amberroute.sender.peer.ReplicationProtocolMessage.OwnerRestarting;
import amberroute.sender.peer.ReplicationProtocolMessage.ReplicaRemoved;
import amberroute.sender.peer.ReplicationProtocolMessage.SnapshotSlice;
import amberroute.sender.peer.ReplicationProtocolMessage.TermSuperseded;
import amberroute.sender.peer.ReplicationProtocolMessage.VoteRequest;
import amberroute.sender.util.LogEvent;
import amberroute.storage.Batch;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.List;

/**
 * The replica's side: takes what owners send of their journals and passes candidates to the {@link VoteHandler}. Requests of strangers are not
 * answered. Invariant: a later term is on disk before anything of it is taken or answered. Lives on the event loop.
 */
final class ReplicaRequestHandler {
    /** A planned restart is waited for no longer than this. */
    private static final long MAX_RESTART_MILLIS = 60_000;

    private static final long NANOS_PER_MILLISECOND = 1_000_000;

    private final ReplicationContext context;
    private final OwnedJournals owned;
    private final ElectionCoordinator elections;
    private final VoteHandler votes;

    ReplicaRequestHandler(
            ReplicationContext context, OwnedJournals owned, ElectionCoordinator elections, VoteHandler votes) {
        this.context = context;
        this.owned = owned;
        this.elections = elections;
        this.votes = votes;
    }

    void onRequest(ChannelHandlerContext channel, ReplicationProtocolMessage request) {
        boolean known = context.peers().containsKey(request.sender())
                && request.journalId().lastIndexOf('.') > 0;
        ReplicaStore.StoredReplica replica = known ? context.store().findOrCreate(request.journalId()) : null;
        if (replica == null) {
            return;
        }
        if (request instanceof VoteRequest vote) {
            votes.onVoteRequest(channel, replica, vote);
        } else if (replica.completed || owned.currentState(replica).isStale(request.term(), request.sender())) {
            long term = Math.max(request.term(), replica.state.term());
            TermSuperseded reply = new TermSuperseded(context.self(), replica.journalId, term, replica.state.owner());
            channel.writeAndFlush(ReplicationCodec.encode(reply));
        } else {
            onOwner(channel, replica, request);
        }
    }

    private void onOwner(
            ChannelHandlerContext channel, ReplicaStore.StoredReplica replica, ReplicationProtocolMessage request) {
        replica.heardAtNanos = System.nanoTime();
        elections.cancel(replica);
        ReplicaState next = owned.currentState(replica).onLeader(request.term(), request.sender());
        if (!context.store().persistState(replica, next)) {
            return;
        }
        if (replica.runningHere) {
            owned.superseded(replica, request.term(), request.sender());
        } else if (request instanceof AppendEntries append) {
            reply(channel, replica, append.term(), append(replica, append, channel.channel()));
        } else if (request instanceof SnapshotSlice slice) {
            boolean taken = takeSlice(replica, slice, channel.channel());
            if (!taken || slice.last()) {
                reply(channel, replica, slice.term(), taken);
            }
        } else if (request instanceof JournalCompleted) {
            context.store().markCompleted(replica);
        } else if (request instanceof ReplicaRemoved) {
            context.store().dropReplica(replica);
        } else if (request instanceof OwnerRestarting restarting) {
            // As though it were heard of until then; only whether to stand depends on it.
            long millis = Math.max(0, Math.min(restarting.backMillis(), MAX_RESTART_MILLIS));
            replica.heardAtNanos += millis * NANOS_PER_MILLISECOND;
        }
    }

    private void reply(ChannelHandlerContext channel, ReplicaStore.StoredReplica replica, long term, boolean accepted) {
        AppendReply reply = new AppendReply(
                context.self(),
                replica.journalId,
                term,
                accepted,
                replica.state.logPosition().index(),
                replica.state.isVoter());
        channel.writeAndFlush(ReplicationCodec.encode(reply));
    }

    private boolean append(ReplicaStore.StoredReplica replica, AppendEntries append, Channel source) {
        LogPosition previous = new LogPosition(append.term(), append.previousIndex());
        if (replica.appendSource != source || !replica.state.logPosition().equals(previous)) {
            return false;
        }
        append.replicaSet().ifPresent(replicaSet -> replica.replicaSet = replicaSet);
        ReplicaState next = replica.state
                .onAppend(append.term(), append.sender(), append.previousIndex(), append.lastIndex())
                .onReplicaSet(replica.replicaSet.members().contains(context.self()));
        return append.lastIndex() == append.previousIndex()
                ? context.store().persistState(replica, next)
                : context.store().append(replica, next, decode(append.batches()));
    }

    private boolean takeSlice(ReplicaStore.StoredReplica replica, SnapshotSlice slice, Channel source) {
        if (slice.acknowledgedIndex().isPresent()
                && !checkAcknowledged(replica, slice, slice.acknowledgedIndex().getAsLong())) {
            return false;
        }
        if (!context.store().stageSnapshot(replica, slice.first(), slice.term(), decode(slice.batches()), source)) {
            return false;
        }
        if (!slice.last()) {
            return true;
        }
        replica.replicaSet = slice.replicaSet();
        boolean member = slice.replicaSet().members().contains(context.self());
        ReplicaState next = replica.state
                .onSnapshot(slice.term(), slice.sender(), slice.lastIndex().getAsLong(), member)
                .onReplicaSet(member);
        return context.store().installSnapshot(replica, next);
    }

    /** A replica that has less than it acknowledged has an old folder: its promises are gone and do not count. */
    private boolean checkAcknowledged(ReplicaStore.StoredReplica replica, SnapshotSlice slice, long acknowledgedIndex) {
        ReplicaState next = replica.state.withAcknowledged(slice.term(), slice.sender(), acknowledgedIndex);
        if (next == replica.state) {
            return true;
        }
        LogEvent.of("replica_state_lost").with("journal", replica.journalId).warn();
        return context.store().persistState(replica, next);
    }

    private static List<Batch> decode(List<EncodedBatch> batches) {
        return batches.stream().map(EncodedBatch::decode).toList();
    }
}
