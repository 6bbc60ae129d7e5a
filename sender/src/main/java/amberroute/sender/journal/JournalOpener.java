package amberroute.sender.journal;

import amberroute.sender.config.Durability;
import amberroute.sender.util.LogEvent;
import amberroute.storage.Disk;
import amberroute.storage.FolderDisk;
import amberroute.storage.LogLimits;
import amberroute.storage.SegmentLog;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;

/** Opens journals: for writing, with migration of an earlier version's single file into segments, or read-only. */
final class JournalOpener {
    /** Space for the files of the folder that are not part of the log. */
    private static final long OTHER_FILES_BYTES = 4_096;

    private static final int MAX_READ_ONLY_ATTEMPTS = 5;

    private final Path folder;
    private final Disk disk;
    private final Durability durability;
    private final BackgroundExecutor executor;

    /**
     * Creates an opener.
     *
     * @param folder null if there cannot be a file of an earlier version
     * @param executor null if nothing is forced in the background
     */
    JournalOpener(Path folder, Disk disk, Durability durability, BackgroundExecutor executor) {
        this.folder = folder;
        this.disk = disk;
        this.durability = durability;
        this.executor = executor;
    }

    Journal open(long budgetBytes) throws IOException {
        long logBudgetBytes = budgetBytes - OTHER_FILES_BYTES;
        if (logBudgetBytes < LogLimits.MIN_BUDGET_BYTES) {
            throw new IOException("the disk budget of the journal is " + budgetBytes + " bytes, must be at least "
                    + (LogLimits.MIN_BUDGET_BYTES + OTHER_FILES_BYTES));
        }
        LogLimits limits = LogLimits.forBudget(logBudgetBytes, durability != Durability.NONE);
        LegacyJournalReader legacy = folder == null ? null : LegacyJournalReader.read(folder);
        boolean needsMigration = legacy != null && !legacy.migrated;
        if (needsMigration) {
            deleteSegments();
        }
        SegmentLog log = SegmentLog.open(disk, limits, JournalOpener::randomSalt);
        Journal journal = new Journal(folder, log, durability, executor, 0);
        try {
            journal.recover();
            if (needsMigration) {
                migrate(journal, legacy);
            }
            if (durability != Durability.NONE && !journal.forceNow()) {
                throw new IOException("cannot force the journal in " + folder + " to disk");
            }
            if (folder != null && (legacy == null || needsMigration)) {
                writeMigrationMarker();
            }
        } catch (IOException | RuntimeException e) {
            journal.close();
            throw e;
        }
        journal.dataLoss().logWarnings();
        return journal;
    }

    /** Deletes the segments of an interrupted migration: the earlier version's file still has all records. */
    private void deleteSegments() throws IOException {
        for (String name : disk.list()) {
            if (SegmentLog.isSegmentFileName(name)) {
                disk.delete(name);
            }
        }
    }

    private void migrate(Journal journal, LegacyJournalReader legacy) throws IOException {
        LogEvent.of("journal_migration_started")
                .with("messages", legacy.pending.size())
                .warn();
        if (legacy.unreadBytes > 0) {
            Path copy = folder.resolve(LegacyJournalReader.FILE_NAME + ".damaged");
            Files.copy(folder.resolve(LegacyJournalReader.FILE_NAME), copy, StandardCopyOption.REPLACE_EXISTING);
            LogEvent.of("journal_migration_file_damaged")
                    .with("unread_bytes", legacy.unreadBytes)
                    .with("copy", copy)
                    .warn();
        }
        journal.importAll(legacy.contents());
        for (CompletedRecord completed : legacy.completedRecords()) {
            journal.importCompleted(completed);
        }
    }

    /** Completes a migration atomically: from then on the segments are valid, and earlier versions fail. */
    private void writeMigrationMarker() throws IOException {
        Path marker = folder.resolve(LegacyJournalReader.FILE_NAME + ".new");
        Files.write(marker, LegacyJournalReader.migrationMarker());
        Files.move(marker, folder.resolve(LegacyJournalReader.FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Returns a salt that clients cannot guess. {@link SecureRandom} would load security providers at each start. */
    private static long randomSalt() {
        try (InputStream random = Files.newInputStream(Path.of("/dev/urandom"))) {
            return ByteBuffer.wrap(random.readNBytes(Long.BYTES)).getLong();
        } catch (IOException | RuntimeException e) {
            return new SecureRandom().nextLong();
        }
    }

    /** Opens a folder's journal for reading, even while its process writes. */
    static Journal openReadOnly(Path folder) throws IOException {
        LegacyJournalReader legacy = LegacyJournalReader.read(folder);
        if (legacy == null) {
            throw new NoSuchFileException(
                    folder.resolve(LegacyJournalReader.FILE_NAME).toString());
        }
        for (int attempt = 1; ; attempt++) {
            try {
                return openReadOnly(folder, legacy);
            } catch (NoSuchFileException e) {
                // A segment was deleted after it was listed.
                if (attempt == MAX_READ_ONLY_ATTEMPTS) {
                    throw e;
                }
            }
        }
    }

    private static Journal openReadOnly(Path folder, LegacyJournalReader legacy) throws IOException {
        SegmentLog log = SegmentLog.openReadOnly(new FolderDisk(folder));
        if (legacy.migrated) {
            Journal journal = new Journal(folder, log, Durability.NONE, null, 0);
            journal.recoverReadOnly();
            return journal;
        }
        Journal journal = new Journal(folder, log, Durability.NONE, null, legacy.unreadBytes);
        journal.loadWithoutWriting(legacy.contents());
        return journal;
    }
}
