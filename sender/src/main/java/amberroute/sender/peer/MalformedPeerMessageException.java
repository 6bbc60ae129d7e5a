package amberroute.sender.peer;

/**
 * A line from a peer that breaks its protocol: which field, and the bound that it breaks. Not retriable. The handler of the
 * connection closes that connection; no other peer is affected.
 */
public final class MalformedPeerMessageException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    private final String field;
    private final String bound;

    MalformedPeerMessageException(String field, String bound) {
        super(field + " has to be " + bound);
        this.field = field;
        this.bound = bound;
    }

    MalformedPeerMessageException(String field, String bound, Throwable cause) {
        super(field + " has to be " + bound, cause);
        this.field = field;
        this.bound = bound;
    }

    /** Name of the field on the wire, such as {@code lot}. */
    public String field() {
        return field;
    }

    /** What the field has to be, such as {@code a whole number}. */
    public String bound() {
        return bound;
    }
}
