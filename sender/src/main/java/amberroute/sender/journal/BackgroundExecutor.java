package amberroute.sender.journal;

/** Runs slow work of the journal, such as an fsync, off the event loop. */
public interface BackgroundExecutor {
    /** Runs {@code work} on another thread, then {@code completion} on the event loop. */
    void runInBackground(Runnable work, Runnable completion);

    /** Runs {@code work} on the event loop after all tasks that are due there, so that one fsync covers all of them. */
    void runOnLoop(Runnable work);
}
