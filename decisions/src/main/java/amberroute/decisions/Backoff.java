package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;
import java.util.SplittableRandom;

/**
 * How long to wait behind a rejection or a failure before the next call. All senders meet the same upstream, so a backoff has
 * room for a call of each; it is jittered and doubles with each try. All times are microseconds.
 */
final class Backoff {
    /** Time that the backoff has for the call of one sender, where the upstream reports no limit. */
    static final long SENDER_SPACING_MICROS = 80_000;
    /** Backoff beside the senders' spacing, for upstreams; a message that is retried waits for the spacing alone. */
    static final long BASE_MICROS = 240_000;
    /** A reported limit shortens the spacing of one sender to the time of so many calls under it. */
    private static final double SENDER_SPACING_CALLS = 3.2;

    private static final int MAX_DOUBLINGS = 3;

    private final CurrentSettings settings;
    private final SplittableRandom random;

    Backoff(CurrentSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * A backoff with room for all senders: up to {@code longestMicros} at first, doubled up to eight times that.
     *
     * @param attempts for an upstream the failures in a row, for a message the attempts before this one
     */
    long delayMicros(long senderSpacingMicros, long baseMicros, long maxInitialMicros, int attempts) {
        long initialMicros = Math.min(
                jitter(baseMicros + senderSpacingMicros * settings.get().senderCount()), jitter(maxInitialMicros));
        return initialMicros << Math.min(attempts - 1, MAX_DOUBLINGS);
    }

    /**
     * Time for the call of each sender behind this outcome; none where the connection was turned away and not the call, as
     * places for connections come free with each answer.
     */
    long senderSpacingMicros(UpstreamHealth health, AttemptCompleted event) {
        if (event.connectionLimitReached(settings.get().reportFields())) {
            return 0;
        }
        return (long) Math.min(SENDER_SPACING_MICROS, SENDER_SPACING_CALLS * Micros.PER_SECOND / health.reportedLimit);
    }

    /** A random time between half of this and all of it. */
    long jitter(long micros) {
        return micros / 2 + random.nextLong(Math.max(1, micros / 2));
    }
}
