package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * Goes through the messages of one tree that are ready in the order of their index, the highest first, equal ones by their
 * numbers. A step costs the logarithm of the tree's size for each stretch in which the index only falls or rises. The
 * tree may lose what the walk has been at, and nothing else may change in it meanwhile.
 */
public final class IndexOrderIterator<N extends DueDateTreap.Node<N>> {
    private final DueDateTreap<N> tree;
    private final AtcIndex shape = new AtcIndex();
    private Object[] next = new Object[8];
    private double[] keys = new double[8];
    private int at;

    public IndexOrderIterator(DueDateTreap<N> tree) {
        this.tree = tree;
    }

    /** To be set and divided before {@link #begin}. */
    public AtcIndex shape() {
        return shape;
    }

    /** Goes to the highest; false where there is none. */
    public boolean begin() {
        if (next.length < shape.pieces()) {
            next = new Object[shape.pieces()];
            keys = new double[shape.pieces()];
        }
        Arrays.fill(next, null);
        for (int piece = 0; piece < shape.pieces(); piece++) {
            if (shape.rising(piece)) {
                take(piece, tree.last(shape.from(piece), shape.to(piece), true));
            } else {
                take(piece, tree.from(shape.from(piece), shape.to(piece), true));
            }
        }
        return highest();
    }

    /** Where the walk is. */
    @SuppressWarnings("unchecked")
    public N here() {
        return (N) next[at];
    }

    /** Its index, as a logarithm. */
    public double index() {
        return keys[at];
    }

    /** Goes on to the next; false where there is none. */
    public boolean advance() {
        N here = here();
        if (!shape.rising(at)) {
            take(at, tree.after(here.due, here.number, shape.to(at), true));
        } else {
            N equal = tree.after(here.due, here.number, here.due + 1, true);
            take(at, equal != null ? equal : tree.last(shape.from(at), here.due, true));
        }
        return highest();
    }

    /** Passes over all else of the stretch it is in, as given to {@link AtcIndex#divide}; false where nothing is left. */
    public boolean skip() {
        next[at] = null;
        return highest();
    }

    private void take(int piece, N node) {
        next[piece] = node;
        keys[piece] = node == null ? 0 : shape.index(node.due);
    }

    @SuppressWarnings("unchecked")
    private boolean highest() {
        at = -1;
        for (int piece = 0; piece < shape.pieces(); piece++) {
            N node = (N) next[piece];
            if (node != null
                    && (at < 0
                            || keys[piece] > keys[at]
                            || keys[piece] == keys[at] && node.number < ((N) next[at]).number)) {
                at = piece;
            }
        }
        return at >= 0;
    }
}
