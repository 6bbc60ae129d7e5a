package amberroute.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * One attempt to become the owner of an estate for a term. Whoever claims has granted the term to itself, on disk, before
 * it asks others. It wins with a majority of the group that its own copy names.
 */
public final class Candidacy {
    private final String self;
    private final ReplicaSet replicaSet;
    private final ReplicaState ownState;
    private final Set<String> grantedBy = new HashSet<>();
    private final Set<String> deniedBy = new HashSet<>();
    private long highestTermSeen;

    /** {@code holding} is the claimant's own, with the term that it claims granted to itself. */
    public Candidacy(String self, ReplicaSet group, ReplicaState holding) {
        if (!holding.hasGranted(holding.term(), self)) {
            throw new IllegalArgumentException("a term that was not granted by its claimant");
        }
        this.self = self;
        this.replicaSet = group;
        this.ownState = holding;
        highestTermSeen = holding.term();
        grantedBy.add(self);
    }

    public long term() {
        return ownState.term();
    }

    /** How far the claimant's own copy reaches. */
    public LogPosition logPosition() {
        return ownState.logPosition();
    }

    public ReplicaSet replicaSet() {
        return replicaSet;
    }

    /** A holder's answer; {@code term} is the highest that it knows of. One for another claim changes nothing. */
    public void onVote(String from, long asked, boolean yes, long term) {
        highestTermSeen = Math.max(highestTermSeen, term);
        if (asked == ownState.term() && replicaSet.members().contains(from)) {
            (yes ? grantedBy : deniedBy).add(from);
        }
    }

    /** Whether the term is this claimant's. */
    public boolean hasWon() {
        return replicaSet.hasQuorum(grantedBy);
    }

    /** Whether so many have said no that it cannot be won any more. */
    public boolean hasLost() {
        Set<String> left = new HashSet<>(replicaSet.members());
        left.removeAll(deniedBy);
        return !replicaSet.hasQuorum(left);
    }

    /** The least term that could be claimed next. */
    public long nextTerm() {
        return highestTermSeen + 1;
    }

    /** Who has not answered yet, and is to be asked again. */
    public Set<String> pendingVoters() {
        Set<String> left = new HashSet<>(replicaSet.members());
        left.remove(self);
        left.removeAll(grantedBy);
        left.removeAll(deniedBy);
        return left;
    }
}
