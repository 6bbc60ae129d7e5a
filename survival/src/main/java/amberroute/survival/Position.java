package amberroute.survival;

/**
 * A place in an estate's record: the term in which it was written, and the number of the change within the estate. Of two
 * copies the one with the higher position has all that was ever agreed on in the other.
 */
public record Position(long term, long number) implements Comparable<Position> {
    /** Of a holder that has nothing. */
    public static final Position NONE = new Position(0, 0);

    @Override
    public int compareTo(Position other) {
        return term != other.term ? Long.compare(term, other.term) : Long.compare(number, other.number);
    }
}
