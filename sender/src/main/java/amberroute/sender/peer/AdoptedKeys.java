package amberroute.sender.peer;

import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.KeyHolds;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The ordered keys whose messages came from other daemons. Peers hold these keys back on behalf of their origins; this daemon
 * has to release them when its messages of the key are finished. The last {@value KeyHoldAnnouncement#MAX_KEYS_PER_BATCH} finished
 * keys of each origin are kept for those that did not hear of it. Lives on the event loop.
 */
final class AdoptedKeys {
    private final int maxOrigins;
    private final Map<Long, Set<String>> originsByKey = new HashMap<>();
    /** Milliseconds of the folder's {@code SteadyClock} at which the origin's own hold on a key ends. */
    private final Map<Long, Long> holdUntilMillis = new HashMap<>();
    /**
     * Finished keys by origin, with the end of its hold: it tells one move of a key from another.
     */
    private final Map<String, Map<Long, Long>> finishedByOrigin = new HashMap<>();

    AdoptedKeys(int maxOrigins) {
        this.maxOrigins = maxOrigins;
    }

    boolean isEmpty() {
        return originsByKey.isEmpty();
    }

    /** All on whose behalf this key may be held. */
    Set<String> origins(long key) {
        return originsByKey.getOrDefault(key, Set.of());
    }

    /** Messages of this key came from {@code sender}, before whom these origins had them. */
    void adopted(long key, String sender, Collection<String> earlierOrigins, long untilMillis) {
        Set<String> origins = originsByKey.computeIfAbsent(key, k -> new LinkedHashSet<>());
        origins.add(sender);
        origins.addAll(earlierOrigins);
        holdUntilMillis.put(key, untilMillis);
    }

    /** Messages of this key were handed off: whoever has them now releases the key. */
    void handedOff(long key) {
        originsByKey.remove(key);
    }

    /** Takes the keys that are not pending any more as finished; returns them by origin. */
    Map<String, List<Long>> finishAllBut(Set<Long> pendingKeys) {
        Map<String, List<Long>> finished = new LinkedHashMap<>();
        originsByKey.entrySet().removeIf(each -> {
            if (pendingKeys.contains(each.getKey())) {
                return false;
            }
            each.getValue().forEach(origin -> finished.computeIfAbsent(origin, o -> new ArrayList<>())
                    .add(each.getKey()));
            return true;
        });
        finished.forEach(this::rememberFinished);
        holdUntilMillis.keySet().retainAll(originsByKey.keySet());
        return finished;
    }

    private void rememberFinished(String origin, List<Long> keys) {
        if (finishedByOrigin.size() >= maxOrigins && !finishedByOrigin.containsKey(origin)) {
            return;
        }
        Map<Long, Long> known = finishedByOrigin.computeIfAbsent(origin, o -> new LinkedHashMap<>());
        keys.forEach(key -> known.put(key, holdUntilMillis.getOrDefault(key, 0L)));
        while (known.size() > KeyHoldAnnouncement.MAX_KEYS_PER_BATCH) {
            known.remove(known.keySet().iterator().next());
        }
    }

    /** Of these holds of one origin the keys that are known to be finished. */
    List<Long> finishedOf(String origin, List<KeyHolds.KeyHold> holds) {
        Map<Long, Long> known = finishedByOrigin.getOrDefault(origin, Map.of());
        return holds.stream()
                .filter(hold -> known.getOrDefault(hold.key(), -1L) == hold.untilMillis())
                .map(KeyHolds.KeyHold::key)
                .toList();
    }
}
