package amberroute.decisions;

/** Whether an upstream accepts calls, as far as this sender has seen. */
public enum UpstreamStatus {
    HEALTHY("WELL"),
    UNAVAILABLE("OUT"),
    /** Calls have failed, too few for an outage here; the next process takes it for one, as it does not know them. */
    SUSPECTED("OUT"),
    SLOW_START("COLD");

    private final String storedName;

    UpstreamStatus(String storedName) {
        this.storedName = storedName;
    }

    /** Returns the name in journals, ownership transfers and decision traces; it must never change. */
    public String storedName() {
        return storedName;
    }

    /**
     * Returns the first status with this stored name.
     *
     * @throws IllegalArgumentException if there is none
     */
    public static UpstreamStatus ofStoredName(String name) {
        for (UpstreamStatus status : values()) {
            if (status.storedName.equals(name)) {
                return status;
            }
        }
        throw new IllegalArgumentException("unknown upstream status " + name);
    }
}
