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
 * What a daemon does before it sends the clients of its ordered keys away: it announces those keys to every peer, and each
 * acknowledges once it has the hold on disk. A client that is sent away then finds its key held wherever it goes.
 *
 * <p>Invariant: a client of a key of which something is pending here is told to retry <em>at once elsewhere</em> only when
 * every peer holds that key; else it is told to wait until nothing of the key can be delivered here any more. So order
 * holds also where a peer is dead, cut off or has no capacity for holds, at the price of a wait. While acknowledgements are outstanding,
 * for {@link #acknowledgementTimeoutMillis} at most, the client's answer waits.
 *
 * <p>Decides only. Times are milliseconds of wall time, as the ends of holds mean the same to all daemons; clocks that
 * differ by up to {@link #CLOCK_SKEW_MILLIS} are allowed for. Not thread-safe.
 */
public final class KeyHoldAnnouncement {
    /** Keys in one message. */
    public static final int MAX_KEYS_PER_BATCH = 2_048;
    /** How far the wall clocks of two daemons may differ, and what a call may take beyond its deadline. */
    public static final long CLOCK_SKEW_MILLIS = 1_000;

    /** Keys in one message, held until the latest of their ends. */
    public record KeyBatch(int number, List<Long> keys, long untilMillis) {}

    private final Map<Long, Long> endMillisByKey;
    private final Map<Long, Integer> batchNumberByKey = new HashMap<>();
    private final List<KeyBatch> batches = new ArrayList<>();
    private final Map<String, Set<Integer>> unacknowledgedByPeer = new LinkedHashMap<>();
    private final long startedAtMillis;
    private final long acknowledgementTimeoutMillis;

    /** {@code endMillisByKey} has each ordered key that is pending and when the last of its messages is surely over. */
    public KeyHoldAnnouncement(
            long wallMillis,
            Collection<String> peers,
            Map<Long, Long> endMillisByKey,
            long acknowledgementTimeoutMillis) {
        this.endMillisByKey = new HashMap<>(endMillisByKey);
        startedAtMillis = wallMillis;
        this.acknowledgementTimeoutMillis = acknowledgementTimeoutMillis;
        List<Long> keys = new ArrayList<>(endMillisByKey.keySet());
        for (int from = 0; from < keys.size(); from += MAX_KEYS_PER_BATCH) {
            addBatch(List.copyOf(keys.subList(from, Math.min(keys.size(), from + MAX_KEYS_PER_BATCH))));
        }
        for (String peer : peers) {
            Set<Integer> batchNumbers = new HashSet<>();
            batches.forEach(batch -> batchNumbers.add(batch.number()));
            unacknowledgedByPeer.put(peer, batchNumbers);
        }
    }

    private void addBatch(List<Long> keys) {
        int batchNumber = batches.size();
        keys.forEach(key -> batchNumberByKey.put(key, batchNumber));
        long latestEndMillis =
                keys.stream().mapToLong(endMillisByKey::get).max().orElse(startedAtMillis);
        batches.add(new KeyBatch(batchNumber, keys, latestEndMillis + CLOCK_SKEW_MILLIS));
    }

    /**
     * What this peer has not acknowledged yet, to be sent, and sent again: without finished keys and without those that the peer has
     * adopted. A batch with a key that the peer may have adopted waits for the answer to that offer.
     */
    public List<KeyBatch> batchesToSend(String peer, OfferedKeys offeredKeys) {
        return batches.stream()
                .filter(batch -> unacknowledgedBatches(peer).contains(batch.number()))
                .map(this::withoutFinishedKeys)
                .filter(batch -> batch.keys().stream()
                        .noneMatch(key -> offeredKeys.status(peer, key) == OfferedKeys.Status.UNANSWERED))
                .map(batch -> withoutAdoptedKeys(batch, peer, offeredKeys))
                .toList();
    }

    private KeyBatch withoutFinishedKeys(KeyBatch batch) {
        List<Long> unfinishedKeys =
                batch.keys().stream().filter(endMillisByKey::containsKey).toList();
        return new KeyBatch(batch.number(), unfinishedKeys, batch.untilMillis());
    }

    private static KeyBatch withoutAdoptedKeys(KeyBatch batch, String peer, OfferedKeys offeredKeys) {
        List<Long> remainingKeys = batch.keys().stream()
                .filter(key -> offeredKeys.status(peer, key) != OfferedKeys.Status.ADOPTED)
                .toList();
        return new KeyBatch(batch.number(), remainingKeys, batch.untilMillis());
    }

    private Set<Integer> unacknowledgedBatches(String peer) {
        return unacknowledgedByPeer.getOrDefault(peer, Set.of());
    }

    /** Whether the peer has acknowledged all batches. */
    public boolean isAcknowledgedBy(String peer) {
        return unacknowledgedBatches(peer).isEmpty();
    }

    /** The peer has the keys of this batch on disk as held. */
    public void acknowledge(String peer, int batchNumber) {
        unacknowledgedByPeer.getOrDefault(peer, new HashSet<>()).remove(batchNumber);
    }

    /** No client can find these peers: they need hold nothing. */
    public void excludePeers(Collection<String> peers) {
        peers.forEach(unacknowledgedByPeer::remove);
    }

    /** Whether clients may be answered now: all peers hold all keys, or have been waited for. */
    public boolean isSettled(long wallMillis) {
        return wallMillis - startedAtMillis >= acknowledgementTimeoutMillis
                || unacknowledgedByPeer.values().stream().allMatch(Set::isEmpty);
    }

    /** Nothing of these keys is pending here any more and nothing of them has moved. */
    public void keysDone(Collection<Long> keys) {
        keys.forEach(endMillisByKey::remove);
    }

    /** Whether this key was announced and may still be delivered by this daemon or one that it moved to. */
    public boolean isAnnounced(long key) {
        return endMillisByKey.containsKey(key);
    }

    /** The keys that are announced and not finished. */
    public Set<Long> openKeys() {
        return Set.copyOf(endMillisByKey.keySet());
    }

    /** How long a client of this key has to wait before it goes elsewhere, in milliseconds; 0 for not at all. */
    public long retryElsewhereDelayMillis(long wallMillis, long key) {
        Long endMillis = endMillisByKey.get(key);
        if (endMillis == null || isHeldByAll(key)) {
            return 0;
        }
        return Math.max(1, endMillis + CLOCK_SKEW_MILLIS - wallMillis);
    }

    private boolean isHeldByAll(long key) {
        Integer batchNumber = batchNumberByKey.get(key);
        return unacknowledgedByPeer.values().stream().noneMatch(batchNumbers -> batchNumbers.contains(batchNumber));
    }
}
