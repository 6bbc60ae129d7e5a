package amberroute.overload;

import amberroute.quota.QuotaLending;
import amberroute.quota.QuotaShare;
import java.util.List;

/**
 * This sender's share of the calls per second that a destination can serve: an equal fraction that it owns, and loans from peers that need
 * less than theirs. Invariant: the fractions in use add up to at most 1, whatever messages are lost or delayed and whatever senders assume
 * about one another ({@link QuotaShare}). Each sender converts its fraction to a rate by its own estimate of the capacity. Times are in
 * microseconds. Not thread-safe.
 */
final class RateShare {
    /** Much longer than the time to repeat a lost request; short enough that what a failed sender has borrowed is soon usable again. */
    static final long LEASE_MICROS = 2_000_000;
    /** Less than a round, so that a peer can be asked in every round while a fraction is missing. */
    private static final long REQUEST_INTERVAL_MICROS = FleetAdmissionControl.ROUND_MICROS / 2;
    /** Time in which the pending messages are to be sent. */
    private static final double QUEUE_DRAIN_SECONDS = 1;
    /** Factor by which the request exceeds the computed need, as rates are averages. */
    private static final double DEMAND_MARGIN_RATIO = 1.15;
    /** Smaller relative changes of the rate are not reported. */
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

    /** Computes the fraction of the destination's capacity that this sender's pending and admitted messages need. */
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

    /** The permitted calls per second, infinite for no limit; -1 if the rate is about the one reported last. */
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

    /** Loan requests for the missing fraction, to peers that need less than they own. */
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

    /** Answers a peer's loan request. */
    LoadReport.QuotaLoan onLoanRequest(long now, String peer, LoadReport.QuotaLoan loan) {
        float lent = lending.onLoanRequest(now, peer, loan.requestNumber(), loan.fraction(), neededFraction);
        return new LoadReport.QuotaLoan(true, loan.destination(), loan.requestNumber(), lent);
    }

    void onLoanGrant(long now, String peer, LoadReport.QuotaLoan loan) {
        lending.onLoanGrant(now, peer, loan.requestNumber(), loan.fraction());
    }
}
