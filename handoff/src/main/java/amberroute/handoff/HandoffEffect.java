package amberroute.handoff;

/**
 * An action that the caller has to carry out. The caller carries out effects in the order given, and has each
 * record on disk before it starts the next effect.
 */
public sealed interface HandoffEffect {
    /** Replaces the ownership record of a batch in the journal. */
    record PersistOwnership(String batchId, Ownership ownership) implements HandoffEffect {}

    /** Sends a message, which may be lost, delayed or duplicated in transit. */
    record SendMessage(String recipient, HandoffMessage message) implements HandoffEffect {}
}
