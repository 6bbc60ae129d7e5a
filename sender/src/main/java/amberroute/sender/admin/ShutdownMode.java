package amberroute.sender.admin;

/** How a sender is asked to stop: what becomes of the messages that are pending. */
public enum ShutdownMode {
    /** They stay in the journal for the next process of this sender. */
    RESTART,
    /** They are handed off to peers; the next process of this sender goes on with the rest. */
    MOVE,
    /** They are handed off to peers or completed, as no process comes after this one. */
    FINAL
}
