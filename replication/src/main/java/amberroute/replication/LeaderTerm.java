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
    private final Map<String, Long> has = new HashMap<>();

    private ReplicaSet group;
    private long groupAt;
    private long last;
    private boolean over;

    /** {@code last} is the number of the owner's last change so far; the group is the one that its copy names. */
    public LeaderTerm(String self, long term, long last, ReplicaSet group) {
        this.self = self;
        this.term = term;
        this.last = last;
        this.group = group;
        groupAt = last;
    }

    public long term() {
        return term;
    }

    public ReplicaSet group() {
        return group;
    }

    /** Number of the last change that the owner has written. */
    public long last() {
        return last;
    }

    /** A change was written by the owner; returns its number. */
    public long wrote() {
        return ++last;
    }

    /** The change that was written last is one of the group, which counts from then on. */
    public void regrouped(ReplicaSet next) {
        if (!settled()) {
            throw new IllegalStateException("the last change of the group is not agreed on");
        }
        group = next;
        groupAt = last;
        has.keySet().retainAll(next.holders());
    }

    /** Whether the next change of the group may be made. */
    public boolean settled() {
        return agreed() >= groupAt;
    }

    /** A holder has all up to a number on its disk, in this term. */
    public void has(String holder, long number) {
        if (!holder.equals(self) && number <= last) {
            has.merge(holder, number, Math::max);
        }
    }

    /** A holder's copy is not known to be whole any more: its connection was lost, or it asks for the whole. */
    public void lacks(String holder) {
        has.remove(holder);
    }

    /** How many changes a holder is behind, -1 where it has not the whole. */
    public long behind(String holder) {
        return holder.equals(self) ? 0 : has.containsKey(holder) ? last - has.get(holder) : -1;
    }

    /** The highest number up to which a majority of the group has all; -1 where none has anything of this term. */
    public long agreed() {
        List<Long> numbers = group.holders().stream()
                .map(h -> h.equals(self) ? last : has.getOrDefault(h, -1L))
                .sorted()
                .toList();
        // Of n holders sorted upwards, more than half stand at or above this one.
        return numbers.isEmpty() || over ? -1 : numbers.get((numbers.size() - 1) / 2);
    }

    /** Somebody has a later term: nothing more is agreed on. */
    public void end() {
        over = true;
    }

    public boolean over() {
        return over;
    }
}
