package amberroute.handoff;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What a leaver does before it turns the clients of its ordered keys away: it names those keys to every peer, and each
 * that has the hold on disk says so. A client that is sent away then finds its key held wherever it goes.
 *
 * <p>Rule: a client of a key of which something is still here is told to come again <em>at once elsewhere</em> only when
 * every peer holds that key; else it is told to wait until nothing of the key can be carried out here any more. So order
 * holds also where a peer is dead, cut off or has no room for holds, at the price of a wait. While answers are out, for
 * {@link #patience} at most, its answer waits.
 *
 * <p>Decides only. Times are milliseconds of wall time, as the holds' ends mean the same to all daemons; a clock that
 * differs by up to {@link #CLOCKS} is allowed for.
 */
public final class KeyHoldAnnouncement {
    /** Keys that one word names. */
    public static final int BATCH = 2_048;
    /** How far the wall clocks of two daemons may differ, and what a call out may take beyond its deadline. */
    public static final long CLOCKS = 1_000;

    /** So many keys in one word, held until the latest of their ends. */
    public record KeyBatch(int number, List<Long> keys, long until) {}

    private final Map<Long, Long> ends;
    private final Map<Long, Integer> batchOf = new HashMap<>();
    private final List<KeyBatch> batches = new ArrayList<>();
    private final Map<String, Set<Integer>> missing = new LinkedHashMap<>();
    private final long since;
    private final long patience;

    /** {@code ends} has each ordered key that is held and when the last of its messages is surely over. */
    public KeyHoldAnnouncement(long wall, Collection<String> peers, Map<Long, Long> ends, long patience) {
        this.ends = new HashMap<>(ends);
        since = wall;
        this.patience = patience;
        List<Long> all = new ArrayList<>(ends.keySet());
        for (int from = 0; from < all.size(); from += BATCH) {
            List<Long> keys = List.copyOf(all.subList(from, Math.min(all.size(), from + BATCH)));
            int number = batches.size();
            keys.forEach(key -> batchOf.put(key, number));
            batches.add(new KeyBatch(
                    number, keys, keys.stream().mapToLong(ends::get).max().orElse(wall) + CLOCKS));
        }
        for (String peer : peers) {
            Set<Integer> numbers = new HashSet<>();
            batches.forEach(b -> numbers.add(b.number()));
            missing.put(peer, numbers);
        }
    }

    /** What this peer has not answered yet, without what is done: to be said, and said again. */
    public List<KeyBatch> unanswered(String peer) {
        return batches.stream()
                .filter(b -> missing.getOrDefault(peer, Set.of()).contains(b.number()))
                .map(b -> new KeyBatch(
                        b.number(), b.keys().stream().filter(ends::containsKey).toList(), b.until()))
                .toList();
    }

    /** The peer has these keys on disk as held. */
    public void held(String peer, int batch) {
        missing.getOrDefault(peer, new HashSet<>()).remove(batch);
    }

    /** No client can find these: they need hold nothing. */
    public void absent(Collection<String> peers) {
        peers.forEach(missing::remove);
    }

    /** Whether answers may be given now: all peers hold all keys, or have been waited for. */
    public boolean settled(long wall) {
        return wall - since >= patience || missing.values().stream().allMatch(Set::isEmpty);
    }

    /** Nothing of these keys is here any more and nothing of them has moved. */
    public void done(Collection<Long> keys) {
        keys.forEach(ends::remove);
    }

    /** Whether this key was named and may still be carried out by this daemon or one that it moved to. */
    public boolean named(long key) {
        return ends.containsKey(key);
    }

    /** The keys that are named and not done. */
    public Set<Long> keys() {
        return Set.copyOf(ends.keySet());
    }

    /** How long a client of this key has to wait before it goes elsewhere, in milliseconds; 0 for not at all. */
    public long stayAway(long wall, long key) {
        Long end = ends.get(key);
        if (end == null || missing.values().stream().noneMatch(m -> m.contains(batchOf.get(key)))) {
            return 0;
        }
        return Math.max(1, end + CLOCKS - wall);
    }
}
