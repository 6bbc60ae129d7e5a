package amberroute.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.tomlj.Toml;
import org.tomlj.TomlArray;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * The keys of one settings file as data. Paths are dotted; a key without a default has to be there. A file may be
 * 1 MiB long at most, and lists and lists of tables hold at most {@value #MOST_ITEMS} items.
 */
public final class Schema {
    private static final int LONGEST_FILE = 1 << 20;
    private static final int MOST_ITEMS = 4_096;
    private static final int FAR = 3;

    /** What a key's value has to be. */
    enum Type {
        TEXT,
        CHOICE,
        WHOLE,
        REAL,
        FLAG,
        DURATION,
        SIZE,
        ADDRESS,
        LIST,
        TABLES
    }

    /** One key; {@code least} and {@code most} bound figures in the type's unit (microseconds, bytes). */
    record Key(
            String path,
            Type type,
            boolean needed,
            Object fallback,
            double least,
            double most,
            List<String> choices,
            Schema rows,
            String meaning) {}

    private final Map<String, Key> keys = new LinkedHashMap<>();

    /** Any text on one line, at most 4,096 characters. */
    public Schema text(String path, String fallback, String meaning) {
        return add(new Key(path, Type.TEXT, false, fallback, 0, 0, List.of(), null, meaning));
    }

    /** As {@link #text}, but it has to be there. */
    public Schema needText(String path, String meaning) {
        return add(new Key(path, Type.TEXT, true, null, 0, 0, List.of(), null, meaning));
    }

    /** One of these words; a null default makes it needed. */
    public Schema choice(String path, List<String> words, String fallback, String meaning) {
        return add(new Key(path, Type.CHOICE, fallback == null, fallback, 0, 0, List.copyOf(words), null, meaning));
    }

    /** A whole number within bounds; a null default makes it needed. */
    public Schema whole(String path, Long fallback, long least, long most, String meaning) {
        return add(new Key(path, Type.WHOLE, fallback == null, fallback, least, most, List.of(), null, meaning));
    }

    /** A number within bounds; a null default makes it needed. */
    public Schema real(String path, Double fallback, double least, double most, String meaning) {
        return add(new Key(path, Type.REAL, fallback == null, fallback, least, most, List.of(), null, meaning));
    }

    /** True or false. */
    public Schema flag(String path, boolean fallback, String meaning) {
        return add(new Key(path, Type.FLAG, false, fallback, 0, 0, List.of(), null, meaning));
    }

    /**
     * A span of time, written as a text with its unit: us, ms, s, m, h or d. Bounds and default are written alike; a
     * null default makes it needed.
     */
    public Schema duration(String path, String fallback, String least, String most, String meaning) {
        return add(new Key(
                path,
                Type.DURATION,
                fallback == null,
                fallback == null ? null : Units.micros(fallback),
                Units.micros(least),
                Units.micros(most),
                List.of(),
                null,
                meaning));
    }

    /** A number of bytes, written as a text with its unit: B, KB, MB, GB, KiB, MiB or GiB. */
    public Schema size(String path, String fallback, String least, String most, String meaning) {
        return add(new Key(
                path,
                Type.SIZE,
                fallback == null,
                fallback == null ? null : Units.bytes(fallback),
                Units.bytes(least),
                Units.bytes(most),
                List.of(),
                null,
                meaning));
    }

    /** An address in figures with a port; names are never looked up. Absent where the file does not have it. */
    public Schema address(String path, boolean needed, String meaning) {
        return add(new Key(path, Type.ADDRESS, needed, null, 0, 0, List.of(), null, meaning));
    }

    /** A list of texts, empty where the file does not have it. */
    public Schema list(String path, String meaning) {
        return add(new Key(path, Type.LIST, false, List.of(), 0, MOST_ITEMS, List.of(), null, meaning));
    }

    /** A list of tables, each read against a schema of its own. */
    public Schema tables(String path, Schema rows, int least, String meaning) {
        return add(new Key(path, Type.TABLES, least > 0, List.of(), least, MOST_ITEMS, List.of(), rows, meaning));
    }

    private Schema add(Key key) {
        if (keys.put(key.path(), key) != null) {
            throw new IllegalArgumentException("key " + key.path() + " is there twice");
        }
        return this;
    }

    /** All paths, those of tables in lists with the list's path ahead; for documentation and its tests. */
    public List<String> paths() {
        List<String> out = new ArrayList<>();
        for (Key key : keys.values()) {
            out.add(key.path());
            if (key.rows() != null) {
                key.rows().paths().forEach(path -> out.add(key.path() + "." + path));
            }
        }
        return out;
    }

    /** One line for each key: path, type with bounds, default and meaning. */
    public List<String> describe() {
        List<String> out = new ArrayList<>();
        for (Key key : keys.values()) {
            String bounds =
                    switch (key.type()) {
                        case WHOLE, REAL -> " " + Units.plain(key.least()) + " to " + Units.plain(key.most());
                        case DURATION -> " " + Units.span((long) key.least()) + " to " + Units.span((long) key.most());
                        case CHOICE -> " " + String.join(" | ", key.choices());
                        default -> "";
                    };
            String standard = key.needed()
                    ? "needed"
                    : key.fallback() == null
                            ? "none"
                            : key.type() == Type.DURATION
                                    ? Units.span((Long) key.fallback())
                                    : key.fallback().toString();
            out.add(key.path() + " (" + key.type().name().toLowerCase(java.util.Locale.ROOT) + bounds + "; " + standard
                    + "): " + key.meaning());
            if (key.rows() != null) {
                key.rows().describe().forEach(line -> out.add("  " + key.path() + "." + line));
            }
        }
        return out;
    }

    /** Reads a file; whatever is wrong with it ends in a {@link ConfigException}. */
    public Settings read(Path file) {
        try {
            if (Files.size(file) > LONGEST_FILE) {
                throw new ConfigException(file + ": longer than 1 MiB");
            }
            return parse(Files.readString(file), file.toString());
        } catch (IOException e) {
            throw new ConfigException(file + ": cannot be read: " + e.getClass().getSimpleName());
        }
    }

    /** Reads a text; {@code name} stands for the file in errors. */
    public Settings parse(String text, String name) {
        TomlParseResult parsed = Toml.parse(text);
        if (parsed.hasErrors()) {
            var first = parsed.errors().get(0);
            throw new ConfigException(name + ":" + first.position().line() + ": "
                    + String.valueOf(first.getMessage()).lines().findFirst().orElse("is no TOML"));
        }
        return table(parsed, name, "");
    }

    private Settings table(TomlTable table, String file, String prefix) {
        refuseUnknown(table, file, prefix, "");
        Map<String, Object> values = new TreeMap<>();
        for (Key key : keys.values()) {
            List<String> path = List.of(key.path().split("\\."));
            Object raw = table.get(path);
            String where = where(table.inputPositionOf(path), file) + prefix + key.path();
            if (raw == null) {
                if (key.needed()) {
                    throw new ConfigException(file + ": " + prefix + key.path() + " is missing: " + key.meaning());
                }
                if (key.fallback() != null) {
                    values.put(key.path(), key.fallback());
                }
                continue;
            }
            values.put(key.path(), value(key, raw, where, file, prefix));
        }
        return new Settings(values, file);
    }

    private static String where(TomlPosition position, String file) {
        return file + (position == null ? "" : ":" + position.line()) + ": ";
    }

    private static Object value(Key key, Object raw, String where, String file, String prefix) {
        return switch (key.type()) {
            case TEXT -> text(raw, where);
            case CHOICE -> {
                String word = text(raw, where);
                if (!key.choices().contains(word)) {
                    throw new ConfigException(
                            where + " is " + quote(word) + ", not one of " + String.join(", ", key.choices()));
                }
                yield word;
            }
            case WHOLE -> {
                if (!(raw instanceof Long number)) {
                    throw new ConfigException(where + " has to be a whole number");
                }
                yield (Object) (long) within(key, number, where);
            }
            case REAL -> {
                if (!(raw instanceof Number number)) {
                    throw new ConfigException(where + " has to be a number");
                }
                yield (Object) within(key, number.doubleValue(), where);
            }
            case FLAG -> {
                if (!(raw instanceof Boolean)) {
                    throw new ConfigException(where + " has to be true or false");
                }
                yield raw;
            }
            case DURATION -> (Object) (long) within(key, unit(raw, where, true), where);
            case SIZE -> (Object) (long) within(key, unit(raw, where, false), where);
            case ADDRESS -> {
                try {
                    yield Units.address(text(raw, where));
                } catch (IllegalArgumentException e) {
                    throw new ConfigException(where + ": " + e.getMessage());
                }
            }
            case LIST -> {
                TomlArray array = array(key, raw, where);
                List<String> out = new ArrayList<>();
                for (int i = 0; i < array.size(); i++) {
                    out.add(text(array.get(i), where));
                }
                yield List.copyOf(out);
            }
            case TABLES -> {
                TomlArray array = array(key, raw, where);
                List<Settings> out = new ArrayList<>();
                for (int i = 0; i < array.size(); i++) {
                    if (!(array.get(i) instanceof TomlTable row)) {
                        throw new ConfigException(where + " has to be written as [[" + key.path() + "]]");
                    }
                    out.add(key.rows().table(row, file, prefix + key.path() + "[" + i + "]."));
                }
                if (out.size() < key.least()) {
                    throw new ConfigException(where + " needs " + (int) key.least() + " at least");
                }
                yield List.copyOf(out);
            }
        };
    }

    private static TomlArray array(Key key, Object raw, String where) {
        if (!(raw instanceof TomlArray array) || array.size() > key.most()) {
            throw new ConfigException(where + " has to be a list of at most " + (int) key.most());
        }
        return array;
    }

    private static String text(Object raw, String where) {
        if (!(raw instanceof String text)
                || text.length() > 4_096
                || text.chars().anyMatch(Character::isISOControl)) {
            throw new ConfigException(where + " has to be a text on one line");
        }
        return text;
    }

    private static double within(Key key, double value, String where) {
        if (!(value >= key.least() && value <= key.most())) {
            boolean span = key.type() == Type.DURATION;
            throw new ConfigException(where + " has to be between "
                    + (span ? Units.span((long) key.least()) : Units.plain(key.least())) + " and "
                    + (span ? Units.span((long) key.most()) : Units.plain(key.most())));
        }
        return value;
    }

    private static long unit(Object raw, String where, boolean time) {
        try {
            return time ? Units.micros(text(raw, where)) : Units.bytes(text(raw, where));
        } catch (IllegalArgumentException e) {
            throw new ConfigException(
                    where + " has to be a text such as " + (time ? "\"1500ms\"" : "\"64MB\"") + ", with its unit");
        }
    }

    // ---- Unknown keys. ----

    private void refuseUnknown(TomlTable table, String file, String prefix, String path) {
        for (String name : table.keySet()) {
            String full = path.isEmpty() ? name : path + "." + name;
            if (keys.containsKey(full)) {
                continue;
            }
            Object value = table.get(List.of(name));
            boolean group = keys.keySet().stream().anyMatch(k -> k.startsWith(full + "."));
            if (value instanceof TomlTable inner && group) {
                refuseUnknown(inner, file, prefix, full);
                continue;
            }
            String near = nearest(full);
            throw new ConfigException(where(table.inputPositionOf(List.of(name)), file) + "unknown key " + prefix
                    + full.replaceAll("\\p{Cntrl}", "?")
                    + (near == null ? "" : "; did you mean " + prefix + near + "?"));
        }
    }

    /** The known key with the fewest letters to change, null where none is near. */
    private String nearest(String unknown) {
        String best = null;
        int least = Math.max(FAR, unknown.length() / 3) + 1;
        for (String known : keys.keySet()) {
            int distance = distance(unknown, known);
            if (distance < least) {
                least = distance;
                best = known;
            }
        }
        return best;
    }

    /** Levenshtein's, on the first 64 characters. */
    private static int distance(String a, String b) {
        int n = Math.min(64, a.length());
        int m = Math.min(64, b.length());
        int[] row = new int[m + 1];
        for (int j = 0; j <= m; j++) {
            row[j] = j;
        }
        for (int i = 1; i <= n; i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= m; j++) {
                int above = row[j];
                int change = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                row[j] = Math.min(change, Math.min(above, row[j - 1]) + 1);
                corner = above;
            }
        }
        return row[m];
    }

    private static String quote(String word) {
        return '"' + (word.length() > 40 ? word.substring(0, 40) + "..." : word) + '"';
    }
}
