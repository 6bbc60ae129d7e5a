package amberroute.overload;

import amberroute.quota.QuotaLending;
import amberroute.quota.QuotaShare;
import java.util.List;

/**
 * This daemon's part of the calls that a destination can take a second: an equal one that is its own, and what peers that need less
 * lend it. Parts in use add up to 1 at most, whatever is lost, late or believed ({@link QuotaShare}); how many calls a part is each
 * reckons by its own figures of the destination.
 */
final class RateShare {
    /** Long beside a lost request and the next one, short enough that who dies holds up what it was lent for a moment only. */
    static final long LEASE_MICROS = 2_000_000;
    /** A peer is asked in every round until it has lent what is missing. */
    private static final long REQUEST_PAUSE_MICROS = FleetAdmissionControl.ROUND_MICROS / 2;
    /** What waits is to be called within so many seconds. */
    private static final double QUEUE_DRAIN_SECONDS = 1;
    /** Asked for is a little more than is needed: figures are averages. */
    private static final double DEMAND_MARGIN_RATIO = 1.15;
    /** A rate that changes by less is not worth telling. */
    private static final double MIN_RATE_CHANGE_RATIO = 0.05;

    private final QuotaLending lending;
    private double neededFraction;
    private double announcedPerSecond = Double.POSITIVE_INFINITY;

    RateShare(long now, long numbers, int daemons, boolean restarted) {
        lending =
                new QuotaLending(new QuotaShare(now, numbers, daemons, LEASE_MICROS, restarted), REQUEST_PAUSE_MICROS);
    }

    /** What this daemon has to call: its load as far as it is worth the price, of what the destination can do. */
    void updateNeed(DestinationLoad own, AdmissionPrice price, double capacity) {
        double calls = own.pendingMessages() / QUEUE_DRAIN_SECONDS;
        for (int step = 0; step < PriorityBands.COUNT; step++) {
            double floor = PriorityBands.lowerBound(step);
            calls += own.demandByBand()[step]
                    * (floor < price.priorityFloor()
                            ? 0
                            : floor < price.priorityCeiling() ? price.admittedFraction() : 1);
        }
        neededFraction =
                Double.isInfinite(capacity) ? 1 : Math.min(1, DEMAND_MARGIN_RATIO * calls / Math.max(1e-3, capacity));
    }

    /** The calls a second that it may make, infinite where nothing limits them; -1 where that is about as before. */
    double changedPerSecond(long now, double capacity) {
        double rate = Double.isInfinite(capacity) ? capacity : lending.usableFraction(now) * capacity;
        if (rate == announcedPerSecond
                || !Double.isInfinite(announcedPerSecond)
                        && Math.abs(rate - announcedPerSecond) < MIN_RATE_CHANGE_RATIO * announcedPerSecond) {
            return -1;
        }
        announcedPerSecond = rate;
        return rate;
    }

    /** Requests for what is missing, to peers that need less than they own. */
    List<QuotaLending.Request> requestLoans(long now, List<String> able) {
        double missing = neededFraction - lending.usableFraction(now);
        return missing <= 0 ? List.of() : lending.requestLoans(now, missing, able);
    }

    double ownFraction() {
        return lending.ownFraction();
    }

    double usableFraction(long now) {
        return lending.usableFraction(now);
    }

    /** Answers a request. */
    LoadReport.QuotaLoan onLoanRequest(long now, String peer, LoadReport.QuotaLoan loan) {
        return new LoadReport.QuotaLoan(
                true,
                loan.destination(),
                loan.requestNumber(),
                lending.onLoanRequest(now, peer, loan.requestNumber(), loan.fraction(), neededFraction));
    }

    void onLoanGrant(long now, String peer, LoadReport.QuotaLoan loan) {
        lending.onLoanGrant(now, peer, loan.requestNumber(), loan.fraction());
    }
}
