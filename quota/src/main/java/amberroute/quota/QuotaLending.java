package amberroute.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One sender's {@link QuotaShare} of a limit, and the policy of its loan requests: which peers it asks, how often and for how much.
 * Invariant: a fraction is rounded down when it is converted to the float of the datagram, so the fraction that the lender counts as lent
 * is at least the one that the borrower uses. Times are in microseconds. Not thread-safe.
 */
public final class QuotaLending {
    private static final int MAX_CONCURRENT_REQUESTS = 4;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long MICROS_PER_MILLISECOND = 1_000;

    /** A loan request to a peer. */
    public record Request(String peer, long requestNumber, float fraction) {}

    private final QuotaShare share;
    private final long requestIntervalMicros;
    private final Map<String, Long> requestedAtMicros = new HashMap<>();

    /** Sends at most one request to a peer in each {@code requestIntervalMicros}. */
    public QuotaLending(QuotaShare share, long requestIntervalMicros) {
        this.share = share;
        this.requestIntervalMicros = requestIntervalMicros;
    }

    /** The fraction of the limit that this sender may use now. */
    public double usableFraction(long now) {
        return share.usableFraction(now);
    }

    /** The fraction that this sender owns by configuration. */
    public double ownFraction() {
        return share.ownFraction();
    }

    /** Creates requests for the missing fraction to the given lenders, except those that were asked within the request interval. */
    public List<Request> requestLoans(long now, double missingFraction, List<String> lenders) {
        List<String> eligiblePeers = lenders.stream()
                .filter(peer -> now - requestedAtMicros.getOrDefault(peer, NEVER) > requestIntervalMicros)
                .toList();
        List<Request> requests = new ArrayList<>();
        double remainingFraction = missingFraction;
        // Starts at a peer that depends on the time, so that not all senders ask the same one.
        int start = eligiblePeers.isEmpty() ? 0 : Math.floorMod(now / MICROS_PER_MILLISECOND, eligiblePeers.size());
        for (int i = 0; i < Math.min(MAX_CONCURRENT_REQUESTS, eligiblePeers.size()) && remainingFraction > 0; i++) {
            String peer = eligiblePeers.get((start + i) % eligiblePeers.size());
            float fraction = roundDown(Math.min(remainingFraction, share.ownFraction()));
            requests.add(
                    new Request(peer, share.requestLoan(now, peer, fraction).requestNumber(), fraction));
            requestedAtMicros.put(peer, now);
            remainingFraction -= fraction;
        }
        return requests;
    }

    /** Handles a peer's request while this sender itself needs {@code neededFraction}; returns the fraction lent, 0 for none. */
    public float onLoanRequest(long now, String peer, long requestNumber, float fraction, double neededFraction) {
        QuotaShare.LoanRequest request = new QuotaShare.LoanRequest(requestNumber, fraction);
        return roundDown(share.onLoanRequest(now, peer, request, neededFraction).fraction());
    }

    /** Handles a peer's grant. */
    public void onLoanGrant(long now, String peer, long requestNumber, float fraction) {
        share.onLoanGrant(now, peer, new QuotaShare.LoanGrant(requestNumber, fraction));
    }

    private static float roundDown(double fraction) {
        float rounded = (float) fraction;
        return rounded > fraction ? Math.nextDown(rounded) : rounded;
    }
}
