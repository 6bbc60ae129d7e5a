package amberroute.sender.message;

import amberroute.decisions.DeliveryScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Ids of messages that are over, as a client may hand one in twice: for {@link #REACH_NANOS} each, as long as they
 * all fit the bound. Beyond it those go first whose repeating does least harm: safe ones, then keyed, then unsafe, the
 * oldest of a kind first; so a burst of what may be repeated pushes out nothing that may not. Times are of one monotonic
 * clock in nanoseconds and are not kept over a restart: what is found then has its whole reach again. Reads no clock.
 */
public final class DeduplicationCache {
    static final long REACH_NANOS = 600_000_000_000L;
    /** What one counts for beside its id, which is in ASCII. */
    private static final long BYTES = 48;

    /** One of them, as it is kept, with its number in the journal. */
    public record CompletedMessage(String id, int content, DeliveryScheduler.Idempotency effect, long number) {}

    /** What the id's message was, 0 where that is not known, and its number in the journal. */
    private record Entry(String id, int content, long number, long at) {
        long bytes() {
            return BYTES + id.length();
        }
    }

    private final long most;
    private long bytes;
    private final Map<String, Entry> all = new HashMap<>();
    /** By kind of effect and id, the oldest first; one that comes again takes no walk to find. */
    private final List<Map<String, Entry>> kinds = new ArrayList<>();

    /** All together count for so many bytes at most, which is what they may have on the disk. */
    public DeduplicationCache(long most) {
        this.most = most;
        for (int i = 0; i < DeliveryScheduler.Idempotency.values().length; i++) {
            kinds.add(new LinkedHashMap<>());
        }
    }

    /** Returns the numbers of those that are forgotten for it, and of an earlier one under the same id. */
    public List<Long> add(String id, int content, DeliveryScheduler.Idempotency effect, long number, long now) {
        List<Long> forgotten = expire(now);
        Entry entry = new Entry(id, content, number, now);
        Entry before = all.put(id, entry);
        if (before != null) {
            kinds.forEach(kind -> kind.remove(id));
            bytes -= before.bytes();
            forgotten.add(before.number());
        }
        kinds.get(effect.ordinal()).put(id, entry);
        bytes += entry.bytes();
        while (bytes > most) {
            forgotten.add(forget(leastNeeded()).number());
        }
        return forgotten;
    }

    private Map<String, Entry> leastNeeded() {
        for (DeliveryScheduler.Idempotency effect : List.of(
                DeliveryScheduler.Idempotency.IDEMPOTENT,
                DeliveryScheduler.Idempotency.KEYED,
                DeliveryScheduler.Idempotency.NON_IDEMPOTENT)) {
            if (!kinds.get(effect.ordinal()).isEmpty()) {
                return kinds.get(effect.ordinal());
            }
        }
        throw new IllegalStateException("nothing to forget");
    }

    private Entry forget(Map<String, Entry> kind) {
        Entry oldest = oldest(kind);
        kind.remove(oldest.id());
        all.remove(oldest.id());
        bytes -= oldest.bytes();
        return oldest;
    }

    private static Entry oldest(Map<String, Entry> kind) {
        return kind.values().iterator().next();
    }

    /** Forgets what is past its reach; returns the numbers. */
    List<Long> expire(long now) {
        List<Long> forgotten = new ArrayList<>();
        for (Map<String, Entry> kind : kinds) {
            while (!kind.isEmpty() && now - oldest(kind).at() > REACH_NANOS) {
                forgotten.add(forget(kind).number());
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
        for (DeliveryScheduler.Idempotency effect : DeliveryScheduler.Idempotency.values()) {
            kinds.get(effect.ordinal())
                    .values()
                    .forEach(entry ->
                            out.add(new CompletedMessage(entry.id(), entry.content(), effect, entry.number())));
        }
        return out;
    }

    int size() {
        return all.size();
    }
}
