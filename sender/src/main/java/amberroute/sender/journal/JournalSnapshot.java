package amberroute.sender.journal;

import amberroute.handoff.KeyHolds;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.DeduplicationCache;
import amberroute.storage.Batch;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * All live records as batches, one owner each. A batch is encoded on demand, with the owner's state at that time, and
 * is empty if the owner has been deleted by then: these batches, followed by all changes since the snapshot, make a
 * complete copy. Used on the event loop only.
 */
final class JournalSnapshot {
    private final JournalContents contents;
    private final KeyHoldJournal keyHolds;
    private final List<Supplier<Batch>> batches = new ArrayList<>();

    private JournalSnapshot(JournalContents contents, KeyHoldJournal keyHolds) {
        this.contents = contents;
        this.keyHolds = keyHolds;
    }

    /** Returns the batches of all records except ids of completed messages and the replica set. */
    static List<Supplier<Batch>> withoutCompleted(JournalContents contents, KeyHoldJournal keyHolds) {
        JournalSnapshot snapshot = new JournalSnapshot(contents, keyHolds);
        contents.classes.keySet().forEach(snapshot::addClass);
        contents.health.keySet().forEach(snapshot::addHealth);
        contents.keyHolds.allHolds().forEach(snapshot::addKeyHold);
        contents.pending.values().forEach(snapshot::addMessage);
        contents.handoffBatches.keySet().forEach(snapshot::addHandoffBatch);
        return snapshot.batches;
    }

    /** Returns the batches of all records. */
    static List<Supplier<Batch>> allRecords(JournalContents contents, KeyHoldJournal keyHolds) {
        List<Supplier<Batch>> batches = withoutCompleted(contents, keyHolds);
        for (DeduplicationCache.CompletedMessage message : contents.completed.all()) {
            batches.add(() -> contents.completed.knows(message.id())
                    ? MessageRecords.putCompleted(new Batch(), message.number(), completedRecord(message))
                    : new Batch());
        }
        batches.add(() -> contents.replicaSet == null
                ? new Batch()
                : new Batch()
                        .put(
                                contents.owners.getOrAllocate(OwnerNumbers.replication()),
                                RecordKind.REPLICA_SET,
                                contents.replicaSet));
        return batches;
    }

    static CompletedRecord completedRecord(DeduplicationCache.CompletedMessage message) {
        return new CompletedRecord(message.id(), message.content(), message.effect());
    }

    private void addClass(int number) {
        batches.add(() -> new Batch()
                .put(
                        contents.owners.getOrAllocate(OwnerNumbers.messageClass(number)),
                        RecordKind.MESSAGE_CLASS,
                        JournalRecordCodec.encodeClass(number, contents.classes.get(number))));
    }

    private void addHealth(String upstreamKey) {
        batches.add(() -> {
            HealthRecord record = contents.health.get(upstreamKey);
            return record == null
                    ? new Batch()
                    : new Batch()
                            .put(
                                    contents.owners.getOrAllocate(OwnerNumbers.upstream(record)),
                                    RecordKind.HEALTH,
                                    JournalRecordCodec.encodeHealth(record));
        });
    }

    private void addKeyHold(KeyHolds.KeyHold hold) {
        batches.add(() -> {
            Batch batch = new Batch();
            if (contents.keyHolds.origins(hold.key()).contains(hold.origin())) {
                keyHolds.put(batch, hold);
            }
            return batch;
        });
    }

    private void addMessage(AcceptedMessage message) {
        batches.add(() -> {
            Batch batch = new Batch();
            if (contents.isPending(message)) {
                MessageRecords.putCurrentState(batch, message);
                if (message.pendingNotification == null) {
                    MessageRecords.putRank(batch, message.number, message.rank);
                }
            }
            return batch;
        });
    }

    private void addHandoffBatch(String name) {
        batches.add(() -> {
            HandoffBatchRecord record = contents.handoffBatches.get(name);
            return record == null
                    ? new Batch()
                    : new Batch()
                            .put(
                                    contents.owners.getOrAllocate(OwnerNumbers.handoffBatch(name)),
                                    RecordKind.HANDOFF_BATCH,
                                    JournalRecordCodec.encodeHandoffBatch(name, record));
        });
    }
}
