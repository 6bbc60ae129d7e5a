package amberroute.membership;

import java.util.List;

/** Who is there of those that the settings name. What it says may be old or wrong: see the package's note. */
public interface MembershipView {
    /** What a daemon last said of itself. */
    enum Phase {
        STARTING,
        READY,
        DRAINING
    }

    /**
     * One peer. {@code alive} is whether it was heard of lately, {@code heardAgo} how long ago in microseconds (-1 for
     * never), {@code incarnation} tells its processes apart and grows.
     */
    record Member(String name, boolean alive, Phase phase, long heardAgoMicros, long incarnation) {
        /** Whether it takes messages on. */
        public boolean acceptsMessages() {
            return alive && phase == Phase.READY;
        }
    }

    /** All peers of the settings, this daemon not among them, in the settings' order. */
    List<Member> members(long now);
}
