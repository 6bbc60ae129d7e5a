package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.ReportFields;
import java.util.List;

/**
 * Client-side rate limit of an upstream: additive increase and multiplicative decrease behind rejections (AIMD), or around a
 * fair share of the limit that load reports name. Senders share nothing, so each keeps below its share by itself. Times are
 * microseconds on the caller's clock.
 *
 * <p>Cost of a pace that is too low: messages wait although their destination would take them, until the pace has grown again or its
 * life is over. Cost of one that is too high: rejected calls, which use up the limit as well.
 */
final class RateLimiter {
    /** Least pace of all senders together, so that it is noticed when a limit is lifted. */
    static final double MIN_FLEET_PACE_PER_SECOND = 1.2;
    /** A cut leaves this share of the pace that was sent. */
    private static final double CUT_RATIO = 0.8;
    /** Share by which each success raises the pace where no limit is reported. */
    private static final double RAISE_PER_SUCCESS_RATIO = 0.05;
    /** First pace under a reported limit, in fair shares of it: not all senders use theirs. */
    private static final double INITIAL_FAIR_SHARES = 1.2;
    /** Least pace under a reported limit, in fair shares: with all senders at it, the total is under the limit. */
    private static final double MIN_FAIR_SHARES = 0.85;
    /** Fair shares that the pace gains a second while the allowance is ample. */
    private static final double FAIR_SHARES_GAINED_PER_SECOND = 0.25;
    /** Share of the allowance left from which the pace is raised. */
    private static final double AMPLE_ALLOWANCE_RATIO = 0.5;
    /** Share of the allowance left under which the pace is cut before a rejection comes. */
    private static final double LOW_ALLOWANCE_RATIO = 0.1;
    /** Least time between two cuts for a low allowance. */
    private static final long MIN_CUT_INTERVAL_MICROS = 1_000_000;
    /** A reported limit counts up to so many times what all would send if they sent as much as this sender. */
    private static final double MAX_REPORTED_LIMIT_RATIO = 8;
    /** Calls that may go out at once under a pace. */
    private static final double BURST_CALLS = 2;
    /** A pace is dropped after so long without a rejection, unless a limit is reported. */
    private static final long PACE_EXPIRY_MICROS = 6_000_000;

    private final CurrentSettings settings;

    RateLimiter(CurrentSettings settings) {
        this.settings = settings;
    }

    private static boolean isLimited(UpstreamHealth health) {
        return !Double.isInfinite(health.pacePerSecond);
    }

    /** When the pace lets the next call out; long ago where there is none. */
    long nextCallAt(long now, UpstreamHealth health) {
        if (now - health.lastRejectionAt > PACE_EXPIRY_MICROS && health.reportedLimit == 0) {
            health.pacePerSecond = Double.POSITIVE_INFINITY;
        }
        return isLimited(health)
                ? health.nextPacedCallAt - (long) ((BURST_CALLS - 1) * Micros.PER_SECOND / health.pacePerSecond)
                : Long.MIN_VALUE;
    }

    /** When the pace is dropped if no rejection comes until then, NEVER where there is none. */
    long paceExpiresAt(UpstreamHealth health) {
        return isLimited(health) ? health.lastRejectionAt + PACE_EXPIRY_MICROS + 1 : Micros.NEVER;
    }

    void recordCallStarted(long now, UpstreamHealth health) {
        if (isLimited(health)) {
            health.nextPacedCallAt =
                    Math.max(health.nextPacedCallAt, now) + (long) (Micros.PER_SECOND / health.pacePerSecond);
        }
    }

    /** Takes note of a load report: a limit sets the pace, a low allowance cuts it. An absurdly low limit is ignored. */
    void applyLoadReport(long now, UpstreamHealth health, List<Double> report) {
        ReportFields fields = settings.get().reportFields();
        if (!fields.presentIn(report) || !(report.get(fields.limit()) >= MIN_FLEET_PACE_PER_SECOND)) {
            return;
        }
        double fleetPerSecond =
                Math.max(MIN_FLEET_PACE_PER_SECOND, settings.get().senderCount() * health.sentRate.perSecond(now));
        health.reportedLimit = Math.min(report.get(fields.limit()), MAX_REPORTED_LIMIT_RATIO * fleetPerSecond);
        health.reportedAllowanceLeft = report.get(fields.allowanceLeft());
        if (!isLimited(health)) {
            health.pacePerSecond =
                    INITIAL_FAIR_SHARES * health.reportedLimit / settings.get().senderCount();
        } else if (health.reportedAllowanceLeft < LOW_ALLOWANCE_RATIO
                && now - health.lastPaceCutAt > MIN_CUT_INTERVAL_MICROS) {
            cutPace(now, health);
        }
    }

    /** Raises the pace behind a success, unless the allowance is known to be less than ample. */
    void raisePace(long now, UpstreamHealth health) {
        if (!isLimited(health) || health.reportedAllowanceLeft < AMPLE_ALLOWANCE_RATIO) {
            return;
        }
        double fairShareSinceRaise = health.reportedLimit
                / settings.get().senderCount()
                * Math.min(1, (now - health.lastPaceRaiseAt) / Micros.PER_SECOND);
        health.pacePerSecond += health.reportedLimit > 0
                ? FAIR_SHARES_GAINED_PER_SECOND * fairShareSinceRaise
                : RAISE_PER_SUCCESS_RATIO * health.pacePerSecond;
        health.lastPaceRaiseAt = now;
    }

    /** Cuts the pace behind a rejection or for a low allowance. */
    void cutPace(long now, UpstreamHealth health) {
        double servedPerSecond = health.servedRate.perSecond(now);
        double usedPerSecond =
                Math.min(health.pacePerSecond, Math.max(servedPerSecond, health.sentRate.perSecond(now)));
        double minPerSecond = Math.max(MIN_FLEET_PACE_PER_SECOND, MIN_FAIR_SHARES * health.reportedLimit)
                / settings.get().senderCount();
        health.pacePerSecond = Math.max(Math.max(minPerSecond, CUT_RATIO * servedPerSecond), CUT_RATIO * usedPerSecond);
        health.lastPaceCutAt = now;
        health.lastRejectionAt = Math.max(health.lastRejectionAt, now);
    }
}
