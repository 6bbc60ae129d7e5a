package amberroute.decisions;

/** State of a circuit breaker. */
enum BreakerState {
    /** Calls are permitted within the limits. */
    CLOSED,
    /** Only one half-open trial at a time is permitted. */
    OPEN,
    /** Calls are permitted at the pace of a slow start, see {@link RecoveryRamp}. */
    SLOW_START
}
