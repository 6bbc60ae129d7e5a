package amberroute.decisions;

/** Constants for times in microseconds. */
final class Micros {
    static final double PER_SECOND = 1e6;
    /** A time that is never reached. */
    static final long NEVER = Long.MAX_VALUE;

    private Micros() {}
}
