package amberroute.sender.journal;

import amberroute.storage.SegmentLog;
import java.util.HashMap;
import java.util.Map;

/**
 * The log's owner numbers of everything but messages: handoff batches, key holds, health records, classes and the
 * replication state. Messages are owners under their own numbers. Not thread-safe.
 */
final class OwnerNumbers {
    private final SegmentLog log;
    private final Map<String, Long> numbers = new HashMap<>();

    OwnerNumbers(SegmentLog log) {
        this.log = log;
    }

    static String replication() {
        return "replication";
    }

    static String messageClass(int number) {
        return "class " + number;
    }

    static String upstream(HealthRecord health) {
        return upstream(health.upstreamKey());
    }

    static String upstream(String upstreamKey) {
        return "upstream " + upstreamKey;
    }

    static String handoffBatch(String name) {
        return "batch " + name;
    }

    static String keyHold(String origin, long key) {
        return "hold " + key + " " + origin;
    }

    /** Returns the owner's number, allocating one if it has none. */
    long getOrAllocate(String owner) {
        return numbers.computeIfAbsent(owner, name -> log.nextOwnerId());
    }

    /** Returns the owner's number, or null. */
    Long find(String owner) {
        return numbers.get(owner);
    }

    /** Adds a number that was read during recovery. */
    void restore(String owner, long number) {
        numbers.put(owner, number);
    }

    /** Removes a deleted owner; returns its number, or null. */
    Long remove(String owner) {
        return numbers.remove(owner);
    }
}
