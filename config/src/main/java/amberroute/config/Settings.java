package amberroute.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;

/** The values of one file or table, checked against its {@link Schema}; asking for a key it has not is a defect. */
public final class Settings {
    private final Map<String, Object> values;
    private final String file;

    Settings(Map<String, Object> values, String file) {
        this.values = values;
        this.file = file;
    }

    /** Whether the file has the key, or it has a default. */
    public boolean has(String path) {
        return values.containsKey(path);
    }

    /** A text or a choice, null where it is absent. */
    public String text(String path) {
        return (String) values.get(path);
    }

    /** A whole number. */
    public int whole(String path) {
        return Math.toIntExact((Long) need(path));
    }

    /** A number. */
    public double real(String path) {
        return (Double) need(path);
    }

    /** True or false. */
    public boolean flag(String path) {
        return (Boolean) need(path);
    }

    /** A span in microseconds. */
    public long micros(String path) {
        return (Long) need(path);
    }

    /** A span in whole milliseconds. */
    public long millis(String path) {
        return micros(path) / 1_000;
    }

    /** A size in bytes. */
    public long bytes(String path) {
        return (Long) need(path);
    }

    /** An address, null where it is absent. */
    public InetSocketAddress address(String path) {
        return (InetSocketAddress) values.get(path);
    }

    /** A list of texts. */
    @SuppressWarnings("unchecked")
    public List<String> list(String path) {
        return (List<String>) need(path);
    }

    /** A list of tables. */
    @SuppressWarnings("unchecked")
    public List<Settings> tables(String path) {
        return (List<Settings>) need(path);
    }

    /** The error that a check of whoever owns the file ends in, where no single key's type or bounds told. */
    public ConfigException bad(String path, String reason) {
        return new ConfigException(file + ": " + path + " " + reason);
    }

    private Object need(String path) {
        Object value = values.get(path);
        if (value == null) {
            throw new IllegalArgumentException("no setting " + path);
        }
        return value;
    }
}
