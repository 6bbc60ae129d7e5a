package amberroute.handover;

/** What a host has to carry out, in the order given; a record is on disk before the next effect. */
public sealed interface Effect {
    /** Replaces what the journal says of a lot. */
    record Write(String lot, Ownership ownership) implements Effect {}

    /** Sends a word; it may be lost, late or doubled. */
    record Send(String to, Word word) implements Effect {}
}
