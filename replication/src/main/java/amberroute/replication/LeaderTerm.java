package amberroute.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The term of a leader: which records the leader has written, which of them each member has acknowledged, and so
 * which are committed. Invariant: an effect that depends on a record may take place only once the record is
 * committed.
 *
 * <p>Records of earlier terms are not counted. A member is counted for what it has of this term, which begins with
 * a snapshot. Changes of the replica set are records like any other; the next change must wait until the last one
 * is committed. Not thread-safe.
 */
public final class LeaderTerm {
    private static final long NO_INDEX = -1;

    private final String self;
    private final long term;
    /** Highest acknowledged index of each member in this term; members without the snapshot have no entry. */
    private final Map<String, Long> acknowledgedIndexByMember = new HashMap<>();

    private ReplicaSet replicaSet;
    private long replicaSetIndex;
    private long lastIndex;
    private boolean ended;

    /**
     * Starts a term. {@code lastIndex} is the index of the last record of the leader, and {@code replicaSet} the
     * one that its copy of the journal names.
     */
    public LeaderTerm(String self, long term, long lastIndex, ReplicaSet replicaSet) {
        this.self = self;
        this.term = term;
        this.lastIndex = lastIndex;
        this.replicaSet = replicaSet;
        replicaSetIndex = lastIndex;
    }

    /** Returns the number of the term. */
    public long term() {
        return term;
    }

    /** Returns the current replica set, including a change that is not yet committed. */
    public ReplicaSet replicaSet() {
        return replicaSet;
    }

    /** Returns the index of the last record that the leader has written. */
    public long lastIndex() {
        return lastIndex;
    }

    /** Records that the leader has written a record, and returns its index. */
    public long appended() {
        return ++lastIndex;
    }

    /**
     * Records that the last record changes the replica set. The new replica set is in effect immediately.
     *
     * @throws IllegalStateException if the previous change is not committed
     */
    public void replicaSetChanged(ReplicaSet next) {
        if (!isReplicaSetCommitted()) {
            throw new IllegalStateException("previous change of the replica set is not committed");
        }
        replicaSet = next;
        replicaSetIndex = lastIndex;
        acknowledgedIndexByMember.keySet().retainAll(next.members());
    }

    /** Whether the last change of the replica set is committed, so that the next one may be made. */
    public boolean isReplicaSetCommitted() {
        return commitIndex() >= replicaSetIndex;
    }

    /** Records that a member has all records up to an index on disk, in this term. */
    public void acknowledged(String member, long index) {
        if (!member.equals(self) && index <= lastIndex) {
            acknowledgedIndexByMember.merge(member, index, Math::max);
        }
    }

    /**
     * Records that the copy of a member is no longer known to be complete: its connection was lost, or it requests
     * a snapshot.
     */
    public void acknowledgementLost(String member) {
        acknowledgedIndexByMember.remove(member);
    }

    /** Returns how many records a member lags behind, or -1 if it has no snapshot of this term. */
    public long replicationLag(String member) {
        if (member.equals(self)) {
            return 0;
        }
        Long acknowledgedIndex = acknowledgedIndexByMember.get(member);
        return acknowledgedIndex == null ? NO_INDEX : lastIndex - acknowledgedIndex;
    }

    /**
     * Returns the highest index that a quorum has acknowledged; -1 if no quorum has the snapshot of this term, or
     * if the term has ended.
     */
    public long commitIndex() {
        List<Long> indexes = replicaSet.members().stream()
                .map(member ->
                        member.equals(self) ? lastIndex : acknowledgedIndexByMember.getOrDefault(member, NO_INDEX))
                .sorted()
                .toList();
        // Of n indexes in ascending order, more than half are at or above this one.
        return indexes.isEmpty() || ended ? NO_INDEX : indexes.get((indexes.size() - 1) / 2);
    }

    /** Ends the term, for example because another sender has a later one: no further record is committed. */
    public void end() {
        ended = true;
    }

    /** Whether the term has ended, so that no further record is committed. */
    public boolean hasEnded() {
        return ended;
    }
}
