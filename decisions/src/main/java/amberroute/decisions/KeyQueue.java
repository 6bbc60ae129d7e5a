package amberroute.decisions;

/** The messages of one key in their order, linked through the messages themselves. */
final class KeyQueue {
    final long key;
    /** The only one that may be sent; null for none. */
    PendingMessage first;

    private PendingMessage last;
    /** Settle period: until then none but {@link #exemptFromPause} is sent. */
    long pausedUntil;

    PendingMessage exemptFromPause;

    KeyQueue(long key) {
        this.key = key;
    }

    void add(PendingMessage message) {
        message.keyQueue = this;
        message.previousOfKey = last;
        if (last == null) {
            first = message;
        } else {
            last.nextOfKey = message;
        }
        last = message;
    }

    /** Does nothing for a message that was removed before. */
    void remove(PendingMessage message) {
        if (message.previousOfKey == null && first != message) {
            return;
        }
        if (message.previousOfKey == null) {
            first = message.nextOfKey;
        } else {
            message.previousOfKey.nextOfKey = message.nextOfKey;
        }
        if (message.nextOfKey == null) {
            last = message.previousOfKey;
        } else {
            message.nextOfKey.previousOfKey = message.previousOfKey;
        }
        message.previousOfKey = null;
        message.nextOfKey = null;
    }
}
