package amberroute.replication;

/**
 * A place in an estate's record: the term in which it was written, and the number of the change within the estate. Of two
 * copies the one with the higher position has all that was ever agreed on in the other.
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {
    /** Of a holder that has nothing. */
    public static final LogPosition NONE = new LogPosition(0, 0);

    @Override
    public int compareTo(LogPosition other) {
        return term != other.term ? Long.compare(term, other.term) : Long.compare(index, other.index);
    }
}
