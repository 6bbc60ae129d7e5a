package amberroute.overload;

/**
 * Estimates the capacity of a destination for the whole fleet, in messages per second. The capacity is unknown while the destination serves
 * all demand. Once it rejects messages for lack of capacity, or a backlog builds up for it, the estimate is the served rate. The
 * estimate then grows continuously until the destination shows its limit again, or until demand is well below the estimate. An outage
 * does not change the estimate. Times are in microseconds. Not thread-safe.
 */
final class CapacityEstimate {
    /** Part of rejected calls above which a destination is at its limit; fewer occur by chance, as senders do not coordinate calls. */
    private static final double REJECTED_RATIO_AT_LIMIT = 0.03;
    /** Pending messages, in seconds of the served rate, above which a destination has a backlog. */
    private static final double BACKLOG_SECONDS = 1.0;
    /** Pending messages allowed on top of that: one or two messages at each of a few senders are not a backlog. */
    private static final double BACKLOG_ALLOWANCE_MESSAGES = 10;
    /**
     * Growth of the estimate per second; it doubles with each second in which the destination shows no limit. This costs occasional
     * rejections, but corrects an estimate that is far too low within seconds.
     */
    private static final double GROWTH_PER_SECOND_RATIO = 0.06;

    private static final double MAX_GROWTH_PER_SECOND_RATIO = 1;
    /** Time from the first served message until the one-second averages have settled. */
    private static final long SETTLE_MICROS = 3_000_000;
    /**
     * Time constant, in seconds, with which the estimate falls towards the served rate while there is a backlog or at least {@link
     * #REJECTED_RATIO_FOR_FULL_DECREASE} of the calls are rejected; with fewer rejections it falls more slowly. Reports are a second old
     * or more, so after a spike they still show rejections while the load is already below the capacity.
     */
    private static final double DECREASE_SECONDS = 1.0;

    private static final double REJECTED_RATIO_FOR_FULL_DECREASE = 0.25;
    /** Part of the capacity below which demand removes the limit. */
    private static final double LOW_DEMAND_RATIO = 0.85;
    /** Part of the capacity below which the served rate means an outage rather than a slow destination; its backlog is still to be sent. */
    private static final double OUTAGE_RATIO = 0.2;
    /** Time in which a backlog is to be sent. */
    private static final double QUEUE_DRAIN_SECONDS = 2;

    /** A destination is idle with fewer seconds of work pending, and a served rate below {@link #IDLE_SERVED_RATIO} of its capacity. */
    private static final double IDLE_BACKLOG_SECONDS = 0.1;

    private static final double IDLE_SERVED_RATIO = 0.95;
    /** Growth per second of the admitted rate while the destination is idle, up to a bound: reports lag behind the end of a spike. */
    private static final double IDLE_BOOST_PER_SECOND_RATIO = 0.75;

    private static final double MAX_IDLE_BOOST = 4;
    private static final double MIN_SERVED_PER_SECOND = 1e-3;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NEVER = -1;

    private final boolean enforceShares;
    /** Infinite while the capacity is unknown. */
    private double perSecond = Double.POSITIVE_INFINITY;
    /** Whether the estimate comes from rejections. If calls are then limited to it, a backlog is due to that limit, not to the capacity. */
    private boolean atLimit;

    private long firstServedAtMicros = NEVER;
    private long limitSeenAtMicros;
    private double idleBoost = 1;
    private long updatedAtMicros;

    /** {@code enforceShares} tells whether calls are limited to the senders' shares of the estimate. */
    CapacityEstimate(boolean enforceShares) {
        this.enforceShares = enforceShares;
    }

    /** Updates the estimate from the current load of the fleet; returns the messages to admit per second, infinite for no limit. */
    double update(long now, DestinationLoad fleetLoad) {
        double seconds = Math.max(0, Math.min(1, (now - updatedAtMicros) / MICROS_PER_SECOND));
        updatedAtMicros = now;
        boolean isKnown = Double.isFinite(perSecond);
        if (fleetLoad.servedPerSecond() < (isKnown ? OUTAGE_RATIO * perSecond : MIN_SERVED_PER_SECOND)) {
            // The destination has an outage, or is not called at all.
            return isKnown ? perSecond : Double.POSITIVE_INFINITY;
        }
        firstServedAtMicros = firstServedAtMicros < 0 ? now : firstServedAtMicros;
        if (now - firstServedAtMicros < SETTLE_MICROS) {
            return Double.POSITIVE_INFINITY;
        }
        updateCapacity(now, seconds, isKnown, fleetLoad);
        updateIdleBoost(seconds, fleetLoad);
        double allowedBacklog = BACKLOG_SECONDS / 2 * perSecond;
        double backlog = Math.max(0, fleetLoad.pendingMessages() - allowedBacklog - BACKLOG_ALLOWANCE_MESSAGES);
        return idleBoost * Math.max(0, perSecond - backlog / QUEUE_DRAIN_SECONDS);
    }

    private void updateCapacity(long now, double seconds, boolean isKnown, DestinationLoad fleetLoad) {
        double served = fleetLoad.servedPerSecond();
        double rejectedRatio = fleetLoad.rejectedPerSecond() / (fleetLoad.rejectedPerSecond() + served);
        boolean rejectsCalls = rejectedRatio > REJECTED_RATIO_AT_LIMIT;
        atLimit = rejectsCalls || atLimit && isKnown;
        boolean hasBacklog = !(enforceShares && atLimit)
                && fleetLoad.pendingMessages() > BACKLOG_SECONDS * served + BACKLOG_ALLOWANCE_MESSAGES;
        if (rejectsCalls || hasBacklog) {
            limitSeenAtMicros = now;
            double decrease = Math.min(1, seconds / DECREASE_SECONDS)
                    * (hasBacklog ? 1 : Math.min(1, rejectedRatio / REJECTED_RATIO_FOR_FULL_DECREASE));
            perSecond = !isKnown || served > perSecond ? served : perSecond + (served - perSecond) * decrease;
        } else if (isKnown) {
            double secondsSinceLimit = (now - limitSeenAtMicros) / MICROS_PER_SECOND;
            double growth =
                    Math.min(MAX_GROWTH_PER_SECOND_RATIO, GROWTH_PER_SECOND_RATIO * Math.pow(2, secondsSinceLimit));
            perSecond = Math.max(served, perSecond * (1 + growth * seconds));
            if (fleetLoad.totalDemand() < LOW_DEMAND_RATIO * perSecond) {
                perSecond = Double.POSITIVE_INFINITY;
            }
        }
    }

    /** The factor grows only while there is a limit, as it would otherwise raise the next limit from its start. */
    private void updateIdleBoost(double seconds, DestinationLoad fleetLoad) {
        boolean idle = Double.isFinite(perSecond)
                && fleetLoad.pendingMessages() < IDLE_BACKLOG_SECONDS * perSecond
                && fleetLoad.servedPerSecond() < IDLE_SERVED_RATIO * perSecond;
        idleBoost = idle
                ? Math.min(MAX_IDLE_BOOST, idleBoost * (1 + IDLE_BOOST_PER_SECOND_RATIO * seconds))
                : Math.max(1, idleBoost * (1 - 2 * IDLE_BOOST_PER_SECOND_RATIO * seconds));
    }

    /** The estimated capacity, infinite while it is unknown. */
    double perSecond() {
        return perSecond;
    }

    /** The limit of the calls per second, infinite unless the estimate comes from rejections and shares are enforced. */
    double enforcedPerSecond() {
        return enforceShares && atLimit ? perSecond : Double.POSITIVE_INFINITY;
    }
}
