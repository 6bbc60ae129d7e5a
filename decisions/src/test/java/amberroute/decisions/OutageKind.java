package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import java.util.SplittableRandom;

/** What callers see of a destination in an outage. */
enum OutageKind {
    /** Its endpoints refuse connections. */
    CONNECTION_REFUSED,
    /** Connections to it never come up. */
    SILENT,
    /** It takes calls and never answers. */
    HUNG,
    /** It rejects calls. */
    SHUT,
    /** It answers calls with errors. */
    ERRORS,
    /** It answers one call in five and fails the others. */
    MOST_CALLS_FAIL,
    /** Each call fails in a way of its own. */
    MIXED;

    private static final double ANSWERED_SHARE = 0.2;
    private static final long CONNECT_TIMEOUT_MICROS = 1_000_000;
    private static final long ROUND_TRIP_MICROS = 30_000;

    /** How a call fails, and after which time; a {@link AttemptOutcome#TIMEOUT} comes when the caller gives up. */
    record Failure(AttemptOutcome outcome, long durationMicros) {}

    /** Returns whether the destination serves this call in spite of the outage. */
    boolean answersCall(SplittableRandom random) {
        return this == MOST_CALLS_FAIL && random.nextDouble() < ANSWERED_SHARE;
    }

    Failure failure(SplittableRandom random) {
        return switch (this) {
            case CONNECTION_REFUSED -> new Failure(AttemptOutcome.CONNECT_FAILED, ROUND_TRIP_MICROS);
            case SILENT -> new Failure(AttemptOutcome.CONNECT_FAILED, CONNECT_TIMEOUT_MICROS);
            case HUNG -> new Failure(AttemptOutcome.TIMEOUT, 0);
            case SHUT -> new Failure(AttemptOutcome.FULL, ROUND_TRIP_MICROS);
            case ERRORS, MOST_CALLS_FAIL -> new Failure(AttemptOutcome.ERROR, ROUND_TRIP_MICROS);
            case MIXED -> values()[random.nextInt(MOST_CALLS_FAIL.ordinal())].failure(random);
        };
    }
}
