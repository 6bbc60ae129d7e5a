package amberroute.sender.journal;

import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.util.Log;
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
 * Holds a state folder for one process. It is a record lock of the kernel on the file {@code lock}: whatever ends the
 * process frees it, SIGKILL too, so nothing is ever left over. Where asked for, the file tells the process's id.
 */
public final class StateLock implements Closeable {
    private final FileChannel file;

    private StateLock(FileChannel file) {
        this.file = file;
    }

    /** Takes the lock or says who has it. */
    public static StateLock acquire(Path folder, boolean tellPid) throws IOException {
        StateLock lock = tryAcquireOwn(folder, tellPid);
        if (lock != null) {
            return lock;
        }
        throw new InvalidSettingsException("state folder " + folder + " is held by " + holder(folder));
    }

    /** As {@link #tryTake}, and the log says so: the folder is this sender's own from then on. */
    public static StateLock tryAcquireOwn(Path folder, boolean tellPid) throws IOException {
        StateLock lock = tryAcquire(folder, tellPid);
        if (lock != null) {
            Log.warn("lock: taken on " + folder);
        }
        return lock;
    }

    /** Takes the lock; null where another process, or another sender of this one, has it. */
    public static StateLock tryAcquire(Path folder, boolean tellPid) throws IOException {
        Files.createDirectories(folder);
        FileChannel file = FileChannel.open(
                folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE);
        try {
            FileLock lock = file.tryLock();
            if (lock != null) {
                file.truncate(0);
                if (tellPid) {
                    file.write(
                            ByteBuffer.wrap((ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.UTF_8)));
                }
                return new StateLock(file);
            }
        } catch (OverlappingFileLockException e) {
            // Another sender in this very process: as much another as any.
        } catch (IOException e) {
            file.close();
            throw e;
        }
        file.close();
        return null;
    }

    /**
     * Notes that the holder looks for a {@link FencingToken} behind each of its records, so that its folder may be taken over
     * while it cannot be asked.
     */
    public void recordFenceWatched() throws IOException {
        file.write(ByteBuffer.wrap("guarded\n".getBytes(StandardCharsets.UTF_8)));
    }

    /** Whether the last holder noted that. */
    public static boolean fenceWatched(Path folder) throws IOException {
        return Files.readString(folder.resolve("lock")).contains("guarded");
    }

    private static String holder(Path folder) throws IOException {
        String pid =
                Files.readString(folder.resolve("lock")).lines().findFirst().orElse("");
        return pid.matches("[0-9]{1,20}") ? "process " + pid : "another process";
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
