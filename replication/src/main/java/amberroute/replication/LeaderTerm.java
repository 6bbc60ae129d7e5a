package amberroute.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An owner's term: which changes it has written itself, which of them each holder has, and so which are agreed on. An
 * effect that a change allows may be had once the change is agreed on and not before.
 *
 * <p>Of earlier terms nothing counts by itself: a holder is counted for what it has of this one, which begins with the
 * whole. Changes of the group are changes like others; the next one waits until the last is agreed on.
 */
public final class LeaderTerm {
    private final String self;
    private final long term;
    /** Up to where each holder has it in this term; those without the whole are not there. */
    private final Map<String, Long> acknowledgedIndexByMember = new HashMap<>();

    private ReplicaSet replicaSet;
    private long replicaSetIndex;
    private long lastIndex;
    private boolean ended;

    /** {@code last} is the number of the owner's last change so far; the group is the one that its copy names. */
    public LeaderTerm(String self, long term, long last, ReplicaSet group) {
        this.self = self;
        this.term = term;
        this.lastIndex = last;
        this.replicaSet = group;
        replicaSetIndex = last;
    }

    public long term() {
        return term;
    }

    public ReplicaSet replicaSet() {
        return replicaSet;
    }

    /** Number of the last change that the owner has written. */
    public long lastIndex() {
        return lastIndex;
    }

    /** A change was written by the owner; returns its number. */
    public long appended() {
        return ++lastIndex;
    }

    /** The change that was written last is one of the group, which counts from then on. */
    public void replicaSetChanged(ReplicaSet next) {
        if (!isReplicaSetCommitted()) {
            throw new IllegalStateException("the last change of the group is not agreed on");
        }
        replicaSet = next;
        replicaSetIndex = lastIndex;
        acknowledgedIndexByMember.keySet().retainAll(next.members());
    }

    /** Whether the next change of the group may be made. */
    public boolean isReplicaSetCommitted() {
        return commitIndex() >= replicaSetIndex;
    }

    /** A holder has all up to a number on its disk, in this term. */
    public void acknowledged(String holder, long number) {
        if (!holder.equals(self) && number <= lastIndex) {
            acknowledgedIndexByMember.merge(holder, number, Math::max);
        }
    }

    /** A holder's copy is not known to be whole any more: its connection was lost, or it asks for the whole. */
    public void acknowledgementLost(String holder) {
        acknowledgedIndexByMember.remove(holder);
    }

    /** How many changes a holder is behind, -1 where it has not the whole. */
    public long replicationLag(String holder) {
        return holder.equals(self)
                ? 0
                : acknowledgedIndexByMember.containsKey(holder)
                        ? lastIndex - acknowledgedIndexByMember.get(holder)
                        : -1;
    }

    /** The highest number up to which a majority of the group has all; -1 where none has anything of this term. */
    public long commitIndex() {
        List<Long> numbers = replicaSet.members().stream()
                .map(h -> h.equals(self) ? lastIndex : acknowledgedIndexByMember.getOrDefault(h, -1L))
                .sorted()
                .toList();
        // Of n holders sorted upwards, more than half stand at or above this one.
        return numbers.isEmpty() || ended ? -1 : numbers.get((numbers.size() - 1) / 2);
    }

    /** Somebody has a later term: nothing more is agreed on. */
    public void end() {
        ended = true;
    }

    public boolean hasEnded() {
        return ended;
    }
}
