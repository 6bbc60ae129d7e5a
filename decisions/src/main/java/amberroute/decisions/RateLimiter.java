package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.ReportFields;
import java.util.List;

/**
 * Client-side rate limit of an upstream, the pace: it decreases multiplicatively after rejections and increases with successes
 * (AIMD), or follows a fair share of the limit in load reports. Senders do not coordinate here, so each one stays near its own
 * share. Times are microseconds on the caller's clock.
 *
 * <p>Cost of a pace that is too low: messages wait although their destination could take them, until the pace has grown or
 * expired. Cost of a pace that is too high: rejected calls, which use up the limit as well.
 */
final class RateLimiter {
    /** Minimum pace of all senders together, so that they notice when a limit is lifted. */
    static final double MIN_FLEET_PACE_PER_SECOND = 1.2;
    /** Factor on the used pace when it is cut. */
    private static final double CUT_RATIO = 0.8;
    /** Share by which each success raises the pace if no limit is reported. */
    private static final double RAISE_PER_SUCCESS_RATIO = 0.05;
    /** Initial pace under a reported limit, in fair shares of it; above 1, as not all senders use their share. */
    private static final double INITIAL_FAIR_SHARES = 1.2;
    /** Minimum pace under a reported limit, in fair shares; below 1, so that the total of all senders is under the limit. */
    private static final double MIN_FAIR_SHARES = 0.85;
    /** Fair shares that the pace gains per second while the allowance is ample. */
    private static final double FAIR_SHARES_GAINED_PER_SECOND = 0.25;
    /** Remaining share of the allowance from which the pace is raised. */
    private static final double AMPLE_ALLOWANCE_RATIO = 0.5;
    /** Remaining share of the allowance below which the pace is cut before the upstream rejects calls. */
    private static final double LOW_ALLOWANCE_RATIO = 0.1;
    /** Minimum time between two cuts for a low allowance. */
    private static final long MIN_CUT_INTERVAL_MICROS = 1_000_000;
    /** Upper bound of a reported limit, as a multiple of the fleet's rate if each sender sends as much as this one. */
    private static final double MAX_REPORTED_LIMIT_RATIO = 8;
    /** Calls that may be sent at once under a pace. */
    private static final double BURST_CALLS = 2;
    /** Time without a rejection after which a pace expires, unless a limit is reported. */
    private static final long PACE_EXPIRY_MICROS = 6_000_000;

    private final CurrentSettings settings;

    RateLimiter(CurrentSettings settings) {
        this.settings = settings;
    }

    private static boolean isLimited(UpstreamHealth health) {
        return !Double.isInfinite(health.pacePerSecond);
    }

    /** Returns when the pace permits the next call, Long.MIN_VALUE if there is no pace. */
    long nextCallAt(long now, UpstreamHealth health) {
        if (now - health.lastRejectionAt > PACE_EXPIRY_MICROS && health.reportedLimit == 0) {
            health.pacePerSecond = Double.POSITIVE_INFINITY;
        }
        return isLimited(health)
                ? health.nextPacedCallAt - (long) ((BURST_CALLS - 1) * Micros.PER_SECOND / health.pacePerSecond)
                : Long.MIN_VALUE;
    }

    /** Returns when the pace expires if there is no further rejection, NEVER if there is no pace. */
    long paceExpiresAt(UpstreamHealth health) {
        return isLimited(health) ? health.lastRejectionAt + PACE_EXPIRY_MICROS + 1 : Micros.NEVER;
    }

    void recordCallStarted(long now, UpstreamHealth health) {
        if (isLimited(health)) {
            health.nextPacedCallAt =
                    Math.max(health.nextPacedCallAt, now) + (long) (Micros.PER_SECOND / health.pacePerSecond);
        }
    }

    /**
     * Records the limit of a load report, up to a plausible multiple of what the fleet sends. Returns false for a report that is absent
     * or whose limit is implausibly low; then the limit that is known stays.
     */
    boolean recordReportedLimit(long now, UpstreamHealth health, List<Double> report) {
        ReportFields fields = settings.get().reportFields();
        if (!fields.presentIn(report) || !(report.get(fields.limit()) >= MIN_FLEET_PACE_PER_SECOND)) {
            return false;
        }
        double fleetPerSecond =
                Math.max(MIN_FLEET_PACE_PER_SECOND, settings.get().senderCount() * health.sentRate.perSecond(now));
        health.reportedLimit = Math.min(report.get(fields.limit()), MAX_REPORTED_LIMIT_RATIO * fleetPerSecond);
        return true;
    }

    /** Applies a load report: a limit sets the pace, a low allowance cuts it. */
    void applyLoadReport(long now, UpstreamHealth health, List<Double> report) {
        if (!recordReportedLimit(now, health, report)) {
            return;
        }
        health.reportedAllowanceLeft = report.get(settings.get().reportFields().allowanceLeft());
        if (!isLimited(health)) {
            health.pacePerSecond =
                    INITIAL_FAIR_SHARES * health.reportedLimit / settings.get().senderCount();
        } else if (health.reportedAllowanceLeft < LOW_ALLOWANCE_RATIO
                && now - health.lastPaceCutAt > MIN_CUT_INTERVAL_MICROS) {
            cutPace(now, health);
        }
    }

    /** Raises the pace after a success, unless the allowance is known to be less than ample. */
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

    /** Cuts the pace after a rejection or because of a low allowance. */
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
