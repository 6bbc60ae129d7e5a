package amberroute.sender.journal;

/** Runs slow work of the journal, such as an fsync, off the event loop. */
public interface BackgroundExecutor {
    /** Runs {@code work} on another thread, then {@code then} on the event loop. */
    void runInBackground(Runnable work, Runnable completion);

    /** Runs {@code work} on the event loop behind all that is due there, so that one fsync covers all of it. */
    void runOnLoop(Runnable work);
}
