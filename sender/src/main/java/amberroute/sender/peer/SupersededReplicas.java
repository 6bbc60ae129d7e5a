package amberroute.sender.peer;

import amberroute.sender.util.Log;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * What is left of an estate that goes on elsewhere, in the folder of its former owner: nothing of it may be resumed here.
 * The last such journal is kept aside for whoever wants to look at it.
 */
public final class SupersededReplicas {
    private static final String MARK = "estate-over";
    private static final String ASIDE = "over";
    private static final Set<String> STAY = Set.of("lock", "control", MARK);

    private SupersededReplicas() {}

    /** The journal in this folder is not to be opened again. */
    public static void markSuperseded(Path folder) {
        try {
            Files.writeString(folder.resolve(MARK), "taken over\n");
        } catch (IOException e) {
            // The next process finds out as this one did.
            Log.warn("survival: cannot mark " + folder + ": " + e.getMessage());
        }
    }

    /** Moves a marked journal aside, so that the folder begins anew. */
    public static void setAside(Path folder) throws IOException {
        if (!Files.exists(folder.resolve(MARK))) {
            return;
        }
        Path aside = folder.resolve(ASIDE);
        if (Files.exists(aside)) {
            try (Stream<Path> files = Files.walk(aside)) {
                for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                    Files.delete(file);
                }
            }
        }
        Files.createDirectories(aside);
        List<Path> files;
        try (Stream<Path> all = Files.list(folder)) {
            files = all.filter(Files::isRegularFile)
                    .filter(f -> !STAY.contains(f.getFileName().toString()))
                    .toList();
        }
        for (Path file : files) {
            Files.move(file, aside.resolve(file.getFileName()));
        }
        Files.delete(folder.resolve(MARK));
        Log.warn("survival: the journal that was taken over is kept in " + aside + "; this folder begins anew");
    }
}
