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
 * Announces the ordered keys of a sender to every peer before a graceful shutdown redirects the clients of those
 * keys. Each peer acknowledges once the key hold is on disk, so a redirected client finds its key held whichever
 * peer it connects to.
 *
 * <p>Invariant: a client of a key with pending messages here is told to retry <em>immediately at another
 * sender</em> only if every peer holds that key. Otherwise it is told to wait until no message of the key can be
 * delivered here any more. Key order therefore also holds if a peer is down, partitioned or has no capacity for
 * holds, at the cost of a wait. While acknowledgements are outstanding, the reply to the client is delayed, by at
 * most {@link #acknowledgementTimeoutMillis}.
 *
 * <p>This class only makes decisions and performs no I/O. Times are milliseconds of wall-clock time, because the
 * expiry time of a hold must mean the same to all senders; clock skew of up to {@link #CLOCK_SKEW_MILLIS} is
 * allowed for. Not thread-safe.
 */
public final class KeyHoldAnnouncement {
    /** Maximum number of keys in one message. */
    public static final int MAX_KEYS_PER_BATCH = 2_048;
    /** Allowance for the skew between the wall clocks of two senders and for a call that overruns its deadline. */
    public static final long CLOCK_SKEW_MILLIS = 1_000;

    /** Keys announced in one message, held until the latest of their end times. */
    public record KeyBatch(int number, List<Long> keys, long untilMillis) {}

    private final Map<Long, Long> endMillisByKey;
    private final Map<Long, Integer> batchNumberByKey = new HashMap<>();
    private final List<KeyBatch> batches = new ArrayList<>();
    private final Map<String, Set<Integer>> unacknowledgedByPeer = new LinkedHashMap<>();
    private final long startedAtMillis;
    private final long acknowledgementTimeoutMillis;

    /**
     * Starts an announcement. {@code endMillisByKey} contains each ordered key with pending messages and the time
     * by which the last of these messages has certainly ended.
     */
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
     * Returns the batches to send, or to send again, to this peer: those that it has not acknowledged, without
     * finished keys and without the keys that the peer has adopted. A batch with a key that the peer may have
     * adopted is held back until that offer is answered.
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

    /** Records that the peer has the holds of this batch on disk. */
    public void acknowledge(String peer, int batchNumber) {
        unacknowledgedByPeer.getOrDefault(peer, new HashSet<>()).remove(batchNumber);
    }

    /** Removes peers that no client can discover, and that therefore need not hold any key. */
    public void excludePeers(Collection<String> peers) {
        peers.forEach(unacknowledgedByPeer::remove);
    }

    /** Whether clients may be answered now: all peers hold all keys, or the acknowledgement timeout has passed. */
    public boolean isSettled(long wallMillis) {
        return wallMillis - startedAtMillis >= acknowledgementTimeoutMillis
                || unacknowledgedByPeer.values().stream().allMatch(Set::isEmpty);
    }

    /** Records that no message of these keys is pending here any more and that none was handed off. */
    public void keysDone(Collection<Long> keys) {
        keys.forEach(endMillisByKey::remove);
    }

    /** Whether this key was announced and may still be delivered by this sender or by a sender that adopted it. */
    public boolean isAnnounced(long key) {
        return endMillisByKey.containsKey(key);
    }

    /** Returns the keys that are announced and not finished. */
    public Set<Long> openKeys() {
        return Set.copyOf(endMillisByKey.keySet());
    }

    /**
     * Returns how long a client of this key has to wait before it retries at another sender, in milliseconds; 0 if
     * it may retry immediately.
     */
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
