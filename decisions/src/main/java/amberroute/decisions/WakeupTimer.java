package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;

/**
 * The one timer of a scheduler: during a decision each rule requests when it has to be asked again, and behind it the timer is
 * set for the earliest of these times unless it is due no later already. Times are microseconds on the caller's clock.
 */
final class WakeupTimer {
    /** The token of all timers. */
    private static final long TOKEN = 0;

    private long requestedAt = Micros.NEVER;
    private long scheduledAt = Micros.NEVER;

    /** Forgets the requests of the decision before. */
    void beginDecision() {
        requestedAt = Micros.NEVER;
    }

    void request(long at) {
        requestedAt = Math.min(requestedAt, at);
    }

    /** Schedules a timer for the earliest request where none is due by then. */
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
