package amberroute.handoff;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The ordered keys of which a sender that is shutting down has offered messages, and the results of these offers. A
 * peer that may have adopted the messages of a key is not asked to hold that key any more: the request would arrive
 * after the offer, and later messages of the key would then wait for a sender that has no messages of it. A key is
 * kept until it is released or an offer of it is refused. Not thread-safe.
 */
public final class OfferedKeys {
    /** The state of a key at a peer, as far as the offering sender knows. */
    public enum Status {
        /** The key was not offered to the peer. */
        NOT_OFFERED,
        /** The peer may have adopted the key; its reply is outstanding. */
        UNANSWERED,
        /** The peer has adopted the key. */
        ADOPTED
    }

    private record Offer(String peer, Status status) {}

    private final Map<Long, Offer> offers = new HashMap<>();

    /** Records that these keys are being offered to a peer. */
    public void offered(String peer, Collection<Long> keys) {
        keys.forEach(key -> offers.put(key, new Offer(peer, Status.UNANSWERED)));
    }

    /** Records that the peer has adopted these keys, or will never reply. */
    public void adopted(String peer, Collection<Long> keys) {
        keys.forEach(key -> offers.put(key, new Offer(peer, Status.ADOPTED)));
    }

    /** Removes keys that the peer refused, or of which no sender has messages any more. */
    public void forget(Collection<Long> keys) {
        keys.forEach(offers::remove);
    }

    /** Returns the status of the key at this peer. */
    public Status status(String peer, long key) {
        Offer offer = offers.get(key);
        return offer == null || !offer.peer().equals(peer) ? Status.NOT_OFFERED : offer.status();
    }
}
