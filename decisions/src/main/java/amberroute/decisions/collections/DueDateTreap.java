package amberroute.decisions.collections;

import java.util.function.LongPredicate;

/**
 * Messages in the order of their due dates, and for equal due dates of their sequence numbers. It is a treap whose nodes are
 * the messages themselves, so it allocates nothing. Priorities are a hash of the sequence number, so the same messages form the
 * same tree. Each operation takes logarithmic time on average. Due dates are microseconds on the caller's clock. Not
 * thread-safe.
 */
public final class DueDateTreap<N extends DueDateTreap.Node<N>> {
    /** A message, which may be in one treap at a time. */
    public abstract static class Node<N extends Node<N>> {
        /** The due date; it must not change while the node is in a treap. */
        public long due;
        /** The sequence number, unique among the nodes; it must not change while the node is in a treap. */
        public long sequenceNumber;

        private N left;
        private N right;
        private int priority;
        private boolean ready;
        private boolean firstOfKey;
        private int size;
        private int readyCount;
        private int firstOfKeyCount;

        /** Returns whether the message is marked as ready. */
        public final boolean ready() {
            return ready;
        }

        /** Returns whether the message is marked as first of a key that is not paused. */
        public final boolean firstOfKey() {
            return firstOfKey;
        }
    }

    private N root;

    /** Returns the number of messages. */
    public int size() {
        return root == null ? 0 : size(root);
    }

    /** Returns the number of messages marked as ready. */
    public int readyCount() {
        return readyCount(root);
    }

    /** Returns the number of messages marked as first of a key that is not paused. */
    public int firstOfKeyCount() {
        return firstOfKeyCount(root);
    }

    /**
     * Adds a message with these marks: ready to be sent, and first of a key that is not paused. A message without a key, or one
     * that is exempt from the pause of its key, counts as first of a key that is not paused.
     */
    public void add(N node, boolean ready, boolean firstOfKey) {
        Node<N> added = node;
        added.priority = (int) (mix(node.sequenceNumber) >>> 32);
        added.ready = ready;
        added.firstOfKey = firstOfKey;
        added.left = null;
        added.right = null;
        root = insert(root, node);
    }

    /**
     * Removes a message and its marks.
     *
     * @throws IllegalStateException if the message is not in this treap
     */
    public void remove(N node) {
        root = removeFrom(root, node);
        Node<N> removed = node;
        removed.left = null;
        removed.right = null;
        removed.ready = false;
        removed.firstOfKey = false;
    }

    /** Changes the marks of a message in this treap. */
    public void mark(N node, boolean ready, boolean firstOfKey) {
        Node<N> marked = node;
        int readyDelta = (ready ? 1 : 0) - (marked.ready ? 1 : 0);
        int firstOfKeyDelta = (firstOfKey ? 1 : 0) - (marked.firstOfKey ? 1 : 0);
        if (readyDelta == 0 && firstOfKeyDelta == 0) {
            return;
        }
        marked.ready = ready;
        marked.firstOfKey = firstOfKey;
        for (N cursor = root;
                cursor != null;
                cursor = cursor == node ? null : before(node, cursor) ? left(cursor) : right(cursor)) {
            Node<N> pathNode = cursor;
            pathNode.readyCount += readyDelta;
            pathNode.firstOfKeyCount += firstOfKeyDelta;
        }
    }

    /** Returns the message that is due first, null if there is none. */
    public N first() {
        return after(Long.MIN_VALUE, Long.MIN_VALUE, Long.MAX_VALUE, false);
    }

    /** Returns the first message due in [from, to), null if there is none; with {@code readyOnly} only ready messages count. */
    public N earliest(long from, long to, boolean readyOnly) {
        return after(from, Long.MIN_VALUE, to, readyOnly);
    }

    /**
     * Returns the first message after this due date and sequence number that is due before {@code to}, null if there is none;
     * with {@code readyOnly} only ready messages count.
     */
    public N after(long due, long sequenceNumber, long to, boolean readyOnly) {
        N found = after(root, due, sequenceNumber, readyOnly);
        return found == null || found.due >= to ? null : found;
    }

    private static <N extends Node<N>> N after(N subtree, long due, long sequenceNumber, boolean readyOnly) {
        if (subtree == null || readyOnly && readyCount(subtree) == 0) {
            return null;
        }
        if (subtree.due < due || subtree.due == due && subtree.sequenceNumber <= sequenceNumber) {
            return after(right(subtree), due, sequenceNumber, readyOnly);
        }
        N found = after(left(subtree), due, sequenceNumber, readyOnly);
        if (found != null) {
            return found;
        }
        return !readyOnly || subtree.ready() ? subtree : after(right(subtree), due, sequenceNumber, true);
    }

    /**
     * Returns the message with the smallest sequence number among those with the latest due date in [from, to), null if there
     * is none; with {@code readyOnly} only ready messages count.
     */
    public N latest(long from, long to, boolean readyOnly) {
        N found = latest(root, to, readyOnly, false);
        return found == null || found.due < from ? null : after(found.due, Long.MIN_VALUE, Long.MAX_VALUE, readyOnly);
    }

