package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.Batch;

/** Puts the records of messages into batches. The record of an ended or completed message replaces all its others. */
final class MessageRecords {
    private MessageRecords() {}

    static Batch putPending(Batch batch, AcceptedMessage message) {
        return batch.put(message.number, RecordKind.MESSAGE, JournalRecordCodec.encodePending(message));
    }

    static Batch putAttempts(Batch batch, AcceptedMessage message) {
        return batch.put(message.number, RecordKind.ATTEMPTS, JournalRecordCodec.encodeAttempts(message));
    }

    static Batch putRank(Batch batch, long number, long rank) {
        return batch.put(number, RecordKind.RANK, JournalRecordCodec.encodeRank(rank));
    }

    static Batch putEnded(Batch batch, AcceptedMessage message) {
        return batch.putExclusive(message.number, RecordKind.MESSAGE, JournalRecordCodec.encodeEnded(message));
    }

    static Batch putCompleted(Batch batch, long number, CompletedRecord completed) {
        return batch.putExclusive(number, RecordKind.MESSAGE, JournalRecordCodec.encodeCompleted(completed));
    }

    /** Puts a message's state without its rank: pending, or ended with a notice. */
    static Batch putCurrentState(Batch batch, AcceptedMessage message) {
        return message.pendingNotification == null
                ? putAttempts(putPending(batch, message), message)
                : putEnded(batch, message);
    }
}
