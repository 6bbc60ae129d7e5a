package amberroute.sender.lifecycle;

/** The phases in the life of a sender, in the order in which it passes them; a reclaim leads back to {@link #READY}. */
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
