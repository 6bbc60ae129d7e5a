package amberroute.decisions;

/** State of a circuit breaker. */
enum BreakerState {
    /** Calls go out as limits permit. */
    CLOSED,
    /** No calls go out but one half-open trial at a time. */
    OPEN,
    /** Calls go out at the pace of a slow start, see {@link RecoveryRamp}. */
    SLOW_START
}
