package amberroute.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An owner's term: which records it has written itself, which of them each member has acknowledged, and so which are committed. Invariant: an
 * effect that a record allows may happen once the record is committed and not before.
 *
 * <p>Of earlier terms nothing counts by itself: a member is counted for what it has of this one, which begins with a
 * snapshot. Changes of the replica set are records like others; the next one waits until the last is committed. Not thread-safe.
 */
public final class LeaderTerm {
    private static final long NO_INDEX = -1;

    private final String self;
    private final long term;
    /** Up to where each member has it in this term; those without the snapshot are not there. */
    private final Map<String, Long> acknowledgedIndexByMember = new HashMap<>();

    private ReplicaSet replicaSet;
    private long replicaSetIndex;
    private long lastIndex;
    private boolean ended;

    /** {@code lastIndex} is the index of the owner's last record so far; the replica set is the one that its copy names. */
    public LeaderTerm(String self, long term, long lastIndex, ReplicaSet replicaSet) {
        this.self = self;
        this.term = term;
        this.lastIndex = lastIndex;
        this.replicaSet = replicaSet;
        replicaSetIndex = lastIndex;
    }

    /** Number of the term. */
    public long term() {
        return term;
    }

    /** The replica set as it counts now. */
    public ReplicaSet replicaSet() {
        return replicaSet;
    }

    /** Index of the last record that the owner has written. */
    public long lastIndex() {
        return lastIndex;
    }

    /** A record was written by the owner; returns its index. */
    public long appended() {
        return ++lastIndex;
    }

    /** The last record changes the replica set, which counts from then on; only after the last change is committed. */
    public void replicaSetChanged(ReplicaSet next) {
        if (!isReplicaSetCommitted()) {
            throw new IllegalStateException("the last change of the group is not agreed on");
        }
        replicaSet = next;
        replicaSetIndex = lastIndex;
        acknowledgedIndexByMember.keySet().retainAll(next.members());
    }

    /** Whether the next change of the replica set may be made. */
    public boolean isReplicaSetCommitted() {
        return commitIndex() >= replicaSetIndex;
    }

    /** A member has all up to an index on its disk, in this term. */
    public void acknowledged(String member, long index) {
        if (!member.equals(self) && index <= lastIndex) {
            acknowledgedIndexByMember.merge(member, index, Math::max);
        }
    }

    /** A member's copy is not known to be complete any more: its connection was lost, or it asks for a snapshot. */
    public void acknowledgementLost(String member) {
        acknowledgedIndexByMember.remove(member);
    }

    /** How many records a member is behind, -1 where it has no snapshot of this term. */
    public long replicationLag(String member) {
        if (member.equals(self)) {
            return 0;
        }
        Long acknowledgedIndex = acknowledgedIndexByMember.get(member);
        return acknowledgedIndex == null ? NO_INDEX : lastIndex - acknowledgedIndex;
    }

    /** The highest index up to which a quorum has all; -1 where none has anything of this term, and after its end. */
    public long commitIndex() {
        List<Long> indexes = replicaSet.members().stream()
                .map(member ->
                        member.equals(self) ? lastIndex : acknowledgedIndexByMember.getOrDefault(member, NO_INDEX))
                .sorted()
                .toList();
        // Of n members sorted upwards, more than half are at or above this one.
        return indexes.isEmpty() || ended ? NO_INDEX : indexes.get((indexes.size() - 1) / 2);
    }

    /** Somebody has a later term: nothing more is committed. */
    public void end() {
        ended = true;
    }

    /** Whether nothing more is committed. */
    public boolean hasEnded() {
        return ended;
    }
}
