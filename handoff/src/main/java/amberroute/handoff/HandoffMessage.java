package amberroute.handoff;

/** One word between two daemons about one lot; an offer's messages travel with it. */
public record HandoffMessage(Kind kind, String batchId, long generation) {
    /** OFFER and CANCEL go to the heir, YES and NO come back. */
    public enum Kind {
        OFFER,
        CANCEL,
        YES,
        NO
    }

    /** Whether it is for an heir. */
    public boolean isForSuccessor() {
        return kind == Kind.OFFER || kind == Kind.CANCEL;
    }
}
