package amberroute.fleet;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.function.UnaryOperator;

/**
 * The fleet's control socket: one request line and one answer line a connection. Never blocks; {@link #poll} does what is
 * possible at once. Owns its channels and the socket's file. Used by the supervisor's thread only.
 */
final class FleetControlServer implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 16;
    private static final int MAX_REQUEST_BYTES = 16_384;
    private static final long CONNECTION_TIMEOUT_NANOS = 60_000_000_000L;

    private final Path socketFile;
    private final ServerSocketChannel listener;
    private final UnaryOperator<String> handler;
    private final List<Connection> connections = new ArrayList<>();

    /** One client's connection. */
    private static final class Connection {
        final SocketChannel channel;
        final ByteBuffer request = ByteBuffer.allocate(MAX_REQUEST_BYTES);
        /** The answer, null until the request has been read. */
        ByteBuffer answer;

        final long openedNanos = System.nanoTime();

        Connection(SocketChannel channel) {
            this.channel = channel;
        }

        boolean requestComplete() {
            return request.position() > 0 && request.get(request.position() - 1) == '\n';
        }
    }

    /** Listens on the socket file, which only its owner may open; {@code handler} turns a request line into an answer line. */
    FleetControlServer(Path socketFile, UnaryOperator<String> handler) throws IOException {
        this.socketFile = socketFile;
        this.handler = handler;
        Files.deleteIfExists(socketFile);
        listener = ServerSocketChannel.open(StandardProtocolFamily.UNIX);
        listener.bind(UnixDomainSocketAddress.of(socketFile));
        Files.setPosixFilePermissions(socketFile, PosixFilePermissions.fromString("rw-------"));
        listener.configureBlocking(false);
    }

    /** Accepts, reads, answers and closes as far as that is possible without waiting. */
    void poll() {
        accept();
        connections.removeIf(connection -> !serve(connection));
    }

    private void accept() {
        try {
            for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
                if (connections.size() >= MAX_CONNECTIONS) {
                    channel.close();
                    continue;
                }
                channel.configureBlocking(false);
                connections.add(new Connection(channel));
            }
        } catch (IOException e) {
            // Out of descriptors, for example: the next poll tries again.
        }
    }

    /** False where the connection is closed. */
    private boolean serve(Connection connection) {
        try {
            if (System.nanoTime() - connection.openedNanos > CONNECTION_TIMEOUT_NANOS || !progress(connection)) {
                connection.channel.close();
                return false;
            }
            return true;
        } catch (IOException e) {
            closeQuietly(connection.channel);
            return false;
        }
    }

    /** Reads and answers; false where the connection is done. */
    private boolean progress(Connection connection) throws IOException {
        if (connection.answer == null) {
            int bytesRead = connection.channel.read(connection.request);
            if (!connection.requestComplete()) {
                return bytesRead >= 0 && connection.request.hasRemaining();
            }
            String line =
                    new String(connection.request.array(), 0, connection.request.position(), StandardCharsets.UTF_8);
            connection.answer = ByteBuffer.wrap((handler.apply(line) + "\n").getBytes(StandardCharsets.UTF_8));
        }
        connection.channel.write(connection.answer);
        return connection.answer.hasRemaining();
    }

    private static void closeQuietly(SocketChannel channel) {
        try {
            channel.close();
        } catch (IOException e) {
            // The connection is given up either way.
        }
    }

    @Override
    public void close() throws IOException {
        for (Connection connection : connections) {
            connection.channel.close();
        }
        listener.close();
        Files.deleteIfExists(socketFile);
    }
}
