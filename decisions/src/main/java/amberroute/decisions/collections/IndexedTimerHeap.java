package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * A heap of items ordered by time, whose items can be moved and removed wherever they are. An item is in the heap at most once,
 * by an {@link Entry} of its own. Only the array is allocated; {@link #set} and {@link #remove} take logarithmic time. Items
 * with equal times come in no particular order. Not thread-safe.
 */
public final class IndexedTimerHeap<T> {
    private static final int INITIAL_CAPACITY = 16;
    private static final int NOT_QUEUED = -1;

    /** The position of an item in a heap. */
    public static final class Entry<T> {
        private final T item;
        private long dueAt;
        private int position = NOT_QUEUED;

        /** Creates an entry that is in no heap yet. */
        public Entry(T item) {
            this.item = item;
        }

        /** Returns the item of this entry. */
        public T item() {
            return item;
        }

        /** Returns the time that the entry was last set to. */
        public long dueAt() {
            return dueAt;
        }

        /** Returns whether the entry is in a heap. */
        public boolean isQueued() {
            return position >= 0;
        }
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private Entry<T>[] heap = new Entry[INITIAL_CAPACITY];

    private int size;

    /** Adds an entry with this time, or moves it to this time if it is already queued. */
    public void set(Entry<T> entry, long dueAt) {
        if (entry.position < 0) {
            if (size == heap.length) {
                heap = Arrays.copyOf(heap, 2 * size);
            }
            entry.dueAt = dueAt;
            put(entry, size++);
            siftUp(entry);
        } else {
            long previousDueAt = entry.dueAt;
            entry.dueAt = dueAt;
            if (dueAt < previousDueAt) {
                siftUp(entry);
            } else {
                siftDown(entry);
            }
        }
    }

    /** Removes an entry; does nothing if it is not queued. */
    public void remove(Entry<T> entry) {
        if (entry.position < 0) {
            return;
        }
        int hole = entry.position;
        entry.position = NOT_QUEUED;
        Entry<T> last = heap[--size];
        heap[size] = null;
        if (last != entry) {
            put(last, hole);
            siftUp(last);
            siftDown(last);
        }
    }

    /** Returns the earliest entry, null if there is none. */
    public Entry<T> peek() {
        return size == 0 ? null : heap[0];
    }

    /** Removes and returns the earliest entry if its time is not after {@code now}, otherwise returns null. */
    public Entry<T> poll(long now) {
        Entry<T> first = size == 0 || heap[0].dueAt > now ? null : heap[0];
        if (first != null) {
            remove(first);
        }
        return first;
    }

    /** Returns the number of queued entries. */
    public int size() {
        return size;
    }

    private void put(Entry<T> entry, int position) {
        heap[position] = entry;
        entry.position = position;
    }

    private void siftUp(Entry<T> entry) {
        while (entry.position > 0) {
            Entry<T> parent = heap[(entry.position - 1) / 2];
            if (parent.dueAt <= entry.dueAt) {
                return;
            }
            int position = parent.position;
            put(parent, entry.position);
            put(entry, position);
        }
    }

    private void siftDown(Entry<T> entry) {
        while (true) {
            int child = 2 * entry.position + 1;
            if (child >= size) {
                return;
            }
            if (child + 1 < size && heap[child + 1].dueAt < heap[child].dueAt) {
                child++;
            }
            Entry<T> earliestChild = heap[child];
            if (earliestChild.dueAt >= entry.dueAt) {
                return;
            }
            put(earliestChild, entry.position);
            put(entry, child);
        }
    }
}
