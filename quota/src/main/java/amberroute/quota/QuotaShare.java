package amberroute.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * One daemon's share of one partner's limit. It owns an equal part by the number in the settings, whatever it believes
 * of the others: so however their views differ, nobody's belief adds to the whole. It may lend of its own part for a
 * lease, and use what others have lent it until that ends.
 *
 * <p>Safety: over all daemons the parts that may be used never add up to more than 1. A lender counts a loan as gone
 * for the whole lease, from its grant, by its own clock; a borrower uses it for less than that, from before it asked, by
 * its own: {@link #usableLeaseMicros}. Clocks may differ in rate by {@link #MAX_CLOCK_DRIFT_RATIO}, messages may be lost, late or doubled, and
 * either side may die: each only leaves a part unused until its lease is over. A daemon that restarts knows of no loans
 * of its own, so it uses nothing before {@link #quietPeriodMicros} is over. Times are microseconds on the daemon's own monotonic
 * clock; parts are shares of the whole, 0 to 1. At most {@value #MAX_PEERS} peers are dealt with.
 */
public final class QuotaShare {
    /** A clock may be so much fast or slow. */
    public static final double MAX_CLOCK_DRIFT_RATIO = 0.02;

    private static final int MAX_PEERS = 4_096;

    /** What a peer is asked for. The number is the asker's and grows with each request. */
    public record LoanRequest(long number, double fraction) {}

    /** What was lent, for the lease that both know from the settings; 0 is a no. */
    public record LoanGrant(long number, double fraction) {}

    private record Loan(double fraction, long untilMicros) {}

    private final double ownFraction;
    private final long leaseMicros;
    private final long quietUntilMicros;
    /** Of each borrower: all loans that may still be in use; a renewal stands beside the one before. */
    private final Map<String, Map<Long, Loan>> loansByBorrower = new HashMap<>();

    private final Map<String, Long> lastRequestNumber = new HashMap<>();
    private final Map<String, Loan> loanByLender = new HashMap<>();
    private final Map<String, LoanRequest> pendingRequests = new HashMap<>();
    private final Map<String, Long> requestedAtMicros = new HashMap<>();
    private long lastNumber;

    /**
     * {@code number} is higher than any that an earlier process of this daemon used for its asks, wall time will do;
     * {@code daemons} is how many there are by the settings.
     */
    public QuotaShare(long now, long number, int daemons, long lease, boolean restarted) {
        if (daemons < 1 || lease < 1_000) {
            throw new IllegalArgumentException("no daemons or no lease");
        }
        ownFraction = 1.0 / daemons;
        this.leaseMicros = lease;
        lastNumber = number;
        quietUntilMicros = restarted ? now + quietPeriodMicros(lease) : now;
    }

    /** How long a borrower may use a lease, from before it asked for it. */
    public static long usableLeaseMicros(long lease) {
        return (long) (lease * (1 - MAX_CLOCK_DRIFT_RATIO) / (1 + MAX_CLOCK_DRIFT_RATIO));
    }

    /** How long a daemon that has just restarted uses nothing, as its earlier process may have lent all. */
    public static long quietPeriodMicros(long lease) {
        return (long) Math.ceil(lease * (1 + MAX_CLOCK_DRIFT_RATIO) / (1 - MAX_CLOCK_DRIFT_RATIO)) + 1;
    }

    /** The part that is this daemon's by the settings. */
    public double ownFraction() {
        return ownFraction;
    }

    /** The part of the whole that may be used now. */
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

    /** Asks a peer for a part; the request may be sent again as it is, and replaces one that was not answered. */
    public LoanRequest requestLoan(long now, String peer, double part) {
        if (!pendingRequests.containsKey(peer) && pendingRequests.size() >= MAX_PEERS) {
            throw new IllegalStateException("more than " + MAX_PEERS + " peers");
        }
        LoanRequest ask = new LoanRequest(++lastNumber, part);
        pendingRequests.put(peer, ask);
        requestedAtMicros.put(peer, now);
        return ask;
    }

    /**
     * A peer asks; {@code need} is the part that this daemon wants for itself. An old or repeated request gets a no: its
     * first answer may be on the way, and nobody may get a loan twice.
     */
    public LoanGrant onLoanRequest(long now, String peer, LoanRequest ask, double need) {
        boolean known = lastRequestNumber.containsKey(peer);
        if (now < quietUntilMicros
                || known && ask.number() <= lastRequestNumber.get(peer)
                || !known && lastRequestNumber.size() >= MAX_PEERS
                || !(ask.fraction() > 0)) {
            return new LoanGrant(ask.number(), 0);
        }
        lastRequestNumber.put(peer, ask.number());
        double part = Math.min(ask.fraction(), ownFraction - lentFraction(now) - Math.max(0, need));
        if (part <= 0) {
            return new LoanGrant(ask.number(), 0);
        }
        loansByBorrower
                .computeIfAbsent(peer, p -> new HashMap<>())
                .put(ask.number(), new Loan(part, now + leaseMicros));
        return new LoanGrant(ask.number(), part);
    }

    /** A peer's answer; it counts from when it was asked for, so one that was long on the way is worth little. */
    public void onLoanGrant(long now, String peer, LoanGrant grant) {
        LoanRequest ask = pendingRequests.get(peer);
        if (ask == null
                || ask.number() != grant.number()
                || !(grant.fraction() > 0)
                || grant.fraction() > ask.fraction()) {
            return;
        }
        pendingRequests.remove(peer);
        long until = requestedAtMicros.remove(peer) + usableLeaseMicros(leaseMicros);
        if (until > now) {
            loanByLender.put(peer, new Loan(grant.fraction(), until));
        }
    }
}
