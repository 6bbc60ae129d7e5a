package amberroute.replication;

import java.util.HashSet;
import java.util.Set;

/**
 * One attempt to become the owner of an estate for a term. Whoever claims has granted the term to itself, on disk, before
 * it asks others. It wins with a majority of the group that its own copy names.
 */
public final class Candidacy {
    private final String self;
    private final ReplicaSet group;
    private final ReplicaState holding;
    private final Set<String> granted = new HashSet<>();
    private final Set<String> refused = new HashSet<>();
    private long highest;

    /** {@code holding} is the claimant's own, with the term that it claims granted to itself. */
    public Candidacy(String self, ReplicaSet group, ReplicaState holding) {
        if (!holding.granted(holding.term(), self)) {
            throw new IllegalArgumentException("a term that was not granted by its claimant");
        }
        this.self = self;
        this.group = group;
        this.holding = holding;
        highest = holding.term();
        granted.add(self);
    }

    public long term() {
        return holding.term();
    }

    /** How far the claimant's own copy reaches. */
    public LogPosition copy() {
        return holding.copy();
    }

    public ReplicaSet group() {
        return group;
    }

    /** A holder's answer; {@code term} is the highest that it knows of. One for another claim changes nothing. */
    public void answered(String from, long asked, boolean yes, long term) {
        highest = Math.max(highest, term);
        if (asked == holding.term() && group.holders().contains(from)) {
            (yes ? granted : refused).add(from);
        }
    }

    /** Whether the term is this claimant's. */
    public boolean won() {
        return group.majority(granted);
    }

    /** Whether so many have said no that it cannot be won any more. */
    public boolean lost() {
        Set<String> left = new HashSet<>(group.holders());
        left.removeAll(refused);
        return !group.majority(left);
    }

    /** The least term that could be claimed next. */
    public long next() {
        return highest + 1;
    }

    /** Who has not answered yet, and is to be asked again. */
    public Set<String> unanswered() {
        Set<String> left = new HashSet<>(group.holders());
        left.remove(self);
        left.removeAll(granted);
        left.removeAll(refused);
        return left;
    }
}
