package amberroute.overload;

/**
 * Estimates what a destination can take of all daemons together, in messages a second. Nothing is known of it while
 * it answers all that it is asked; once it rejects for want of capacity, or a backlog piles up before it, its capacity is what it answers.
 * From there the estimate grows all the time, until the destination shows its limit again, or until demand is
 * well below. A destination in an outage tells nothing of its capacity. Times are microseconds. Not thread-safe.
 */
final class CapacityEstimate {
    /** A destination that rejects this part of its calls is at its limit: less is chance, as daemons do not coordinate their calls. */
    private static final double REJECTED_RATIO_AT_LIMIT = 0.03;
    /** A destination is behind with so many seconds of its work pending. */
    private static final double BACKLOG_SECONDS = 1.0;
    /** So many more may be pending before that counts: a message or two at each of a few daemons are no queue. */
    private static final double BACKLOG_ALLOWANCE_MESSAGES = 10;
    /**
     * Growth of the estimate in a second, twice as much with each second in which the destination shows no limit. Cost: some
     * rejections now and then; an estimate that was far too low is corrected within seconds.
     */
    private static final double GROWTH_PER_SECOND_RATIO = 0.06;

    private static final double MAX_GROWTH_PER_SECOND_RATIO = 1;
    /** Averages over a second tell too little before this has passed since the first call. */
    private static final long SETTLE_MICROS = 3_000_000;
    /**
     * How fast the estimate falls, in seconds, where this part of calls is rejected; with fewer slower. Reports are a second
     * old and more, and behind a spike they still tell of rejections when less is sent than the destination could take.
     */
    private static final double DECREASE_SECONDS = 1.0;

    private static final double REJECTED_RATIO_FOR_FULL_DECREASE = 0.25;
    /** With demand below this part of the capacity nothing limits it. */
    private static final double LOW_DEMAND_RATIO = 0.85;
    /** A destination that serves less than this part is in an outage rather than slow: its backlog may be wanted when it is back. */
    private static final double OUTAGE_RATIO = 0.2;
    /** A backlog is to be worked off within so many seconds. */
    private static final double QUEUE_DRAIN_SECONDS = 2;

    /** With less than so many seconds of its work pending, and less than this part of its capacity served, it is idle for want of messages. */
    private static final double IDLE_BACKLOG_SECONDS = 0.1;

    private static final double IDLE_SERVED_RATIO = 0.95;
    /** While it is idle so much more a second is admitted than reports say, up to a bound: they are older than a spike's end. */
    private static final double IDLE_BOOST_PER_SECOND_RATIO = 0.75;

    private static final double MAX_IDLE_BOOST = 4;
    private static final double MIN_SERVED_PER_SECOND = 1e-3;
    private static final double MICROS_PER_SECOND = 1e6;
    private static final long NEVER = -1;

    private final boolean enforceShares;
    /** Infinite while nothing is known. */
    private double perSecond = Double.POSITIVE_INFINITY;
    /** Known by what it rejected; where calls are limited by that, a backlog shows the limit and not the capacity. */
    private boolean atLimit;

    private long firstServedAtMicros = NEVER;
    private long limitSeenAtMicros;
    private double idleBoost = 1;
    private long updatedAtMicros;

    /** {@code enforceShares}: calls are limited to the daemons' shares of the estimate. */
    CapacityEstimate(boolean enforceShares) {
        this.enforceShares = enforceShares;
    }

    /** Takes the load of all as it is now; returns what may be admitted a second, infinite for anything. */
    double update(long now, DestinationLoad fleetLoad) {
        double seconds = Math.max(0, Math.min(1, (now - updatedAtMicros) / MICROS_PER_SECOND));
        updatedAtMicros = now;
        boolean isKnown = Double.isFinite(perSecond);
        if (fleetLoad.servedPerSecond() < (isKnown ? OUTAGE_RATIO * perSecond : MIN_SERVED_PER_SECOND)) {
            // In an outage, or not called at all.
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

    /** Without a limit there is nothing to lift: the first moments of one would have it. */
    private void updateIdleBoost(double seconds, DestinationLoad fleetLoad) {
        boolean idle = Double.isFinite(perSecond)
                && fleetLoad.pendingMessages() < IDLE_BACKLOG_SECONDS * perSecond
                && fleetLoad.servedPerSecond() < IDLE_SERVED_RATIO * perSecond;
        idleBoost = idle
                ? Math.min(MAX_IDLE_BOOST, idleBoost * (1 + IDLE_BOOST_PER_SECOND_RATIO * seconds))
                : Math.max(1, idleBoost * (1 - 2 * IDLE_BOOST_PER_SECOND_RATIO * seconds));
    }

    /** The capacity, infinite while nothing is known. */
    double perSecond() {
        return perSecond;
    }

    /** What calls are limited to: infinite where the destination rejects none. */
    double enforcedPerSecond() {
        return enforceShares && atLimit ? perSecond : Double.POSITIVE_INFINITY;
    }
}
