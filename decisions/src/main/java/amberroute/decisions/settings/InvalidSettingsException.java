package amberroute.decisions.settings;

/** A setting of the platform is missing or invalid; the message names its path. */
public final class InvalidSettingsException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message is shown to the operator unchanged. */
    public InvalidSettingsException(String message) {
        super(message);
    }
}
