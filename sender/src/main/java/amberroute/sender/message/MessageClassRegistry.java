package amberroute.sender.message;

import amberroute.decisions.DeliveryScheduler.MessageClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * The classes of messages that count now, and those that messages under way were taken on in. Each version of a class,
 * a name with its figures, has a number that stays its own for as long as a message of it is held; the numbers are the
 * module's indexes, so they are small, and one that nobody needs any more is given away again. Decides nothing.
 */
public final class MessageClassRegistry {
    /** Versions at once, current ones and such as held messages still need. */
    static final int MOST = 64;

    /** One version of a class. */
    public record Version(String name, MessageClass type) {}

    private final List<Version> versions = new ArrayList<>();
    private Map<String, Integer> current = Map.of();

    /** Puts back a version that held messages of an earlier process need, under its number of then. */
    public void restore(int number, Version version) {
        while (versions.size() <= number) {
            versions.add(null);
        }
        versions.set(number, version);
    }

    /**
     * These classes count from now on. Returns false, and changes nothing, where there would be more versions than
     * {@link #MOST}; {@code held} tells whether a held message needs a number.
     */
    public boolean take(List<String> names, List<MessageClass> types, IntPredicate held) {
        List<Version> now = new ArrayList<>(versions);
        Map<String, Integer> next = new HashMap<>();
        List<Version> missing = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            Version version = new Version(names.get(i), types.get(i));
            int number = now.indexOf(version);
            if (number >= 0) {
                next.put(version.name(), number);
            } else {
                missing.add(version);
            }
        }
        for (Version version : missing) {
            int number = 0;
            while (number < now.size()
                    && (now.get(number) != null && held.test(number) || next.containsValue(number))) {
                number++;
            }
            if (number == MOST) {
                return false;
            }
            if (number == now.size()) {
                now.add(version);
            }
            now.set(number, version);
            next.put(version.name(), number);
        }
        for (int i = 0; i < now.size(); i++) {
            if (!next.containsValue(i) && !held.test(i)) {
                now.set(i, null);
            }
        }
        versions.clear();
        versions.addAll(now);
        current = Map.copyOf(next);
        return true;
    }

    /** Number of the version that counts under this name, -1 if there is none. */
    public int number(String name) {
        return current.getOrDefault(name, -1);
    }

    /** The names that clients may use. */
    public java.util.Set<String> names() {
        return current.keySet();
    }

    /** Null for a number that nobody has. */
    public Version version(int number) {
        return number >= 0 && number < versions.size() ? versions.get(number) : null;
    }

    public MessageClass type(int number) {
        return versions.get(number).type();
    }

    /** By number, for the module: a number that nobody has stands for a class that counts, as its times then add nothing. */
    public List<MessageClass> types() {
        MessageClass any = type(current.values().iterator().next());
        return versions.stream().map(v -> v == null ? any : v.type()).toList();
    }

    public int size() {
        return versions.size();
    }
}
