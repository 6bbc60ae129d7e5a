package amberroute.replication;

/**
 * A position in a journal's records: the term in which the record was written, and its index within the journal. Of two
 * copies the one with the higher position has all that was ever committed in the other. Immutable.
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {
    /** Of a replica that has nothing. */
    public static final LogPosition NONE = new LogPosition(0, 0);

    @Override
    public int compareTo(LogPosition other) {
        return term != other.term ? Long.compare(term, other.term) : Long.compare(index, other.index);
    }
}
