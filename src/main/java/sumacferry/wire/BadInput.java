package sumacferry.wire;

/** What came in cannot be read; the message says what and where. */
final class BadInput extends RuntimeException {
    private static final long serialVersionUID = 1L;

    BadInput(String message) {
        super(message);
    }
}
