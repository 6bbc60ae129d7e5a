package amberroute.handoff;

/**
 * A message between two daemons about one batch; an offer's messages travel with it.
 *
 * @param generation counts the offers of the batch, whoever made them
 */
public record HandoffMessage(Kind kind, String batchId, long generation) {
    /** OFFER and CANCEL go to the successor, YES and NO come back. */
    public enum Kind {
        OFFER,
        CANCEL,
        YES,
        NO
    }

    /** Whether it goes to a successor. */
    public boolean isForSuccessor() {
        return kind == Kind.OFFER || kind == Kind.CANCEL;
    }
}
