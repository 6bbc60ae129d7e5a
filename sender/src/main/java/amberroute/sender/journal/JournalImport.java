package amberroute.sender.journal;

import amberroute.handoff.KeyHolds;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import amberroute.storage.SegmentLog;
import java.util.Collection;
import java.util.List;
import java.util.Map;

/**
 * All records of another journal, to be added to an empty one.
 *
 * @param messages in the order of acceptance
 * @param firstFreeNumber lowest number such that no message read from the other journal has it or a higher one
 */
record JournalImport(
        Collection<AcceptedMessage> messages,
        Map<Integer, MessageClassRegistry.Version> classes,
        Collection<HealthRecord> health,
        KeyHolds keyHolds,
        Map<String, HandoffBatchRecord> handoffBatches,
        long firstFreeNumber) {
    /** Adds all records to the contents without writing them. Messages retain their numbers. */
    void applyTo(JournalContents contents, SegmentLog log) {
        classes.forEach(contents::putClass);
        health.forEach(contents::putHealth);
        long rank = firstFreeNumber;
        // Which messages came before a hold is unknown, so all messages of its key wait.
        for (KeyHolds.KeyHold hold : keyHolds.allHolds()) {
            contents.owners.restore(OwnerNumbers.keyHold(hold.origin(), hold.key()), rank++);
            contents.holdKeys(hold.origin(), List.of(hold.key()), hold.untilMillis());
        }
        for (AcceptedMessage message : messages) {
            message.rank = rank++;
            contents.addPending(message);
        }
        // Later messages have higher ranks.
        log.reserveOwnerIdsBelow(rank);
        handoffBatches.forEach(contents::putHandoffBatch);
    }
}
