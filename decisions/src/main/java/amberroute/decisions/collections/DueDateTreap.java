package amberroute.decisions.collections;

import java.util.function.LongPredicate;

/**
 * Messages of one kind in the order of their due dates, equal ones in the order of their numbers: a treap whose nodes are the
 * messages themselves, so that nothing is allocated. Priorities are a hash of the number, so the same messages give the same
 * tree. Counts, with and without marks, cost the logarithm of the size on average.
 */
public final class DueDateTreap<N extends DueDateTreap.Node<N>> {
    /** What stands in a tree; in one at a time. */
    public abstract static class Node<N extends Node<N>> {
        /** Due date and number; neither may change while it stands in a tree. */
        public long due;

        public long number;
        private N left;
        private N right;
        private int priority;
        private boolean ready;
        private boolean turn;
        private int size;
        private int readies;
        private int turns;

        /** Whether it was marked as ready. */
        public final boolean ready() {
            return ready;
        }

        /** Whether it was marked as having its turn. */
        public final boolean turn() {
            return turn;
        }
    }

    private N root;

    public int size() {
        return root == null ? 0 : size(root);
    }

    /** How many are marked as ready. */
    public int readies() {
        return readies(root);
    }

    /** How many are marked as having their turn. */
    public int turns() {
        return turns(root);
    }

    /** Puts one in, with both marks as they are given. */
    public void add(N node, boolean ready, boolean turn) {
        Node<N> fresh = node;
        fresh.priority = (int) (mix(node.number) >>> 32);
        fresh.ready = ready;
        fresh.turn = turn;
        fresh.left = null;
        fresh.right = null;
        root = insert(root, node);
    }

    /** Takes one out, which has to be there; its marks are gone. */
    public void remove(N node) {
        root = without(root, node);
        Node<N> gone = node;
        gone.left = null;
        gone.right = null;
        gone.ready = false;
        gone.turn = false;
    }

    /** Marks one that is there. */
    public void mark(N node, boolean ready, boolean turn) {
        Node<N> marked = node;
        int readies = (ready ? 1 : 0) - (marked.ready ? 1 : 0);
        int turns = (turn ? 1 : 0) - (marked.turn ? 1 : 0);
        if (readies == 0 && turns == 0) {
            return;
        }
        marked.ready = ready;
        marked.turn = turn;
        for (N at = root; at != null; at = at == node ? null : before(node, at) ? left(at) : right(at)) {
            Node<N> here = at;
            here.readies += readies;
            here.turns += turns;
        }
    }

    /** The first of all, null where there is none. */
    public N first() {
        return after(Long.MIN_VALUE, Long.MIN_VALUE, Long.MAX_VALUE, false);
    }

    /** The first that is due at or behind this and ahead of {@code to}; with {@code ready} among those alone; null for none. */
    public N from(long from, long to, boolean ready) {
        return after(from, Long.MIN_VALUE, to, ready);
    }

    /** The first behind this due date and number, and due ahead of {@code to}; null for none. */
    public N after(long due, long number, long to, boolean ready) {
        N found = after(root, due, number, ready);
        return found == null || found.due >= to ? null : found;
    }

    private static <N extends Node<N>> N after(N at, long due, long number, boolean ready) {
        if (at == null || ready && readies(at) == 0) {
            return null;
        }
        if (at.due < due || at.due == due && at.number <= number) {
            return after(right(at), due, number, ready);
        }
        N found = after(left(at), due, number, ready);
        if (found != null) {
            return found;
        }
        return !ready || at.ready() ? at : after(right(at), due, number, true);
    }

    /** Of those due in [from, to) that are due last the one with the smallest number; with {@code ready} of those alone. */
    public N last(long from, long to, boolean ready) {
        N found = last(root, to, ready, false);
        return found == null || found.due < from ? null : after(found.due, Long.MIN_VALUE, Long.MAX_VALUE, ready);
    }

    /** The greatest due date of those that have their turn, MIN_VALUE for none. */
    public long lastTurn() {
        N found = last(root, Long.MAX_VALUE, false, true);
        return found == null ? Long.MIN_VALUE : found.due;
    }

