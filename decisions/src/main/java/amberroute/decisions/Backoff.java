package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Event.AttemptCompleted;
import java.util.SplittableRandom;

/**
 * Computes the delay after a rejection or a failure before the next call. All senders call the same upstream, so the delay grows
 * with the number of senders. It is jittered and doubles with each attempt. All times are microseconds.
 */
final class Backoff {
    /** Part of the delay for each sender that shares the upstream, where the upstream reports no limit. */
    static final long SENDER_SPACING_MICROS = 80_000;
    /** Delay of an upstream in addition to the spacing of the senders; the retry of a message waits for the spacing only. */
    static final long BASE_MICROS = 240_000;
    /** Under a reported limit the spacing of one sender is at most the time in which the limit permits this many calls. */
    private static final double SENDER_SPACING_CALLS = 3.2;

    private static final int MAX_DOUBLINGS = 3;

    private final CurrentSettings settings;
    private final SplittableRandom random;

    Backoff(CurrentSettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /**
     * Returns a jittered exponential delay that includes the spacing of all senders.
     *
     * @param maxInitialMicros limit of the delay before doubling; the result is at most eight times that
     * @param attempts consecutive failures of an upstream, or earlier attempts of a message
     */
    long delayMicros(long senderSpacingMicros, long baseMicros, long maxInitialMicros, int attempts) {
        long initialMicros = Math.min(
                jitter(baseMicros + senderSpacingMicros * settings.get().senderCount()), jitter(maxInitialMicros));
        return initialMicros << Math.min(attempts - 1, MAX_DOUBLINGS);
    }

    /**
     * Returns the spacing for each sender after this outcome. It is 0 if the upstream rejected the connection and not the call, as
     * each answered call makes a connection available.
     */
    long senderSpacingMicros(UpstreamHealth health, AttemptCompleted event) {
        if (health.connectionLimitReached(event, settings.get().reportFields())) {
            return 0;
        }
        return (long) Math.min(SENDER_SPACING_MICROS, SENDER_SPACING_CALLS * Micros.PER_SECOND / health.reportedLimit);
    }

    /** Returns a random time between half of the given one and all of it. */
    long jitter(long micros) {
        return micros / 2 + random.nextLong(Math.max(1, micros / 2));
    }
}
