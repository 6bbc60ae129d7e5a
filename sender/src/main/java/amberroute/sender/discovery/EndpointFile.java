package amberroute.sender.discovery;

import amberroute.config.ConfigException;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Polls an endpoint list in a file on a thread of its own, as reading may be slow. A file counts as changed when its inode, size or
 * modification time differs, so it should be written aside and renamed. A file that cannot be used changes nothing and is logged once.
 */
public final class EndpointFile implements Closeable {
    private static final long POLL_INTERVAL_MILLIS = 250;

    /** Tells one state of the file from another. */
    private record FileVersion(Object inode, long size, long modifiedMillis) {}

    private final Path path;
    private final SenderConfig config;
    private final Consumer<JsonObject> listener;
    private final Thread thread;
    private final AtomicBoolean readRequested = new AtomicBoolean();
    private volatile boolean closed;
    /** Null before the first poll: the file may have been replaced since the sender read it at its start. */
    private FileVersion lastRead;

    /** Starts polling; {@code listener} is called on the polling thread with each changed list that can be used. */
    public EndpointFile(Path path, SenderConfig config, Consumer<JsonObject> listener) {
        this.path = path;
        this.config = config;
        this.listener = listener;
        thread = new Thread(this::poll, "endpoints");
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads the file again even if it has not changed; from any thread. */
    public void ask() {
        readRequested.set(true);
        thread.interrupt();
    }

    private void poll() {
        while (!closed) {
            try {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            } catch (InterruptedException e) {
                // Asked to read at once, or to end.
            }
            FileVersion now = currentVersion();
            if (closed || !readRequested.getAndSet(false) && now.equals(lastRead)) {
                continue;
            }
            lastRead = now;
            try {
                JsonObject list = StandaloneConfig.endpoints(path, config);
                LogEvent.of("endpoint_file_loaded")
                        .with("endpoints", list.getAsJsonArray("targets").size())
                        .with("path", path)
                        .warn();
                listener.accept(list);
            } catch (ConfigException e) {
                LogEvent.of("endpoint_file_rejected")
                        .with("path", path)
                        .cause(e)
                        .warn();
            }
        }
    }

    private FileVersion currentVersion() {
        try {
            BasicFileAttributes attributes = Files.readAttributes(path, BasicFileAttributes.class);
            return new FileVersion(
                    attributes.fileKey(),
                    attributes.size(),
                    attributes.lastModifiedTime().toMillis());
        } catch (IOException e) {
            return new FileVersion("", -1, 0);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
