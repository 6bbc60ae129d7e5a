package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * A heap of items with the greatest key first; among equal keys the smallest tie-breaker comes first. The arrays are kept from
 * one use to the next. {@link #add} suits many items at once, {@link #push} single items. Not thread-safe.
 */
public final class MaxHeap<T> {
    private static final int INITIAL_CAPACITY = 64;

    private double[] keys = new double[INITIAL_CAPACITY];
    private long[] tieBreakers = new long[INITIAL_CAPACITY];
    private Object[] items = new Object[INITIAL_CAPACITY];
    private int size;
    /** The size when the items were last in heap order. */
    private int heapifiedSize;

    /** Removes all items. */
    public void clear() {
        Arrays.fill(items, 0, size, null);
        size = 0;
        heapifiedSize = 0;
    }

    /** Returns whether there are no items. */
    public boolean isEmpty() {
        return size == 0;
    }

    /** Adds an item; the heap order is restored when the heap is next read. */
    public void add(T item, double key, long tieBreaker) {
        if (size == keys.length) {
            keys = Arrays.copyOf(keys, 2 * size);
            tieBreakers = Arrays.copyOf(tieBreakers, 2 * size);
            items = Arrays.copyOf(items, 2 * size);
        }
        set(size++, item, key, tieBreaker);
    }

    /** Adds an item in logarithmic time. */
    public void push(T item, double key, long tieBreaker) {
        heapify();
        add(item, key, tieBreaker);
        heapifiedSize = size;
        int position = size - 1;
        while (position > 0 && hasPriorityOver(position, (position - 1) / 2)) {
            swap(position, (position - 1) / 2);
            position = (position - 1) / 2;
        }
    }

    /** Returns the greatest key; the heap must not be empty. */
    public double key() {
        heapify();
        return keys[0];
    }

    /** Removes and returns the item with the greatest key; the heap must not be empty. */
    @SuppressWarnings("unchecked")
    public T pop() {
        heapify();
        T top = (T) items[0];
        size--;
        heapifiedSize = size;
        swap(0, size);
        items[size] = null;
        siftDown(0);
        return top;
    }

    private void heapify() {
        if (heapifiedSize != size) {
            heapifiedSize = size;
            for (int i = size / 2 - 1; i >= 0; i--) {
                siftDown(i);
            }
        }
    }

    private void siftDown(int start) {
        int position = start;
        while (true) {
            int child = 2 * position + 1;
            if (child >= size) {
                return;
            }
            if (child + 1 < size && hasPriorityOver(child + 1, child)) {
                child++;
            }
            if (!hasPriorityOver(child, position)) {
                return;
            }
            swap(child, position);
            position = child;
        }
    }

    private boolean hasPriorityOver(int position, int other) {
        return keys[position] > keys[other]
                || keys[position] == keys[other] && tieBreakers[position] < tieBreakers[other];
    }

    private void set(int position, Object item, double key, long tieBreaker) {
        items[position] = item;
        keys[position] = key;
        tieBreakers[position] = tieBreaker;
    }

    private void swap(int position, int other) {
        Object item = items[position];
        double key = keys[position];
        long tieBreaker = tieBreakers[position];
        set(position, items[other], keys[other], tieBreakers[other]);
        set(other, item, key, tieBreaker);
    }
}
