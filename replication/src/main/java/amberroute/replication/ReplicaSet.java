package amberroute.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Who has replicas of a journal, its owner among them; {@code version} grows by one with each change. Invariant: a change adds one member
 * or removes one, never both: then any quorum of before and any of after have a member in common, so two versions can
 * never decide apart. Immutable. An {@link IllegalArgumentException} for a member twice, or more than {@link #MAX_MEMBERS}.
 */
public record ReplicaSet(long version, List<String> members) {
    /** More would make each message slower and the fleet no safer against what happens to it. */
    public static final int MAX_MEMBERS = 7;

    /** Checks the members. */
    public ReplicaSet {
        members = List.copyOf(members);
        if (members.size() > MAX_MEMBERS || members.stream().distinct().count() != members.size()) {
            throw new IllegalArgumentException("no group: " + members);
        }
    }

    /** Whether these are more than half of it; others do not count. */
    public boolean hasQuorum(Collection<String> names) {
        return 2 * members.stream().filter(names::contains).count() > members.size();
    }

    /** The next version with one more. */
    public ReplicaSet withMember(String name) {
        List<String> newMembers = new ArrayList<>(members);
        newMembers.add(name);
        return new ReplicaSet(version + 1, newMembers);
    }

    /** The next version without one. */
    public ReplicaSet withoutMember(String name) {
        List<String> newMembers =
                members.stream().filter(member -> !member.equals(name)).toList();
        return new ReplicaSet(version + 1, newMembers);
    }
}
