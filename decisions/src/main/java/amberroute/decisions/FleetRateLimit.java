package amberroute.decisions;

/**
 * Limits this sender to its share of the rate at which all senders together may send to a destination. It is a token bucket with
 * a capacity of one, so that there are no bursts. Calls with several messages may overdraw it. Times are microseconds on the
 * caller's clock.
 */
final class FleetRateLimit {
    private static final double CAPACITY_TOKENS = 1;
    private static final double MAX_REFILL_PER_SECOND = 1e6;
    /** Amount by which rounding may leave the tokens below one. */
    private static final double ROUNDING_TOLERANCE_TOKENS = 1e-9;

    private double perSecond = Double.POSITIVE_INFINITY;
    private double tokens;
    private long refilledAt;

    /**
     * Sets the rate; the tokens that have accumulated under a finite rate are kept.
     *
     * @param ratePerSecond messages per second, infinite for no limit
     * @param initialTokens tokens to begin with if there was no limit before
     */
    void set(long now, double ratePerSecond, double initialTokens) {
        if (Double.isInfinite(perSecond)) {
            tokens = Math.min(CAPACITY_TOKENS, initialTokens);
        } else {
            refill(now);
        }
        perSecond = Math.max(0, ratePerSecond);
        refilledAt = now;
    }

    private void refill(long now) {
        double refillPerSecond = Math.min(MAX_REFILL_PER_SECOND, perSecond);
        tokens = Math.min(CAPACITY_TOKENS, tokens + refillPerSecond * (now - refilledAt) / Micros.PER_SECOND);
        refilledAt = now;
    }

    double perSecond() {
        return perSecond;
    }

    /** Returns when the next message may be sent, MAX_VALUE while the rate is 0. */
    long nextMessageAt(long now) {
        if (Double.isInfinite(perSecond)) {
            return now;
        }
        refill(now);
        double missingTokens = 1 - tokens;
        if (missingTokens <= ROUNDING_TOLERANCE_TOKENS) {
            return now;
        }
        return perSecond == 0 ? Long.MAX_VALUE : now + (long) Math.ceil(missingTokens * Micros.PER_SECOND / perSecond);
    }

    /** Takes the token of one message, even if that overdraws the bucket. */
    void consume() {
        tokens -= Double.isInfinite(perSecond) ? 0 : 1;
    }
}
