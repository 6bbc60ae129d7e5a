package amberroute.overload;

import amberroute.quota.QuotaLending;
import amberroute.quota.QuotaShare;
import java.util.List;

/**
 * This daemon's share of the calls that a destination can take a second: an equal fraction that is its own, and what peers that need less
 * lend it. Invariant: fractions in use add up to 1 at most, whatever is lost, delayed or believed ({@link QuotaShare}); how many calls a
 * fraction is each daemon computes by its own estimate of the capacity. Times are microseconds. Not thread-safe.
 */
final class RateShare {
    /** Long beside a lost request and the next one, short enough that a failed daemon blocks what it was lent for a moment only. */
    static final long LEASE_MICROS = 2_000_000;
    /** A peer is asked in every round until it has lent what is missing. */
    private static final long REQUEST_INTERVAL_MICROS = FleetAdmissionControl.ROUND_MICROS / 2;
    /** What is pending is to be called within so many seconds. */
    private static final double QUEUE_DRAIN_SECONDS = 1;
    /** Requested is a little more than is needed, as rates are averages. */
    private static final double DEMAND_MARGIN_RATIO = 1.15;
    /** A rate that changes by less is not passed on. */
    private static final double MIN_RATE_CHANGE_RATIO = 0.05;

    private static final double MIN_CAPACITY_PER_SECOND = 1e-3;
    private static final double UNCHANGED = -1;

    private final QuotaLending lending;
    private double neededFraction;
    private double lastReportedPerSecond = Double.POSITIVE_INFINITY;

    RateShare(long now, long firstRequestNumber, int senderCount, boolean restarted) {
        QuotaShare share = new QuotaShare(now, firstRequestNumber, senderCount, LEASE_MICROS, restarted);
        lending = new QuotaLending(share, REQUEST_INTERVAL_MICROS);
    }

    /** Computes what this daemon has to call: its load as far as the price admits it, of the destination's capacity. */
    void updateNeed(DestinationLoad localLoad, AdmissionPrice price, double capacityPerSecond) {
        double calls = localLoad.pendingMessages() / QUEUE_DRAIN_SECONDS;
        for (int band = 0; band < PriorityBands.COUNT; band++) {
            calls += localLoad.demandByBand()[band] * admittedFraction(PriorityBands.lowerBound(band), price);
        }
        neededFraction = Double.isInfinite(capacityPerSecond)
                ? 1
                : Math.min(1, DEMAND_MARGIN_RATIO * calls / Math.max(MIN_CAPACITY_PER_SECOND, capacityPerSecond));
    }

    private static double admittedFraction(double priorityWeight, AdmissionPrice price) {
        if (priorityWeight < price.priorityFloor()) {
            return 0;
        }
        return priorityWeight < price.priorityCeiling() ? price.admittedFraction() : 1;
    }

    /** The calls a second that it may make, infinite where nothing limits them; -1 where that is about as before. */
    double changedPerSecond(long now, double capacityPerSecond) {
        double rate = Double.isInfinite(capacityPerSecond)
                ? capacityPerSecond
                : lending.usableFraction(now) * capacityPerSecond;
        boolean similar = !Double.isInfinite(lastReportedPerSecond)
                && Math.abs(rate - lastReportedPerSecond) < MIN_RATE_CHANGE_RATIO * lastReportedPerSecond;
        if (rate == lastReportedPerSecond || similar) {
            return UNCHANGED;
        }
        lastReportedPerSecond = rate;
        return rate;
    }

    /** Requests for what is missing, to peers that need less than they own. */
    List<QuotaLending.Request> requestLoans(long now, List<String> lenders) {
        double missingFraction = neededFraction - lending.usableFraction(now);
        return missingFraction <= 0 ? List.of() : lending.requestLoans(now, missingFraction, lenders);
    }

    double ownFraction() {
        return lending.ownFraction();
    }

    double usableFraction(long now) {
        return lending.usableFraction(now);
    }

    /** Answers a request. */
    LoadReport.QuotaLoan onLoanRequest(long now, String peer, LoadReport.QuotaLoan loan) {
        float lent = lending.onLoanRequest(now, peer, loan.requestNumber(), loan.fraction(), neededFraction);
        return new LoadReport.QuotaLoan(true, loan.destination(), loan.requestNumber(), lent);
    }

    void onLoanGrant(long now, String peer, LoadReport.QuotaLoan loan) {
        lending.onLoanGrant(now, peer, loan.requestNumber(), loan.fraction());
    }
}
