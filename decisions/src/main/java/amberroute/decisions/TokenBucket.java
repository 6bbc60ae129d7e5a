package amberroute.decisions;

/** A token bucket that starts full and has a capacity of at least one token. Times are microseconds on the caller's clock. */
final class TokenBucket {
    private static final long NEVER_USED = Long.MIN_VALUE;

    private final double perSecond;
    private final double capacity;
    private double tokens;
    private long refilledAt = NEVER_USED;

    /**
     * Creates a full bucket.
     *
     * @param perSecond tokens added per second
     * @param burstSeconds capacity of the bucket, in seconds of refill
     */
    TokenBucket(double perSecond, double burstSeconds) {
        this.perSecond = perSecond;
        capacity = Math.max(1, perSecond * burstSeconds);
        tokens = capacity;
    }

    /** Takes a token; returns false if there is none. */
    boolean tryTake(long now) {
        if (refilledAt != NEVER_USED) {
            tokens = Math.min(capacity, tokens + perSecond * (now - refilledAt) / Micros.PER_SECOND);
        }
        refilledAt = now;
        boolean granted = tokens >= 1;
        tokens -= granted ? 1 : 0;
        return granted;
    }
}
