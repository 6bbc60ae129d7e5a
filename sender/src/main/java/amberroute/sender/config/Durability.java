package amberroute.sender.config;

/** What of the journal outlasts a loss of power; what the process's own end leaves is all of it in any case. */
public enum Durability {
    /** Nothing is forced: what the kernel has outlasts the process, and that is all. */
    NONE,
    /** What comes together is forced together, off the event loop; answers, calls and notices wait for it. */
    BATCH,
    /** Each change is forced by itself, on the event loop. */
    EACH
}
