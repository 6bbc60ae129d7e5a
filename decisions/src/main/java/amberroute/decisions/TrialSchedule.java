package amberroute.decisions;

import java.util.SplittableRandom;

/**
 * Decides when an upstream whose breaker is open gets its next half-open trial. No sender knows which others also wait for it, and all
 * of them may begin to wait in one instant: their processes start, or they learn of an outage, together. So what counts is the sum of
 * the trials of all senders, which a recovering upstream has to take beside the calls of their slow starts. Times are microseconds on
 * the caller's clock.
 *
 * <p>Cost of an interval that is too long: the end of an outage is noticed late. Cost of one that is too short: the trials bring the
 * upstream down again.
 */
final class TrialSchedule {
    /** Time in which one trial may come from all senders together, however small the upstream. */
    private static final long FLEET_TRIAL_SPACING_MICROS = 1_200_000;
    /** Time over which trials are spread, in call intervals at the initial pace of a slow start. */
    private static final double SPREAD_CALLS = 0.5;
    /** The same where the upstream has never answered: all senders may be without an answer, and so all make trials. */
    private static final double UNANSWERED_SPREAD_CALLS = 1;
    /** Pause of one sender between two trials, as a share of the time over which they are spread; within the two bounds below. */
    private static final double PAUSE_RATIO = 0.3;

    private static final long MIN_PAUSE_MICROS = 250_000;
    private static final long MAX_PAUSE_MICROS = 1_000_000;

    private final CurrentSettings settings;
    private final RecoveryRamp recoveryRamp;
    private final SplittableRandom random;

    TrialSchedule(CurrentSettings settings, RecoveryRamp recoveryRamp, SplittableRandom random) {
        this.settings = settings;
        this.recoveryRamp = recoveryRamp;
        this.random = random;
    }

    /** Schedules the next trial after a failure that has opened the breaker, or of a trial. */
    void scheduleAfterFailure(long now, UpstreamHealth health) {
        long spreadMicros = spreadMicros(health);
        double pauseMicros = Math.max(MIN_PAUSE_MICROS, Math.min(MAX_PAUSE_MICROS, PAUSE_RATIO * spreadMicros));
        health.nextTrialAt = endOfWait(now, health) + (long) pauseMicros + random.nextLong(spreadMicros);
    }

    /** Schedules the next trial of an upstream whose outage an earlier process has seen. */
    void scheduleAfterRestore(long now, UpstreamHealth health) {
        health.nextTrialAt = endOfWait(now, health) + random.nextLong(spreadMicros(health));
    }

    /** Returns from when on trials are spread: at the end of a Retry-After all that came earlier would come together. */
    private static long endOfWait(long now, UpstreamHealth health) {
        return Math.max(now, health.retryAfterUntil);
    }

    /** Returns the time over which the trials of all senders come at a rate that a recovering upstream can take; above 0. */
    private long spreadMicros(UpstreamHealth health) {
        double spreadCalls = health.usualLatencyMicros == 0 ? UNANSWERED_SPREAD_CALLS : SPREAD_CALLS;
        double slowStartMicros = spreadCalls * Micros.PER_SECOND / recoveryRamp.callsPerSecond(0, health);
        long fleetMicros = FLEET_TRIAL_SPACING_MICROS * settings.get().senderCount();
        return Math.max(1, Math.min(fleetMicros, (long) slowStartMicros));
    }
}
