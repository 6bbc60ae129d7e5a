package amberroute.replication;

/**
 * The votes and the log position of one replica of one journal. This is the only state that must survive the
 * process of the replica: it is on disk before any reply that depends on it is sent. Immutable; each transition
 * returns the next state, or this instance if nothing changes.
 *
 * <p>Invariant: a term has one leader. A replica grants a term once, and afterwards accepts nothing of an earlier
 * term.
 *
 * <p>A replica without any state for the journal may have lost its state folder, and with it its votes. It accepts
 * records, but grants only the beginning of a new journal, and is not counted until it is named by a replica set
 * that was committed without it. A leader whose term is over cannot bring that about, because each change of the
 * replica set requires a quorum, in which this replica is not counted.
 *
 * @param term the highest term that was granted, or of which records were accepted
 * @param owner the leader of that term; empty for none
 * @param logPosition the last position of the copy
 * @param nonVotingStage 0 for a voter, which has kept its state. {@link #LISTED_WITHOUT_STATE} for a replica that
 *     joined without state when the replica set already named it, so that it has to be removed first. {@link
 *     #LEARNER} for a replica that has received a replica set that does not name it: the next one that names it
 *     makes it a voter. The number is on disk.
 */
public record ReplicaState(long term, String owner, LogPosition logPosition, int nonVotingStage) {
    /** Becomes a voter once a replica set names it. */
    public static final int LEARNER = 1;
    /** Has to be removed from the replica set before it can become a learner. */
    public static final int LISTED_WITHOUT_STATE = 2;

    private static final int VOTER = 0;

    /** The state of a replica without any record of the journal. */
    public static final ReplicaState NONE = new ReplicaState(0, "", LogPosition.NONE, VOTER);

    /** Creates the state of a voter. */
    public ReplicaState(long term, String owner, LogPosition logPosition) {
        this(term, owner, logPosition, VOTER);
    }

    /** Returns this state with the log position that the records of the copy show. */
    public ReplicaState withLogPosition(LogPosition position) {
        return new ReplicaState(term, owner, position, nonVotingStage);
    }

    /** Whether the votes and acknowledgements of this replica count towards a quorum. */
    public boolean isVoter() {
        return nonVotingStage == VOTER;
    }

    /**
     * Compares this state with the index that, according to the leader, this replica has acknowledged in a term. If
     * the replica has less, an old copy of its state folder was restored: its votes since then are lost, as for a
     * replica that joins without any state.
     */
    public ReplicaState withAcknowledged(long leaderTerm, String leader, long acknowledgedIndex) {
        boolean hasAcknowledgedRecords = logPosition.compareTo(new LogPosition(leaderTerm, acknowledgedIndex)) >= 0;
        return isStale(leaderTerm, leader) || hasAcknowledgedRecords || acknowledgedIndex <= 0
                ? this
                : new ReplicaState(leaderTerm, leader, LogPosition.NONE, LISTED_WITHOUT_STATE);
    }

    /**
     * Handles a vote request of a candidate at the given position. Returns this instance if the vote is denied,
     * otherwise the state that has to be on disk before the vote is sent. The same candidate may ask again. A
     * replica without any record of the journal grants only a term of an empty journal, of which there are no
     * records to miss.
     */
    public ReplicaState onVoteRequest(long requestedTerm, String candidate, LogPosition candidatePosition) {
        if (!isVoter() || term == 0 && !candidatePosition.equals(LogPosition.NONE)) {
            return this;
        }
        return requestedTerm > term && candidatePosition.compareTo(logPosition) >= 0
                ? new ReplicaState(requestedTerm, candidate, logPosition)
                : this;
    }

    /** Whether this replica has granted this term to this candidate. */
    public boolean hasGranted(long requestedTerm, String candidate) {
        return isVoter() && term == requestedTerm && owner.equals(candidate);
    }

    /**
     * Whether a message of this term and leader is stale: this replica knows a later term, or another leader of the
     * same term.
     */
    public boolean isStale(long leaderTerm, String leader) {
        return leaderTerm < term || leaderTerm == term && !owner.equals(leader);
    }

    /**
     * Handles a message of the leader of a term that is not stale. Messages of earlier terms are rejected from now
     * on.
     */
    public ReplicaState onLeader(long leaderTerm, String leader) {
        return isStale(leaderTerm, leader) || term == 0
                ? this
                : new ReplicaState(leaderTerm, leader, logPosition, nonVotingStage);
    }

    /**
     * Appends consecutive records after {@code previousIndex}, in a term that is not stale. Returns this instance
     * if the copy does not end exactly at that index, in which case the replica needs a snapshot.
     */
    public ReplicaState onAppend(long leaderTerm, String leader, long previousIndex, long lastIndex) {
        boolean isContiguous =
                logPosition.equals(new LogPosition(leaderTerm, previousIndex)) && lastIndex >= previousIndex;
        return isStale(leaderTerm, leader) || !isContiguous
                ? this
                : new ReplicaState(leaderTerm, leader, new LogPosition(leaderTerm, lastIndex), nonVotingStage);
    }

    /**
     * Replaces the copy by a snapshot of the journal at an index, if the copy is of an earlier term or shorter.
     * {@code isMember} is whether the replica set names this replica.
     */
    public ReplicaState onSnapshot(long leaderTerm, String leader, long index, boolean isMember) {
        LogPosition position = new LogPosition(leaderTerm, index);
        if (isStale(leaderTerm, leader) || position.compareTo(logPosition) < 0) {
            return this;
        }
        int stageOfNewReplica = isMember ? LISTED_WITHOUT_STATE : LEARNER;
        return new ReplicaState(leaderTerm, leader, position, term > 0 ? nonVotingStage : stageOfNewReplica);
    }

    /** Handles the replica set of the current copy. {@code isMember} is whether it names this replica. */
    public ReplicaState onReplicaSet(boolean isMember) {
        int nextStage = nonVotingStage;
        if (isMember && nonVotingStage == LEARNER) {
            nextStage = VOTER;
        } else if (!isMember && nonVotingStage == LISTED_WITHOUT_STATE) {
            nextStage = LEARNER;
        }
        return nextStage == nonVotingStage ? this : new ReplicaState(term, owner, logPosition, nextStage);
    }
}
