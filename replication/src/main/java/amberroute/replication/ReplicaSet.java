package amberroute.replication;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Who holds copies of an estate, its owner among them; {@code version} grows by one with each change. A change adds one
 * or takes one away, never both: then any majority of before and any of after have somebody in common, so two groups can
 * never decide apart.
 */
public record ReplicaSet(long version, List<String> holders) {
    /** More would make each message slower and the fleet no safer against what happens to it. */
    public static final int MOST = 7;

    public ReplicaSet {
        holders = List.copyOf(holders);
        if (holders.size() > MOST || holders.stream().distinct().count() != holders.size()) {
            throw new IllegalArgumentException("no group: " + holders);
        }
    }

    /** Whether these are more than half of it; others do not count. */
    public boolean majority(Collection<String> some) {
        return 2 * holders.stream().filter(some::contains).count() > holders.size();
    }

    /** The next version with one more. */
    public ReplicaSet with(String name) {
        List<String> more = new ArrayList<>(holders);
        more.add(name);
        return new ReplicaSet(version + 1, more);
    }

    /** The next version without one. */
    public ReplicaSet without(String name) {
        return new ReplicaSet(
                version + 1, holders.stream().filter(h -> !h.equals(name)).toList());
    }
}
