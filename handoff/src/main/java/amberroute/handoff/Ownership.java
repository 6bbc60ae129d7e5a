package amberroute.handoff;

import java.util.List;

/**
 * What one daemon's journal says of one lot: the generation that it last had a part in, and which. The generation grows
 * by one with each offer, whoever makes it, so it fences: a word of an older generation changes nothing any more.
 *
 * <p>{@code peer} is whom a lot was offered or given to, empty otherwise.
 */
public record Ownership(long generation, Status status, String peer) {
    /** Only an {@link #OWNED} lot may be worked on: calls, ends and further offers. */
    public enum Status {
        /** This daemon owns it. */
        OWNED,
        /** Offered to a peer whose answer is not known: frozen, as the peer may own it already. */
        OFFERED,
        /** A peer has said yes: it is the peer's. */
        GIVEN,
        /** This daemon has said no to an offer of this generation, and never says yes to it. */
        REFUSED,
        /** Its end was told here. */
        ENDED
    }

    /** Before anything is known of a lot. */
    public static final Ownership NONE = new Ownership(0, Status.REFUSED, "");

    /** A lot that was taken on from clients. */
    public static Ownership initial() {
        return new Ownership(1, Status.OWNED, "");
    }

    /** Whether this daemon may work on the lot. */
    public boolean isOwned() {
        return status == Status.OWNED;
    }

    // ---- The leaver. ----

    /** Offers an owned lot: the record first, then the word. Nothing where it is not owned. */
    public List<HandoffEffect> offer(String lot, String heir) {
        if (!isOwned()) {
            return List.of();
        }
        Ownership next = new Ownership(generation + 1, Status.OFFERED, heir);
        return List.of(
                new HandoffEffect.PersistOwnership(lot, next),
                new HandoffEffect.SendMessage(
                        heir, new HandoffMessage(HandoffMessage.Kind.OFFER, lot, next.generation)));
    }

    /** Asks again for an answer that has not come, or asks to have the lot back; only the heir can tell whose it is. */
    public List<HandoffEffect> requestReply(String lot, boolean back) {
        return status != Status.OFFERED
                ? List.of()
                : List.of(new HandoffEffect.SendMessage(
                        peer,
                        new HandoffMessage(
                                back ? HandoffMessage.Kind.CANCEL : HandoffMessage.Kind.OFFER, lot, generation)));
    }

    /** The heir's answer; one that belongs to another offer or comes again changes nothing. */
    public List<HandoffEffect> onReply(String lot, String from, HandoffMessage word) {
        if (status != Status.OFFERED || word.generation() != generation || !from.equals(peer)) {
            return List.of();
        }
        return switch (word.kind()) {
            case YES -> List.of(new HandoffEffect.PersistOwnership(lot, new Ownership(generation, Status.GIVEN, peer)));
            case NO -> List.of(new HandoffEffect.PersistOwnership(lot, new Ownership(generation, Status.OWNED, "")));
            default -> List.of();
        };
    }

    /**
     * The lot's time is up. Whoever owns it ends it as it likes; whoever waits for an answer may only say that it
     * failed, which promises nothing, as the heir may have carried it out.
     */
    public List<HandoffEffect> expire(String lot) {
        return status == Status.OWNED || status == Status.OFFERED
                ? List.of(new HandoffEffect.PersistOwnership(lot, new Ownership(generation, Status.ENDED, "")))
                : List.of();
    }

    // ---- The heir. ----

    /** An offer or its withdrawal; {@code room} is whether this daemon would take it. Decided once, and kept. */
    public List<HandoffEffect> onOffer(String lot, String from, HandoffMessage word, boolean room) {
        HandoffEffect yes = new HandoffEffect.SendMessage(
                from, new HandoffMessage(HandoffMessage.Kind.YES, lot, word.generation()));
        HandoffEffect no =
                new HandoffEffect.SendMessage(from, new HandoffMessage(HandoffMessage.Kind.NO, lot, word.generation()));
        if (word.generation() < generation) {
            // Whoever still waits for this offer waits because it was adopted and has moved on since: had it been
            // refused, the lot would not have come to a later generation without its owner hearing so.
            return List.of(yes);
        }
        if (word.generation() == generation) {
            return List.of(status == Status.REFUSED ? no : yes);
        }
        boolean take = word.kind() == HandoffMessage.Kind.OFFER && room;
        return List.of(
                new HandoffEffect.PersistOwnership(
                        lot, new Ownership(word.generation(), take ? Status.OWNED : Status.REFUSED, "")),
                take ? yes : no);
    }
}
