package amberroute.survival;

/**
 * What one holder has of one estate: the highest term that it has granted or taken copies of, to whom that belongs, and how
 * far its copy reaches. The one thing that must outlast the holder's process: on disk before any answer that follows.
 *
 * <p>A term has one owner: it is granted once, and a holder that has granted a term takes no copy of an older one.
 */
public record Holding(long term, String owner, Position copy) {
    /** Of one that never heard of the estate. */
    public static final Holding NONE = new Holding(0, "", Position.NONE);

    /**
     * Asked for a term by somebody whose copy reaches so far. The result is this very holding where the answer is no, else
     * what has to be on disk before the yes. The same asker may ask again.
     */
    public Holding asked(long asked, String candidate, Position theirs) {
        return asked > term && theirs.compareTo(copy) >= 0 ? new Holding(asked, candidate, copy) : this;
    }

    /** Whether it has granted this term to this one. */
    public boolean granted(long asked, String candidate) {
        return term == asked && owner.equals(candidate);
    }

    /** Whether a word of this term and owner is over here: somebody else has the same or a later one. */
    public boolean over(long said, String by) {
        return said < term || said == term && !owner.equals(by);
    }

    /**
     * Changes that follow one another from {@code behind} on, in a term that is not over here. Where its copy does not end
     * right there the result is this very holding: it needs the whole.
     */
    public Holding copied(long said, String by, long behind, long upTo) {
        return over(said, by) || !copy.equals(new Position(said, behind)) || upTo < behind ? this
                : new Holding(said, by, new Position(said, upTo));
    }

    /** All of the estate as it stands at a number: takes the place of any copy of an earlier term, or a shorter one. */
    public Holding whole(long said, String by, long at) {
        Position next = new Position(said, at);
        return over(said, by) || next.compareTo(copy) < 0 ? this : new Holding(said, by, next);
    }
}
