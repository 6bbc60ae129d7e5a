package amberroute.replication;

/**
 * What one holder has of one estate: the highest term that it has granted or taken copies of, to whom that belongs, and how
 * far its copy reaches. The one thing that must outlast the holder's process: on disk before any answer that follows.
 *
 * <p>A term has one owner: it is granted once, and a holder that has granted a term takes no copy of an older one.
 *
 * <p>One that never heard of the estate may have lost its folder, and with it what it promised: it takes copies, but neither
 * grants nor counts until a group names it that was agreed on without it. {@code fresh} is 0 for one that has kept all its
 * promises, {@link #NAMED} for one that came when the group named it already, so that it has to be taken out first, and
 * {@link #LEARNS} for one that has met a group without it: the next one with it makes it count. An owner whose term is over cannot
 * bring that about, as each change of the group takes a majority that does not count this one.
 */
public record ReplicaState(long term, String owner, LogPosition copy, int fresh) {
    public static final int LEARNS = 1;
    public static final int NAMED = 2;
    /** Of one that never heard of the estate. */
    public static final ReplicaState NONE = new ReplicaState(0, "", LogPosition.NONE, 0);

    /** Of one that has kept its promises. */
    public ReplicaState(long term, String owner, LogPosition copy) {
        this(term, owner, copy, 0);
    }

    /** The same with a copy that reaches as far as this one's file says. */
    public ReplicaState reaching(LogPosition at) {
        return new ReplicaState(term, owner, at, fresh);
    }

    /** Whether what it has and grants counts. */
    public boolean counts() {
        return fresh == 0;
    }

    /**
     * Told by its owner that it had all up to a number in this term. Where it has not, its folder is an old one that was put
     * back: what it promised since is gone, as with one that comes without any.
     */
    public ReplicaState reminded(long said, String by, long had) {
        return over(said, by) || copy.compareTo(new LogPosition(said, had)) >= 0 || had <= 0
                ? this
                : new ReplicaState(said, by, LogPosition.NONE, NAMED);
    }

    /**
     * Asked for a term by somebody whose copy reaches so far. The result is this very holding where the answer is no, else
     * what has to be on disk before the yes. The same asker may ask again. Whoever never heard of the estate grants only its
     * very beginning, when there is nothing to know.
     */
    public ReplicaState asked(long asked, String candidate, LogPosition theirs) {
        if (!counts() || term == 0 && !theirs.equals(LogPosition.NONE)) {
            return this;
        }
        return asked > term && theirs.compareTo(copy) >= 0 ? new ReplicaState(asked, candidate, copy) : this;
    }

    /** Whether it has granted this term to this one. */
    public boolean granted(long asked, String candidate) {
        return counts() && term == asked && owner.equals(candidate);
    }

    /** Whether a word of this term and owner is over here: somebody else has the same or a later one. */
    public boolean over(long said, String by) {
        return said < term || said == term && !owner.equals(by);
    }

    /** Another owns a term that is not over here: from now on nothing of an older one is taken. */
    public ReplicaState heard(long said, String by) {
        return over(said, by) || term == 0 ? this : new ReplicaState(said, by, copy, fresh);
    }

    /**
     * Changes that follow one another from {@code behind} on, in a term that is not over here. Where its copy does not end
     * right there the result is this very holding: it needs the whole.
     */
    public ReplicaState copied(long said, String by, long behind, long upTo) {
        return over(said, by) || !copy.equals(new LogPosition(said, behind)) || upTo < behind
                ? this
                : new ReplicaState(said, by, new LogPosition(said, upTo), fresh);
    }

    /**
     * All of the estate as it stands at a number: takes the place of any copy of an earlier term, or a shorter one.
     * {@code named} is whether the group names this holder.
     */
    public ReplicaState whole(long said, String by, long at, boolean named) {
        LogPosition next = new LogPosition(said, at);
        return over(said, by) || next.compareTo(copy) < 0
                ? this
                : new ReplicaState(said, by, next, term > 0 ? fresh : named ? NAMED : LEARNS);
    }

    /** The group of the copy that it has now names this holder, or does not. */
    public ReplicaState named(boolean named) {
        int next = named ? (fresh == LEARNS ? 0 : fresh) : fresh == NAMED ? LEARNS : fresh;
        return next == fresh ? this : new ReplicaState(term, owner, copy, next);
    }
}
