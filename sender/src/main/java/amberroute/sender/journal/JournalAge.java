package amberroute.sender.journal;

import amberroute.sender.util.LogEvent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;

/**
 * When the journal of a state folder was begun, which the folder's file {@value #FILE_NAME} has: what was decided in an earlier folder of the
 * same sender is not known in this one. Times are milliseconds of the folder's {@link SteadyClock}.
 */
public final class JournalAge {
    /** The beginning of a journal that an earlier version has begun. */
    private static final long UNKNOWN = 0;

    private static final String FILE_NAME = "begun";

    private JournalAge() {}

    /** Returns when the journal was begun, 0 if that is not known; records {@code nowMillis} if the folder has none yet. */
    public static long begunAtMillis(Path folder, long nowMillis) {
        Path file = folder.resolve(FILE_NAME);
        try {
            if (!Files.exists(folder.resolve(LegacyJournalReader.FILE_NAME))) {
                write(file, nowMillis);
                return nowMillis;
            }
            return Files.exists(file)
                    ? Long.parseLong(
                            Files.readString(file, StandardCharsets.US_ASCII).strip())
                    : UNKNOWN;
        } catch (IOException | NumberFormatException e) {
            LogEvent.of("journal_age_unknown").with("folder", folder).cause(e).warn();
            return nowMillis;
        }
    }

    private static void write(Path file, long millis) throws IOException {
        Files.createDirectories(file.getParent());
        Path temporaryFile = file.resolveSibling(FILE_NAME + ".new");
        Files.writeString(temporaryFile, millis + "\n", StandardCharsets.US_ASCII);
        Files.move(temporaryFile, file, StandardCopyOption.ATOMIC_MOVE);
    }
}
