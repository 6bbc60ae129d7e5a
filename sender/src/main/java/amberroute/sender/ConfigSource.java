package amberroute.sender;

import java.util.Map;

/**
 * Where the configuration comes from.
 *
 * @param environment the environment variables that it is read from again, null where it cannot be
 * @param fingerprint the fingerprint of the configuration that was read, 0 where it cannot be read again
 */
record ConfigSource(Map<String, String> environment, long fingerprint) {
    /** A configuration that cannot be read again. */
    static final ConfigSource NOT_RELOADABLE = new ConfigSource(null, 0);
}
