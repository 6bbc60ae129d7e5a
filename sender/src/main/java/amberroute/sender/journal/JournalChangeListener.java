package amberroute.sender.journal;

import amberroute.storage.Batch;

/** Replicates each change of a journal. All methods are called on the event loop. */
public interface JournalChangeListener {
    /** Returns the log position to journal with the next change, or null if changes are not numbered at present. */
    byte[] replicationPosition();

    /** Called after a batch has been appended to the journal; the batch includes its replication position. */
    void batchWritten(Batch batch);

    /**
     * Runs {@code effect} once all batches written so far are replicated.
     *
     * @param onFailure runs instead if that takes too long; null to wait without a time limit
     */
    void whenReplicated(Runnable effect, Runnable onFailure);
}
