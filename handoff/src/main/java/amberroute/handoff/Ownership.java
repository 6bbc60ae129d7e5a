package amberroute.handoff;

import java.util.List;

/**
 * The ownership record of one batch in the journal of one sender, and the state transitions of the handoff.
 * Invariant: at most one sender owns a batch at any time. The generation grows by one with each offer, by any
 * sender, and acts as a fencing token: a message of an older generation changes nothing. Immutable.
 *
 * @param generation the last generation that this sender took part in
 * @param peer the peer to which the batch was offered or given; empty otherwise
 */
public record Ownership(long generation, Status status, String peer) {
    /**
     * Only the messages of an {@link #OWNED} batch may be called, completed or offered again. The names are on
     * disk.
     */
    public enum Status {
        /** This sender owns the batch. */
        OWNED,
        /** Offered to a peer whose reply is not known. The batch is frozen, because the peer may own it already. */
        OFFERED,
        /** The peer has accepted the batch and owns it. */
        GIVEN,
        /** This sender has rejected the offer of this generation and will never accept it. */
        REFUSED,
        /** This sender has reported the messages of the batch as ended. */
        ENDED
    }

    /** The state of an unknown batch. */
    public static final Ownership NONE = new Ownership(0, Status.REFUSED, "");

    /** Returns the state of a batch whose messages were accepted from clients. */
    public static Ownership initial() {
        return new Ownership(1, Status.OWNED, "");
    }

    /** Whether this sender may process the batch. */
    public boolean isOwned() {
        return status == Status.OWNED;
    }

    // Transitions of the owner

    /**
     * Offers an owned batch: persists the record, then sends the offer. Returns no effects if the batch is not
     * owned.
     */
    public List<HandoffEffect> offer(String batchId, String successor) {
        if (!isOwned()) {
            return List.of();
        }
        Ownership next = new Ownership(generation + 1, Status.OFFERED, successor);
        return List.of(
                new HandoffEffect.PersistOwnership(batchId, next),
                new HandoffEffect.SendMessage(
                        successor, new HandoffMessage(HandoffMessage.Kind.OFFER, batchId, next.generation)));
    }

    /**
     * Repeats an unanswered offer, or withdraws it. Only the successor knows which of the two senders owns the
     * batch.
     */
    public List<HandoffEffect> requestReply(String batchId, boolean withdraw) {
        return status != Status.OFFERED
                ? List.of()
                : List.of(new HandoffEffect.SendMessage(
                        peer,
                        new HandoffMessage(
                                withdraw ? HandoffMessage.Kind.CANCEL : HandoffMessage.Kind.OFFER,
                                batchId,
                                generation)));
    }

    /** Handles the reply of the successor. A duplicate, or a reply to another offer, changes nothing. */
    public List<HandoffEffect> onReply(String batchId, String sender, HandoffMessage message) {
        if (status != Status.OFFERED || message.generation() != generation || !sender.equals(peer)) {
            return List.of();
        }
        return switch (message.kind()) {
            case YES -> List.of(
                    new HandoffEffect.PersistOwnership(batchId, new Ownership(generation, Status.GIVEN, peer)));
            case NO -> List.of(
                    new HandoffEffect.PersistOwnership(batchId, new Ownership(generation, Status.OWNED, "")));
            default -> List.of();
        };
    }

    /**
     * Ends a batch whose deadline has passed. An owner may end it with any outcome. A sender that waits for a reply
     * may only report the messages as failed with an unknown outcome, because the successor may have delivered
     * them.
     */
    public List<HandoffEffect> expire(String batchId) {
        return status == Status.OWNED || status == Status.OFFERED
                ? List.of(new HandoffEffect.PersistOwnership(batchId, new Ownership(generation, Status.ENDED, "")))
                : List.of();
    }

    // Transitions of the successor

    /**
     * Handles an offer or its withdrawal. {@code willing} is whether this sender would accept the offer. The
     * decision on a generation is made once and is final.
     */
    public List<HandoffEffect> onOffer(String batchId, String sender, HandoffMessage message, boolean willing) {
        HandoffEffect accept = new HandoffEffect.SendMessage(
                sender, new HandoffMessage(HandoffMessage.Kind.YES, batchId, message.generation()));
        HandoffEffect reject = new HandoffEffect.SendMessage(
                sender, new HandoffMessage(HandoffMessage.Kind.NO, batchId, message.generation()));
        if (message.generation() < generation) {
            // A sender still waits for the reply to this older offer only if the offer was accepted and the batch
            // was handed off again since. Had it been rejected, the batch could not have reached a later generation
            // without its owner having received that reply.
            return List.of(accept);
        }
        if (message.generation() == generation) {
            return List.of(status == Status.REFUSED ? reject : accept);
        }
        boolean accepts = message.kind() == HandoffMessage.Kind.OFFER && willing;
        return List.of(
                new HandoffEffect.PersistOwnership(
                        batchId, new Ownership(message.generation(), accepts ? Status.OWNED : Status.REFUSED, "")),
                accepts ? accept : reject);
    }
}
