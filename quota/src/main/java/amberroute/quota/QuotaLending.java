package amberroute.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One daemon's {@link QuotaShare} of a limit with the requests for loans: to whom, how often and for how much. Invariant: what is lent is
 * rounded down as it travels, so that what the lender counts as lent covers what the borrower uses. Times are microseconds. Not thread-safe.
 */
public final class QuotaLending {
    private static final int MAX_CONCURRENT_REQUESTS = 4;
    private static final long NEVER = Long.MIN_VALUE / 2;
    private static final long MICROS_PER_MILLISECOND = 1_000;

    /** A request to a peer. */
    public record Request(String peer, long requestNumber, float fraction) {}

    private final QuotaShare share;
    private final long requestIntervalMicros;
    private final Map<String, Long> requestedAtMicros = new HashMap<>();

    /** One peer is not asked again before a pause is over. */
    public QuotaLending(QuotaShare share, long requestIntervalMicros) {
        this.share = share;
        this.requestIntervalMicros = requestIntervalMicros;
    }

    /** The fraction of the limit that may be used now. */
    public double usableFraction(long now) {
        return share.usableFraction(now);
    }

    /** The fraction that is this daemon's by the settings. */
    public double ownFraction() {
        return share.ownFraction();
    }

    /** Requests for a fraction that is missing, to peers that seem to have some to spare; none is asked again too soon. */
    public List<Request> requestLoans(long now, double missingFraction, List<String> lenders) {
        List<String> eligiblePeers = lenders.stream()
                .filter(peer -> now - requestedAtMicros.getOrDefault(peer, NEVER) > requestIntervalMicros)
                .toList();
        List<Request> requests = new ArrayList<>();
        double remainingFraction = missingFraction;
        // Daemons begin with different peers, so that not all ask the same one.
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

    /** A peer asks, while this daemon itself needs a fraction; returns what it is lent, 0 for nothing. */
    public float onLoanRequest(long now, String peer, long requestNumber, float fraction, double neededFraction) {
        QuotaShare.LoanRequest request = new QuotaShare.LoanRequest(requestNumber, fraction);
        return roundDown(share.onLoanRequest(now, peer, request, neededFraction).fraction());
    }

    /** A peer's answer. */
    public void onLoanGrant(long now, String peer, long requestNumber, float fraction) {
        share.onLoanGrant(now, peer, new QuotaShare.LoanGrant(requestNumber, fraction));
    }

    private static float roundDown(double fraction) {
        float rounded = (float) fraction;
        return rounded > fraction ? Math.nextDown(rounded) : rounded;
    }
}
