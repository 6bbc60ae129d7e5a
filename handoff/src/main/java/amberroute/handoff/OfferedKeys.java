package amberroute.handoff;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * The ordered keys of which a leaving daemon has offered messages, and what became of the offers. A peer that may have adopted the
 * messages of a key is not asked to hold that key any more: the request would come behind the offer, and then later messages of the
 * key would wait for a daemon that has none. A key is kept until it is released or an offer of it is refused. Not thread-safe.
 */
public final class OfferedKeys {
    /** What a peer has of a key, as far as the leaving daemon knows. */
    public enum Status {
        /** The peer has no offer of the key. */
        NOT_OFFERED,
        /** The peer may have adopted it: its answer is awaited. */
        UNANSWERED,
        /** The peer has adopted it. */
        ADOPTED
    }

    private record Offer(String peer, Status status) {}

    private final Map<Long, Offer> offers = new HashMap<>();

    /** An offer of these keys goes to a peer. */
    public void offered(String peer, Collection<Long> keys) {
        keys.forEach(key -> offers.put(key, new Offer(peer, Status.UNANSWERED)));
    }

    /** The peer has adopted these keys, or will never answer. */
    public void adopted(String peer, Collection<Long> keys) {
        keys.forEach(key -> offers.put(key, new Offer(peer, Status.ADOPTED)));
    }

    /** The peer refused these keys, or nobody has messages of them any more. */
    public void forget(Collection<Long> keys) {
        keys.forEach(offers::remove);
    }

    /** What this peer has of the key. */
    public Status status(String peer, long key) {
        Offer offer = offers.get(key);
        return offer == null || !offer.peer().equals(peer) ? Status.NOT_OFFERED : offer.status();
    }
}
