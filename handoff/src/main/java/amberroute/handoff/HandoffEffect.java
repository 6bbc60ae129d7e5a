package amberroute.handoff;

/** What a host has to carry out, in the order given; a record is on disk before the next effect. */
public sealed interface HandoffEffect {
    /** Replaces what the journal says of a batch. */
    record PersistOwnership(String batchId, Ownership ownership) implements HandoffEffect {}

    /** Sends a message, which may be lost, delayed or repeated on the way. */
    record SendMessage(String recipient, HandoffMessage message) implements HandoffEffect {}
}
