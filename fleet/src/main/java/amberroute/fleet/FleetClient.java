package amberroute.fleet;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Asks a supervisor, or a daemon, one thing over its control socket. */
public final class FleetClient {
    /** Some 4,096 daemons with all their figures; room grows with what comes. */
    private static final int MAX_RESPONSE_BYTES = 16 << 20;

    private static final int INITIAL_BUFFER_BYTES = 1 << 16;

    private FleetClient() {}

    /** Sends one request and waits for its answer; IOException where nobody listens. */
    public static JsonObject ask(Path socket, JsonObject request) throws IOException {
        try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
            channel.write(ByteBuffer.wrap((request + "\n").getBytes(StandardCharsets.UTF_8)));
            ByteBuffer in = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
            while (in.position() == 0 || in.get(in.position() - 1) != '\n') {
                if (!in.hasRemaining() && in.capacity() < MAX_RESPONSE_BYTES) {
                    in = ByteBuffer.allocate(2 * in.capacity()).put(in.flip());
                }
                if (!in.hasRemaining() || channel.read(in) < 0) {
                    throw new IOException("the answer ended too soon");
                }
            }
            return JsonParser.parseString(new String(in.array(), 0, in.position(), StandardCharsets.UTF_8))
                    .getAsJsonObject();
        } catch (RuntimeException e) {
            throw new IOException("an answer that cannot be read", e);
        }
    }

    /** A request with just its name. */
    public static JsonObject request(String what) {
        JsonObject request = new JsonObject();
        request.addProperty("do", what);
        return request;
    }
}
