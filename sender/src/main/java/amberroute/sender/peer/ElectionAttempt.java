package amberroute.sender.peer;

import amberroute.replication.Candidacy;

/**
 * One attempt to win the next term of a journal: first a pre-vote, which changes no durable state, then the vote itself. Lives on the event
 * loop.
 */
final class ElectionAttempt {
    /** How far an attempt is. */
    enum Phase {
        PRE_VOTE,
        VOTE
    }

    final ReplicaStore.StoredReplica replica;
    final Phase phase;
    final Candidacy candidacy;
    final long startedAtNanos = System.nanoTime();
    long askedAtNanos;
    /** An operator wants it, whatever is heard of the owner. */
    boolean requestedByOperator;
    /** A voter's copy reaches further. */
    boolean voterAhead;
    /** A voter knows of an earlier journal of this daemon whose keys it does not hold back yet. */
    boolean formerJournalOpen;

    ElectionAttempt(ReplicaStore.StoredReplica replica, Phase phase, Candidacy candidacy) {
        this.replica = replica;
        this.phase = phase;
        this.candidacy = candidacy;
    }

    boolean isPreVote() {
        return phase == Phase.PRE_VOTE;
    }
}
