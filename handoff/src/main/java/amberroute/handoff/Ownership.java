package amberroute.handoff;

import java.util.List;

/**
 * What one daemon's journal says of one batch, and the transitions of the handoff. Invariant: at any time at most one daemon owns a batch. The
 * generation grows by one with each offer, whoever makes it, so it fences: a message of an older generation changes nothing.
 * Immutable.
 *
 * @param generation the last generation that this daemon took part in
 * @param peer to whom the batch was offered or given, empty otherwise
 */
public record Ownership(long generation, Status status, String peer) {
    /** Only an {@link #OWNED} batch may be worked on: calls, completions and further offers. Names are on disk. */
    public enum Status {
        /** This daemon owns it. */
        OWNED,
        /** Offered to a peer whose reply is not known: frozen, as the peer may own it already. */
        OFFERED,
        /** The peer has accepted and owns it. */
        GIVEN,
        /** This daemon has rejected the offer of this generation, and never accepts it. */
        REFUSED,
        /** This daemon has reported its messages as ended. */
        ENDED
    }

    /** Of a batch that nothing is known of. */
    public static final Ownership NONE = new Ownership(0, Status.REFUSED, "");

    /** Of a batch of messages that were accepted from clients. */
    public static Ownership initial() {
        return new Ownership(1, Status.OWNED, "");
    }

    /** Whether this daemon may work on the batch. */
    public boolean isOwned() {
        return status == Status.OWNED;
    }

    // ---- The owner. ----

    /** Offers an owned batch: the record first, then the message. Nothing where it is not owned. */
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

    /** Repeats an offer that was not answered, or withdraws it; only the successor knows whose the batch is. */
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

    /** The successor's reply; one that belongs to another offer or comes again changes nothing. */
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
     * The deadline of the batch has passed. An owner ends it as it likes; whoever waits for a reply may only report it as
     * failed, which promises nothing, as the successor may have delivered it.
     */
    public List<HandoffEffect> expire(String batchId) {
        return status == Status.OWNED || status == Status.OFFERED
                ? List.of(new HandoffEffect.PersistOwnership(batchId, new Ownership(generation, Status.ENDED, "")))
                : List.of();
    }

    // ---- The successor. ----

    /** An offer or its withdrawal; {@code willing} is whether this daemon would accept it. Decided once, and kept. */
    public List<HandoffEffect> onOffer(String batchId, String sender, HandoffMessage message, boolean willing) {
        HandoffEffect accept = new HandoffEffect.SendMessage(
                sender, new HandoffMessage(HandoffMessage.Kind.YES, batchId, message.generation()));
        HandoffEffect reject = new HandoffEffect.SendMessage(
                sender, new HandoffMessage(HandoffMessage.Kind.NO, batchId, message.generation()));
        if (message.generation() < generation) {
            // A sender that still waits for this offer waits because it was accepted and the batch has moved on since:
            // had it
            // been rejected, the batch would not have come to a later generation without its owner hearing so.
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
