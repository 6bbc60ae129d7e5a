package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.config.SenderConfig;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
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
    private static final String A = SenderFixture.ID + "1";

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
    }

    @AfterEach
    void end() throws IOException {
        if (sender != null) {
            sender.stop();
        }
        world.close();
    }

    private long watches(SenderFixture.Http discovery) {
        return discovery.requests.stream()
                .filter(r -> r.head().startsWith("GET"))
                .count();
    }

    /** The file counts then, not the environment; the old watch must not come back beside the new one. */
    @Test
    void watchesWhereTheFileSaysWithTheListKept() throws IOException {
        Map<String, String> environment = new HashMap<>(world.environment());
        environment.put("GW_DISCOVERY", world.discovery.address());
        sender = Sender.start(SenderConfig.read(environment));
        world.announce(world.list(3, false, "Ready", "s-2"));
        await(() -> sender.isEndpointReady("s-2"));
        world.moveDiscovery(4, "Terminating");
        sender.reload(environment);
        await(() -> !sender.isEndpointReady("s-1"));
        assertTrue(world.moved.requests.get(0).head().contains("since=3"), "the version was lost");
        await(() -> world.discovery.sockets.get(0).isClosed());
        world.moved.sockets.get(0).close();
        await(() -> watches(world.moved) == 2);
        assertEquals(1, watches(world.discovery));
    }

    /** The first watch has been asked for and not answered: what its discovery says behind the move counts for nothing. */
    @Test
    void movesAWatchThatIsStillOpening() throws Exception {
        try (ServerSocket slow = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Map<String, String> environment = new HashMap<>(world.environment());
            environment.put("GW_DISCOVERY", "127.0.0.1:" + slow.getLocalPort());
            sender = Sender.start(SenderConfig.read(environment));
            try (Socket old = slow.accept()) {
                assertTrue(old.getInputStream().read() >= 0, "no request came");
                world.moveDiscovery(4, "Terminating");
                sender.reload(environment);
                await(() -> !sender.isEndpointReady("s-1"));
                String list = world.list(9, true, "Ready", "s-9");
                SenderFixture.write(old, "HTTP/1.1 200 OK\r\nContent-Length: " + list.length() + "\r\n\r\n" + list);
                readToEnd(old);
            }
            assertTrue(!sender.isEndpointReady("s-9"), "the former discovery was heard");
            assertEquals(1, watches(world.moved));
        }
    }

    private static void readToEnd(Socket socket) throws IOException {
        try {
            socket.getInputStream().transferTo(OutputStream.nullOutputStream());
        } catch (SocketException reset) {
            // Closed before it had read all: an end as well.
        }
    }

    @Test
    void repeatsAnUnansweredNoticeAtTheNewAddress() throws IOException {
        sender = world.start();
        world.noticeAnswers = r -> null;
        world.client(sender).submit("unsafe", A, NO_KEY, 300, 8);
        await(() -> !world.notices.isEmpty());
        world.moveDiscovery(3, "Ready");
        sender.reload(world.environment());
        await(() -> sender.pendingMessageCount() == 0);
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
        await(() -> sender.pendingMessageCount() == 0);
    }

    // ---- New settings. ----

    private static final String NEW = ",{\"name\":\"late\",\"effect\":\"%s\",\"importance\":2,"
            + "\"goal_time_us\":100000,\"deadline_us\":DEADLINE,\"dedup_scope\":\"all\",\"key_ttl_us\":5000000}";

    private Map<String, Object> reload() throws IOException {
        return Map.of("error", String.valueOf(sender.reload(world.environment())));
    }

    /** Every way in which a file can be bad, each with discovery moved: nothing of it may be taken. */
    @Test
    void turnsDownAHalfGoodFileWhole() throws IOException {
        sender = world.start();
        await(() -> watches(world.discovery) == 1);
        Map<String, String> environment = world.environment();
        Path file = folder.resolve("config.json");
        String good = Files.readString(file).replace(world.discovery.address(), "127.0.0.1:1");
        Map<String, String> bad = new java.util.LinkedHashMap<>();
        bad.put("empty", "");
        bad.put("cut short", good.substring(0, good.length() / 2));
        bad.put("no settings", good.replace("\"settings\"", "\"elsewhere\""));
        bad.put("no limits", good.replace("\"limits\":{\"cores\"", "\"limit\":{\"cores\""));
        bad.put("no optional key", good.replace("\"settle_after_doubt_us\"", "\"settled\""));
        bad.put("no key that all classes have", good.replaceFirst("\"importance\"", "\"unimportance\""));
        bad.put("a deadline below 0", good.replaceFirst("\"deadline_us\":20000000", "\"deadline_us\":-5"));
        bad.put("a deadline of 0", good.replaceFirst("\"deadline_us\":20000000", "\"deadline_us\":0"));
        bad.put("a deadline in words", good.replaceFirst("\"deadline_us\":20000000", "\"deadline_us\":\"soon\""));
        bad.put("a number as text", good.replaceFirst("\"deadline_us\":20000000", "\"deadline_us\":\"20000000\""));
        bad.put("no attempts", good.replace("\"max_attempts\":12", "\"max_attempts\":0"));
        bad.put("attempts as a flag", good.replace("\"max_attempts\":12", "\"max_attempts\":true"));
        for (Map.Entry<String, String> one : bad.entrySet()) {
            assertTrue(!one.getValue().equals(good), one.getKey() + " changed nothing");
            Files.writeString(file, one.getValue());
            assertTrue(sender.reload(environment) != null, one.getKey() + " was taken");
        }
        world.discovery.sockets.get(0).close();
        await(() -> watches(world.discovery) == 2);
        await(() -> AdminServerTest.figure(sender, "svc_config_rejected_total") == bad.size());
        assertEquals(0, AdminServerTest.figure(sender, "svc_config_applied_total"));
        Files.writeString(file, good.replace("127.0.0.1:1\"", world.discovery.address() + "\""));
        assertEquals(null, sender.reload(environment));
        await(() -> AdminServerTest.figure(sender, "svc_config_applied_total") == 1);
    }

    @Test
    void takesClassesThatAppearAndTurnsAwayThoseThatVanish() throws IOException {
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        assertEquals("-ERR unknown class", client.submit("late", A, NO_KEY));
        world.lanes += NEW.formatted("pure");
        assertEquals(Map.of("error", "null"), reload());
        assertEquals("+OK", client.submit("late", A, NO_KEY));
        await(() -> sender.pendingMessageCount() == 0);
        world.lanes = world.lanes.substring(0, world.lanes.indexOf(",{\"name\":\"late\""));
        reload();
        assertEquals("-ERR unknown class", client.submit("late", SenderFixture.ID + "2", NO_KEY));
        await(() -> AdminServerTest.figure(sender, "svc_responses_total{kind=\"late\",result=\"ok\"}") == 1);
    }

    /** Receivers close what rests longer than the settings of now say, and a call on it would end as a reset. */
    @Test
    void connectionsAreKeptNoLongerThanTheNewSettingsAllow() throws IOException {
        world.keepAlive = 100_000_000;
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        world.prove(sender, client);
        await(() -> sender.idleUpstreamConnectionCount() == 1);
        world.keepAlive = 1_000_000;
        assertEquals(Map.of("error", "null"), reload());
        await(() -> sender.idleUpstreamConnectionCount() == 0);
        assertEquals("+OK", client.submit("safe", A, NO_KEY));
        await(() -> world.receiver.sockets.size() == 2
                && world.receiver.sockets.get(1).isClosed());
    }

    /** What is listed from now on is of a kind that the former settings do not have, which took several messages in a call. */
    @Test
    void kindsAreWhatTheNewSettingsSay() throws IOException {
        world.perCall = 8;
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        world.prove(sender, client);
        Map<String, String> environment = world.environment();
        Path file = folder.resolve("config.json");
        Files.writeString(
                file,
                Files.readString(file)
                        .replace("\"kinds\":[\"std\"]", "\"kinds\":[\"solo\",\"std\"]")
                        .replace("\"per_call\":[8]", "\"per_call\":[1,8]")
                        .replace("\"routes_apart\":[false]", "\"routes_apart\":[false,false]"));
        assertEquals(null, sender.reload(environment));
        await(() -> watches(world.discovery) == 2);
        world.announce(world.list(7, true, "Ready", "s-2").replace("\"model\":\"std\"", "\"model\":\"solo\""));
        await(() -> sender.isEndpointReady("s-2"));
        StringBuilder four = new StringBuilder();
        for (int i = 1; i <= 4; i++) {
            four.append(SenderFixture.command("SUBMIT", NO_KEY, SenderFixture.ID + i, "c=safe,d=8000,dest=7", "body"));
        }
        client.write(four.toString());
        await(() -> world.receiver.requests.size() == 4 && sender.pendingMessageCount() == 0);
        assertTrue(world.receiver.requests.stream().allMatch(r -> r.head().startsWith("POST /receive ")));
    }

    /** Its twin waits for the next turn; by then its class is gone, and nobody would ever end it. */
    @Test
    void aTwinWhoseClassVanishesMeanwhileIsNotTakenOn() throws Exception {
        world.lanes += NEW.formatted("pure");
        sender = world.start();
        String without = world.lanes.substring(0, world.lanes.indexOf(",{\"name\":\"late\""));
        SenderFixture.Client one = world.client(sender);
        SenderFixture.Client two = world.client(sender);
        assertEquals("+PONG", one.ask("PING"));
        assertEquals("+PONG", two.ask("PING"));
        String submit = SenderFixture.command("SUBMIT", NO_KEY, A, "c=late,d=8000,dest=7", "body of " + A);
        world.lanes = without;
        Map<String, String> environment = world.environment();
        Thread[] reload = new Thread[1];
        sender.blockEventLoop(() -> {
            try {
                one.write(submit);
                two.write(submit);
                reload[0] = new Thread(() -> sender.reload(environment));
                reload[0].start();
                // Until it waits for the loop: it comes behind whatever is read next.
                await(() -> reload[0].getState() == Thread.State.WAITING);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        reload[0].join();
        for (SenderFixture.Client client : java.util.List.of(one, two)) {
            String answer = client.answer();
            assertTrue(answer.equals("+OK") || answer.equals("-ERR unknown class"), answer);
        }
        await(() -> sender.pendingMessageCount() == 0);
    }

    /** Safe when it was taken on, unsafe by the file of now: it may go out twice, a new one of that name may not. */
    @Test
    void keepsTheClassOfAMessageUnderWayAlsoOverARestart() throws IOException {
        world.lanes += NEW.formatted("pure");
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        world.receiver.answers = r -> null;
        assertEquals("+OK", client.submit("late", A, NO_KEY));
        await(() -> world.receiver.requests.size() == 1);
        world.lanes = world.lanes.replace("\"late\",\"effect\":\"pure\"", "\"late\",\"effect\":\"side_effect\"");
        reload();
        sender.stop();
        world.receiver.answers = r -> ok(200, "");
        sender = world.start();
        await(() -> world.receiver.requests.size() == 2 && sender.pendingMessageCount() == 0);
        assertEquals(java.util.List.of(), world.notices);
        world.receiver.answers = r -> ok(500, "");
        assertEquals("+OK", world.client(sender).submit("late", SenderFixture.ID + "2", NO_KEY));
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals(3, world.receiver.requests.size(), "an unsafe message went out again");
        assertTrue(world.notices.get(0).contains("failed"), world.notices.toString());
    }

    @Test
    void endsWhatHasHadMoreAttemptsThanAreAllowedNow() throws IOException {
        sender = world.start();
        world.receiver.answers = r -> ok(503, "");
        world.client(sender).submit("safe", A, NO_KEY, 20_000, 7);
        await(() -> world.receiver.requests.size() >= 2);
        world.attempts = 2;
        reload();
        await(() -> world.notices.stream().anyMatch(n -> n.contains(A) && n.contains("returned")));
    }

    /** A connection that ends just as it opened leaves no answer to wait for: the notice goes on another. */
    @Test
    void sendsNoticesThoughConnectionsEndAsTheyOpen() throws IOException {
        int[] met = new int[1];
        try (SenderFixture.Http shut = new SenderFixture.Http(r -> ok(204, ""))) {
            shut.greet = (Socket s) -> met[0]++ >= 8;
            world.discoveryAddress = shut.address();
            sender = world.start();
            world.client(sender).submit("unsafe", A, NO_KEY, 300, 8);
            await(() -> sender.pendingMessageCount() == 0);
            assertTrue(shut.requests.stream().anyMatch(r -> r.body().contains(A)));
        }
    }

    /** The process itself: SIGHUP moves discovery, SIGTERM leaves it serving, and neither ends it. */
    @Test
    void livesThroughSignals() throws Exception {
        Map<String, String> environment = world.environment();
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-cp",
                System.getProperty("java.class.path"),
                "amberroute.sender.Main",
                "serve");
        builder.environment().putAll(environment);
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        Process process = builder.start();
        try {
            await(() -> watches(world.discovery) == 1 && logged("event=sender_ready"));
            world.moveDiscovery(3, "Ready");
            signal("HUP", process);
            await(() -> watches(world.moved) == 1);
            try (SenderFixture.Client client = new SenderFixture.Client(port())) {
                assertEquals("+OK", client.submit("safe", A, NO_KEY));
                await(() -> world.receiver.requests.size() == 1);
                signal("TERM", process);
                await(() -> logged("event=process_terminating"));
                assertEquals("+OK", client.submit("safe", SenderFixture.ID + "2", NO_KEY));
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
        String address = log.substring(log.indexOf("event=sender_ready"))
                .lines()
                .findFirst()
                .orElseThrow();
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    private static void signal(String name, Process process) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                        .start()
                        .waitFor());
    }
}
