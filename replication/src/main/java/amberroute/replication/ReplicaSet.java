package amberroute.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Who holds copies of an estate, its owner among them; {@code version} grows by one with each change. A change adds one
 * or takes one away, never both: then any majority of before and any of after have somebody in common, so two groups can
 * never decide apart.
 */
public record ReplicaSet(long version, List<String> members) {
    /** More would make each message slower and the fleet no safer against what happens to it. */
    public static final int MAX_MEMBERS = 7;

    public ReplicaSet {
        members = List.copyOf(members);
        if (members.size() > MAX_MEMBERS || members.stream().distinct().count() != members.size()) {
            throw new IllegalArgumentException("no group: " + members);
        }
    }

    /** Whether these are more than half of it; others do not count. */
    public boolean hasQuorum(Collection<String> some) {
        return 2 * members.stream().filter(some::contains).count() > members.size();
    }

    /** The next version with one more. */
    public ReplicaSet withMember(String name) {
        List<String> more = new ArrayList<>(members);
        more.add(name);
        return new ReplicaSet(version + 1, more);
    }

    /** The next version without one. */
    public ReplicaSet withoutMember(String name) {
        return new ReplicaSet(
                version + 1, members.stream().filter(h -> !h.equals(name)).toList());
    }
}
