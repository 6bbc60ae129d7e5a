package amberroute.sender.lifecycle;

/**
 * The phases of a sender. {@link #READY} leads to {@link #DRAINING}, when a standalone sender stops, or to {@link #TRANSFERRED}, from
 * where a reclaim leads back. After SIGTERM on the platform a sender stays ready until it is killed.
 */
public enum LifecyclePhase {
    STARTING("starting"),
    READY("ready"),
    DRAINING("draining"),
    /** Another process owns the state folder. */
    TRANSFERRED("given");

    private final String wireName;

    LifecyclePhase(String wireName) {
        this.wireName = wireName;
    }

    /** The value of {@code state} in the status that the control socket reports. */
    public String wireName() {
        return wireName;
    }
}
