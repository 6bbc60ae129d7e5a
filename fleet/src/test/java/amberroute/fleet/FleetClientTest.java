package amberroute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class FleetClientTest {
    @TempDir
    Path folder;

    private String ask(String answer) throws Exception {
        Path path = folder.resolve("control");
        try (ServerSocketChannel server = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            server.bind(UnixDomainSocketAddress.of(path));
            Thread supervisor = new Thread(() -> {
                try (SocketChannel asked = server.accept()) {
                    asked.read(ByteBuffer.allocate(1_000));
                    ByteBuffer bytes = ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8));
                    while (bytes.hasRemaining()) {
                        asked.write(bytes);
                    }
                } catch (IOException e) {
                    // The other side tells.
                }
            });
            supervisor.start();
            try {
                return FleetClient.ask(path, FleetClient.request("status"))
                        .get("x")
                        .getAsString();
            } finally {
                supervisor.join();
                java.nio.file.Files.delete(path);
            }
        }
    }

    /** The status of some thousands of daemons is longer than any first guess of it. */
    @Test
    void takesAnswersOfAWholeFleet() throws Exception {
        String long1 = "d".repeat(3_000_000);
        assertEquals(long1, ask("{\"x\":\"" + long1 + "\"}\n"));
        assertEquals("y", ask("{\"x\":\"y\"}\n"));
        assertThrows(IOException.class, () -> ask("{\"x\":\"cut"));
    }
}
