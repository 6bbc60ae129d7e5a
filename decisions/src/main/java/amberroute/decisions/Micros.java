package amberroute.decisions;

/** Constants of the module's unit of time. */
final class Micros {
    static final double PER_SECOND = 1e6;
    /** A time that does not come. */
    static final long NEVER = Long.MAX_VALUE;

    private Micros() {}
}
