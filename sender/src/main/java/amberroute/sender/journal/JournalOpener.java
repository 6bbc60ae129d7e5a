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

/** Opens journals: for writing, where it migrates the single file of earlier versions into segments, or read-only. */
final class JournalOpener {
    /** Room for the files of the folder that are not the log's. */
    private static final long OTHER_FILES_BYTES = 4_096;

    private static final int MAX_READ_ONLY_ATTEMPTS = 5;

    private final Path folder;
    private final Disk disk;
    private final Durability durability;
    private final BackgroundExecutor executor;

    /** {@code folder} is null where there cannot be an earlier version's file; {@code executor} where nothing is forced. */
    JournalOpener(Path folder, Disk disk, Durability durability, BackgroundExecutor executor) {
        this.folder = folder;
        this.disk = disk;
        this.durability = durability;
        this.executor = executor;
    }

    Journal open(long budgetBytes) throws IOException {
        long logBudgetBytes = budgetBytes - OTHER_FILES_BYTES;
        if (logBudgetBytes < LogLimits.MIN_BUDGET_BYTES) {
            throw new IOException("the journal needs " + (LogLimits.MIN_BUDGET_BYTES + OTHER_FILES_BYTES)
                    + " bytes of disk, and has " + budgetBytes);
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
                throw new IOException("the journal in " + folder + " cannot be forced to the disk");
            }
            if (folder != null && (legacy == null || needsMigration)) {
                writeMigrationMark();
            }
        } catch (IOException | RuntimeException e) {
            journal.close();
            throw e;
        }
        journal.dataLoss().logWarnings();
        return journal;
    }

    /** What a migration that did not finish has left: the earlier version's file still has all of it. */
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

    /** The one step that ends a migration: from then on the segments count, and earlier versions end on the mark. */
    private void writeMigrationMark() throws IOException {
        Path mark = folder.resolve(LegacyJournalReader.FILE_NAME + ".new");
        Files.write(mark, LegacyJournalReader.migrationMark());
        Files.move(mark, folder.resolve(LegacyJournalReader.FILE_NAME), StandardCopyOption.ATOMIC_MOVE);
    }

    /** Eight bytes that no client can know; the JDK's own source would load its security providers at each start. */
    private static long randomSalt() {
        try (InputStream random = Files.newInputStream(Path.of("/dev/urandom"))) {
            return ByteBuffer.wrap(random.readNBytes(Long.BYTES)).getLong();
        } catch (IOException | RuntimeException e) {
            return new SecureRandom().nextLong();
        }
    }

    /** Opens a folder's journal for reading, also while its process writes. */
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
                // A segment was retired after it was listed.
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
