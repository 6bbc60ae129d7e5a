package amberroute.membership;

import java.util.List;

/** The liveness of the senders named in the settings. A view may be outdated or wrong: see the package documentation. */
public interface MembershipView {
    /** The lifecycle phase that a sender last reported. The ordinals are sent on the wire. */
    enum Phase {
        STARTING,
        READY,
        DRAINING
    }

    /**
     * The state of one peer.
     *
     * @param alive whether the failure detector considers the peer alive
     * @param heardAgoMicros time since the last datagram from the peer, -1 if there was none
     * @param incarnation increases with each new process of the peer, -1 if not known
     */
    record Member(String name, boolean alive, Phase phase, long heardAgoMicros, long incarnation) {
        /** Whether the peer is alive and ready to accept messages. */
        public boolean acceptsMessages() {
            return alive && phase == Phase.READY;
        }
    }

    /** Returns all peers named in the settings, without this sender, in the order of the settings. */
    List<Member> members(long now);
}
