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
    private static final int ASKED_AT_ONCE = 4;

    /** A request to a peer. */
    public record Request(String peer, long number, float part) {}

    private final QuotaShare share;
    private final long pause;
    private final Map<String, Long> askedAt = new HashMap<>();

    /** One peer is not asked again before a pause is over. */
    public QuotaLending(QuotaShare share, long pause) {
        this.share = share;
        this.pause = pause;
    }

    /** The part that may be used now. */
    public double ceiling(long now) {
        return share.ceiling(now);
    }

    /** The part that is this daemon's by the settings. */
    public double owned() {
        return share.owned();
    }

    /** Requests for a part that is missing, to peers that seem to have some to spare; none is asked again too soon. */
    public List<Request> asks(long now, double missing, List<String> able) {
        List<String> ready = able.stream()
                .filter(peer -> now - askedAt.getOrDefault(peer, Long.MIN_VALUE / 2) > pause)
                .toList();
        List<Request> out = new ArrayList<>();
        double left = missing;
        // Another begins with another peer, so that not all ask the same one.
        int from = ready.isEmpty() ? 0 : Math.floorMod(now / 1_000, ready.size());
        for (int i = 0; i < Math.min(ASKED_AT_ONCE, ready.size()) && left > 0; i++) {
            String peer = ready.get((from + i) % ready.size());
            float part = down(Math.min(left, share.owned()));
            out.add(new Request(peer, share.ask(now, peer, part).number(), part));
            askedAt.put(peer, now);
            left -= part;
        }
        return out;
    }

    /** A peer asks, while this daemon itself needs a part; returns what it is lent, 0 for nothing. */
    public float asked(long now, String peer, long number, float part, double need) {
        return down(share.asked(now, peer, new QuotaShare.LoanRequest(number, part), need)
                .part());
    }

    /** A peer's answer. */
    public void granted(long now, String peer, long number, float part) {
        share.granted(now, peer, new QuotaShare.LoanGrant(number, part));
    }

    private static float down(double part) {
        float rounded = (float) part;
        return rounded > part ? Math.nextDown(rounded) : rounded;
    }
}
