package amberroute.sender.journal;

import amberroute.storage.Batch;

/** Replicates each change of a journal. All methods are called on the event loop. */
public interface JournalChangeListener {
    /** Returns the log position to be journaled with the next change, or null where changes are not numbered now. */
    byte[] replicationPosition();

    /** Takes a batch that has been appended to the journal, its replication position included. */
    void batchWritten(Batch batch);

    /**
     * Runs {@code effect} once all batches written so far are replicated.
     *
     * @param onFailure runs in its place when that takes too long; null to wait without a bound
     */
    void whenReplicated(Runnable effect, Runnable onFailure);
}
