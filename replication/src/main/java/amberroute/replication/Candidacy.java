package amberroute.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * One attempt to become the owner of a journal for a term. Invariant: the candidate has granted the term to itself, on disk, before
 * it asks others; a pre-vote is not recorded. It wins with a quorum of the replica set that its own copy names. Not thread-safe.
 */
public final class Candidacy {
    private final String self;
    private final ReplicaSet replicaSet;
    private final ReplicaState ownState;
    private final Set<String> grantedBy = new HashSet<>();
    private final Set<String> deniedBy = new HashSet<>();
    private long highestTermSeen;

    /** {@code ownState} is the candidate's own, with the term granted to itself; an {@link IllegalArgumentException} otherwise. */
    public Candidacy(String self, ReplicaSet replicaSet, ReplicaState ownState) {
        if (!ownState.hasGranted(ownState.term(), self)) {
            throw new IllegalArgumentException("a term that was not granted by its claimant");
        }
        this.self = self;
        this.replicaSet = replicaSet;
        this.ownState = ownState;
        highestTermSeen = ownState.term();
        grantedBy.add(self);
    }

    /** The term that is stood for. */
    public long term() {
        return ownState.term();
    }

    /** How far the candidate's own copy reaches. */
    public LogPosition logPosition() {
        return ownState.logPosition();
    }

    /** The voters. */
    public ReplicaSet replicaSet() {
        return replicaSet;
    }

    /** A voter's answer; {@code term} is the highest that it knows of. One to another candidacy changes nothing. */
    public void onVote(String voter, long requestedTerm, boolean granted, long term) {
        highestTermSeen = Math.max(highestTermSeen, term);
        if (requestedTerm == ownState.term() && replicaSet.members().contains(voter)) {
            (granted ? grantedBy : deniedBy).add(voter);
        }
    }

    /** Whether the term is this candidate's. */
    public boolean hasWon() {
        return replicaSet.hasQuorum(grantedBy);
    }

    /** Whether so many have denied it that it cannot be won any more. */
    public boolean hasLost() {
        Set<String> possibleVoters = new HashSet<>(replicaSet.members());
        possibleVoters.removeAll(deniedBy);
        return !replicaSet.hasQuorum(possibleVoters);
    }

    /** The least term that could be stood for next. */
    public long nextTerm() {
        return highestTermSeen + 1;
    }

    /** Who has not answered yet, and is to be asked again. */
    public Set<String> pendingVoters() {
        Set<String> pendingMembers = new HashSet<>(replicaSet.members());
        pendingMembers.remove(self);
        pendingMembers.removeAll(grantedBy);
        pendingMembers.removeAll(deniedBy);
        return pendingMembers;
    }
}
