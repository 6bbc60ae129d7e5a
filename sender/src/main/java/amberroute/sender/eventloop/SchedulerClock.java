package amberroute.sender.eventloop;

/**
 * The monotonic clock of the delivery scheduler. Its origin lies shortly before the start of the process, and all schedulers of a
 * process share it. Safe for use by several threads.
 */
public final class SchedulerClock {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    /** Keeps the times of events before the start of the process positive. */
    private static final long LEAD_MICROS = 1_000_000;

    private static final long ORIGIN_MICROS = System.nanoTime() / NANOS_PER_MICRO - LEAD_MICROS;

    private SchedulerClock() {}

    /** Microseconds since the origin of the scheduler's clock. */
    public static long micros() {
        return System.nanoTime() / NANOS_PER_MICRO - ORIGIN_MICROS;
    }

    /** Milliseconds of the system's monotonic clock, whose origin is arbitrary. */
    public static long millis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
