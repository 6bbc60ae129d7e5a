package amberroute.sender;

import java.util.SplittableRandom;

/**
 * How long to wait before the list is asked for again. All senders lose their watch at the same moment when discovery
 * restarts, and start together when they were killed together: each waits a time of its own, within a span that doubles while
 * asking brings nothing. Milliseconds; randomness comes from the sender's seed.
 */
final class WatchPauses {
    private static final long LEAST = 100;
    private static final long FIRST = 200;
    /** What discovery has to tell counts as told 6 s later at the latest: two tries fit in. */
    private static final long MOST = 2_000;
    private final SplittableRandom random;
    private int failures;

    WatchPauses(long seed) {
        random = new SplittableRandom(seed);
    }

    /** A watch ended, or was not to be had. */
    long next() {
        long span = Math.min(MOST, FIRST << Math.min(failures++, 8));
        return LEAST + random.nextLong(span);
    }

    /** A list or a part of it came: the next watch may be asked for soon again. */
    void good() {
        failures = 0;
    }
}
