package amberroute.sender.journal;

import amberroute.storage.FolderDisk;
import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Copies all readable records of a damaged journal into a new folder. */
final class JournalRepair {
    private static final long MIN_BUDGET_BYTES = 3L << 20;
    private static final long EXTRA_BUDGET_BYTES = 1L << 20;
    private static final int BUDGET_FACTOR = 4;

    private JournalRepair() {}

    /**
     * Copies the records; the original is only read.
     *
     * @throws IOException where there is a journal in {@code into} already, or a folder cannot be read or written
     */
    static void run(Path from, Path into) throws IOException {
        Files.createDirectories(into);
        if (Files.exists(into.resolve(LegacyJournalReader.NAME))
                || SegmentLog.containsLog(new FolderDisk(into).list())) {
            throw new IOException("there is a journal in " + into + " already");
        }
        try (Journal source = Journal.openReadOnly(from);
                Journal copy = Journal.open(into, budgetFor(source))) {
            copy.importAll(source.exportAll());
            for (CompletedRecord completed : source.completedRecords()) {
                copy.importCompletedWithoutCache(completed);
            }
        }
    }

    private static long budgetFor(Journal source) {
        return Math.max(MIN_BUDGET_BYTES, BUDGET_FACTOR * source.liveBytes() + EXTRA_BUDGET_BYTES);
    }
}
