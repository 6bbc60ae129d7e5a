package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * Iterates over the ready messages of one treap in descending order of their index, and in ascending order of their sequence
 * numbers where the index is equal. A step takes logarithmic time for each interval in which the index only falls or only
 * rises. During the iteration messages may be removed from the treap only if the iterator is at them or has passed them; no
 * other change is allowed. Not thread-safe.
 */
public final class IndexOrderIterator<N extends DueDateTreap.Node<N>> {
    private static final int INITIAL_INTERVALS = 8;

    private final DueDateTreap<N> messages;
    private final AtcIndex atcIndex = new AtcIndex();
    /** The next message of each interval, null for none, and its index. */
    private Object[] nextMessages = new Object[INITIAL_INTERVALS];

    private double[] nextIndexes = new double[INITIAL_INTERVALS];
    /** The interval of the current message; negative if there is none. */
    private int currentInterval;

    /** Creates an iterator, which must be started with {@link #begin}. */
    public IndexOrderIterator(DueDateTreap<N> messages) {
        this.messages = messages;
    }

    /** Returns the index that defines the order; it must be set and divided before {@link #begin}. */
    public AtcIndex atcIndex() {
        return atcIndex;
    }

    /** Moves to the message with the highest index; returns false if there is none. */
    public boolean begin() {
        if (nextMessages.length < atcIndex.intervalCount()) {
            nextMessages = new Object[atcIndex.intervalCount()];
            nextIndexes = new double[atcIndex.intervalCount()];
        }
        Arrays.fill(nextMessages, null);
        for (int interval = 0; interval < atcIndex.intervalCount(); interval++) {
            long begin = atcIndex.begin(interval);
            long end = atcIndex.end(interval);
            if (atcIndex.rising(interval)) {
                setNext(interval, messages.latest(begin, end, true));
            } else {
                setNext(interval, messages.earliest(begin, end, true));
            }
        }
        return goToHighest();
    }

    /** Returns the current message; there must be one. */
    @SuppressWarnings("unchecked")
    public N current() {
        return (N) nextMessages[currentInterval];
    }

    /** Returns the logarithm of the current message's index. */
    public double index() {
        return nextIndexes[currentInterval];
    }

    /** Moves to the next message; returns false if there is none. */
    public boolean advance() {
        N message = current();
        if (!atcIndex.rising(currentInterval)) {
            setNext(
                    currentInterval,
                    messages.after(message.due, message.sequenceNumber, atcIndex.end(currentInterval), true));
        } else {
            N sameDue = messages.after(message.due, message.sequenceNumber, message.due + 1, true);
            setNext(
                    currentInterval,
                    sameDue != null ? sameDue : messages.latest(atcIndex.begin(currentInterval), message.due, true));
        }
        return goToHighest();
    }

    /** Skips the rest of the current interval, see {@link AtcIndex#divide}; returns false if no message is left. */
    public boolean skipInterval() {
        nextMessages[currentInterval] = null;
        return goToHighest();
    }

    private void setNext(int interval, N message) {
        nextMessages[interval] = message;
        nextIndexes[interval] = message == null ? 0 : atcIndex.index(message.due);
    }

    private boolean goToHighest() {
        currentInterval = -1;
        for (int interval = 0; interval < atcIndex.intervalCount(); interval++) {
            if (nextMessages[interval] != null && (currentInterval < 0 || isHigher(interval, currentInterval))) {
                currentInterval = interval;
            }
        }
        return currentInterval >= 0;
    }

    @SuppressWarnings("unchecked")
    private boolean isHigher(int interval, int otherInterval) {
        return nextIndexes[interval] > nextIndexes[otherInterval]
                || nextIndexes[interval] == nextIndexes[otherInterval]
                        && ((N) nextMessages[interval]).sequenceNumber
                                < ((N) nextMessages[otherInterval]).sequenceNumber;
    }
}
