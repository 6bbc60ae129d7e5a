package amberroute.fleet;

import amberroute.config.ConfigException;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/**
 * What a supervisor keeps on disk for its successor: how many daemons are wanted, where each runs, and which of them are retired.
 * Each file is replaced as a whole by an atomic rename.
 */
final class FleetStateFiles {
    /** In the fleet's directory: how many daemons are wanted. */
    private static final String SCALE_FILE = "scale";
    /** In the fleet's directory: where each daemon runs, a JSON object a line. */
    private static final String PLACES_FILE = "places";
    /** In a state directory: its daemon is retired and its journal holds nothing. */
    private static final String RETIRED_FILE = "left";

    private static final String JOURNAL_FILE = "journal";

    private final Path directory;

    FleetStateFiles(Path directory) {
        this.directory = directory;
    }

    /** How many daemons were wanted last, {@code standard} where nobody has asked for another number. */
    int readScale(int standard) throws IOException {
        Path file = directory.resolve(SCALE_FILE);
        String text = Files.exists(file) ? Files.readString(file).strip() : "";
        return text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : standard;
    }

    void writeScale(int wanted) throws IOException {
        replace(SCALE_FILE, wanted + "\n");
    }

    /**
     * Restores where each daemon ran last. A daemon whose definition has another state directory by now recovers the one that it
     * had; one that still runs as it was before is marked for a restart.
     *
     * @throws ConfigException if a line cannot be read
     */
    void readPlaces(List<ManagedDaemon> daemons) throws IOException {
        Path file = directory.resolve(PLACES_FILE);
        if (!Files.exists(file)) {
            return;
        }
        for (String line : Files.readAllLines(file)) {
            try {
                JsonObject place = JsonParser.parseString(line).getAsJsonObject();
                String name = place.get("name").getAsString();
                for (ManagedDaemon daemon : daemons) {
                    if (daemon.instance.name().equals(name)) {
                        restorePlace(daemon, place);
                    }
                }
            } catch (RuntimeException e) {
                throw new ConfigException(
                        file + ": cannot be read: remove it if all daemons run as the definition has them");
            }
        }
    }

    private static void restorePlace(ManagedDaemon daemon, JsonObject place) {
        Path state = Path.of(place.get("state").getAsString());
        if (!state.equals(daemon.stateDirectory)) {
            daemon.useStateDirectory(state);
            daemon.definitionChanged = true;
        }
        place.getAsJsonArray("adopt").forEach(path -> daemon.orphanedDirectories.add(Path.of(path.getAsString())));
        daemon.definitionChanged |= !place.get("listen").getAsString().equals(daemon.instance.listen());
    }

    /** Written before a process is started elsewhere, so that the successor of a supervisor that is killed finds it. */
    void writePlaces(List<ManagedDaemon> daemons) throws IOException {
        StringBuilder text = new StringBuilder();
        for (ManagedDaemon daemon : daemons) {
            JsonObject line = new JsonObject();
            line.addProperty("name", daemon.instance.name());
            line.addProperty("listen", daemon.instance.listen());
            line.addProperty("state", daemon.stateDirectory.toString());
            JsonArray orphaned = new JsonArray();
            daemon.orphanedDirectories.forEach(path -> orphaned.add(path.toString()));
            line.add("adopt", orphaned);
            text.append(line).append('\n');
        }
        replace(PLACES_FILE, text);
    }

    private void replace(String name, CharSequence text) throws IOException {
        Path file = directory.resolve(name);
        Path temporary = directory.resolve(name + ".new");
        Files.writeString(temporary, text);
        Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Marks a state directory as that of a retired daemon, which is not started to empty its journal. */
    static void markRetired(Path stateDirectory) throws IOException {
        Files.writeString(stateDirectory.resolve(RETIRED_FILE), "");
    }

    static void clearRetired(Path stateDirectory) throws IOException {
        Files.deleteIfExists(stateDirectory.resolve(RETIRED_FILE));
    }

    /** Whether nothing is pending in a state directory: it has no journal, or its daemon is retired. */
    static boolean nothingPending(Path stateDirectory) {
        return !Files.exists(stateDirectory.resolve(JOURNAL_FILE))
                || Files.exists(stateDirectory.resolve(RETIRED_FILE));
    }
}
