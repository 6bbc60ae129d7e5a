package amberroute.decisions;

/** The messages of one key in their order, as a list that is linked through the messages themselves. */
final class KeyQueue {
    final long key;
    /** The only message that may be sent, null if there is none. */
    PendingMessage first;

    private PendingMessage last;
    /** End of the settle period; until then only {@link #exemptFromPause} may be sent. */
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

    /** Removes a message; does nothing if it was removed before. */
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
