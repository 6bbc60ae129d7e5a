package amberroute.handoff;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ordered keys of which another sender still has messages. Invariant: a message of a held key that is accepted
 * here waits until the hold is released or expires, so that it cannot overtake earlier messages of the key. A hold
 * names the sender that requested it (its origin) and expires at a wall-clock time by which none of the messages
 * that it protects can be delivered any more. Several origins may hold the same key; the key is free once none of
 * them does.
 *
 * <p>At most {@value #MAX_HOLDS} holds are kept. A request beyond that limit is not acknowledged, and its origin
 * delays its own clients instead. Times are milliseconds of wall-clock time. Not thread-safe.
 */
public final class KeyHolds {
    /** Maximum number of holds, over all keys and origins. */
    public static final int MAX_HOLDS = 65_536;

    /** The hold of one origin on one key. */
    public record KeyHold(String origin, long key, long untilMillis) {}

    private final Map<Long, Map<String, Long>> untilByOriginByKey = new HashMap<>();
    private int holdCount;

    /** Whether this many additional holds fit within {@link #MAX_HOLDS}. */
    public boolean hasCapacity(int additionalHolds) {
        return holdCount + additionalHolds <= MAX_HOLDS;
    }

    /**
     * Adds holds and returns the keys that were not held before. A repeated hold lasts until the later of the two
     * times.
     */
    public List<Long> hold(String origin, Collection<Long> keys, long untilMillis) {
        List<Long> newlyHeld = new ArrayList<>();
        for (long key : keys) {
            Map<String, Long> untilByOrigin = untilByOriginByKey.computeIfAbsent(key, k -> new HashMap<>(2));
            if (untilByOrigin.isEmpty()) {
                newlyHeld.add(key);
            }
            Long previousUntilMillis = untilByOrigin.put(origin, untilMillis);
            holdCount += previousUntilMillis == null ? 1 : 0;
            if (previousUntilMillis != null && previousUntilMillis > untilMillis) {
                untilByOrigin.put(origin, previousUntilMillis);
            }
        }
        return newlyHeld;
    }

    /** Releases the holds of an origin and returns the keys that no origin holds any more. */
    public List<Long> release(String origin, Collection<Long> keys) {
        List<Long> released = new ArrayList<>();
        for (long key : keys) {
            Map<String, Long> untilByOrigin = untilByOriginByKey.get(key);
            if (untilByOrigin == null || untilByOrigin.remove(origin) == null) {
                continue;
            }
            holdCount--;
            if (untilByOrigin.isEmpty()) {
                untilByOriginByKey.remove(key);
                released.add(key);
            }
        }
        return released;
    }

    /** Removes expired holds and returns the keys that no origin holds any more. */
    public List<Long> expire(long wallMillis) {
        List<Long> released = new ArrayList<>();
        Iterator<Map.Entry<Long, Map<String, Long>>> entries =
                untilByOriginByKey.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<Long, Map<String, Long>> entry = entries.next();
            Map<String, Long> untilByOrigin = entry.getValue();
            int previousHoldCount = untilByOrigin.size();
            untilByOrigin.values().removeIf(untilMillis -> untilMillis <= wallMillis);
            holdCount -= previousHoldCount - untilByOrigin.size();
            if (untilByOrigin.isEmpty()) {
                released.add(entry.getKey());
                entries.remove();
            }
        }
        return released;
    }

    /** Whether any origin holds this key. */
    public boolean isHeld(long key) {
        return untilByOriginByKey.containsKey(key);
    }

    /** Returns the origins that hold a key; empty if there are none. */
    public Set<String> origins(long key) {
        return Set.copyOf(untilByOriginByKey.getOrDefault(key, Map.of()).keySet());
    }

    /** Returns all keys that are held. */
    public Set<Long> heldKeys() {
        return Set.copyOf(untilByOriginByKey.keySet());
    }

    /** Returns all holds, for journal compaction. */
    public List<KeyHold> allHolds() {
        List<KeyHold> all = new ArrayList<>(holdCount);
        untilByOriginByKey.forEach((key, untilByOrigin) ->
                untilByOrigin.forEach((origin, untilMillis) -> all.add(new KeyHold(origin, key, untilMillis))));
        return all;
    }

    /** Returns the number of holds. */
    public int size() {
        return holdCount;
    }
}
