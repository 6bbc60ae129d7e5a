package amberroute.sender.message;

import amberroute.decisions.DeliveryScheduler.MessageClass;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntPredicate;

/**
 * The classes of messages in force, and earlier versions of them that accepted messages still have. Each version, a class name with
 * its settings, has a small number, which is the scheduler's index, for as long as it is in force or a message has it. Event loop only.
 */
public final class MessageClassRegistry {
    /** Bound of the number of versions in force or in use. */
    static final int MAX_VERSIONS = 64;

    /** One version of a class. */
    public record Version(String name, MessageClass type) {}

    private final List<Version> versions = new ArrayList<>();
    private Map<String, Integer> current = Map.of();

    /** Restores a version that messages of an earlier process have, under its number. */
    public void restore(int number, Version version) {
        while (versions.size() <= number) {
            versions.add(null);
        }
        versions.set(number, version);
    }

    /**
     * Puts classes in force. Returns false, and changes nothing, where there would be more than {@link #MAX_VERSIONS}; {@code inUse}
     * says whether a message has the version with a number.
     */
    public boolean take(List<String> names, List<MessageClass> types, IntPredicate inUse) {
        List<Version> updated = new ArrayList<>(versions);
        Map<String, Integer> next = new HashMap<>();
        List<Version> missing = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            Version version = new Version(names.get(i), types.get(i));
            int number = updated.indexOf(version);
            if (number >= 0) {
                next.put(version.name(), number);
            } else {
                missing.add(version);
            }
        }
        for (Version version : missing) {
            int number = 0;
            while (number < updated.size()
                    && (updated.get(number) != null && inUse.test(number) || next.containsValue(number))) {
                number++;
            }
            if (number == MAX_VERSIONS) {
                return false;
            }
            if (number == updated.size()) {
                updated.add(version);
            }
            updated.set(number, version);
            next.put(version.name(), number);
        }
        for (int i = 0; i < updated.size(); i++) {
            if (!next.containsValue(i) && !inUse.test(i)) {
                updated.set(i, null);
            }
        }
        versions.clear();
        versions.addAll(updated);
        current = Map.copyOf(next);
        return true;
    }

    /** The number of the version in force with this name, -1 if there is none. */
    public int number(String name) {
        return current.getOrDefault(name, -1);
    }

    /** The names that clients may use. */
    public java.util.Set<String> names() {
        return current.keySet();
    }

    /** The version with this number, null if there is none. */
    public Version version(int number) {
        return number >= 0 && number < versions.size() ? versions.get(number) : null;
    }

    /** The class with this number, which must exist. */
    public MessageClass type(int number) {
        return versions.get(number).type();
    }

    /** The classes by number; an unused number has a class in force, whose times add nothing. */
    public List<MessageClass> types() {
        MessageClass any = type(current.values().iterator().next());
        return versions.stream()
                .map(version -> version == null ? any : version.type())
                .toList();
    }

    /** One more than the highest number. */
    public int size() {
        return versions.size();
    }
}
