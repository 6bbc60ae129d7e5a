package amberroute.decisions.collections;

import java.util.Arrays;

/**
 * Things by a key, the greatest first, equal keys by their number, the smallest first. The arrays are kept from one use to the
 * next. {@link #add} is for many at once, {@link #push} for one at a time.
 */
public final class MaxHeap<T> {
    private double[] keys = new double[64];
    private long[] numbers = new long[64];
    private Object[] things = new Object[64];
    private int size;
    private int ordered;

    /** Forgets all; what it held is let go. */
    public void clear() {
        Arrays.fill(things, 0, size, null);
        size = 0;
        ordered = 0;
    }

    public boolean isEmpty() {
        return size == 0;
    }

    /** Puts one in without order yet. */
    public void add(T thing, double key, long number) {
        if (size == keys.length) {
            keys = Arrays.copyOf(keys, 2 * size);
            numbers = Arrays.copyOf(numbers, 2 * size);
            things = Arrays.copyOf(things, 2 * size);
        }
        set(size++, thing, key, number);
    }

    /** Puts one in its place. */
    public void push(T thing, double key, long number) {
        order();
        add(thing, key, number);
        ordered = size;
        int at = size - 1;
        while (at > 0 && above(at, (at - 1) / 2)) {
            swap(at, (at - 1) / 2);
            at = (at - 1) / 2;
        }
    }

    /** The greatest key; there has to be one. */
    public double key() {
        order();
        return keys[0];
    }

    /** Takes out what has the greatest key; there has to be one. */
    @SuppressWarnings("unchecked")
    public T pop() {
        order();
        T top = (T) things[0];
        size--;
        ordered = size;
        swap(0, size);
        things[size] = null;
        down(0);
        return top;
    }

    private void order() {
        if (ordered != size) {
            ordered = size;
            for (int i = size / 2 - 1; i >= 0; i--) {
                down(i);
            }
        }
    }

    private void down(int from) {
        int at = from;
        while (true) {
            int child = 2 * at + 1;
            if (child >= size) {
                return;
            }
            if (child + 1 < size && above(child + 1, child)) {
                child++;
            }
            if (!above(child, at)) {
                return;
            }
            swap(child, at);
            at = child;
        }
    }

    private boolean above(int a, int b) {
        return keys[a] > keys[b] || keys[a] == keys[b] && numbers[a] < numbers[b];
    }

    private void set(int at, Object thing, double key, long number) {
        things[at] = thing;
        keys[at] = key;
        numbers[at] = number;
    }

    private void swap(int a, int b) {
        Object thing = things[a];
        double key = keys[a];
        long number = numbers[a];
        set(a, things[b], keys[b], numbers[b]);
        set(b, thing, key, number);
    }
}
