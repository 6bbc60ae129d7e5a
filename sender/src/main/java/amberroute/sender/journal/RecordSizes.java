package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;

/** Upper bounds of the bytes that live records take in the journal; what is reserved for them before they are written. */
final class RecordSizes {
    /** Room for one origin's hold on one key. */
    static final int KEY_HOLD_BYTES = 112;
    /** Room for one health record, without the uid. */
    static final int HEALTH_BYTES = 96;
    /** Room for a handoff batch without its message numbers: names have 128 and 64 characters at most. */
    static final int HANDOFF_BATCH_BYTES = 256;

    /** Bytes of an item beside its content. */
    private static final int ITEM_HEADER_BYTES = 24;
    /** Items that one message can have at once. */
    private static final int MESSAGE_ITEMS = 5;
    /** Later records of a message: attempts with two uids of up to 128 characters, rank and notice. */
    private static final int LATER_RECORD_BYTES = 480;

    private static final int CLASS_BYTES = 80;
    /** A character takes three bytes of modified UTF-8 at most. */
    private static final long MAX_BYTES_PER_CHARACTER = 3;

    private RecordSizes() {}

    /** All records that a message can come to have: once accepted it can always be completed. */
    static long of(AcceptedMessage message) {
        return MESSAGE_ITEMS * ITEM_HEADER_BYTES
                + message.body.length
                + MAX_BYTES_PER_CHARACTER
                        * (message.id.length() + message.idempotencyKey.length() + message.className.length())
                + (message.pendingNotification == null ? 0 : message.pendingNotification.length())
                + LATER_RECORD_BYTES;
    }

    static long of(MessageClassRegistry.Version version) {
        return CLASS_BYTES
                + ITEM_HEADER_BYTES
                + MAX_BYTES_PER_CHARACTER * version.name().length();
    }

    static long of(HealthRecord health) {
        return HEALTH_BYTES + health.uid().length();
    }

    static long of(HandoffBatchRecord batch) {
        return HANDOFF_BATCH_BYTES + (long) Long.BYTES * batch.messageNumbers().size();
    }

    static long ofKeyHolds(int holds) {
        return holds * (long) KEY_HOLD_BYTES;
    }
}
