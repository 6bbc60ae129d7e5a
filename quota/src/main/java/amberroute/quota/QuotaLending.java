package amberroute.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One daemon's {@link QuotaShare} of a limit with the asking for more: whom, how often and for how much. What is lent is rounded down as
 * it travels, so that what the lender counts as gone covers what the borrower uses. Times are microseconds.
 */
public final class QuotaLending {
    /** Peers that are asked at one moment. */
    private static final int MAX_CONCURRENT_REQUESTS = 4;

    /** A request to a peer. */
    public record Request(String peer, long number, float fraction) {}

    private final QuotaShare share;
    private final long pauseMicros;
    private final Map<String, Long> requestedAtMicros = new HashMap<>();

    /** One peer is not asked again before a pause is over. */
    public QuotaLending(QuotaShare share, long pause) {
        this.share = share;
        this.pauseMicros = pause;
    }

    /** The part that may be used now. */
    public double usableFraction(long now) {
        return share.usableFraction(now);
    }

    /** The part that is this daemon's by the settings. */
    public double ownFraction() {
        return share.ownFraction();
    }

    /** Requests for a part that is missing, to peers that seem to have some to spare; none is asked again too soon. */
    public List<Request> requestLoans(long now, double missing, List<String> able) {
        List<String> ready = able.stream()
                .filter(peer -> now - requestedAtMicros.getOrDefault(peer, Long.MIN_VALUE / 2) > pauseMicros)
                .toList();
        List<Request> out = new ArrayList<>();
        double left = missing;
        // Another begins with another peer, so that not all ask the same one.
        int from = ready.isEmpty() ? 0 : Math.floorMod(now / 1_000, ready.size());
        for (int i = 0; i < Math.min(MAX_CONCURRENT_REQUESTS, ready.size()) && left > 0; i++) {
            String peer = ready.get((from + i) % ready.size());
            float part = roundDown(Math.min(left, share.ownFraction()));
            out.add(new Request(peer, share.requestLoan(now, peer, part).number(), part));
            requestedAtMicros.put(peer, now);
            left -= part;
        }
        return out;
    }

    /** A peer asks, while this daemon itself needs a part; returns what it is lent, 0 for nothing. */
    public float onLoanRequest(long now, String peer, long number, float part, double need) {
        return roundDown(share.onLoanRequest(now, peer, new QuotaShare.LoanRequest(number, part), need)
                .fraction());
    }

    /** A peer's answer. */
    public void onLoanGrant(long now, String peer, long number, float part) {
        share.onLoanGrant(now, peer, new QuotaShare.LoanGrant(number, part));
    }

    private static float roundDown(double part) {
        float rounded = (float) part;
        return rounded > part ? Math.nextDown(rounded) : rounded;
    }
}