    private static <N extends Node<N>> N last(N at, long to, boolean ready, boolean turn) {
        if (at == null || ready && readies(at) == 0 || turn && turns(at) == 0) {
            return null;
        }
        if (at.due >= to) {
            return last(left(at), to, ready, turn);
        }
        N found = last(right(at), to, ready, turn);
        if (found != null) {
            return found;
        }
        return (!ready || at.ready()) && (!turn || at.turn()) ? at : last(left(at), to, ready, turn);
    }

    /** How many are due in [from, to). */
    public int count(long from, long to) {
        return to <= from ? 0 : below(to) - below(from);
    }

    private int below(long due) {
        int count = 0;
        for (N at = root; at != null; ) {
            if (at.due < due) {
                count += 1 + size(left(at));
                at = right(at);
            } else {
                at = left(at);
            }
        }
        return count;
    }

    /**
     * Where something that holds for the earlier due dates of [from, to) and not for the later ones turns: the first due date
     * there at which it does not hold, {@code to} where it holds for all.
     */
    public long turning(long from, long to, LongPredicate holds) {
        long found = to;
        for (N at = root; at != null; ) {
            if (at.due < from || at.due < to && holds.test(at.due)) {
                at = right(at);
            } else {
                found = Math.min(found, Math.max(from, at.due));
                at = left(at);
            }
        }
        return found;
    }

    // ---- The treap. ----

    private static <N extends Node<N>> N left(N node) {
        return ((Node<N>) node).left;
    }

    private static <N extends Node<N>> N right(N node) {
        return ((Node<N>) node).right;
    }

    private static <N extends Node<N>> int size(N node) {
        return node == null ? 0 : ((Node<N>) node).size;
    }

    private static <N extends Node<N>> int readies(N node) {
        return node == null ? 0 : ((Node<N>) node).readies;
    }

    private static <N extends Node<N>> int turns(N node) {
        return node == null ? 0 : ((Node<N>) node).turns;
    }

    private static <N extends Node<N>> boolean before(N a, N b) {
        return a.due < b.due || a.due == b.due && a.number < b.number;
    }

    private static <N extends Node<N>> N count(N node) {
        Node<N> here = node;
        here.size = 1 + size(here.left) + size(here.right);
        here.readies = (here.ready ? 1 : 0) + readies(here.left) + readies(here.right);
        here.turns = (here.turn ? 1 : 0) + turns(here.left) + turns(here.right);
        return node;
    }

    private static <N extends Node<N>> N insert(N at, N node) {
        if (at == null) {
            return count(node);
        }
        Node<N> here = at;
        if (((Node<N>) node).priority > here.priority) {
            split(at, node);
            return count(node);
        }
        if (before(node, at)) {
            here.left = insert(here.left, node);
        } else {
            here.right = insert(here.right, node);
        }
        return count(at);
    }

    /** What of a tree is before the node becomes its left side, the rest its right side. */
    private static <N extends Node<N>> void split(N at, N node) {
        Node<N> by = node;
        if (at == null) {
            by.left = null;
            by.right = null;
            return;
        }
        Node<N> here = at;
        if (before(at, node)) {
            split(here.right, node);
            here.right = by.left;
            by.left = count(at);
        } else {
            split(here.left, node);
            here.left = by.right;
            by.right = count(at);
        }
    }

    private static <N extends Node<N>> N without(N at, N node) {
        if (at == null) {
            throw new IllegalStateException("number " + node.number + " is not here");
        }
        Node<N> here = at;
        if (at == node) {
            return merge(here.left, here.right);
        }
        if (before(node, at)) {
            here.left = without(here.left, node);
        } else {
            here.right = without(here.right, node);
        }
        return count(at);
    }

    private static <N extends Node<N>> N merge(N a, N b) {
        if (a == null || b == null) {
            return a == null ? b : a;
        }
        Node<N> left = a;
        Node<N> right = b;
        if (left.priority > right.priority) {
            left.right = merge(left.right, b);
            return count(a);
        }
        right.left = merge(a, right.left);
        return count(b);
    }

    private static long mix(long value) {
        long z = (value + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
