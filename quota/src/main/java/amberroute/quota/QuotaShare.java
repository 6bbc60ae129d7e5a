package amberroute.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * One daemon's share of a destination's limit. It owns an equal fraction by the number of daemons in the settings, whatever it believes
 * of the others: so however their views differ, nobody's belief adds to the whole. It may lend of its own fraction for a
 * lease, and use what others have lent it until that ends.
 *
 * <p>Invariant: over all daemons the fractions that may be used never add up to more than 1. A lender counts a loan as lent
 * for the whole lease, from its grant, by its own clock; a borrower uses it for less than that, from before it asked, by
 * its own: {@link #usableLeaseMicros}. Clocks may differ in rate by {@link #MAX_CLOCK_DRIFT_RATIO}, messages may be lost, delayed or
 * repeated, and either side may die: each only leaves a fraction unused until its lease is over. A daemon that restarts knows of no loans
 * of its own, so it uses nothing before {@link #quietPeriodMicros} is over. Times are microseconds on the daemon's own monotonic
 * clock; fractions are of the whole limit, 0 to 1. At most {@value #MAX_PEERS} peers are dealt with. Not thread-safe.
 */
public final class QuotaShare {
    /** A clock may be so much fast or slow. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.02;

    private static final int MAX_PEERS = 4_096;
    private static final long MIN_LEASE_MICROS = 1_000;

    /** What a peer is asked for. The number is the borrower's and grows with each request. */
    public record LoanRequest(long requestNumber, double fraction) {}

    /** What was lent, for the lease that both know from the settings; 0 for nothing. */
    public record LoanGrant(long requestNumber, double fraction) {}

    private record Loan(double fraction, long untilMicros) {}

    private final double ownFraction;
    private final long leaseMicros;
    private final long quietUntilMicros;
    /** Of each borrower by request number: all loans that may still be in use; a renewal stands beside the one before. */
    private final Map<String, Map<Long, Loan>> loansByBorrower = new HashMap<>();

    private final Map<String, Long> lastRequestNumberByBorrower = new HashMap<>();
    private final Map<String, Loan> loanByLender = new HashMap<>();
    private final Map<String, LoanRequest> pendingRequests = new HashMap<>();
    private final Map<String, Long> requestedAtMicros = new HashMap<>();
    private long lastRequestNumber;

    /**
     * A share of a limit.
     *
     * @param firstRequestNumber higher than any that an earlier process of this daemon used for its requests, such as wall time
     * @param senderCount how many there are by the settings
     * @param restarted whether an earlier process may have lent something
     */
    public QuotaShare(long now, long firstRequestNumber, int senderCount, long leaseMicros, boolean restarted) {
        if (senderCount < 1 || leaseMicros < MIN_LEASE_MICROS) {
            throw new IllegalArgumentException("no daemons or no lease");
        }
        ownFraction = 1.0 / senderCount;
        this.leaseMicros = leaseMicros;
        lastRequestNumber = firstRequestNumber;
        quietUntilMicros = restarted ? now + quietPeriodMicros(leaseMicros) : now;
    }

    /** How long a borrower may use a lease, from before it asked for it. */
    public static long usableLeaseMicros(long leaseMicros) {
        return (long) (leaseMicros * (1 - MAX_CLOCK_DRIFT_RATIO) / (1 + MAX_CLOCK_DRIFT_RATIO));
    }

    /** How long a daemon that has just restarted uses nothing, as its earlier process may have lent all. */
    public static long quietPeriodMicros(long leaseMicros) {
        return (long) Math.ceil(leaseMicros * (1 + MAX_CLOCK_DRIFT_RATIO) / (1 - MAX_CLOCK_DRIFT_RATIO)) + 1;
    }

    /** The fraction that is this daemon's by the settings. */
    public double ownFraction() {
        return ownFraction;
    }

    /** The fraction of the whole that may be used now. */
    public double usableFraction(long now) {
        return Math.max(0, now < quietUntilMicros ? 0 : ownFraction - lentFraction(now)) + borrowedFraction(now);
    }

    /** What is lent and may still be in use. */
    public double lentFraction(long now) {
        double sum = 0;
        for (Map<Long, Loan> loans : loansByBorrower.values()) {
            loans.values().removeIf(loan -> loan.untilMicros() <= now);
            sum += loans.values().stream().mapToDouble(Loan::fraction).sum();
        }
        loansByBorrower.values().removeIf(Map::isEmpty);
        return sum;
    }

    private double borrowedFraction(long now) {
        loanByLender.values().removeIf(loan -> loan.untilMicros() <= now);
        return loanByLender.values().stream().mapToDouble(Loan::fraction).sum();
    }

    /** Asks a peer for a fraction; the request may be sent again as it is, and replaces one that was not answered. */
    public LoanRequest requestLoan(long now, String peer, double fraction) {
        if (!pendingRequests.containsKey(peer) && pendingRequests.size() >= MAX_PEERS) {
            throw new IllegalStateException("more than " + MAX_PEERS + " peers");
        }
        LoanRequest request = new LoanRequest(++lastRequestNumber, fraction);
        pendingRequests.put(peer, request);
        requestedAtMicros.put(peer, now);
        return request;
    }

    /**
     * A peer asks; {@code neededFraction} is what this daemon wants for itself. An old or repeated request gets nothing: its
     * first answer may be on the way, and nobody may get a loan twice.
     */
    public LoanGrant onLoanRequest(long now, String peer, LoanRequest request, double neededFraction) {
        LoanGrant emptyGrant = new LoanGrant(request.requestNumber(), 0);
        boolean isKnownPeer = lastRequestNumberByBorrower.containsKey(peer);
        if (now < quietUntilMicros
                || isKnownPeer && request.requestNumber() <= lastRequestNumberByBorrower.get(peer)
                || !isKnownPeer && lastRequestNumberByBorrower.size() >= MAX_PEERS
                || !(request.fraction() > 0)) {
            return emptyGrant;
        }
        lastRequestNumberByBorrower.put(peer, request.requestNumber());
        double spare = ownFraction - lentFraction(now) - Math.max(0, neededFraction);
        double fraction = Math.min(request.fraction(), spare);
        if (fraction <= 0) {
            return emptyGrant;
        }
        loansByBorrower
                .computeIfAbsent(peer, p -> new HashMap<>())
                .put(request.requestNumber(), new Loan(fraction, now + leaseMicros));
        return new LoanGrant(request.requestNumber(), fraction);
    }

    /** A peer's answer; it counts from when it was asked for, so one that was delayed is worth little. */
    public void onLoanGrant(long now, String peer, LoanGrant grant) {
        LoanRequest request = pendingRequests.get(peer);
        if (request == null
                || request.requestNumber() != grant.requestNumber()
                || !(grant.fraction() > 0)
                || grant.fraction() > request.fraction()) {
            return;
        }
        pendingRequests.remove(peer);
        long untilMicros = requestedAtMicros.remove(peer) + usableLeaseMicros(leaseMicros);
        if (untilMicros > now) {
            loanByLender.put(peer, new Loan(grant.fraction(), untilMicros));
        }
    }
}
