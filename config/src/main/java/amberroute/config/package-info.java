/**
 * Typed settings files. A {@link amberroute.config.Schema} lists a file's keys as data: type, bounds, default and
 * meaning; reading a TOML file against it gives a {@link amberroute.config.Settings} or one line that names the key.
 *
 * <p>This room knows no subsystem: which keys there are is told by whoever owns the file. It reads the file that it is
 * given and nothing else; TOML itself is tomlj's matter.
 */
package amberroute.config;
