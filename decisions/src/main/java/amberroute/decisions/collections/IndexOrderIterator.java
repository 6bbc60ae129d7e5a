package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * Goes through the ready messages of one treap in the order of their index, the highest first, equal ones by their numbers. A step
 * costs the logarithm of the treap's size for each stretch in which the index only falls or rises. The treap may lose messages that
 * the iterator has passed or is at, and must not change otherwise meanwhile. Not thread-safe.
 */
public final class IndexOrderIterator<N extends DueDateTreap.Node<N>> {
    private static final int INITIAL_INTERVALS = 8;

    private final DueDateTreap<N> messages;
    private final AtcIndex atcIndex = new AtcIndex();
    /** The next message of each stretch, null for none, and its index. */
    private Object[] nextMessages = new Object[INITIAL_INTERVALS];

    private double[] nextIndexes = new double[INITIAL_INTERVALS];
    /** The stretch that the iterator is in; negative for none. */
    private int currentInterval;

    /** An iterator that has to be begun. */
    public IndexOrderIterator(DueDateTreap<N> messages) {
        this.messages = messages;
    }

    /** The index that it goes by, to be set and divided before {@link #begin}. */
    public AtcIndex atcIndex() {
        return atcIndex;
    }

    /** Goes to the message with the highest index; false where there is none. */
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

    /** The message that it is at; there has to be one. */
    @SuppressWarnings("unchecked")
    public N current() {
        return (N) nextMessages[currentInterval];
    }

    /** The logarithm of that message's index. */
    public double index() {
        return nextIndexes[currentInterval];
    }

    /** Goes on to the next message; false where there is none. */
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

    /** Passes over all else of the stretch that it is in, see {@link AtcIndex#divide}; false where nothing is left. */
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
