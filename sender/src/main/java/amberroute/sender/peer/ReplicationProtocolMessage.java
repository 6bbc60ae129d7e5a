package amberroute.sender.peer;

import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The messages of the replication protocol, as data; {@link ReplicationCodec} knows their form on the wire. Each names its
 * sender, the journal and a leader term. Immutable.
 */
public sealed interface ReplicationProtocolMessage {
    /** Name of the daemon that says it. */
    String sender();

    /** The replicated journal. */
    String journalId();

    /** In a request the sender's term, in a reply the highest term that the replica knows of. */
    long term();

    /**
     * A candidate asks for a term.
     *
     * @param preVote only asks whether the vote would be granted, which changes nothing at the voter
     * @param candidatePosition how far the candidate's own copy reaches
     */
    record VoteRequest(String sender, String journalId, long term, boolean preVote, LogPosition candidatePosition)
            implements ReplicationProtocolMessage {}

    /**
     * A voter's answer.
     *
     * @param requestedTerm the term that was asked for
     * @param formerJournalOpen an earlier journal of the candidate is not settled yet, so no new one may begin
     * @param ahead the voter's copy reaches further than the candidate's
     */
    record VoteReply(
            String sender,
            String journalId,
            long term,
            boolean granted,
            long requestedTerm,
            boolean formerJournalOpen,
            boolean ahead)
            implements ReplicationProtocolMessage {}

    /**
     * Records that follow a log position; without records it is a heartbeat.
     *
     * @param previousIndex index behind which the records follow
     * @param lastIndex index of the last of them
     * @param replicaSet the replica set, where the replica has not had this version on the connection
     */
    record AppendEntries(
            String sender,
            String journalId,
            long term,
            long previousIndex,
            long lastIndex,
            List<EncodedBatch> batches,
            Optional<ReplicaSet> replicaSet)
            implements ReplicationProtocolMessage {}

    /**
     * A slice of the whole journal, with the records appended meanwhile between.
     *
     * @param acknowledgedIndex in the first slice what the replica has acknowledged in this term
     * @param lastIndex in the last slice the index that the snapshot reaches
     */
    record SnapshotSlice(
            String sender,
            String journalId,
            long term,
            boolean first,
            boolean last,
            OptionalLong acknowledgedIndex,
            OptionalLong lastIndex,
            List<EncodedBatch> batches,
            ReplicaSet replicaSet)
            implements ReplicationProtocolMessage {}

    /**
     * Answers records and the last slice of a snapshot.
     *
     * @param accepted the replica has all up to {@code lastIndex}; otherwise it needs a snapshot
     * @param voter whether the replica counts for the quorum
     */
    record AppendReply(String sender, String journalId, long term, boolean accepted, long lastIndex, boolean voter)
            implements ReplicationProtocolMessage {}

    /** Answers a request of a term that is over; {@code owner} has a later one, or is empty where the journal is completed. */
    record TermSuperseded(String sender, String journalId, long term, String owner)
            implements ReplicationProtocolMessage {}

    /** Nothing of the journal is pending any more; it is never begun again. */
    record JournalCompleted(String sender, String journalId, long term) implements ReplicationProtocolMessage {}

    /** The owner's process ends for a planned restart and is back within so many milliseconds. */
    record OwnerRestarting(String sender, String journalId, long term, long backMillis)
            implements ReplicationProtocolMessage {}

    /** The receiver is no member of the replica set any more and need not keep its copy. */
    record ReplicaRemoved(String sender, String journalId, long term) implements ReplicationProtocolMessage {}
}
