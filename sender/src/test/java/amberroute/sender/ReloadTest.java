package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static amberroute.sender.World.await;
import static amberroute.sender.World.ok;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** New configurations under load: discovery moves, and what it was not told is told again. */
class ReloadTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String A = World.ID + "1";

    @TempDir
    Path folder;
    private World world;
    private Sender sender;

    @BeforeEach
    void build() throws IOException {
        world = new World(folder);
    }

    @AfterEach
    void end() throws IOException {
        if (sender != null) {
            sender.stop();
        }
        world.close();
    }

    private long watches(World.Http discovery) {
        return discovery.requests.stream().filter(r -> r.head().startsWith("GET")).count();
    }

    /** The file counts then, not the environment; the old watch must not come back beside the new one. */
    @Test
    void watchesWhereTheFileSaysWithTheListKept() throws IOException {
        Map<String, String> environment = new HashMap<>(world.environment());
        environment.put("GW_DISCOVERY", world.discovery.address());
        sender = Sender.start(Config.read(environment));
        world.announce(world.list(3, false, "Ready", "s-2"));
        await(() -> sender.ready("s-2"));
        world.moveDiscovery(4, "Terminating");
        sender.reload(environment);
        await(() -> !sender.ready("s-1"));
        assertTrue(world.moved.requests.get(0).head().contains("since=3"), "the version was lost");
        await(() -> world.discovery.sockets.get(0).isClosed());
        world.moved.sockets.get(0).close();
        await(() -> watches(world.moved) == 2);
        assertEquals(1, watches(world.discovery));
    }

    @Test
    void repeatsAnUnansweredNoticeAtTheNewAddress() throws IOException {
        sender = world.start();
        world.noticeAnswers = r -> null;
        world.client(sender).submit("unsafe", A, NO_KEY, 300, 8);
        await(() -> !world.notices.isEmpty());
        world.moveDiscovery(3, "Ready");
        sender.reload(world.environment());
        await(() -> sender.owed() == 0);
        assertTrue(world.moved.requests.stream().anyMatch(r -> r.body().contains(A)));
    }

    @Test
    void keepsItsSettingsWhenTheFileCannotBeRead() throws IOException {
        sender = world.start();
        await(() -> watches(world.discovery) == 1);
        Map<String, String> environment = world.environment();
        Files.writeString(folder.resolve("config.json"), "{\"discovery\":");
        sender.reload(environment);
        world.discovery.sockets.get(0).close();
        await(() -> watches(world.discovery) == 2);
        assertEquals("+OK", world.client(sender).submit("safe", A, NO_KEY));
        await(() -> sender.owed() == 0);
    }

    /** A connection that ends just as it opened leaves no answer to wait for: the notice goes on another. */
    @Test
    void sendsNoticesThoughConnectionsEndAsTheyOpen() throws IOException {
        int[] met = new int[1];
        try (World.Http shut = new World.Http(r -> ok(204, ""))) {
            shut.greet = (Socket s) -> met[0]++ >= 8;
            world.discoveryAddress = shut.address();
            sender = world.start();
            world.client(sender).submit("unsafe", A, NO_KEY, 300, 8);
            await(() -> sender.owed() == 0);
            assertTrue(shut.requests.stream().anyMatch(r -> r.body().contains(A)));
        }
    }

    /** The process itself: SIGHUP moves discovery, SIGTERM leaves it serving, and neither ends it. */
    @Test
    void livesThroughSignals() throws Exception {
        Map<String, String> environment = world.environment();
        ProcessBuilder builder = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp", System.getProperty("java.class.path"), "amberroute.sender.Main", "serve");
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        Process process = builder.start();
        try {
            await(() -> watches(world.discovery) == 1 && logged("ready at"));
            world.moveDiscovery(3, "Ready");
            signal("HUP", process);
            await(() -> watches(world.moved) == 1);
            try (World.Client client = new World.Client(port())) {
                assertEquals("+OK", client.submit("safe", A, NO_KEY));
                await(() -> world.receiver.requests.size() == 1);
                signal("TERM", process);
                await(() -> logged("ends soon"));
                assertEquals("+OK", client.submit("safe", World.ID + "2", NO_KEY));
                await(() -> world.receiver.requests.size() == 2);
            }
            assertTrue(process.isAlive());
        } finally {
            process.destroyForcibly().waitFor();
        }
    }

    private boolean logged(String text) {
        try {
            return Files.readString(folder.resolve("log")).contains(text);
        } catch (IOException e) {
            return false;
        }
    }

    private int port() throws IOException {
        String log = Files.readString(folder.resolve("log"));
        String address = log.substring(log.indexOf("ready at")).lines().findFirst().orElseThrow();
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private static void signal(String name, Process process) throws Exception {
        assertEquals(0, new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid()).start().waitFor());
    }
}
