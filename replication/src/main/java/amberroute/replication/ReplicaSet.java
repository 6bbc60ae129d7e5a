package amberroute.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * The senders that have replicas of a journal, including its leader. {@code version} grows by one with each change.
 * Invariant: a change adds or removes exactly one member. Any quorum before the change and any quorum after it then
 * have a member in common, so two versions cannot make conflicting decisions. Immutable.
 */
public record ReplicaSet(long version, List<String> members) {
    /**
     * Maximum number of members. More members would slow down each message without protecting against more kinds of
     * failure.
     */
    public static final int MAX_MEMBERS = 7;

    /**
     * Validates the members.
     *
     * @throws IllegalArgumentException for a duplicate member or more than {@link #MAX_MEMBERS} members
     */
    public ReplicaSet {
        members = List.copyOf(members);
        if (members.size() > MAX_MEMBERS || members.stream().distinct().count() != members.size()) {
            throw new IllegalArgumentException("replica set with duplicate or too many members: " + members);
        }
    }

    /** Whether the given names include more than half of the members; names of other senders are not counted. */
    public boolean hasQuorum(Collection<String> names) {
        return 2 * members.stream().filter(names::contains).count() > members.size();
    }

    /** Returns the next version, with an additional member. */
    public ReplicaSet withMember(String name) {
        List<String> newMembers = new ArrayList<>(members);
        newMembers.add(name);
        return new ReplicaSet(version + 1, newMembers);
    }

    /** Returns the next version, without a member. */
    public ReplicaSet withoutMember(String name) {
        List<String> newMembers =
                members.stream().filter(member -> !member.equals(name)).toList();
        return new ReplicaSet(version + 1, newMembers);
    }
}
