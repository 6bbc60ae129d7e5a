package amberroute.sender.journal;

import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.util.LogEvent;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Exclusive ownership of a state folder: a kernel record lock on the file {@code lock}, which is released when the
 * process ends, even by SIGKILL. The file optionally contains the process id.
 */
public final class StateLock implements Closeable {
    private static final String FILE_NAME = "lock";
    private static final String FENCING_CHECKED = "guarded";

    private final FileChannel file;

    private StateLock(FileChannel file) {
        this.file = file;
    }

    /**
     * Acquires the lock.
     *
     * @param recordPid whether to write the process id to the file
     * @throws InvalidSettingsException if another process has the lock; the message names it
     */
    public static StateLock acquire(Path folder, boolean recordPid) throws IOException {
        StateLock lock = tryAcquireAndLog(folder, recordPid);
        if (lock != null) {
            return lock;
        }
        throw new InvalidSettingsException("state folder " + folder + " is held by " + describeOwner(folder));
    }

    /** Same as {@link #tryAcquire}, but logs the acquisition: the folder is this sender's own from then on. */
    public static StateLock tryAcquireAndLog(Path folder, boolean recordPid) throws IOException {
        StateLock lock = tryAcquire(folder, recordPid);
        if (lock != null) {
            LogEvent.of("state_lock_acquired").with("folder", folder).warn();
        }
        return lock;
    }

    /** Acquires the lock; null if another process, or another sender in this process, has it. */
    public static StateLock tryAcquire(Path folder, boolean recordPid) throws IOException {
        Files.createDirectories(folder);
        FileChannel file = FileChannel.open(
                folder.resolve(FILE_NAME),
                StandardOpenOption.CREATE,
                StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        try {
            FileLock lock = file.tryLock();
            if (lock != null) {
                file.truncate(0);
                if (recordPid) {
                    file.write(
                            ByteBuffer.wrap((ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.UTF_8)));
                }
                return new StateLock(file);
            }
        } catch (OverlappingFileLockException e) {
            // Another sender in this process has it.
        } catch (IOException e) {
            file.close();
            throw e;
        }
        file.close();
        return null;
    }

    /**
     * Records that the owner checks the {@link FencingToken} after each write, so that its folder may be taken over
     * even if the owner does not respond.
     */
    public void recordFencingChecked() throws IOException {
        file.write(ByteBuffer.wrap((FENCING_CHECKED + "\n").getBytes(StandardCharsets.UTF_8)));
    }

    /** Returns whether the last owner recorded that it checks the fencing token. */
    public static boolean isFencingChecked(Path folder) throws IOException {
        return Files.readString(folder.resolve(FILE_NAME)).contains(FENCING_CHECKED);
    }

    private static String describeOwner(Path folder) throws IOException {
        String pid =
                Files.readString(folder.resolve(FILE_NAME)).lines().findFirst().orElse("");
        return pid.matches("[0-9]{1,20}") ? "process " + pid : "another process";
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
