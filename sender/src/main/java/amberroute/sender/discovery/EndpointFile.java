package amberroute.sender.discovery;

import amberroute.config.ConfigException;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.util.Log;
import com.google.gson.JsonObject;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;

/**
 * Follows a list of endpoints in a file, on a thread of its own, as reading may be slow. A file counts as new when its
 * inode, size or time of change differs, so whoever writes it should write aside and rename. One that cannot be used
 * changes nothing and is named once in the log.
 */
public final class EndpointFile implements Closeable {
    private static final long LOOK_MS = 250;

    private record Stamp(Object file, long size, long time) {}

    private final Path path;
    private final SenderConfig config;
    private final Consumer<JsonObject> taken;
    private final Thread thread;
    private final AtomicBoolean asked = new AtomicBoolean();
    private volatile boolean closed;
    /** Null before the first look: the file may have been replaced since the sender read it for its start. */
    private Stamp seen;

    /** {@code taken} is called on the follower's thread with each new list that can be used. */
    public EndpointFile(Path path, SenderConfig config, Consumer<JsonObject> taken) {
        this.path = path;
        this.config = config;
        this.taken = taken;
        thread = new Thread(this::follow, "endpoints");
        thread.setDaemon(true);
        thread.start();
    }

    /** Reads the file again though it looks the same; from any thread. */
    public void ask() {
        asked.set(true);
        thread.interrupt();
    }

    private void follow() {
        while (!closed) {
            try {
                Thread.sleep(LOOK_MS);
            } catch (InterruptedException e) {
                // Asked to look at once, or to end.
            }
            Stamp now = stamp();
            if (closed || !asked.getAndSet(false) && now.equals(seen)) {
                continue;
            }
            seen = now;
            try {
                JsonObject list = StandaloneConfig.endpoints(path, config);
                Log.warn("endpoints: took " + list.getAsJsonArray("targets").size() + " from " + path);
                taken.accept(list);
            } catch (ConfigException e) {
                Log.warn("endpoints: not taken, the old list stays: " + e.getMessage());
            }
        }
    }

    private Stamp stamp() {
        try {
            BasicFileAttributes a = Files.readAttributes(path, BasicFileAttributes.class);
            return new Stamp(a.fileKey(), a.size(), a.lastModifiedTime().toMillis());
        } catch (IOException e) {
            return new Stamp("", -1, 0);
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }
}
