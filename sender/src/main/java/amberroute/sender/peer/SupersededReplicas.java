package amberroute.sender.peer;

import amberroute.sender.util.LogEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Marks the folder of a journal that another daemon has taken over, and sets its files aside at the next start. Invariant: nothing of a marked
 * journal is resumed. The last such journal is kept for engineers to look at. Stateless; used before the event loop runs, or by a
 * process that ends.
 */
public final class SupersededReplicas {
    private static final String MARK_FILE = "estate-over";
    private static final String ASIDE_FOLDER = "over";
    private static final Set<String> KEPT_IN_PLACE = Set.of("lock", "control", MARK_FILE);

    private SupersededReplicas() {}

    /** Marks the journal in this folder as not to be opened again; a failure is logged, as the next process finds out by itself. */
    public static void markSuperseded(Path folder) {
        try {
            Files.writeString(folder.resolve(MARK_FILE), "taken over\n");
        } catch (IOException e) {
            LogEvent.of("superseded_journal_mark_failed")
                    .with("folder", folder)
                    .cause(e)
                    .warn();
        }
    }

    /** Moves a marked journal aside, so that the folder begins anew; an {@link IOException} where the files cannot be moved. */
    public static void setAside(Path folder) throws IOException {
        if (!Files.exists(folder.resolve(MARK_FILE))) {
            return;
        }
        Path aside = folder.resolve(ASIDE_FOLDER);
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
                    .filter(f -> !KEPT_IN_PLACE.contains(f.getFileName().toString()))
                    .toList();
        }
        for (Path file : files) {
            Files.move(file, aside.resolve(file.getFileName()));
        }
        Files.delete(folder.resolve(MARK_FILE));
        LogEvent.of("superseded_journal_set_aside").with("folder", aside).warn();
    }
}
