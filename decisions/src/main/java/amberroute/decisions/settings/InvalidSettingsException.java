package amberroute.decisions.settings;

/** What came in cannot be read; the message says what and where. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message is shown to the operator as it is. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
