package amberroute.sender;

import java.util.Map;

/**
 * The source of the configuration.
 *
 * @param environment the environment variables from which the configuration is reread, null if it cannot be reread
 * @param fingerprint the fingerprint of the configuration when it was read, 0 if it cannot be reread
 */
record ConfigSource(Map<String, String> environment, long fingerprint) {
    /** A configuration that cannot be reread. */
    static final ConfigSource NOT_RELOADABLE = new ConfigSource(null, 0);
}
