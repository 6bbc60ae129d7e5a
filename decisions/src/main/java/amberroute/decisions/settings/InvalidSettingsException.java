package amberroute.decisions.settings;

/** Settings of the platform that are missing or cannot be read; the message names the path. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message is shown to the operator as it is. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
