package amberroute.fleet;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/**
 * The supervisor's end of one daemon's control socket. Never waits: a daemon that hangs keeps nobody from the others.
 * What the daemon last said of itself is kept; a connection that fails is opened anew at the next look.
 */
final class DaemonLink {
    private static final int LARGEST = 1 << 16;

    private final Path path;
    private final ByteBuffer in = ByteBuffer.allocate(LARGEST);
    private SocketChannel channel;
    private boolean waiting;
    private JsonObject last;
    private boolean news;
    private String pending;

    DaemonLink(Path path) {
        this.path = path;
    }

    /** Reads what has come and asks for the next status; true where a new one has come. */
    boolean look() {
        news = false;
        try {
            if (channel == null) {
                open();
            }
            read();
            if (pending != null) {
                write(pending);
                pending = null;
            }
            if (!waiting) {
                write("{\"do\":\"status\"}");
                waiting = true;
            }
        } catch (IOException | RuntimeException e) {
            close();
        }
        return news;
    }

    /** What the daemon last said, null before it has said anything. */
    JsonObject last() {
        return last;
    }

    /** Sends a command at the next look, or now where that is possible; false where nobody listens. */
    boolean send(JsonObject command) {
        try {
            if (channel == null) {
                open();
            }
            write(command.toString());
            return true;
        } catch (IOException e) {
            close();
            pending = command.toString();
            return false;
        }
    }

    /** The process is another one from now on. */
    void reset() {
        close();
        last = null;
        pending = null;
    }

    private void open() throws IOException {
        SocketChannel fresh = SocketChannel.open(UnixDomainSocketAddress.of(path));
        fresh.configureBlocking(false);
        channel = fresh;
        waiting = false;
        in.clear();
    }

    private void write(String line) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
        channel.write(bytes);
        if (bytes.hasRemaining()) {
            throw new IOException("the daemon does not read its control socket");
        }
    }

    private void read() throws IOException {
        int n = channel.read(in);
        if (n < 0 || !in.hasRemaining()) {
            throw new IOException("ended");
        }
        int from = 0;
        for (int i = 0; i < in.position(); i++) {
            if (in.get(i) == '\n') {
                JsonObject line = JsonParser.parseString(new String(in.array(), from, i - from, StandardCharsets.UTF_8))
                        .getAsJsonObject();
                from = i + 1;
                if (line.has("state")) {
                    last = line;
                    news = true;
                    waiting = false;
                }
            }
        }
        in.flip().position(from);
        in.compact();
    }

    private void close() {
        if (channel != null) {
            try {
                channel.close();
            } catch (IOException e) {
                // It is given up either way.
            }
            channel = null;
        }
        waiting = false;
    }
}
