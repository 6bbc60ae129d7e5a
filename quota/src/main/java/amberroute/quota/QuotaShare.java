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
 * its own: {@link #usable}. Clocks may differ in rate by {@link #DRIFT}, messages may be lost, late or doubled, and
 * either side may die: each only leaves a part unused until its lease is over. A daemon that restarts knows of no loans
 * of its own, so it uses nothing before {@link #quiet} is over. Times are microseconds on the daemon's own monotonic
 * clock; parts are shares of the whole, 0 to 1. At most {@value #MOST_PEERS} peers are dealt with.
 */
public final class QuotaShare {
    /** A clock may be so much fast or slow. */
    public static final double DRIFT = 0.02;

    private static final int MOST_PEERS = 4_096;

    /** What a peer is asked for. The number is the asker's and grows with each request. */
    public record LoanRequest(long number, double part) {}

    /** What was lent, for the lease that both know from the settings; 0 is a no. */
    public record LoanGrant(long number, double part) {}

    private record Loan(double part, long until) {}

    private final double own;
    private final long lease;
    private final long quietUntil;
    /** Of each borrower: all loans that may still be in use; a renewal stands beside the one before. */
    private final Map<String, Map<Long, Loan>> lent = new HashMap<>();

    private final Map<String, Long> lastAsked = new HashMap<>();
    private final Map<String, Loan> borrowed = new HashMap<>();
    private final Map<String, LoanRequest> asked = new HashMap<>();
    private final Map<String, Long> askedAt = new HashMap<>();
    private long numbers;

    /**
     * {@code number} is higher than any that an earlier process of this daemon used for its asks, wall time will do;
     * {@code daemons} is how many there are by the settings.
     */
    public QuotaShare(long now, long number, int daemons, long lease, boolean restarted) {
        if (daemons < 1 || lease < 1_000) {
            throw new IllegalArgumentException("no daemons or no lease");
        }
        own = 1.0 / daemons;
        this.lease = lease;
        numbers = number;
        quietUntil = restarted ? now + quiet(lease) : now;
    }

    /** How long a borrower may use a lease, from before it asked for it. */
    public static long usable(long lease) {
        return (long) (lease * (1 - DRIFT) / (1 + DRIFT));
    }

    /** How long a daemon that has just restarted uses nothing, as its earlier process may have lent all. */
    public static long quiet(long lease) {
        return (long) Math.ceil(lease * (1 + DRIFT) / (1 - DRIFT)) + 1;
    }

    /** The part that is this daemon's by the settings. */
    public double owned() {
        return own;
    }

    /** The part of the whole that may be used now. */
    public double ceiling(long now) {
        return Math.max(0, now < quietUntil ? 0 : own - lent(now)) + borrowed(now);
    }

    /** What is lent and may still be in use. */
    public double lent(long now) {
        double sum = 0;
        for (Map<Long, Loan> loans : lent.values()) {
            loans.values().removeIf(loan -> loan.until() <= now);
            sum += loans.values().stream().mapToDouble(Loan::part).sum();
        }
        lent.values().removeIf(Map::isEmpty);
        return sum;
    }

    private double borrowed(long now) {
        borrowed.values().removeIf(loan -> loan.until() <= now);
        return borrowed.values().stream().mapToDouble(Loan::part).sum();
    }

    /** Asks a peer for a part; the request may be sent again as it is, and replaces one that was not answered. */
    public LoanRequest ask(long now, String peer, double part) {
        if (!asked.containsKey(peer) && asked.size() >= MOST_PEERS) {
            throw new IllegalStateException("more than " + MOST_PEERS + " peers");
        }
        LoanRequest ask = new LoanRequest(++numbers, part);
        asked.put(peer, ask);
        askedAt.put(peer, now);
        return ask;
    }

    /**
     * A peer asks; {@code need} is the part that this daemon wants for itself. An old or repeated request gets a no: its
     * first answer may be on the way, and nobody may get a loan twice.
     */
    public LoanGrant asked(long now, String peer, LoanRequest ask, double need) {
        boolean known = lastAsked.containsKey(peer);
        if (now < quietUntil
                || known && ask.number() <= lastAsked.get(peer)
                || !known && lastAsked.size() >= MOST_PEERS
                || !(ask.part() > 0)) {
            return new LoanGrant(ask.number(), 0);
        }
        lastAsked.put(peer, ask.number());
        double part = Math.min(ask.part(), own - lent(now) - Math.max(0, need));
        if (part <= 0) {
            return new LoanGrant(ask.number(), 0);
        }
        lent.computeIfAbsent(peer, p -> new HashMap<>()).put(ask.number(), new Loan(part, now + lease));
        return new LoanGrant(ask.number(), part);
    }

    /** A peer's answer; it counts from when it was asked for, so one that was long on the way is worth little. */
    public void granted(long now, String peer, LoanGrant grant) {
        LoanRequest ask = asked.get(peer);
        if (ask == null || ask.number() != grant.number() || !(grant.part() > 0) || grant.part() > ask.part()) {
            return;
        }
        asked.remove(peer);
        long until = askedAt.remove(peer) + usable(lease);
        if (until > now) {
            borrowed.put(peer, new Loan(grant.part(), until));
        }
    }
}
