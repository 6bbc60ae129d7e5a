package amberroute.sender.message;

import amberroute.decisions.DeliveryScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The ids of completed messages, as a client may submit a message twice: for {@link #RETENTION_NANOS} each, as long as they fit the
 * bound. Beyond it those are evicted first whose repetition does least harm: idempotent ones, then those with an idempotency key, then
 * non-idempotent ones, the oldest of a kind first. Times are of one monotonic clock; after a restart the retention starts anew. Reads
 * no clock. Event loop only.
 */
public final class DeduplicationCache {
    static final long RETENTION_NANOS = 600_000_000_000L;
    /** What one counts for beside its id, which is in ASCII. */
    private static final long ENTRY_BYTES = 48;

    /** One of them, as it is kept, with its number in the journal. */
    public record CompletedMessage(String id, int content, DeliveryScheduler.Idempotency effect, long number) {}

    /** What the id's message was, 0 where that is not known, and its number in the journal. */
    private record Entry(String id, int content, long number, long at) {
        long bytes() {
            return ENTRY_BYTES + id.length();
        }
    }

    private final long maxBytes;
    private long bytes;
    private final Map<String, Entry> all = new HashMap<>();
    /** By kind of effect and id, the oldest first; one that comes again takes no walk to find. */
    private final List<Map<String, Entry>> byIdempotency = new ArrayList<>();

    /** All together count for so many bytes at most, which is what they may have on the disk. */
    public DeduplicationCache(long maxBytes) {
        this.maxBytes = maxBytes;
        for (int i = 0; i < DeliveryScheduler.Idempotency.values().length; i++) {
            byIdempotency.add(new LinkedHashMap<>());
        }
    }

    /** Returns the numbers of those that are forgotten for it, and of an earlier one under the same id. */
    public List<Long> add(
            String id, int content, DeliveryScheduler.Idempotency idempotency, long number, long nowNanos) {
        List<Long> forgotten = expire(nowNanos);
        Entry entry = new Entry(id, content, number, nowNanos);
        Entry previous = all.put(id, entry);
        if (previous != null) {
            byIdempotency.forEach(entries -> entries.remove(id));
            bytes -= previous.bytes();
            forgotten.add(previous.number());
        }
        byIdempotency.get(idempotency.ordinal()).put(id, entry);
        bytes += entry.bytes();
        while (bytes > maxBytes) {
            forgotten.add(forget(leastNeeded()).number());
        }
        return forgotten;
    }

    private Map<String, Entry> leastNeeded() {
        for (DeliveryScheduler.Idempotency idempotency : List.of(
                DeliveryScheduler.Idempotency.IDEMPOTENT,
                DeliveryScheduler.Idempotency.KEYED,
                DeliveryScheduler.Idempotency.NON_IDEMPOTENT)) {
            if (!byIdempotency.get(idempotency.ordinal()).isEmpty()) {
                return byIdempotency.get(idempotency.ordinal());
            }
        }
        throw new IllegalStateException("nothing to forget");
    }

    private Entry forget(Map<String, Entry> entries) {
        Entry oldest = oldest(entries);
        entries.remove(oldest.id());
        all.remove(oldest.id());
        bytes -= oldest.bytes();
        return oldest;
    }

    private static Entry oldest(Map<String, Entry> entries) {
        return entries.values().iterator().next();
    }

    /** Forgets what is past its reach; returns the numbers. */
    List<Long> expire(long nowNanos) {
        List<Long> forgotten = new ArrayList<>();
        for (Map<String, Entry> entries : byIdempotency) {
            while (!entries.isEmpty() && nowNanos - oldest(entries).at() > RETENTION_NANOS) {
                forgotten.add(forget(entries).number());
            }
        }
        return forgotten;
    }

    public boolean knows(String id) {
        return all.containsKey(id);
    }

    /** What was known of the message, 0 where nothing. */
    public int content(String id) {
        Entry entry = all.get(id);
        return entry == null ? 0 : entry.content();
    }

    /** All of them, the oldest of each kind first. */
    public List<CompletedMessage> all() {
        List<CompletedMessage> out = new ArrayList<>();
        for (DeliveryScheduler.Idempotency idempotency : DeliveryScheduler.Idempotency.values()) {
            byIdempotency
                    .get(idempotency.ordinal())
                    .values()
                    .forEach(entry ->
                            out.add(new CompletedMessage(entry.id(), entry.content(), idempotency, entry.number())));
        }
        return out;
    }

    int size() {
        return all.size();
    }
}
