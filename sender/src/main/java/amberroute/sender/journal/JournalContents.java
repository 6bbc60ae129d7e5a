package amberroute.sender.journal;

import amberroute.decisions.DeliveryScheduler;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.DeduplicationCache;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.SegmentLog;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/**
 * All live records of a journal in memory, and the space that they reserve. It changes only after a record has been
 * written, or when one is read. Writes nothing itself. Used on the event loop only.
 */
final class JournalContents {
    /** Ids of completed messages may take one part in this many of the budget, within a bound in bytes. */
    private static final int COMPLETED_BUDGET_DIVISOR = 32;

    private static final long MAX_COMPLETED_BYTES = 4 << 20;

    final Map<Long, AcceptedMessage> pending = new LinkedHashMap<>();
    final DeduplicationCache completed;
    /** By {@link HealthRecord#upstreamKey}, the longest unchanged first. */
    final Map<String, HealthRecord> health = new LinkedHashMap<>();

    final Map<String, HandoffBatchRecord> handoffBatches = new LinkedHashMap<>();
    /** Versions of message classes by number. */
    final Map<Integer, MessageClassRegistry.Version> classes = new LinkedHashMap<>();

    final KeyHolds keyHolds = new KeyHolds();
    final OwnerNumbers owners;
    final JournalSpace space;
    /** Null if the journal was never replicated. */
    byte[] replicationPosition;

    byte[] replicaSet;
    /** Content hash of each pending message by its id. */
    private final Map<String, Integer> pendingIds = new HashMap<>();

    private final LongSupplier nanoClock = System::nanoTime;

    JournalContents(SegmentLog log) {
        owners = new OwnerNumbers(log);
        space = new JournalSpace(log);
        long completedBytes = Math.min(MAX_COMPLETED_BYTES, space.budgetBytes() / COMPLETED_BUDGET_DIVISOR);
        completed = new DeduplicationCache(completedBytes);
        space.reserve(completedBytes);
    }

    /** Returns whether a message with this id is pending or was completed recently. */
    boolean containsId(String id) {
        return pendingIds.containsKey(id) || completed.knows(id);
    }

    /** Returns whether the message known under this id has other content; false if that is unknown. */
    boolean hasDifferentContent(String id, int contentHash) {
        int knownHash = pendingIds.containsKey(id) ? pendingIds.get(id) : completed.content(id);
        return knownHash != 0 && knownHash != contentHash;
    }

    boolean isPending(AcceptedMessage message) {
        return pending.containsKey(message.number);
    }

    void addPending(AcceptedMessage message) {
        pending.put(message.number, message);
        pendingIds.put(message.id, message.contentHash);
        space.reserve(RecordSizes.of(message));
    }

    /** Ends a message and adjusts its reserved space: it has a notice and no body any more. */
    void endWithNotice(AcceptedMessage message, String notice) {
        space.release(RecordSizes.of(message));
        message.end(notice);
        space.reserve(RecordSizes.of(message));
    }

    /** Ranks a message after all others. */
    void moveToEnd(AcceptedMessage message, long rank) {
        message.rank = rank;
        if (pending.remove(message.number) != null) {
            pending.put(message.number, message);
        }
    }

    /** Replaces a message by its id; returns the numbers of completed messages that are evicted for it. */
    List<Long> complete(AcceptedMessage message, CompletedRecord record) {
        pending.remove(message.number);
        pendingIds.remove(message.id);
        space.release(RecordSizes.of(message));
        return addCompleted(message.number, record);
    }

    /** Returns the numbers of completed messages that are evicted for this one. */
    List<Long> addCompleted(long number, CompletedRecord record) {
        return completed.add(record.id(), record.contentHash(), record.idempotency(), number, nanoClock.getAsLong());
    }

    CompletedRecord completedRecord(AcceptedMessage message) {
        MessageClassRegistry.Version version = classes.get(message.classNumber);
        return new CompletedRecord(
                message.id,
                message.contentHash,
                version == null
                        ? DeliveryScheduler.Idempotency.NON_IDEMPOTENT
                        : version.type().idempotency());
    }

    void putClass(int number, MessageClassRegistry.Version version) {
        MessageClassRegistry.Version previous = classes.put(number, version);
        space.reserve(RecordSizes.of(version) - (previous == null ? 0 : RecordSizes.of(previous)));
    }

    void putHealth(HealthRecord record) {
        health.put(record.upstreamKey(), record);
        space.reserve(RecordSizes.of(record));
    }

    /** Returns the removed record, or null. */
    HealthRecord removeHealth(String upstreamKey) {
        HealthRecord removed = health.remove(upstreamKey);
        if (removed != null) {
            space.release(RecordSizes.of(removed));
        }
        return removed;
    }

    /** Puts a batch's state; while it is offered, its messages are not processed, as the peer may own them already. */
    void putHandoffBatch(String name, HandoffBatchRecord batch) {
        HandoffBatchRecord previous = handoffBatches.put(name, batch);
        space.reserve(RecordSizes.of(batch) - (previous == null ? 0 : RecordSizes.of(previous)));
        Ownership.Status status = batch.ownership().status();
        for (long number : batch.messageNumbers()) {
            AcceptedMessage message = pending.get(number);
            if (message != null && status != Ownership.Status.ENDED) {
                message.offeredToPeer = status == Ownership.Status.OFFERED;
            }
        }
    }

    void removeHandoffBatch(String name) {
        owners.remove(OwnerNumbers.handoffBatch(name));
        space.release(RecordSizes.of(handoffBatches.remove(name)));
    }

    void holdKeys(String origin, List<Long> keys, long untilMillis) {
        int sizeBefore = keyHolds.size();
        keyHolds.hold(origin, keys, untilMillis);
        space.reserve(RecordSizes.ofKeyHolds(keyHolds.size() - sizeBefore));
    }

    /** Returns the keys that are not held any more. */
    List<Long> releaseKeys(String origin, List<Long> keys) {
        int sizeBefore = keyHolds.size();
        List<Long> freeKeys = keyHolds.release(origin, keys);
        keys.forEach(key -> owners.remove(OwnerNumbers.keyHold(origin, key)));
        space.reserve(RecordSizes.ofKeyHolds(keyHolds.size() - sizeBefore));
        return freeKeys;
    }

    /** Returns the keys that are not held any more. */
    List<Long> expireKeyHolds(long nowMillis) {
        int sizeBefore = keyHolds.size();
        List<Long> freeKeys = keyHolds.expire(nowMillis);
        space.reserve(RecordSizes.ofKeyHolds(keyHolds.size() - sizeBefore));
        return freeKeys;
    }
}
