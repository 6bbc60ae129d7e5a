package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * Goes through the ready messages of one treap in the order of their index, the highest first, equal ones by their numbers. A step
 * costs the logarithm of the treap's size for each stretch in which the index only falls or rises. The treap may lose messages that
 * the iterator has passed or is at, and must not change otherwise meanwhile. Not thread-safe.
 */
public final class IndexOrderIterator<N extends DueDateTreap.Node<N>> {
    private static final int INITIAL_STRETCHES = 8;

    private final DueDateTreap<N> messages;
    private final AtcIndex shape = new AtcIndex();
    /** The next message of each stretch, null for none, and its index. */
    private Object[] next = new Object[INITIAL_STRETCHES];

    private double[] indexes = new double[INITIAL_STRETCHES];
    /** The stretch that the iterator is in; negative for none. */
    private int current;

    /** An iterator that has to be begun. */
    public IndexOrderIterator(DueDateTreap<N> messages) {
        this.messages = messages;
    }

    /** The index that it goes by, to be set and divided before {@link #begin}. */
    public AtcIndex shape() {
        return shape;
    }

    /** Goes to the message with the highest index; false where there is none. */
    public boolean begin() {
        if (next.length < shape.stretches()) {
            next = new Object[shape.stretches()];
            indexes = new double[shape.stretches()];
        }
        Arrays.fill(next, null);
        for (int stretch = 0; stretch < shape.stretches(); stretch++) {
            long begin = shape.begin(stretch);
            long end = shape.end(stretch);
            if (shape.rising(stretch)) {
                set(stretch, messages.latest(begin, end, true));
            } else {
                set(stretch, messages.earliest(begin, end, true));
            }
        }
        return goToHighest();
    }

    /** The message that it is at; there has to be one. */
    @SuppressWarnings("unchecked")
    public N here() {
        return (N) next[current];
    }

    /** The logarithm of that message's index. */
    public double index() {
        return indexes[current];
    }

    /** Goes on to the next message; false where there is none. */
    public boolean advance() {
        N here = here();
        if (!shape.rising(current)) {
            set(current, messages.after(here.due, here.number, shape.end(current), true));
        } else {
            N equal = messages.after(here.due, here.number, here.due + 1, true);
            set(current, equal != null ? equal : messages.latest(shape.begin(current), here.due, true));
        }
        return goToHighest();
    }

    /** Passes over all else of the stretch that it is in, see {@link AtcIndex#divide}; false where nothing is left. */
    public boolean skip() {
        next[current] = null;
        return goToHighest();
    }

    private void set(int stretch, N message) {
        next[stretch] = message;
        indexes[stretch] = message == null ? 0 : shape.index(message.due);
    }

    private boolean goToHighest() {
        current = -1;
        for (int stretch = 0; stretch < shape.stretches(); stretch++) {
            if (next[stretch] != null && (current < 0 || isHigher(stretch, current))) {
                current = stretch;
            }
        }
        return current >= 0;
    }

    @SuppressWarnings("unchecked")
    private boolean isHigher(int stretch, int other) {
        return indexes[stretch] > indexes[other]
                || indexes[stretch] == indexes[other] && ((N) next[stretch]).number < ((N) next[other]).number;
    }
}
