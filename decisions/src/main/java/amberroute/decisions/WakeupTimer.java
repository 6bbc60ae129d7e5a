package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;

/**
 * The only timer of a scheduler. During a decision each rule requests the time at which it must be evaluated again; after the
 * decision the timer is set to the earliest of these times, unless it already expires by then. Times are microseconds on the
 * caller's clock.
 */
final class WakeupTimer {
    /** The token of all timers. */
    private static final long TOKEN = 0;

    private long requestedAt = Micros.NEVER;
    private long scheduledAt = Micros.NEVER;

    /** Discards the requests of the previous decision. */
    void beginDecision() {
        requestedAt = Micros.NEVER;
    }

    void request(long at) {
        requestedAt = Math.min(requestedAt, at);
    }

    /** Schedules a timer for the earliest request, unless one already expires by then. */
    void schedule(long now, Actions actions) {
        if (requestedAt != Micros.NEVER && (scheduledAt <= now || scheduledAt > requestedAt)) {
            scheduledAt = Math.max(requestedAt, now + 1);
            actions.scheduleTimer(scheduledAt - now, TOKEN);
        }
    }

    void onExpired(long now) {
        scheduledAt = scheduledAt <= now ? Micros.NEVER : scheduledAt;
    }
}
