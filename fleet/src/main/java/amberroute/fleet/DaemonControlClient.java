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
final class DaemonControlClient {
    private static final int MAX_LINE_BYTES = 1 << 16;

    private final Path path;
    private final ByteBuffer inbound = ByteBuffer.allocate(MAX_LINE_BYTES);
    private SocketChannel channel;
    private boolean statusRequested;
    private JsonObject lastStatus;
    private boolean statusReceived;
    private String pendingCommand;

    DaemonControlClient(Path path) {
        this.path = path;
    }

    /** Reads what has come and asks for the next status; true where a new one has come. */
    boolean poll() {
        statusReceived = false;
        try {
            if (channel == null) {
                open();
            }
            read();
            if (pendingCommand != null) {
                write(pendingCommand);
                pendingCommand = null;
            }
            if (!statusRequested) {
                write("{\"do\":\"status\"}");
                statusRequested = true;
            }
        } catch (IOException | RuntimeException e) {
            close();
        }
        return statusReceived;
    }

    /** What the daemon last said, null before it has said anything. */
    JsonObject lastStatus() {
        return lastStatus;
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
            pendingCommand = command.toString();
            return false;
        }
    }

    /** The process is another one from now on. */
    void reset() {
        close();
        lastStatus = null;
        pendingCommand = null;
    }

    private void open() throws IOException {
        SocketChannel fresh = SocketChannel.open(UnixDomainSocketAddress.of(path));
        fresh.configureBlocking(false);
        channel = fresh;
        statusRequested = false;
        inbound.clear();
    }

    private void write(String line) throws IOException {
        ByteBuffer bytes = ByteBuffer.wrap((line + "\n").getBytes(StandardCharsets.UTF_8));
        channel.write(bytes);
        if (bytes.hasRemaining()) {
            throw new IOException("the daemon does not read its control socket");
        }
    }

    private void read() throws IOException {
        int n = channel.read(inbound);
        if (n < 0 || !inbound.hasRemaining()) {
            throw new IOException("ended");
        }
        int from = 0;
        for (int i = 0; i < inbound.position(); i++) {
            if (inbound.get(i) == '\n') {
                JsonObject line = JsonParser.parseString(
                                new String(inbound.array(), from, i - from, StandardCharsets.UTF_8))
                        .getAsJsonObject();
                from = i + 1;
                if (line.has("state")) {
                    lastStatus = line;
                    statusReceived = true;
                    statusRequested = false;
                }
            }
        }
        inbound.flip().position(from);
        inbound.compact();
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
        statusRequested = false;
    }
}
