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
 * {@link #patienceMillis} at most, its answer waits.
 *
 * <p>Decides only. Times are milliseconds of wall time, as the holds' ends mean the same to all daemons; a clock that
 * differs by up to {@link #CLOCK_SKEW_MILLIS} is allowed for.
 */
public final class KeyHoldAnnouncement {
    /** Keys that one word names. */
    public static final int MAX_KEYS_PER_BATCH = 2_048;
    /** How far the wall clocks of two daemons may differ, and what a call out may take beyond its deadline. */
    public static final long CLOCK_SKEW_MILLIS = 1_000;

    /** So many keys in one word, held until the latest of their ends. */
    public record KeyBatch(int number, List<Long> keys, long untilMillis) {}

    private final Map<Long, Long> endMillisByKey;
    private final Map<Long, Integer> batchNumberByKey = new HashMap<>();
    private final List<KeyBatch> batches = new ArrayList<>();
    private final Map<String, Set<Integer>> unacknowledgedByPeer = new LinkedHashMap<>();
    private final long startedAtMillis;
    private final long patienceMillis;

    /** {@code ends} has each ordered key that is held and when the last of its messages is surely over. */
    public KeyHoldAnnouncement(long wall, Collection<String> peers, Map<Long, Long> ends, long patience) {
        this.endMillisByKey = new HashMap<>(ends);
        startedAtMillis = wall;
        this.patienceMillis = patience;
        List<Long> all = new ArrayList<>(ends.keySet());
        for (int from = 0; from < all.size(); from += MAX_KEYS_PER_BATCH) {
            List<Long> keys = List.copyOf(all.subList(from, Math.min(all.size(), from + MAX_KEYS_PER_BATCH)));
            int number = batches.size();
            keys.forEach(key -> batchNumberByKey.put(key, number));
            batches.add(new KeyBatch(
                    number, keys, keys.stream().mapToLong(ends::get).max().orElse(wall) + CLOCK_SKEW_MILLIS));
        }
        for (String peer : peers) {
            Set<Integer> numbers = new HashSet<>();
            batches.forEach(b -> numbers.add(b.number()));
            unacknowledgedByPeer.put(peer, numbers);
        }
    }

    /** What this peer has not answered yet, without what is done: to be said, and said again. */
    public List<KeyBatch> unacknowledgedBatches(String peer) {
        return batches.stream()
                .filter(b -> unacknowledgedByPeer.getOrDefault(peer, Set.of()).contains(b.number()))
                .map(b -> new KeyBatch(
                        b.number(),
                        b.keys().stream().filter(endMillisByKey::containsKey).toList(),
                        b.untilMillis()))
                .toList();
    }

    /** The peer has these keys on disk as held. */
    public void acknowledge(String peer, int batch) {
        unacknowledgedByPeer.getOrDefault(peer, new HashSet<>()).remove(batch);
    }

    /** No client can find these: they need hold nothing. */
    public void excludePeers(Collection<String> peers) {
        peers.forEach(unacknowledgedByPeer::remove);
    }

    /** Whether answers may be given now: all peers hold all keys, or have been waited for. */
    public boolean isSettled(long wall) {
        return wall - startedAtMillis >= patienceMillis
                || unacknowledgedByPeer.values().stream().allMatch(Set::isEmpty);
    }

    /** Nothing of these keys is here any more and nothing of them has moved. */
    public void keysDone(Collection<Long> keys) {
        keys.forEach(endMillisByKey::remove);
    }

    /** Whether this key was named and may still be carried out by this daemon or one that it moved to. */
    public boolean isAnnounced(long key) {
        return endMillisByKey.containsKey(key);
    }

    /** The keys that are named and not done. */
    public Set<Long> openKeys() {
        return Set.copyOf(endMillisByKey.keySet());
    }

    /** How long a client of this key has to wait before it goes elsewhere, in milliseconds; 0 for not at all. */
    public long retryElsewhereDelayMillis(long wall, long key) {
        Long end = endMillisByKey.get(key);
        if (end == null
                || unacknowledgedByPeer.values().stream().noneMatch(m -> m.contains(batchNumberByKey.get(key)))) {
            return 0;
        }
        return Math.max(1, end + CLOCK_SKEW_MILLIS - wall);
    }
}
