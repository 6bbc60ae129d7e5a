package amberroute.replication;

/**
 * What one holder has of one estate: the highest term that it has granted or taken copies of, to whom that belongs, and how
 * far its copy reaches. The one thing that must outlast the holder's process: on disk before any answer that follows.
 *
 * <p>A term has one owner: it is granted once, and a holder that has granted a term takes no copy of an older one.
 *
 * <p>One that never heard of the estate may have lost its folder, and with it what it promised: it takes copies, but neither
 * grants nor counts until a group names it that was agreed on without it. {@code fresh} is 0 for one that has kept all its
 * promises, {@link #LISTED_WITHOUT_STATE} for one that came when the group named it already, so that it has to be taken out first, and
 * {@link #LEARNER} for one that has met a group without it: the next one with it makes it count. An owner whose term is over cannot
 * bring that about, as each change of the group takes a majority that does not count this one.
 */
public record ReplicaState(long term, String owner, LogPosition logPosition, int nonVotingStage) {
    public static final int LEARNER = 1;
    public static final int LISTED_WITHOUT_STATE = 2;
    /** Of one that never heard of the estate. */
    public static final ReplicaState NONE = new ReplicaState(0, "", LogPosition.NONE, 0);

    /** Of one that has kept its promises. */
    public ReplicaState(long term, String owner, LogPosition copy) {
        this(term, owner, copy, 0);
    }

    /** The same with a copy that reaches as far as this one's file says. */
    public ReplicaState withLogPosition(LogPosition at) {
        return new ReplicaState(term, owner, at, nonVotingStage);
    }

    /** Whether what it has and grants counts. */
    public boolean isVoter() {
        return nonVotingStage == 0;
    }

    /**
     * Told by its owner that it had all up to a number in this term. Where it has not, its folder is an old one that was put
     * back: what it promised since is gone, as with one that comes without any.
     */
    public ReplicaState withAcknowledged(long said, String by, long had) {
        return isStale(said, by) || logPosition.compareTo(new LogPosition(said, had)) >= 0 || had <= 0
                ? this
                : new ReplicaState(said, by, LogPosition.NONE, LISTED_WITHOUT_STATE);
    }

    /**
     * Asked for a term by somebody whose copy reaches so far. The result is this very holding where the answer is no, else
     * what has to be on disk before the yes. The same asker may ask again. Whoever never heard of the estate grants only its
     * very beginning, when there is nothing to know.
     */
    public ReplicaState onVoteRequest(long asked, String candidate, LogPosition theirs) {
        if (!isVoter() || term == 0 && !theirs.equals(LogPosition.NONE)) {
            return this;
        }
        return asked > term && theirs.compareTo(logPosition) >= 0
                ? new ReplicaState(asked, candidate, logPosition)
                : this;
    }

    /** Whether it has granted this term to this one. */
    public boolean hasGranted(long asked, String candidate) {
        return isVoter() && term == asked && owner.equals(candidate);
    }

    /** Whether a word of this term and owner is over here: somebody else has the same or a later one. */
    public boolean isStale(long said, String by) {
        return said < term || said == term && !owner.equals(by);
    }

    /** Another owns a term that is not over here: from now on nothing of an older one is taken. */
    public ReplicaState onLeader(long said, String by) {
        return isStale(said, by) || term == 0 ? this : new ReplicaState(said, by, logPosition, nonVotingStage);
    }

    /**
     * Changes that follow one another from {@code behind} on, in a term that is not over here. Where its copy does not end
     * right there the result is this very holding: it needs the whole.
     */
    public ReplicaState onAppend(long said, String by, long behind, long upTo) {
        return isStale(said, by) || !logPosition.equals(new LogPosition(said, behind)) || upTo < behind
                ? this
                : new ReplicaState(said, by, new LogPosition(said, upTo), nonVotingStage);
    }

    /**
     * All of the estate as it stands at a number: takes the place of any copy of an earlier term, or a shorter one.
     * {@code named} is whether the group names this holder.
     */
    public ReplicaState onSnapshot(long said, String by, long at, boolean named) {
        LogPosition next = new LogPosition(said, at);
        return isStale(said, by) || next.compareTo(logPosition) < 0
                ? this
                : new ReplicaState(said, by, next, term > 0 ? nonVotingStage : named ? LISTED_WITHOUT_STATE : LEARNER);
    }

    /** The group of the copy that it has now names this holder, or does not. */
    public ReplicaState onReplicaSet(boolean named) {
        int next = named
                ? (nonVotingStage == LEARNER ? 0 : nonVotingStage)
                : nonVotingStage == LISTED_WITHOUT_STATE ? LEARNER : nonVotingStage;
        return next == nonVotingStage ? this : new ReplicaState(term, owner, logPosition, next);
    }
}
