package amberroute.sender;

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

import amberroute.settings.BadInput;

/**
 * Holds a state folder for one process. It is a record lock of the kernel on the file {@code lock}: whatever ends the
 * process frees it, SIGKILL too, so nothing is ever left over. Where asked for, the file tells the process's id.
 */
final class StateLock implements Closeable {
    private final FileChannel file;

    private StateLock(FileChannel file) {
        this.file = file;
    }

    /** Takes the lock or says who has it. */
    static StateLock take(Path folder, boolean tellPid) throws IOException {
        Files.createDirectories(folder);
        FileChannel file = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.READ,
                StandardOpenOption.WRITE);
        try {
            FileLock lock = file.tryLock();
            if (lock != null) {
                file.truncate(0);
                if (tellPid) {
                    file.write(ByteBuffer.wrap((ProcessHandle.current().pid() + "\n").getBytes(StandardCharsets.UTF_8)));
                }
                return new StateLock(file);
            }
        } catch (OverlappingFileLockException e) {
            // Another sender in this very process: as much another as any.
        } catch (IOException e) {
            file.close();
            throw e;
        }
        String holder = holder(file);
        file.close();
        throw new BadInput("state folder " + folder + " is held by " + (holder.isEmpty() ? "another process"
                : "process " + holder));
    }

    private static String holder(FileChannel file) throws IOException {
        ByteBuffer text = ByteBuffer.allocate(32);
        file.read(text, 0);
        String pid = new String(text.array(), 0, text.position(), StandardCharsets.UTF_8).strip();
        return pid.matches("[0-9]{1,20}") ? pid : "";
    }

    @Override
    public void close() throws IOException {
        file.close();
    }
}
