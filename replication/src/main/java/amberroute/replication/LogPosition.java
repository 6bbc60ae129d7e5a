package amberroute.replication;

/**
 * A position in the records of a journal: the term in which a record was written, and its index within the journal.
 * Of two copies, the one with the higher position has every record that was committed in the other. Immutable.
 */
public record LogPosition(long term, long index) implements Comparable<LogPosition> {
    /** The position of an empty copy. */
    public static final LogPosition NONE = new LogPosition(0, 0);

    @Override
    public int compareTo(LogPosition other) {
        return term != other.term ? Long.compare(term, other.term) : Long.compare(index, other.index);
    }
}
