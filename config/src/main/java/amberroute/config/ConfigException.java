package amberroute.config;

/** A settings file that cannot be used; the message is one line that names file, line and key. */
public final class ConfigException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The message is shown to the operator as it is. */
    public ConfigException(String message) {
        super(message);
    }
}
