package amberroute.overload;

/**
 * What a destination can do for all senders together, in messages a second, as far as it shows: nothing is known of it while
 * it answers all that it is asked; once it refuses for want of room, or work piles up before it, it can do what it answers.
 * From there it is taken to be able to do a little more all the time, until it shows again that it is not, or until demand is
 * well below. What is out altogether tells nothing of what it can do.
 */
final class CapacityEstimate {
    /** Share of calls refused from which it is at its limit: less is chance where senders do not know of one another's moments. */
    private static final double REJECTED_RATIO_AT_LIMIT = 0.03;
    /** Seconds of its work that wait from which it is behind. */
    private static final double BACKLOG_SECONDS = 1.0;
    /** So many more may wait before that counts: a message or two at each of a few senders are no queue. */
    private static final double BACKLOG_ALLOWANCE_MESSAGES = 10;
    /**
     * It is taken to do so much more a second, as a share, twice as much with each second in which it shows no limit: what that
     * costs is some refusals now and then, and an estimate that was far too low is mended within seconds.
     */
    private static final double GROWTH_PER_SECOND_RATIO = 0.06;

    private static final double MAX_GROWTH_PER_SECOND_RATIO = 1;
    /** Averages over a second tell of too little before this has passed since it was first called. */
    private static final long SETTLE_MICROS = 3_000_000;
    /**
     * How fast it is taken to do less, in seconds, where this share of calls is refused; with fewer slower. Figures are a second
     * old and more, and behind a spike they still tell of refusals when less is sent than it could do.
     */
    private static final double FALL_SECONDS = 1.0;

    private static final double REJECTED_RATIO_FOR_FULL_FALL = 0.25;
    /** Below this share of what it can do demand is no matter, and nothing limits it. */
    private static final double LOW_DEMAND_RATIO = 0.85;
    /** Under this share of what it did it is out rather than slow: what waits there may be wanted when it is back. */
    private static final double OUTAGE_RATIO = 0.2;
    /** What waits is to be worked off within so many seconds. */
    private static final double QUEUE_DRAIN_SECONDS = 2;

    /** With less than so many seconds of its work waiting, and less than so much of what it can do done, it is idle for want of messages. */
    private static final double IDLE_BACKLOG_SECONDS = 0.1;

    private static final double IDLE_SERVED_RATIO = 0.95;
    /** While it is idle so much more a second is taken on than figures say, at most so many times: they are older than a spike's end. */
    private static final double LIFT_PER_SECOND_RATIO = 0.75;

    private static final double MAX_LIFT = 4;

    private double perSecond = Double.POSITIVE_INFINITY;
    private final boolean enforceShares;
    /** It is known by what it refused; where calls are held to that, what waits shows that and not what it can do. */
    private boolean atLimit;

    private long calledSinceMicros = -1;
    /** When it last showed a limit. */
    private long limitSeenAtMicros;

    private double lift = 1;
    private long atMicros;

    /** {@code held}: calls are held to what is known of it. */
    CapacityEstimate(boolean held) {
        this.enforceShares = held;
    }

    /** Takes what all have to do with it just now; returns what may be taken on a second, infinite for anything. */
    double update(long now, DestinationLoad all) {
        double seconds = Math.max(0, Math.min(1, (now - atMicros) / 1e6));
        atMicros = now;
        boolean known = Double.isFinite(perSecond);
        if (all.servedPerSecond() < (known ? OUTAGE_RATIO * perSecond : 1e-3)) {
            // Out, or not called at all.
            return known ? perSecond : Double.POSITIVE_INFINITY;
        }
        calledSinceMicros = calledSinceMicros < 0 ? now : calledSinceMicros;
        if (now - calledSinceMicros < SETTLE_MICROS) {
            return Double.POSITIVE_INFINITY;
        }
        double refused = all.rejectedPerSecond() / (all.rejectedPerSecond() + all.servedPerSecond());
        boolean refuses = refused > REJECTED_RATIO_AT_LIMIT;
        atLimit = refuses || atLimit && known;
        boolean behind = !(enforceShares && atLimit)
                && all.pendingMessages() > BACKLOG_SECONDS * all.servedPerSecond() + BACKLOG_ALLOWANCE_MESSAGES;
        if (refuses || behind) {
            limitSeenAtMicros = now;
            double to = all.servedPerSecond();
            double share = Math.min(1, seconds / FALL_SECONDS)
                    * (behind ? 1 : Math.min(1, refused / REJECTED_RATIO_FOR_FULL_FALL));
            perSecond = !known || to > perSecond ? to : perSecond + (to - perSecond) * share;
        } else if (known) {
            double growth = Math.min(
                    MAX_GROWTH_PER_SECOND_RATIO,
                    GROWTH_PER_SECOND_RATIO * Math.pow(2, (now - limitSeenAtMicros) / 1e6));
            perSecond = Math.max(all.servedPerSecond(), perSecond * (1 + growth * seconds));
            if (all.totalDemand() < LOW_DEMAND_RATIO * perSecond) {
                perSecond = Double.POSITIVE_INFINITY;
            }
        }
        // Without a limit there is nothing to lift: the first moments of one would have it.
        boolean idle = Double.isFinite(perSecond)
                && all.pendingMessages() < IDLE_BACKLOG_SECONDS * perSecond
                && all.servedPerSecond() < IDLE_SERVED_RATIO * perSecond;
        lift = idle
                ? Math.min(MAX_LIFT, lift * (1 + LIFT_PER_SECOND_RATIO * seconds))
                : Math.max(1, lift * (1 - 2 * LIFT_PER_SECOND_RATIO * seconds));
        return lift
                * Math.max(
                        0,
                        perSecond
                                - Math.max(
                                                0,
                                                all.pendingMessages()
                                                        - BACKLOG_SECONDS / 2 * perSecond
                                                        - BACKLOG_ALLOWANCE_MESSAGES)
                                        / QUEUE_DRAIN_SECONDS);
    }

    double perSecond() {
        return perSecond;
    }

    /** What calls are to be held to: infinite where it refuses none. */
    double enforcedPerSecond() {
        return enforceShares && atLimit ? perSecond : Double.POSITIVE_INFINITY;
    }
}
