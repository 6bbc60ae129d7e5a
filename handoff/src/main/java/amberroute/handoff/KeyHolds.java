package amberroute.handoff;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ordered keys of which another daemon still has messages: a message of such a key that comes here waits until the
 * hold is released or over, so that it cannot overtake what came before it. A hold has the name of the daemon that asked
 * for it (its origin) and ends by itself at a wall time, when none of the messages it stands for can be carried out any
 * more. Several origins may hold one key; it is free when none does.
 *
 * <p>At most {@value #MAX_HOLDS} holds are kept; an origin that asks for more is told no and keeps its clients away by itself.
 */
public final class KeyHolds {
    /** Of all keys and origins together. */
    public static final int MAX_HOLDS = 65_536;

    /** One origin's hold on one key, until a wall time in milliseconds. */
    public record KeyHold(String origin, long key, long untilMillis) {}

    private final Map<Long, Map<String, Long>> untilByOriginByKey = new HashMap<>();
    private int holdCount;

    /** Whether there is room for so many more. */
    public boolean hasCapacity(int more) {
        return holdCount + more <= MAX_HOLDS;
    }

    /** Returns the keys that nobody held before. A hold that is asked for again lasts until the later of both times. */
    public List<Long> hold(String origin, Collection<Long> keys, long until) {
        List<Long> fresh = new ArrayList<>();
        for (long key : keys) {
            Map<String, Long> of = untilByOriginByKey.computeIfAbsent(key, k -> new HashMap<>(2));
            if (of.isEmpty()) {
                fresh.add(key);
            }
            Long before = of.put(origin, until);
            holdCount += before == null ? 1 : 0;
            if (before != null && before > until) {
                of.put(origin, before);
            }
        }
        return fresh;
    }

    /** Returns the keys that nobody holds any more. */
    public List<Long> release(String origin, Collection<Long> keys) {
        List<Long> free = new ArrayList<>();
        for (long key : keys) {
            Map<String, Long> of = untilByOriginByKey.get(key);
            if (of == null || of.remove(origin) == null) {
                continue;
            }
            holdCount--;
            if (of.isEmpty()) {
                untilByOriginByKey.remove(key);
                free.add(key);
            }
        }
        return free;
    }

    /** Ends the holds whose time is up and returns the keys that nobody holds any more. */
    public List<Long> expire(long wall) {
        List<Long> free = new ArrayList<>();
        for (Iterator<Map.Entry<Long, Map<String, Long>>> it =
                        untilByOriginByKey.entrySet().iterator();
                it.hasNext(); ) {
            Map.Entry<Long, Map<String, Long>> entry = it.next();
            int before = entry.getValue().size();
            entry.getValue().values().removeIf(until -> until <= wall);
            holdCount -= before - entry.getValue().size();
            if (entry.getValue().isEmpty()) {
                free.add(entry.getKey());
                it.remove();
            }
        }
        return free;
    }

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
        untilByOriginByKey.forEach(
                (key, of) -> of.forEach((origin, until) -> all.add(new KeyHold(origin, key, until))));
        return all;
    }

    public int size() {
        return holdCount;
    }
}
