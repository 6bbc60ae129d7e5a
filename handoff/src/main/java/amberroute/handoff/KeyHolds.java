package amberroute.handoff;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ordered keys of which another daemon still has messages. Invariant: a message of such a key that comes here waits until the
 * hold is released or expires, so that it cannot overtake what came before it. A hold has the name of the daemon that asked
 * for it (its origin) and expires at a wall time, when none of the messages it stands for can be delivered any
 * more. Several origins may hold one key; it is free when none does.
 *
 * <p>At most {@value #MAX_HOLDS} holds are kept; an origin that asks for more is not acknowledged and keeps its clients away by itself.
 * Times are milliseconds of wall time. Not thread-safe.
 */
public final class KeyHolds {
    /** Of all keys and origins together. */
    public static final int MAX_HOLDS = 65_536;

    /** One origin's hold on one key. */
    public record KeyHold(String origin, long key, long untilMillis) {}

    private final Map<Long, Map<String, Long>> untilByOriginByKey = new HashMap<>();
    private int holdCount;

    /** Whether there is capacity for so many more. */
    public boolean hasCapacity(int additionalHolds) {
        return holdCount + additionalHolds <= MAX_HOLDS;
    }

    /** Returns the keys that nobody held before. A hold that is asked for again lasts until the later of both times. */
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

    /** Returns the keys that nobody holds any more. */
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

    /** Ends the holds whose time is up and returns the keys that nobody holds any more. */
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

    /** Whether anybody holds this key. */
    public boolean isHeld(long key) {
        return untilByOriginByKey.containsKey(key);
    }

    /** Who holds a key, empty where nobody does. */
    public Set<String> origins(long key) {
        return Set.copyOf(untilByOriginByKey.getOrDefault(key, Map.of()).keySet());
    }

    /** All keys that are held. */
    public Set<Long> heldKeys() {
        return Set.copyOf(untilByOriginByKey.keySet());
    }

    /** All holds, for a journal that is written anew. */
    public List<KeyHold> allHolds() {
        List<KeyHold> all = new ArrayList<>(holdCount);
        untilByOriginByKey.forEach((key, untilByOrigin) ->
                untilByOrigin.forEach((origin, untilMillis) -> all.add(new KeyHold(origin, key, untilMillis))));
        return all;
    }

    /** Number of holds. */
    public int size() {
        return holdCount;
    }
}
