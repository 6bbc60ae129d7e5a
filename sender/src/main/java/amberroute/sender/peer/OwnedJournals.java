package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaState;
import amberroute.sender.journal.Journal;
import java.util.function.BiConsumer;

/**
 * The journals that this process owns or tries to own: its own, and those of lost daemons that it has taken over. Invariant: once another
 * daemon has a later term of a journal, nothing of it is committed here any more. Lives on the event loop.
 */
final class OwnedJournals {
    private final ReplicationContext context;
    private final ReplicaStore.StoredReplica own;
    private final JournalReplicator ownReplicator;
    private final FailoverManager failovers;
    /** The own journal is another's. */
    private boolean fenced;

    OwnedJournals(ReplicationContext context, ReplicaStore.StoredReplica own, Journal journal) {
        this.context = context;
        this.own = own;
        failovers = new FailoverManager(context, this::superseded);
        ownReplicator = new JournalReplicator(
                context.loop(),
                context.self(),
                own.journalId,
                journal,
                context.peers(),
                (term, owner) -> superseded(own, term, owner));
        journal.replicateTo(ownReplicator);
    }

    ReplicaStore.StoredReplica own() {
        return own;
    }

    boolean isOwn(ReplicaStore.StoredReplica replica) {
        return replica == own;
    }

    JournalReplicator ownReplicator() {
        return ownReplicator;
    }

    FailoverManager failovers() {
        return failovers;
    }

    /** Whether the own journal is another's, so that this process only ends. */
    boolean isFenced() {
        return fenced;
    }

    /** The replicator of a journal that goes on here; null where none does. */
    JournalReplicator replicatorOf(ReplicaStore.StoredReplica replica) {
        return isOwn(replica) ? ownReplicator : failovers.replicatorOf(replica.journalId);
    }

    /** The replica's state with how far its journal has come, which a running one knows better than the file. */
    ReplicaState currentState(ReplicaStore.StoredReplica replica) {
        JournalReplicator running = replicatorOf(replica);
        LogPosition position = running == null ? null : running.logPosition();
        return position == null || replica.completed ? replica.state : replica.state.withLogPosition(position);
    }

    /** Whether the owner of this journal was heard lately, or is this process. */
    boolean hearsOwner(ReplicaStore.StoredReplica replica) {
        long now = System.nanoTime();
        if (failovers.hasJustStarted(replica.journalId, now)) {
            // Its replicas may not know the owner yet.
            return true;
        }
        JournalReplicator running = replicatorOf(replica);
        return running != null ? running.isReady() : now - replica.heardAtNanos < ReplicationContext.SILENT_NANOS;
    }

    /** Somebody else has a later term, which is recorded: what was owned here is not begun again by itself. */
    void superseded(ReplicaStore.StoredReplica replica, long term, String owner) {
        context.store().persistState(replica, currentState(replica).onLeader(term, owner));
        lose(replica, "owned by " + owner + " in term " + term);
    }

    /** Ends what goes on here of a journal; where it is this daemon's own the process ends. */
    void lose(ReplicaStore.StoredReplica replica, String reason) {
        JournalReplicator running = replicatorOf(replica);
        if (running != null) {
            running.endTerm();
        }
        if (!isOwn(replica)) {
            failovers.supersede(replica, reason);
        } else if (!fenced) {
            fenced = true;
            context.host().fenced(reason);
        }
    }

    /** All replicators whose journal goes on here, each with the decisions on its replica set. */
    void forEachFailover(BiConsumer<JournalReplicator, FailoverManager.RunningFailover> action) {
        failovers.forEachReplicated(action);
    }

    void close() {
        ownReplicator.close();
        failovers.close();
    }
}
