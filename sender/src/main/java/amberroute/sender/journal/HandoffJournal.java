package amberroute.sender.journal;

import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.Batch;
import amberroute.storage.LogLimits;
import amberroute.storage.SegmentLog;
import java.util.List;
import java.util.Map;

/**
 * Journals who owns the messages of each handoff batch. The state of a batch and everything that changes with it, such
 * as its messages and key holds, is one write: after a crash each message has exactly one owner. Used on the event loop
 * only.
 */
final class HandoffJournal {
    /** Bound on the number of recorded batches; beyond it no batch is offered or accepted. */
    private static final int MAX_BATCHES = 4_096;

    private static final int BUDGET_DIVISOR = 8;

    private final SegmentLog log;
    private final JournalContents contents;
    private final JournalWriter writer;
    private final KeyHoldJournal keyHolds;
    private final long maxBatches;
    /** Time of the last search for expired batches, in milliseconds of the caller's clock. */
    private long lastExpiryCheckMillis;

    HandoffJournal(SegmentLog log, JournalContents contents, JournalWriter writer, KeyHoldJournal keyHolds) {
        this.log = log;
        this.contents = contents;
        this.writer = writer;
        this.keyHolds = keyHolds;
        LogLimits limits = log.limits();
        maxBatches = Math.min(MAX_BATCHES, limits.budgetBytes() / BUDGET_DIVISOR / RecordSizes.HANDOFF_BATCH_BYTES);
    }

    /** Writes a batch's state; the messages of a batch that was given away are completed here. */
    boolean write(String name, HandoffBatchRecord record) {
        return write(name, record, new Batch());
    }

    private boolean write(String name, HandoffBatchRecord record, Batch additionalChanges) {
        if (!hasRoomFor(name) || !flushPendingWrites(record)) {
            return false;
        }
        Batch batch = new Batch().addAll(additionalChanges);
        putBatchState(batch, name, record);
        List<AcceptedMessage> givenAway = messagesGivenAway(record);
        givenAway.forEach(
                message -> MessageRecords.putCompleted(batch, message.number, contents.completedRecord(message)));
        if (!writer.write(batch)) {
            return false;
        }
        Batch evictedIds = new Batch();
        givenAway.forEach(message ->
                contents.complete(message, contents.completedRecord(message)).forEach(evictedIds::delete));
        // If the disk rejects this write, the ids are remembered for longer.
        writer.write(evictedIds);
        contents.putHandoffBatch(name, record);
        return true;
    }

    private void putBatchState(Batch batch, String name, HandoffBatchRecord record) {
        long owner = contents.owners.getOrAllocate(OwnerNumbers.handoffBatch(name));
        batch.put(owner, RecordKind.HANDOFF_BATCH, JournalRecordCodec.encodeHandoffBatch(name, record));
    }

    private List<AcceptedMessage> messagesGivenAway(HandoffBatchRecord record) {
        if (record.ownership().status() != Ownership.Status.GIVEN) {
            return List.of();
        }
        return record.messageNumbers().stream()
                .filter(contents.pending::containsKey)
                .map(contents.pending::get)
                .toList();
    }

    /** Writes pending changes of the batch's messages, which would undo the batch's change; false if any remain. */
    private boolean flushPendingWrites(HandoffBatchRecord record) {
        if (!writer.pendingWrites().isEmpty()) {
            writer.retryFailedWrites();
        }
        return record.messageNumbers().stream().noneMatch(writer.pendingWrites()::contains);
    }

    /** Writes an offer together with the holds that make messages of its keys wait after a restart. */
    boolean offer(String name, HandoffBatchRecord record, String origin, List<Long> keys, long holdUntilMillis) {
        if (!keys.isEmpty() && !keyHolds.hasRoomFor(keys.size())) {
            return false;
        }
        Batch batch = new Batch();
        keys.forEach(key -> keyHolds.put(batch, new KeyHolds.KeyHold(origin, key, holdUntilMillis)));
        if (!write(name, record, batch)) {
            return false;
        }
        contents.holdKeys(origin, keys, holdUntilMillis);
        return true;
    }

    /** Writes that this sender owns a batch and its keys again; returns the keys that became free, null on failure. */
    List<Long> reclaim(String name, HandoffBatchRecord record, String origin, List<Long> keys) {
        Batch batch = new Batch();
        keys.forEach(key -> keyHolds.delete(batch, origin, key));
        return write(name, record, batch) ? contents.releaseKeys(origin, keys) : null;
    }

    /**
     * Accepts messages of another sender. The same write ends the origin's holds on their keys and ranks the messages
     * that waited for these keys after them.
     */
    boolean accept(
            String name,
            HandoffBatchRecord record,
            List<AcceptedMessage> messages,
            String origin,
            List<AcceptedMessage> rankedAfter) {
        long bytes = messages.stream().mapToLong(RecordSizes::of).sum();
        if (!hasRoomFor(name)
                || !contents.space.fits(bytes)
                || !writer.pendingWrites().isEmpty()) {
            return false;
        }
        List<Long> keys = keysHeldBy(messages, origin);
        Batch batch = new Batch();
        putBatchState(batch, name, record);
        messages.forEach(message -> MessageRecords.putCurrentState(batch, message));
        keys.forEach(key -> keyHolds.delete(batch, origin, key));
        List<Long> ranks =
                rankedAfter.stream().map(message -> log.nextOwnerId()).toList();
        for (int i = 0; i < ranks.size(); i++) {
            MessageRecords.putRank(batch, rankedAfter.get(i).number, ranks.get(i));
        }
        if (!writer.write(batch)) {
            return false;
        }
        messages.forEach(contents::addPending);
        contents.releaseKeys(origin, keys);
        for (int i = 0; i < ranks.size(); i++) {
            contents.moveToEnd(rankedAfter.get(i), ranks.get(i));
        }
        contents.putHandoffBatch(name, record);
        return true;
    }

    private List<Long> keysHeldBy(List<AcceptedMessage> messages, String origin) {
        return messages.stream()
                .map(message -> message.key)
                .filter(key -> contents.keyHolds.origins(key).contains(origin))
                .distinct()
                .toList();
    }

    private boolean hasRoomFor(String name) {
        if (contents.handoffBatches.size() >= maxBatches) {
            expire(lastExpiryCheckMillis);
        }
        return contents.handoffBatches.size() < maxBatches || contents.handoffBatches.containsKey(name);
    }

    /** Deletes expired batches; a late offer of one is rejected, since its messages are past their deadline. */
    void expire(long nowMillis) {
        lastExpiryCheckMillis = nowMillis;
        List<String> expired = contents.handoffBatches.entrySet().stream()
                .filter(entry -> isExpired(entry.getValue(), nowMillis))
                .map(Map.Entry::getKey)
                .toList();
        Batch batch = new Batch();
        expired.forEach(name -> batch.delete(contents.owners.getOrAllocate(OwnerNumbers.handoffBatch(name))));
        if (writer.write(batch)) {
            expired.forEach(contents::removeHandoffBatch);
        }
    }

    /** An offered batch does not expire: the reply to the offer is awaited without a time limit. */
    private static boolean isExpired(HandoffBatchRecord record, long nowMillis) {
        return record.retainUntilMillis() < nowMillis && record.ownership().status() != Ownership.Status.OFFERED;
    }
}
