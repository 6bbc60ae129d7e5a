package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** A folder in the file system. Each operation takes one or two system calls. */
public final class FolderDisk implements Disk {
    private final Path folder;

    /**
     * Creates the folder if it does not exist.
     *
     * @throws IOException if the folder cannot be created
     */
    public FolderDisk(Path folder) throws IOException {
        this.folder = folder;
        Files.createDirectories(folder);
    }

    @Override
    public List<String> list() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(Files::isRegularFile)
                    .map(file -> file.getFileName().toString())
                    .toList();
        }
    }

    @Override
    public Handle openForWriting(String name) throws IOException {
        return new OpenFile(FileChannel.open(
                folder.resolve(name), StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE));
    }

    @Override
    public Handle openForReading(String name) throws IOException {
        return new OpenFile(FileChannel.open(folder.resolve(name), StandardOpenOption.READ));
    }

    @Override
    public void rename(String oldName, String newName) throws IOException {
        Files.move(folder.resolve(oldName), folder.resolve(newName), StandardCopyOption.ATOMIC_MOVE);
    }

    @Override
    public void delete(String name) throws IOException {
        Files.deleteIfExists(folder.resolve(name));
    }

    @Override
    public void forceFolder() throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** An open file. Tracks the end of the file, so that an append takes one system call. */
    private static final class OpenFile implements Handle {
        private final FileChannel channel;
        private long appendOffset;

        OpenFile(FileChannel channel) throws IOException {
            this.channel = channel;
            appendOffset = channel.size();
        }

        @Override
        public long size() throws IOException {
            return channel.size();
        }

        @Override
        public int read(long offset, ByteBuffer buffer) throws IOException {
            return channel.read(buffer, offset);
        }

        @Override
        public int append(ByteBuffer buffer) throws IOException {
            int written = channel.write(buffer, appendOffset);
            appendOffset += written;
            return written;
        }

        @Override
        public void truncate(long size) throws IOException {
            channel.truncate(size);
            appendOffset = Math.min(appendOffset, size);
        }

        @Override
        public void force() throws IOException {
            channel.force(false);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
