package amberroute.sender.discovery;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.sender.config.EndpointListEntry;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * The known endpoints, those listed and the latest that have left the list, and the number of each uid.
 *
 * <p>Lists and changes come in discovery's form: an object with {@value #ENTRIES}, {@value #VERSION} and {@value #COMPLETE}. An entry with
 * {@value #LEFT} has left the list and is passed between processes for its calls alone. Belongs to the event loop.
 */
final class EndpointList {
    private static final String ENTRIES = "targets";
    private static final String VERSION = "rev";
    private static final String COMPLETE = "all";
    private static final String UID = "uid";
    private static final String ADDRESS = "endpoint";
    private static final String ZONE = "az";
    private static final String KIND = "model";
    private static final String DESTINATION = "pod_group";
    private static final String STATE = "state";
    private static final String WEIGHT = "capacity_hint";
    private static final String LEFT = "gone";
    private static final String STATE_READY = "Ready";
    private static final String STATE_DRAINING = "Terminating";
    private static final String STATE_GONE = "Gone";
    /** Endpoints that have left the list are remembered up to this number, or up to as many as are listed. */
    private static final int MIN_REMEMBERED = 1_024;

    /** An endpoint of the list under its number. */
    private record Endpoint(long number, EndpointListEntry entry) {
        /** The same endpoint with the indices that {@code after} has for the names of its kind and zone. */
        Endpoint reindexed(SenderConfig before, SenderConfig after) {
            return new Endpoint(
                    number,
                    new EndpointListEntry(
                            entry.uid(),
                            entry.state(),
                            entry.destination(),
                            index(after.kinds(), name(before.kinds(), entry.kind())),
                            index(after.zones(), name(before.zones(), entry.zone())),
                            entry.weight(),
                            entry.address()));
        }

        private static int index(List<String> names, String name) {
            return Math.max(0, names.indexOf(name));
        }
    }

    private final EndpointWatch.Listener listener;
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, Endpoint> listed = new HashMap<>();
    /** Endpoints that have left the list and may have calls in flight, the longest ago first. */
    private final Map<Long, Endpoint> left = new LinkedHashMap<>();
    /** Every destination that was ever listed. */
    private final Set<Integer> destinations = new HashSet<>();

    private SenderConfig config;
    private boolean current;
    private long nextNumber = 1;
    private long version;

    /** An empty list that reports each change to {@code listener}. */
    EndpointList(SenderConfig config, EndpointWatch.Listener listener) {
        this.config = config;
        this.listener = listener;
    }

    /** Uses the kinds and zones of this configuration from now on, also for known endpoints. */
    void configure(SenderConfig after) {
        SenderConfig before = config;
        config = after;
        listed.replaceAll((number, endpoint) -> endpoint.reindexed(before, after));
        left.replaceAll((number, endpoint) -> endpoint.reindexed(before, after));
    }

    /** The latest version that discovery gave, 0 for none. */
    long version() {
        return version;
    }

    /** Whether the list has come from discovery, rather than from an earlier process. */
    boolean isCurrent() {
        return current;
    }

    /** Number of listed endpoints. */
    int size() {
        return listed.size();
    }

    /** Whether an endpoint is listed as ready. */
    boolean isReady(long number) {
        Endpoint endpoint = listed.get(number);
        return endpoint != null && endpoint.entry().state() == EndpointState.READY;
    }

    /** Whether an endpoint is listed. */
    boolean isListed(long number) {
        return listed.containsKey(number);
    }

    /** Whether an endpoint of this uid is listed. */
    boolean isListed(String uid) {
        return numbers.containsKey(uid) && listed.containsKey(numbers.get(uid));
    }

    /** Whether a destination is or was listed; before the first list from discovery any may be. */
    boolean mayHaveDestination(int destination) {
        return !current || destinations.contains(destination);
    }

    /** The number of a uid, the same for as long as it is known. */
    long number(String uid) {
        return numbers.computeIfAbsent(uid, unknown -> nextNumber++);
    }

    /** What is known of an endpoint, also of one that has left the list; null for an unknown one. */
    EndpointListEntry entry(long number) {
        Endpoint endpoint = listed.getOrDefault(number, left.get(number));
        return endpoint == null ? null : endpoint.entry();
    }

    /** The kind of an endpoint's destination, null where it is not configured. */
    DeliveryScheduler.DestinationKind kind(EndpointListEntry entry) {
        List<DeliveryScheduler.DestinationKind> kinds = config.settings().kinds();
        return entry.kind() < kinds.size() ? kinds.get(entry.kind()) : null;
    }

    /** Whether an event has the complete list; throws a {@link RuntimeException} where that cannot be read. */
    static boolean isComplete(JsonObject event) {
        return event.has(COMPLETE) && event.get(COMPLETE).getAsBoolean();
    }

    /**
     * Takes a list or a change from discovery, as {@link #take} does. A complete list replaces the known one, also by none.
     *
     * @throws IllegalArgumentException if the event has no list of entries, or is a complete list of entries none of which can be used;
     *     nothing has changed then
     */
    void takeFromDiscovery(JsonObject event, EndpointListKind kind) {
        JsonElement items = event.get(ENTRIES);
        if (items == null || !items.isJsonArray()) {
            throw new IllegalArgumentException(ENTRIES + " is missing");
        }
        JsonArray entries = items.getAsJsonArray();
        if (kind == EndpointListKind.FULL && !entries.isEmpty() && !hasUsableEntry(entries)) {
            throw new IllegalArgumentException("no usable entry");
        }
        take(event, kind);
    }

    private boolean hasUsableEntry(JsonArray entries) {
        for (JsonElement item : entries) {
            try {
                EndpointListEntry.parse(item.getAsJsonObject(), config);
                return true;
            } catch (RuntimeException e) {
                // Another entry may be usable.
            }
        }
        return false;
    }

    /** Takes a list or a change in discovery's form; a listed endpoint whose new entry cannot be used is gone. */
    void take(JsonObject event, EndpointListKind kind) {
        JsonElement items = event.get(ENTRIES);
        if (items == null || !items.isJsonArray()) {
            return;
        }
        if (event.has(VERSION)) {
            version = event.get(VERSION).getAsLong();
        }
        if (kind != EndpointListKind.DELTA) {
            listed.values().forEach(this::rememberLeft);
            listed.clear();
        }
        List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
        for (JsonElement item : items.getAsJsonArray()) {
            try {
                entries.add(takeEntry(item.getAsJsonObject()));
            } catch (RuntimeException e) {
                LogEvent.of("endpoint_list_entry_skipped").cause(e).warn();
                removeNamedBy(item).ifPresent(entries::add);
            }
        }
        current |= kind != EndpointListKind.CACHED;
        listener.listed(kind, entries);
    }

    private DeliveryScheduler.EndpointEntry takeEntry(JsonObject item) {
        EndpointListEntry entry = EndpointListEntry.parse(item, config);
        destinations.add(entry.destination());
        long number = number(entry.uid());
        Endpoint endpoint = new Endpoint(number, entry);
        if (entry.state() == EndpointState.GONE) {
            listed.remove(number);
            rememberLeft(endpoint);
        } else {
            listed.put(number, endpoint);
            left.remove(number);
        }
        return new DeliveryScheduler.EndpointEntry(
                number, entry.destination(), entry.state(), entry.weight(), entry.zone(), entry.kind());
    }

    /**
     * Removes the listed endpoint that an unusable entry names. Discovery does not repeat the entry, which may say that the endpoint takes
     * no new calls or that its address serves another destination.
     */
    private Optional<DeliveryScheduler.EndpointEntry> removeNamedBy(JsonElement unusable) {
        Endpoint endpoint = listedUnder(unusable);
        if (endpoint == null) {
            return Optional.empty();
        }
        listed.remove(endpoint.number());
        rememberLeft(endpoint);
        EndpointListEntry entry = endpoint.entry();
        return Optional.of(new DeliveryScheduler.EndpointEntry(
                endpoint.number(),
                entry.destination(),
                EndpointState.GONE,
                entry.weight(),
                entry.zone(),
                entry.kind()));
    }

    /** The listed endpoint whose uid an entry has, or null. */
    private Endpoint listedUnder(JsonElement item) {
        JsonElement uid = item.isJsonObject() ? item.getAsJsonObject().get(UID) : null;
        if (uid == null || !uid.isJsonPrimitive()) {
            return null;
        }
        Long number = numbers.get(uid.getAsString());
        return number == null ? null : listed.get(number);
    }

    private void rememberLeft(Endpoint endpoint) {
        left.put(endpoint.number(), endpoint);
        if (left.size() > Math.max(MIN_REMEMBERED, listed.size())) {
            Endpoint oldest = left.remove(left.keySet().iterator().next());
            numbers.remove(oldest.entry().uid());
        }
    }

    private void takeChanges(JsonArray items) {
        if (!items.isEmpty()) {
            List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
            items.forEach(item -> entries.add(takeEntry(item.getAsJsonObject())));
            listener.listed(EndpointListKind.DELTA, entries);
        }
    }

    /** In discovery's form, with those that have left and are {@code called}. */
    JsonObject toJson(LongPredicate called) {
        JsonArray items = new JsonArray();
        listed.values().forEach(endpoint -> items.add(toJson(endpoint.entry(), false)));
        left.values().stream()
                .filter(endpoint -> called.test(endpoint.number()))
                .forEach(endpoint -> items.add(toJson(endpoint.entry(), true)));
        JsonObject list = new JsonObject();
        list.addProperty(VERSION, version);
        list.addProperty(COMPLETE, true);
        list.add(ENTRIES, items);
        return list;
    }

    private JsonObject toJson(EndpointListEntry entry, boolean hasLeft) {
        InetSocketAddress address = entry.address();
        boolean ready = entry.state() == EndpointState.READY && !hasLeft;
        JsonObject item = new JsonObject();
        item.addProperty(UID, entry.uid());
        item.addProperty(ADDRESS, address.getAddress().getHostAddress() + ":" + address.getPort());
        item.addProperty(ZONE, name(config.zones(), entry.zone()));
        item.addProperty(KIND, name(config.kinds(), entry.kind()));
        item.addProperty(DESTINATION, entry.destination());
        item.addProperty(STATE, ready ? STATE_READY : STATE_DRAINING);
        item.addProperty(WEIGHT, entry.weight());
        if (hasLeft) {
            item.addProperty(LEFT, true);
        }
        return item;
    }

    private static String name(List<String> names, int index) {
        return index < names.size() ? names.get(index) : "";
    }

    /** Takes the known list anew; returns the entries that are listed for their calls alone, for {@link #release}. */
    JsonArray reload(LongPredicate called, EndpointListKind kind) {
        JsonObject list = toJson(called);
        JsonArray leaving = new JsonArray();
        for (JsonElement item : list.getAsJsonArray(ENTRIES)) {
            if (item.getAsJsonObject().has(LEFT)) {
                leaving.add(item);
            }
        }
        take(list, kind);
        return leaving;
    }

    /**
     * Takes the list of another process: all of it before discovery's first list, else only the endpoints that it still calls and that
     * are not listed. Returns the entries that are listed for its calls alone, for {@link #release}.
     */
    JsonArray takeOver(JsonObject list, Set<String> calledUids) {
        JsonArray leaving = new JsonArray();
        JsonArray missing = new JsonArray();
        for (JsonElement item : list.getAsJsonArray(ENTRIES)) {
            JsonObject entry = item.getAsJsonObject();
            String uid = entry.get(UID).getAsString();
            if (current && calledUids.contains(uid) && !listed.containsKey(number(uid))) {
                entry.addProperty(STATE, STATE_DRAINING);
                missing.add(entry);
                leaving.add(entry);
            } else if (!current && entry.has(LEFT)) {
                leaving.add(entry);
            }
        }
        if (!current) {
            take(list, EndpointListKind.CACHED);
        }
        takeChanges(missing);
        return leaving;
    }

    /** An entry of an endpoint that is not listed, by which the scheduler can count a call to it: it takes no new ones. */
    DeliveryScheduler.EndpointEntry unlistedEntry(String uid, int destination, EndpointState state) {
        int kind = listed.values().stream()
                .filter(endpoint -> endpoint.entry().destination() == destination)
                .mapToInt(endpoint -> endpoint.entry().kind())
                .findFirst()
                .orElse(0);
        return new DeliveryScheduler.EndpointEntry(number(uid), destination, state, 1, 0, kind);
    }

    /** Removes entries that were listed for their calls alone. */
    void release(JsonArray leaving) {
        leaving.forEach(item -> item.getAsJsonObject().addProperty(STATE, STATE_GONE));
        takeChanges(leaving);
    }
}
