package amberroute.membership;

import java.util.List;

/** Which of the daemons that the settings name are alive. What it says may be old or wrong: see the package. */
public interface MembershipView {
    /** What a daemon last said of itself. Ordinals are on the wire. */
    enum Phase {
        STARTING,
        READY,
        DRAINING
    }

    /**
     * One peer.
     *
     * @param alive whether it was heard of lately
     * @param heardAgoMicros how long ago it was heard of, -1 for never
     * @param incarnation tells its processes apart and grows
     */
    record Member(String name, boolean alive, Phase phase, long heardAgoMicros, long incarnation) {
        /** Whether it accepts messages. */
        public boolean acceptsMessages() {
            return alive && phase == Phase.READY;
        }
    }

    /** All peers of the settings, this daemon not among them, in the settings' order. */
    List<Member> members(long now);
}
