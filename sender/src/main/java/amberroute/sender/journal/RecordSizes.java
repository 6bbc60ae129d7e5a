package amberroute.sender.journal;

import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;

/** Upper bounds of the size of live records in the journal, which is reserved before they are written. */
final class RecordSizes {
    /** Size of one origin's hold on one key. */
    static final int KEY_HOLD_BYTES = 112;
    /** Size of one health record without the uid. */
    static final int HEALTH_BYTES = 96;
    /** Size of a handoff batch without its message numbers: its names have at most 128 and 64 characters. */
    static final int HANDOFF_BATCH_BYTES = 256;

    /** Size of an item without its content. */
    private static final int ITEM_HEADER_BYTES = 24;
    /** Number of items that one message can have at once. */
    private static final int MESSAGE_ITEMS = 5;
    /** Later records of a message: attempts with two uids of up to 128 characters, rank and notice. */
    private static final int LATER_RECORD_BYTES = 492;

    private static final int CLASS_BYTES = 80;
    /** A character takes at most three bytes in modified UTF-8. */
    private static final long MAX_BYTES_PER_CHARACTER = 3;

    private RecordSizes() {}

    /** Includes all later records of the message, so that an accepted message can always be completed. */
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
