package amberroute.handoff;

/**
 * A protocol message between two senders about one batch. The client messages of the batch travel with its offer.
 *
 * @param generation number of offers of the batch so far, by any sender
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
