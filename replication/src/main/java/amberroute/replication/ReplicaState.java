package amberroute.replication;

/**
 * What one replica has promised and has of one journal. The one thing that must outlast the replica's process: on disk before any
 * answer that follows. Immutable; each transition gives the next state, or this very instance where nothing changes.
 *
 * <p>Invariant: a term has one owner. It is granted once, and a replica that has granted a term takes nothing of an older one.
 *
 * <p>A replica that never heard of the journal may have lost its folder, and with it what it promised: it takes copies, but grants
 * only the beginning of a new journal and does not count until a replica set names it that was committed without it. An owner whose term is over cannot
 * bring that about, as each change of the replica set takes a quorum that does not count this one.
 *
 * @param term the highest term that was granted, or of which records were taken
 * @param owner to whom that term belongs, empty for none
 * @param logPosition how far the copy reaches
 * @param nonVotingStage 0 for a replica that has kept all its promises and votes, {@link #LISTED_WITHOUT_STATE} for one that came when the
 *     replica set named it already, so that it has to be taken out first, and {@link #LEARNER} for one that has met a replica set
 *     without it: the next one with it makes it a voter. The number is on disk.
 */
public record ReplicaState(long term, String owner, LogPosition logPosition, int nonVotingStage) {
    /** Votes again once a replica set names it. */
    public static final int LEARNER = 1;
    /** Has to be taken out of the replica set before it may learn. */
    public static final int LISTED_WITHOUT_STATE = 2;

    private static final int VOTER = 0;

    /** Of a replica that never heard of the journal. */
    public static final ReplicaState NONE = new ReplicaState(0, "", LogPosition.NONE, VOTER);

    /** Of a replica that has kept its promises. */
    public ReplicaState(long term, String owner, LogPosition logPosition) {
        this(term, owner, logPosition, VOTER);
    }

    /** The same with a copy that reaches as far as its own records say. */
    public ReplicaState withLogPosition(LogPosition position) {
        return new ReplicaState(term, owner, position, nonVotingStage);
    }

    /** Whether what it has and grants counts. */
    public boolean isVoter() {
        return nonVotingStage == VOTER;
    }

    /**
     * The owner says what this replica has acknowledged in a term. Where it has less, its folder is an old one that was put
     * back: what it promised since is gone, as with one that comes without any.
     */
    public ReplicaState withAcknowledged(long leaderTerm, String leader, long acknowledgedIndex) {
        boolean hasAcknowledgedRecords = logPosition.compareTo(new LogPosition(leaderTerm, acknowledgedIndex)) >= 0;
        return isStale(leaderTerm, leader) || hasAcknowledgedRecords || acknowledgedIndex <= 0
                ? this
                : new ReplicaState(leaderTerm, leader, LogPosition.NONE, LISTED_WITHOUT_STATE);
    }

    /**
     * A candidate whose copy reaches so far asks for a term. The result is this very state where the vote is denied, else
     * what has to be on disk before it is granted. The same candidate may ask again. A replica that never heard of the journal grants
     * only its very beginning, when there is nothing to know.
     */
    public ReplicaState onVoteRequest(long requestedTerm, String candidate, LogPosition candidatePosition) {
        if (!isVoter() || term == 0 && !candidatePosition.equals(LogPosition.NONE)) {
            return this;
        }
        return requestedTerm > term && candidatePosition.compareTo(logPosition) >= 0
                ? new ReplicaState(requestedTerm, candidate, logPosition)
                : this;
    }

    /** Whether it has granted this term to this candidate. */
    public boolean hasGranted(long requestedTerm, String candidate) {
        return isVoter() && term == requestedTerm && owner.equals(candidate);
    }

    /** Whether a message of this term and leader is over here: somebody else has the same or a later term. */
    public boolean isStale(long leaderTerm, String leader) {
        return leaderTerm < term || leaderTerm == term && !owner.equals(leader);
    }

    /** A leader has a term that is not stale: from now on nothing of an older one is taken. */
    public ReplicaState onLeader(long leaderTerm, String leader) {
        return isStale(leaderTerm, leader) || term == 0
                ? this
                : new ReplicaState(leaderTerm, leader, logPosition, nonVotingStage);
    }

    /**
     * Records that follow one another from {@code previousIndex} on, in a term that is not stale. Where the copy does not end
     * right there the result is this very state: it needs a snapshot.
     */
    public ReplicaState onAppend(long leaderTerm, String leader, long previousIndex, long lastIndex) {
        boolean isContiguous =
                logPosition.equals(new LogPosition(leaderTerm, previousIndex)) && lastIndex >= previousIndex;
        return isStale(leaderTerm, leader) || !isContiguous
                ? this
                : new ReplicaState(leaderTerm, leader, new LogPosition(leaderTerm, lastIndex), nonVotingStage);
    }

    /**
     * All of the journal as it stands at an index: takes the place of any copy of an earlier term, or a shorter one.
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

    /** The replica set of the copy that it has now names this replica, or does not. */
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
