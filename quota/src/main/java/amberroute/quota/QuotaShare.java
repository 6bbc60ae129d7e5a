package amberroute.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * One sender's share of a destination's limit. A sender owns an equal fraction, computed from the number of senders in the settings and not
 * from its view of the membership, so differing views cannot make the fractions add up to more than the limit. It may lend some of its
 * own fraction for one lease, and may use what others have lent to it until that lease ends.
 *
 * <p>Invariant: the usable fractions of all senders never add up to more than 1. A lender counts a loan as lent for the whole lease,
 * from the grant, on its own clock. A borrower uses it for the shorter {@link #usableLeaseMicros}, from the time of its request, on its own
 * clock. The rate of each clock may be off by {@link #MAX_CLOCK_DRIFT_RATIO}, messages may be lost, delayed or duplicated, and either side
 * may crash: each of these only leaves a fraction unused until its lease ends. A sender that restarts does not know which loans it has
 * granted, so it uses and lends nothing of its own until {@link #quietPeriodMicros} is over. Times are microseconds on the sender's own
 * monotonic clock; fractions are of the whole limit, 0 to 1. At most {@value #MAX_PEERS} peers are tracked. Not thread-safe.
 */
public final class QuotaShare {
    /** The largest relative error of a clock's rate, fast or slow. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.02;

    private static final int MAX_PEERS = 4_096;
    private static final long MIN_LEASE_MICROS = 1_000;

    /** A request for a loan. The borrower assigns the number and increases it with each request. */
    public record LoanRequest(long requestNumber, double fraction) {}

    /** The fraction lent, 0 for none. The length of the lease is a setting that both sides share. */
    public record LoanGrant(long requestNumber, double fraction) {}

    private record Loan(double fraction, long untilMicros) {}

    private final double ownFraction;
    private final long leaseMicros;
    private final long quietUntilMicros;
    /** The loans that may still be in use, by borrower and request number; a renewal is kept beside the loan before it. */
    private final Map<String, Map<Long, Loan>> loansByBorrower = new HashMap<>();

    private final Map<String, Long> lastRequestNumberByBorrower = new HashMap<>();
    private final Map<String, Loan> loanByLender = new HashMap<>();
    private final Map<String, LoanRequest> pendingRequests = new HashMap<>();
    private final Map<String, Long> requestedAtMicros = new HashMap<>();
    private long lastRequestNumber;

    /**
     * Creates the share of one sender.
     *
     * @param firstRequestNumber higher than any request number of an earlier process of this sender, such as the wall-clock time
     * @param senderCount number of senders in the settings
     * @param restarted whether an earlier process may have granted loans that are still in use
     */
    public QuotaShare(long now, long firstRequestNumber, int senderCount, long leaseMicros, boolean restarted) {
        if (senderCount < 1 || leaseMicros < MIN_LEASE_MICROS) {
            throw new IllegalArgumentException(
                    "senderCount must be at least 1 and leaseMicros at least " + MIN_LEASE_MICROS);
        }
        ownFraction = 1.0 / senderCount;
        this.leaseMicros = leaseMicros;
        lastRequestNumber = firstRequestNumber;
        quietUntilMicros = restarted ? now + quietPeriodMicros(leaseMicros) : now;
    }

    /** How long a borrower may use a loan, counted from the time of its request. */
    public static long usableLeaseMicros(long leaseMicros) {
        return (long) (leaseMicros * (1 - MAX_CLOCK_DRIFT_RATIO) / (1 + MAX_CLOCK_DRIFT_RATIO));
    }

    /** How long a restarted sender uses nothing of its own fraction, as its earlier process may have lent all of it. */
    public static long quietPeriodMicros(long leaseMicros) {
        return (long) Math.ceil(leaseMicros * (1 + MAX_CLOCK_DRIFT_RATIO) / (1 - MAX_CLOCK_DRIFT_RATIO)) + 1;
    }

    /** The fraction that this sender owns by configuration. */
    public double ownFraction() {
        return ownFraction;
    }

    /** The fraction of the limit that this sender may use now. */
    public double usableFraction(long now) {
        return Math.max(0, now < quietUntilMicros ? 0 : ownFraction - lentFraction(now)) + borrowedFraction(now);
    }

    /** The fraction that is lent and may still be in use. */
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

    /** Creates a loan request to a peer. It replaces an earlier one without an answer, and may be sent again unchanged. */
    public LoanRequest requestLoan(long now, String peer, double fraction) {
        if (!pendingRequests.containsKey(peer) && pendingRequests.size() >= MAX_PEERS) {
            throw new IllegalStateException("more than " + MAX_PEERS + " peers with a pending loan request");
        }
        LoanRequest request = new LoanRequest(++lastRequestNumber, fraction);
        pendingRequests.put(peer, request);
        requestedAtMicros.put(peer, now);
        return request;
    }

    /**
     * Handles a peer's loan request; {@code neededFraction} is what this sender needs itself. An old or repeated request is granted
     * nothing: the first answer to it may be on the way, and a loan must not be granted twice.
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

    /** Handles a peer's grant. The loan runs from the time of the request, so a delayed grant can be used for a shorter time. */
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
