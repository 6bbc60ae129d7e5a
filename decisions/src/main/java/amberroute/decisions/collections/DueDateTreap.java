package amberroute.decisions.collections;

import java.util.function.LongPredicate;

/**
 * Messages in the order of their due dates, equal ones in the order of their numbers: a treap whose nodes are the messages
 * themselves, so that nothing is allocated. Priorities are a hash of the number, so the same messages give the same tree. Each
 * operation costs the logarithm of the size on average. Due dates are microseconds on the caller's clock. Not thread-safe.
 */
public final class DueDateTreap<N extends DueDateTreap.Node<N>> {
    /** A message, in one treap at a time. */
    public abstract static class Node<N extends Node<N>> {
        /** The due date; it must not change while the node is in a treap. */
        public long due;
        /** The number, different for each node; it must not change while the node is in a treap. */
        public long number;

        private N left;
        private N right;
        private int priority;
        private boolean ready;
        private boolean firstOfKey;
        private int size;
        private int readyCount;
        private int firstOfKeyCount;

        /** Whether it was marked as ready. */
        public final boolean ready() {
            return ready;
        }

        /** Whether it was marked as the one that its key lets go. */
        public final boolean firstOfKey() {
            return firstOfKey;
        }
    }

    private N root;

    /** How many messages there are. */
    public int size() {
        return root == null ? 0 : size(root);
    }

    /** How many are marked as ready. */
    public int readyCount() {
        return readyCount(root);
    }

    /** How many are marked as first of their key. */
    public int firstOfKeyCount() {
        return firstOfKeyCount(root);
    }

    /** Adds a message with these marks: ready to be sent, and first of a key that is not paused. */
    public void add(N node, boolean ready, boolean firstOfKey) {
        Node<N> added = node;
        added.priority = (int) (mix(node.number) >>> 32);
        added.ready = ready;
        added.firstOfKey = firstOfKey;
        added.left = null;
        added.right = null;
        root = insert(root, node);
    }

    /**
     * Removes a message and its marks.
     *
     * @throws IllegalStateException if it is not here
     */
    public void remove(N node) {
        root = without(root, node);
        Node<N> removed = node;
        removed.left = null;
        removed.right = null;
        removed.ready = false;
        removed.firstOfKey = false;
    }

    /** Marks a message that is here. */
    public void mark(N node, boolean ready, boolean firstOfKey) {
        Node<N> marked = node;
        int readyDelta = (ready ? 1 : 0) - (marked.ready ? 1 : 0);
        int firstOfKeyDelta = (firstOfKey ? 1 : 0) - (marked.firstOfKey ? 1 : 0);
        if (readyDelta == 0 && firstOfKeyDelta == 0) {
            return;
        }
        marked.ready = ready;
        marked.firstOfKey = firstOfKey;
        for (N at = root; at != null; at = at == node ? null : before(node, at) ? left(at) : right(at)) {
            Node<N> here = at;
            here.readyCount += readyDelta;
            here.firstOfKeyCount += firstOfKeyDelta;
        }
    }

    /** The message that is due first, null where there is none. */
    public N first() {
        return after(Long.MIN_VALUE, Long.MIN_VALUE, Long.MAX_VALUE, false);
    }

    /** The first of those due in [from, to), null for none; with {@code ready} among the ready ones only. */
    public N earliest(long from, long to, boolean ready) {
        return after(from, Long.MIN_VALUE, to, ready);
    }

    /** The first behind this due date and number that is due before {@code to}, null for none. */
    public N after(long due, long number, long to, boolean ready) {
        N found = after(root, due, number, ready);
        return found == null || found.due >= to ? null : found;
    }

    private static <N extends Node<N>> N after(N at, long due, long number, boolean ready) {
        if (at == null || ready && readyCount(at) == 0) {
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

    /** Of those due last in [from, to) the one with the smallest number, null for none; with {@code ready} of the ready ones. */
    public N latest(long from, long to, boolean ready) {
        N found = latest(root, to, ready, false);
        return found == null || found.due < from ? null : after(found.due, Long.MIN_VALUE, Long.MAX_VALUE, ready);
    }

    /** The latest due date of those that are first of their key, MIN_VALUE for none. */
    public long latestFirstOfKeyDue() {
        N found = latest(root, Long.MAX_VALUE, false, true);
        return found == null ? Long.MIN_VALUE : found.due;
    }

    private static <N extends Node<N>> N latest(N at, long to, boolean ready, boolean firstOfKey) {
        if (at == null || ready && readyCount(at) == 0 || firstOfKey && firstOfKeyCount(at) == 0) {
            return null;
        }
        if (at.due >= to) {
            return latest(left(at), to, ready, firstOfKey);
        }
        N found = latest(right(at), to, ready, firstOfKey);
        if (found != null) {
            return found;
        }
        return (!ready || at.ready()) && (!firstOfKey || at.firstOfKey())
                ? at
                : latest(left(at), to, ready, firstOfKey);
    }

    /** How many messages are due in [from, to). */
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
     * The first due date in [from, to) for which a condition does not hold, {@code to} where it holds for all. It has to hold for
     * the earlier due dates and not for the later ones.
     */
    public long boundary(long from, long to, LongPredicate holds) {
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

    private static <N extends Node<N>> int readyCount(N node) {
        return node == null ? 0 : ((Node<N>) node).readyCount;
    }

    private static <N extends Node<N>> int firstOfKeyCount(N node) {
        return node == null ? 0 : ((Node<N>) node).firstOfKeyCount;
    }

    private static <N extends Node<N>> boolean before(N a, N b) {
        return a.due < b.due || a.due == b.due && a.number < b.number;
    }

    private static <N extends Node<N>> N count(N node) {
        Node<N> here = node;
        here.size = 1 + size(here.left) + size(here.right);
        here.readyCount = (here.ready ? 1 : 0) + readyCount(here.left) + readyCount(here.right);
        here.firstOfKeyCount = (here.firstOfKey ? 1 : 0) + firstOfKeyCount(here.left) + firstOfKeyCount(here.right);
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

    /** Splits a subtree: what is before the node becomes its left side, the rest its right side. */
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