    /**
     * Returns the latest due date of the messages marked as first of a key that is not paused, {@link Long#MIN_VALUE} if there
     * is none.
     */
    public long latestFirstOfKeyDue() {
        N found = latest(root, Long.MAX_VALUE, false, true);
        return found == null ? Long.MIN_VALUE : found.due;
    }

    private static <N extends Node<N>> N latest(N subtree, long to, boolean readyOnly, boolean firstOfKeyOnly) {
        if (subtree == null
                || readyOnly && readyCount(subtree) == 0
                || firstOfKeyOnly && firstOfKeyCount(subtree) == 0) {
            return null;
        }
        if (subtree.due >= to) {
            return latest(left(subtree), to, readyOnly, firstOfKeyOnly);
        }
        N found = latest(right(subtree), to, readyOnly, firstOfKeyOnly);
        if (found != null) {
            return found;
        }
        return (!readyOnly || subtree.ready()) && (!firstOfKeyOnly || subtree.firstOfKey())
                ? subtree
                : latest(left(subtree), to, readyOnly, firstOfKeyOnly);
    }

    /** Returns the number of messages due in [from, to). */
    public int count(long from, long to) {
        return to <= from ? 0 : countBefore(to) - countBefore(from);
    }

    private int countBefore(long due) {
        int count = 0;
        for (N cursor = root; cursor != null; ) {
            if (cursor.due < due) {
                count += 1 + size(left(cursor));
                cursor = right(cursor);
            } else {
                cursor = left(cursor);
            }
        }
        return count;
    }

    /**
     * Returns the first due date in [from, to) for which a condition does not hold, {@code to} if it holds for all. The
     * condition must hold for the earlier due dates and not for the later ones.
     */
    public long boundary(long from, long to, LongPredicate condition) {
        long found = to;
        for (N cursor = root; cursor != null; ) {
            if (cursor.due < from || cursor.due < to && condition.test(cursor.due)) {
                cursor = right(cursor);
            } else {
                found = Math.min(found, Math.max(from, cursor.due));
                cursor = left(cursor);
            }
        }
        return found;
    }

    // ---- Tree operations. ----

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
        return a.due < b.due || a.due == b.due && a.sequenceNumber < b.sequenceNumber;
    }

    private static <N extends Node<N>> N updateCounts(N node) {
        Node<N> updated = node;
        updated.size = 1 + size(updated.left) + size(updated.right);
        updated.readyCount = (updated.ready ? 1 : 0) + readyCount(updated.left) + readyCount(updated.right);
        updated.firstOfKeyCount =
                (updated.firstOfKey ? 1 : 0) + firstOfKeyCount(updated.left) + firstOfKeyCount(updated.right);
        return node;
    }

    private static <N extends Node<N>> N insert(N subtree, N node) {
        if (subtree == null) {
            return updateCounts(node);
        }
        Node<N> subtreeRoot = subtree;
        if (((Node<N>) node).priority > subtreeRoot.priority) {
            split(subtree, node);
            return updateCounts(node);
        }
        if (before(node, subtree)) {
            subtreeRoot.left = insert(subtreeRoot.left, node);
        } else {
            subtreeRoot.right = insert(subtreeRoot.right, node);
        }
        return updateCounts(subtree);
    }

    /** Splits a subtree: the messages before the node become its left subtree, the others its right subtree. */
    private static <N extends Node<N>> void split(N subtree, N node) {
        Node<N> newRoot = node;
        if (subtree == null) {
            newRoot.left = null;
            newRoot.right = null;
            return;
        }
        Node<N> subtreeRoot = subtree;
        if (before(subtree, node)) {
            split(subtreeRoot.right, node);
            subtreeRoot.right = newRoot.left;
            newRoot.left = updateCounts(subtree);
        } else {
            split(subtreeRoot.left, node);
            subtreeRoot.left = newRoot.right;
            newRoot.right = updateCounts(subtree);
        }
    }

    private static <N extends Node<N>> N removeFrom(N subtree, N node) {
        if (subtree == null) {
            throw new IllegalStateException("number " + node.sequenceNumber + " is not in this treap");
        }
        Node<N> subtreeRoot = subtree;
        if (subtree == node) {
            return merge(subtreeRoot.left, subtreeRoot.right);
        }
        if (before(node, subtree)) {
            subtreeRoot.left = removeFrom(subtreeRoot.left, node);
        } else {
            subtreeRoot.right = removeFrom(subtreeRoot.right, node);
        }
        return updateCounts(subtree);
    }

    private static <N extends Node<N>> N merge(N earlier, N later) {
        if (earlier == null || later == null) {
            return earlier == null ? later : earlier;
        }
        Node<N> left = earlier;
        Node<N> right = later;
        if (left.priority > right.priority) {
            left.right = merge(left.right, later);
            return updateCounts(earlier);
        }
        right.left = merge(earlier, right.left);
        return updateCounts(later);
    }

    private static long mix(long value) {
        long z = (value + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
        z = (z ^ z >>> 27) * 0x94d049bb133111ebL;
        return z ^ z >>> 31;
    }
}
