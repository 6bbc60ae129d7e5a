package amberroute.fleet;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/**
 * Bounds the file that a daemon appends its output to. The daemon keeps its descriptor, so the file is copied beside
 * (.1, one copy) and emptied; a line written between the two is lost, which a log can bear. A full disk ends in no copy
 * and an emptied file. Used for at most twice the bound.
 */
final class LogFile {
    private LogFile() {}

    /** To be called now and then. */
    static void bound(Path file, long bytes) {
        try {
            if (!Files.exists(file) || Files.size(file) <= bytes) {
                return;
            }
            try {
                Files.copy(file, file.resolveSibling(file.getFileName() + ".1"), StandardCopyOption.REPLACE_EXISTING);
            } finally {
                try (FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE)) {
                    channel.truncate(0);
                }
            }
        } catch (IOException e) {
            // Tried again at the next look.
        }
    }
}
