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
    static final long LEASE = 2_000_000;
    /** A peer is asked in every round until it has lent what is missing. */
    private static final long PAUSE = FleetAdmissionControl.ROUND / 2;
    /** What waits is to be called within so many seconds. */
    private static final double HORIZON = 1;
    /** Asked for is a little more than is needed: figures are averages. */
    private static final double MARGIN = 1.15;
    /** A rate that changes by less is not worth telling. */
    private static final double STEP = 0.05;

    private final QuotaLending lending;
    private double need;
    private double told = Double.POSITIVE_INFINITY;

    RateShare(long now, long numbers, int daemons, boolean restarted) {
        lending = new QuotaLending(new QuotaShare(now, numbers, daemons, LEASE, restarted), PAUSE);
    }

    /** What this daemon has to call: its load as far as it is worth the price, of what the destination can do. */
    void need(DestinationLoad own, AdmissionPrice price, double capacity) {
        double calls = own.waiting() / HORIZON;
        for (int step = 0; step < PriorityBands.STEPS; step++) {
            double floor = PriorityBands.floor(step);
            calls += own.demand()[step] * (floor < price.worth() ? 0 : floor < price.upTo() ? price.share() : 1);
        }
        need = Double.isInfinite(capacity) ? 1 : Math.min(1, MARGIN * calls / Math.max(1e-3, capacity));
    }

    /** The calls a second that it may make, infinite where nothing limits them; -1 where that is about as before. */
    double changed(long now, double capacity) {
        double rate = Double.isInfinite(capacity) ? capacity : lending.ceiling(now) * capacity;
        if (rate == told || !Double.isInfinite(told) && Math.abs(rate - told) < STEP * told) {
            return -1;
        }
        told = rate;
        return rate;
    }

    /** Requests for what is missing, to peers that need less than they own. */
    List<QuotaLending.Request> asks(long now, List<String> able) {
        double missing = need - lending.ceiling(now);
        return missing <= 0 ? List.of() : lending.asks(now, missing, able);
    }

    double owned() {
        return lending.owned();
    }

    double ceiling(long now) {
        return lending.ceiling(now);
    }

    /** Answers a request. */
    LoadReport.QuotaLoan asked(long now, String peer, LoadReport.QuotaLoan loan) {
        return new LoadReport.QuotaLoan(
                true, loan.destination(), loan.number(), lending.asked(now, peer, loan.number(), loan.part(), need));
    }

    void granted(long now, String peer, LoadReport.QuotaLoan loan) {
        lending.granted(now, peer, loan.number(), loan.part());
    }
}
