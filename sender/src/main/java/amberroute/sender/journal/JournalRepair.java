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
     * Copies the records; the source is only read.
     *
     * @throws IOException if {@code targetFolder} already has a journal, or a folder cannot be read or written
     */
    static void run(Path sourceFolder, Path targetFolder) throws IOException {
        Files.createDirectories(targetFolder);
        if (Files.exists(targetFolder.resolve(LegacyJournalReader.FILE_NAME))
                || SegmentLog.containsLog(new FolderDisk(targetFolder).list())) {
            throw new IOException("there is a journal in " + targetFolder + " already");
        }
        try (Journal source = Journal.openReadOnly(sourceFolder);
                Journal copy = Journal.open(targetFolder, budgetFor(source))) {
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
