package amberroute.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * One candidacy to become the leader of a journal for a term. Invariant: the candidate has granted the term to
 * itself, on disk, before it requests votes; a pre-vote is not recorded. The candidate wins with a quorum of the
 * replica set that its own copy of the journal names. Not thread-safe.
 */
public final class Candidacy {
    private final String self;
    private final ReplicaSet replicaSet;
    private final ReplicaState ownState;
    private final Set<String> grantedBy = new HashSet<>();
    private final Set<String> deniedBy = new HashSet<>();
    private long highestTermSeen;

    /**
     * Starts a candidacy. {@code ownState} is the state of the candidate, which must have granted the term to
     * itself.
     *
     * @throws IllegalArgumentException if the candidate has not granted the term to itself
     */
    public Candidacy(String self, ReplicaSet replicaSet, ReplicaState ownState) {
        if (!ownState.hasGranted(ownState.term(), self)) {
            throw new IllegalArgumentException("candidate has not granted the term to itself");
        }
        this.self = self;
        this.replicaSet = replicaSet;
        this.ownState = ownState;
        highestTermSeen = ownState.term();
        grantedBy.add(self);
    }

    /** Returns the term of this candidacy. */
    public long term() {
        return ownState.term();
    }

    /** Returns the log position of the candidate. */
    public LogPosition logPosition() {
        return ownState.logPosition();
    }

    /** Returns the replica set whose members vote. */
    public ReplicaSet replicaSet() {
        return replicaSet;
    }

    /**
     * Handles a vote. {@code term} is the highest term that the voter knows. A vote in another candidacy is not
     * counted.
     */
    public void onVote(String voter, long requestedTerm, boolean granted, long term) {
        highestTermSeen = Math.max(highestTermSeen, term);
        if (requestedTerm == ownState.term() && replicaSet.members().contains(voter)) {
            (granted ? grantedBy : deniedBy).add(voter);
        }
    }

    /** Whether a quorum has granted the term to this candidate. */
    public boolean hasWon() {
        return replicaSet.hasQuorum(grantedBy);
    }

    /** Whether so many members have denied the term that a quorum is no longer possible. */
    public boolean hasLost() {
        Set<String> possibleVoters = new HashSet<>(replicaSet.members());
        possibleVoters.removeAll(deniedBy);
        return !replicaSet.hasQuorum(possibleVoters);
    }

    /** Returns the lowest term for the next candidacy. */
    public long nextTerm() {
        return highestTermSeen + 1;
    }

    /** Returns the members that have not answered yet and are to be asked again. */
    public Set<String> pendingVoters() {
        Set<String> pendingMembers = new HashSet<>(replicaSet.members());
        pendingMembers.remove(self);
        pendingMembers.removeAll(grantedBy);
        pendingMembers.removeAll(deniedBy);
        return pendingMembers;
    }
}
