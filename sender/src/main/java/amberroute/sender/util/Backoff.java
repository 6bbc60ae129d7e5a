package amberroute.sender.util;

import java.util.SplittableRandom;

/**
 * How long to wait before what failed is tried again. All senders lose a watch or a line at the same moment when the other
 * side restarts, and start together when they were killed together: each waits a time of its own, the least one and a part
 * drawn from a span that doubles with each failure in a row, up to the longest. Milliseconds; randomness comes from the
 * sender's seed.
 */
public final class Backoff {
    private static final int MOST_DOUBLINGS = 8;
    private final long least;
    private final long first;
    private final long longest;
    private final SplittableRandom random;
    private int failures;

    public Backoff(long least, long first, long longest, long seed) {
        this.least = least;
        this.first = first;
        this.longest = longest;
        random = new SplittableRandom(seed);
    }

    /** It failed: so long until the next try. */
    public long next() {
        return least + random.nextLong(Math.min(longest, first << Math.min(failures++, MOST_DOUBLINGS)));
    }

    /** It went well: the next pause is a short one. */
    public void good() {
        failures = 0;
    }
}
