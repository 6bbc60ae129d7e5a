package amberroute.fleet;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/**
 * Finds out who holds the lock of a daemon's state directory. The kernel frees the lock with the process, so unlike a process id
 * in a file it cannot mislead a later supervisor.
 */
final class StateDirectoryLock {
    private static final String LOCK_FILE = "lock";

    /** The process that holds a lock; {@code pid} is 0 where the lock file does not give it. */
    record Owner(long pid) {}

    private StateDirectoryLock() {}

    /** The process that holds the directory's lock, null where it is free or cannot be read. */
    static Owner owner(Path stateDirectory) {
        Path file = stateDirectory.resolve(LOCK_FILE);
        if (!Files.exists(file)) {
            return null;
        }
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            if (tryLock(channel) != null) {
                return null;
            }
            String pid = Files.readString(file).lines().findFirst().orElse("");
            return new Owner(pid.matches("[0-9]{1,18}") ? Long.parseLong(pid) : 0);
        } catch (IOException e) {
            return null;
        }
    }

    /** Locks a file, or returns null where this or another process has locked it. */
    static FileLock tryLock(FileChannel file) throws IOException {
        try {
            return file.tryLock();
        } catch (OverlappingFileLockException e) {
            return null;
        }
    }
}
