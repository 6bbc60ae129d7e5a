package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * A heap of things by time that can be moved and removed wherever they stand. Each stands in it once at most, by an
 * {@link Entry} of its own. Nothing is allocated but the array; {@link #set} and {@link #remove} cost the logarithm of the size.
 * Equal times come in no particular order.
 */
public final class IndexedTimerHeap<T> {
    /** A thing's place in one queue. */
    public static final class Entry<T> {
        private final T of;
        private long at;
        private int place = -1;

        public Entry(T of) {
            this.of = of;
        }

        public T of() {
            return of;
        }

        /** The time under which it stands, or stood last. */
        public long at() {
            return at;
        }

        public boolean queued() {
            return place >= 0;
        }
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private Entry<T>[] heap = new Entry[16];

    private int size;

    /** It stands at this time from now on. */
    public void set(Entry<T> entry, long at) {
        if (entry.place < 0) {
            if (size == heap.length) {
                heap = Arrays.copyOf(heap, 2 * size);
            }
            entry.at = at;
            put(entry, size++);
            up(entry);
        } else {
            long before = entry.at;
            entry.at = at;
            if (at < before) {
                up(entry);
            } else {
                down(entry);
            }
        }
    }

    /** Does nothing where it is not there. */
    public void remove(Entry<T> entry) {
        if (entry.place < 0) {
            return;
        }
        int hole = entry.place;
        entry.place = -1;
        Entry<T> last = heap[--size];
        heap[size] = null;
        if (last != entry) {
            put(last, hole);
            up(last);
            down(last);
        }
    }

    /** The earliest, null where there is none. */
    public Entry<T> peek() {
        return size == 0 ? null : heap[0];
    }

    /** Takes the earliest out if it is not behind this time; else null. */
    public Entry<T> poll(long now) {
        Entry<T> first = size == 0 || heap[0].at > now ? null : heap[0];
        if (first != null) {
            remove(first);
        }
        return first;
    }

    public int size() {
        return size;
    }

    private void put(Entry<T> entry, int place) {
        heap[place] = entry;
        entry.place = place;
    }

    private void up(Entry<T> entry) {
        while (entry.place > 0) {
            Entry<T> above = heap[(entry.place - 1) / 2];
            if (above.at <= entry.at) {
                return;
            }
            int place = above.place;
            put(above, entry.place);
            put(entry, place);
        }
    }

    private void down(Entry<T> entry) {
        while (true) {
            int child = 2 * entry.place + 1;
            if (child >= size) {
                return;
            }
            if (child + 1 < size && heap[child + 1].at < heap[child].at) {
                child++;
            }
            Entry<T> below = heap[child];
            if (below.at >= entry.at) {
                return;
            }
            put(below, entry.place);
            put(entry, child);
        }
    }
}
