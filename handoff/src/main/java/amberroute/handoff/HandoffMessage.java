package amberroute.handoff;

/**
 * A protocol message between two senders about one batch. The client messages of the batch travel with its offer.
 *
 * @param generation increases by one with each new offer of the batch, by any sender; the first offer has 2
 */
public record HandoffMessage(Kind kind, String batchId, long generation) {
    /** OFFER and CANCEL go to the successor; YES and NO are its replies. */
    public enum Kind {
        OFFER,
        CANCEL,
        YES,
        NO
    }

    /** Whether the message is addressed to a successor. */
    public boolean isForSuccessor() {
        return kind == Kind.OFFER || kind == Kind.CANCEL;
    }
}
