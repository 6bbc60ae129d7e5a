package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamStatus;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.lifecycle.TransferredState;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.Channels;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One process takes another's place while that one serves: nothing lost, nothing twice, no order broken. */
class OwnershipTransferTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String KEY = "7f3a9c21e0b4d655";

    @TempDir
    Path folder;

    private SenderFixture world;
    private ServerSocketChannel door;
    private final List<Sender> senders = new ArrayList<>();

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
        world.slots = 8;
        door = ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void end() throws IOException {
        for (Sender sender : senders) {
            sender.stop();
        }
        world.close();
        door.close();
    }

    private Sender start() throws IOException {
        return start(door);
    }

    /** In one JVM all share one channel on the listening socket, which closes with the first that stops. */
    private Sender start(ServerSocketChannel inherited) throws IOException {
        Sender sender = Sender.start(SenderConfig.read(world.environment()), inherited);
        senders.add(sender);
        return sender;
    }

    private SenderFixture.Client client() throws IOException {
        return new SenderFixture.Client(((InetSocketAddress) door.getLocalAddress()).getPort());
    }

    private int calls(String id) {
        return (int) world.receiver.requests.stream()
                .filter(r -> r.body().contains("body of " + id))
                .count();
    }

    private boolean noticed(String id, String state) {
        return world.notices.contains("{\"id\":\"" + id + "\",\"state\":\"" + state + "\"}");
    }

    private static String ready(Sender sender) {
        return AdminServerTest.get(sender.adminAddress(), "/-/ready").substring(9, 12);
    }

    /** Calls for these ids wait until they are let go; each is remembered with its connection. */
    private Map<String, Socket> hold(String... ids) {
        Map<String, Socket> held = new ConcurrentHashMap<>();
        List<String> waiting = new java.util.concurrent.CopyOnWriteArrayList<>(List.of(ids));
        world.receiver.answers = r -> {
            String id = r.body().replace("body of ", "");
            if (waiting.remove(id)) {
                held.put(id, r.socket());
                return null;
            }
            return ok(200, "");
        };
        return held;
    }

    @Test
    void whatIsOutEndsOverThereAndTheRestGoesOnHereInOrder() throws Exception {
        // So long that nothing is taken for silent meanwhile, however slow the machine.
        world.deadline = 400_000_000;
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("s", "u", "k0");
        client.submit("safe", "s", NO_KEY, 60_000, 7);
        client.submit("unsafe", "u", NO_KEY, 60_000, 7);
        for (int i = 0; i < 3; i++) {
            assertEquals("+OK", client.submit("keyed", "k" + i, KEY, 60_000, 7));
        }
        await(() -> held.size() == 3);
        assertEquals("200", ready(old));
        Sender fresh = start();
        assertEquals(List.of("503", "200"), List.of(ready(old), ready(fresh)));
        assertEquals(5, fresh.pendingMessageCount());
        // The old one's client still asks there: its answer comes from the new one, and then the connection ends. On a
        // slow machine it may have been sent over already, and asks once more on another connection.
        String passed;
        try {
            passed = client.submit("keyed", "k3", KEY);
            assertThrows(IOException.class, client::answer);
        } catch (IOException e) {
            passed = client().submit("keyed", "k3", KEY);
        }
        assertEquals("+OK", passed);
        assertEquals("+OK", client().submit("safe", "n", NO_KEY));
        assertEquals(0, calls("k1"), "k1 went before k0 had ended");
        for (Socket socket : held.values()) {
            SenderFixture.write(socket, ok(200, ""));
        }
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(
                List.of("body of k0", "body of k1", "body of k2", "body of k3"),
                world.receiver.requests.stream()
                        .map(SenderFixture.Request::body)
                        .filter(b -> b.contains(" k"))
                        .toList());
        assertEquals(List.of(1, 1, 1, List.of()), List.of(calls("s"), calls("u"), calls("n"), world.notices));
        await(() -> AdminServerTest.figure(old, "svc_active") == 0);
        await(() -> old.clientConnectionCount() == 0);
    }

    /** As after any end of a process: what was out may have run. */
    @Test
    void whatIsOutWhenTheOldOneDiesIsInDoubt() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("s", "u");
        client.submit("safe", "s", NO_KEY);
        client.submit("unsafe", "u", NO_KEY);
        await(() -> held.size() == 2);
        // A door of its own: in one JVM the old one's end would close the shared one under the new one's loop.
        Sender fresh =
                start(ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        assertEquals(2, fresh.pendingMessageCount());
        old.stop();
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(List.of(2, 1, true), List.of(calls("s"), calls("u"), noticed("u", "failed")));
    }

    @Test
    void theOldOneDiesWithoutGiving() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("s");
        client.submit("safe", "s", NO_KEY);
        await(() -> held.size() == 1);
        Thread taker = Thread.currentThread();
        // Nobody listens for a successor any more: only the lock tells when the folder is free.
        java.nio.file.Files.delete(folder.resolve("state").resolve("successor"));
        Thread end = new Thread(() -> {
            await(() -> Thread.getAllStackTraces().entrySet().stream()
                    .anyMatch(t -> t.getKey() == taker
                            && java.util.Arrays.stream(t.getValue())
                                    .anyMatch(f -> f.getMethodName().equals("acquireOwnership"))));
            old.stop();
        });
        end.start();
        Sender fresh =
                start(ServerSocketChannel.open().bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
        end.join();
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(2, calls("s"));
    }

    /** Its wait was told to the old one alone. */
    @Test
    void aToldWaitBindsTheNewOneToo() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        world.receiver.answers = r -> ok(429, "", "Retry-After: 2.5");
        client.submit("safe", "a", NO_KEY);
        await(() -> calls("a") == 1);
        long told = System.nanoTime();
        await(() -> AdminServerTest.figure(old, "svc_active") == 1);
        world.receiver.answers = r -> ok(200, "");
        Sender fresh = start();
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(2, calls("a"));
        long waited = (System.nanoTime() - told) / 1_000_000;
        assertTrue(waited >= 2_300, "called again after " + waited + " ms");
    }

    /** The new one's module gives up a silent call that the old one has out; only then is it made again. */
    @Test
    void theNewOneStopsACallOfTheOldOne() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("s");
        client.submit("safe", "s", NO_KEY);
        await(() -> held.size() == 1);
        Sender fresh = start();
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(2, calls("s"));
        await(() -> held.get("s").isClosed());
    }

    /** A notice that is still to be answered holds back the next of its key, also for another process. */
    @Test
    void aKeyWaitsForTheNoticeOfTheOneBefore() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.noticeAnswers = r -> null;
        assertEquals("+OK", client.submit("keyed", "k0", KEY, 1_000, 8));
        await(() -> !world.notices.isEmpty());
        assertEquals("+OK", client.submit("keyed", "k1", KEY));
        Sender fresh = start();
        assertEquals("+OK", client().submit("safe", "n", NO_KEY));
        await(() -> calls("n") == 1);
        assertEquals(0, calls("k1"));
        world.noticeAnswers = r -> ok(204, "");
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(1, calls("k1"));
        assertFalse(old == fresh);
    }

    // ---- Whoever asks and does not keep to the line. ----

    private JsonObject say(String word, boolean answered) throws IOException {
        try (SocketChannel line = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            line.connect(UnixDomainSocketAddress.of(folder.resolve("state").resolve("successor")));
            line.write(ByteBuffer.wrap((word + "\n").getBytes(StandardCharsets.UTF_8)));
            if (!answered) {
                return null;
            }
            String answer = new BufferedReader(Channels.newReader(line, StandardCharsets.UTF_8)).readLine();
            return answer == null
                    ? new JsonObject()
                    : JsonParser.parseString(answer).getAsJsonObject();
        }
    }

    @Test
    void whatCannotBeReadGetsNothing() throws Exception {
        Sender old = start();
        for (String bad : List.of(
                "",
                "{",
                "[]",
                "{\"do\":3}",
                "{\"do\":\"take\"}",
                "{\"do\":\"cancel\",\"number\":1}",
                "{\"do\":\"answer\",\"asked\":1,\"line\":\"+OK\"}",
                "x".repeat(100_000))) {
            say(bad, false);
        }
        assertEquals("no", say("{\"do\":\"take\",\"v\":99}", true).get("do").getAsString());
        assertEquals("+OK", client().submit("safe", "a", NO_KEY));
        await(() -> old.pendingMessageCount() == 0);
        assertEquals(1, calls("a"));
    }

    /** It dies as soon as all is its own: the old one owns all again, and the calls that are out there were never in doubt. */
    @Test
    void theNewOneDiesWithAllInItsHands() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("u", "k0");
        client.submit("unsafe", "u", NO_KEY);
        client.submit("keyed", "k0", KEY);
        client.submit("keyed", "k1", KEY);
        await(() -> held.size() == 2);
        JsonObject yours = say("{\"do\":\"take\",\"v\":1}", true);
        assertEquals(2, yours.getAsJsonObject("estate").getAsJsonArray("out").size());
        await(() -> ready(old).equals("200"));
        assertEquals(3, old.pendingMessageCount());
        assertEquals("+OK", client().submit("safe", "n", NO_KEY, 60_000, 7));
        assertEquals(0, calls("k1"), "k1 went before k0 had ended");
        for (Socket socket : held.values()) {
            SenderFixture.write(socket, ok(200, ""));
        }
        await(() -> old.pendingMessageCount() == 0);
        assertEquals(
                List.of("body of k0", "body of k1"),
                world.receiver.requests.stream()
                        .map(SenderFixture.Request::body)
                        .filter(b -> b.contains(" k"))
                        .toList());
        assertEquals(List.of(1, 1, List.of()), List.of(calls("u"), calls("n"), world.notices));
        assertFalse(old.stopped().isDone(), "it ended though nobody had asked for that");
    }

    /** What the dead one was told and had not recorded is settled by the old one; what was asked of it is asked again. */
    @Test
    void whatTheNewOneWasToldBeforeItDiedIsSettled() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("u", "s");
        client.submit("unsafe", "u", NO_KEY);
        client.submit("safe", "s", NO_KEY);
        await(() -> held.size() == 2);
        try (SocketChannel line = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            line.connect(UnixDomainSocketAddress.of(folder.resolve("state").resolve("successor")));
            line.write(ByteBuffer.wrap("{\"do\":\"take\",\"v\":1}\n".getBytes(StandardCharsets.UTF_8)));
            BufferedReader words = new BufferedReader(Channels.newReader(line, StandardCharsets.UTF_8));
            assertTrue(words.readLine().contains("yours"));
            SenderFixture.write(held.get("u"), ok(200, ""));
            SenderFixture.write(held.get("s"), ok(429, "", "Retry-After: 1.5"));
            assertEquals(List.of("outcome", "outcome"), List.of(wordOf(words.readLine()), wordOf(words.readLine())));
            client.write(SenderFixture.command("SUBMIT", NO_KEY, "asked", "c=safe,d=8000,k=,dest=7", "body of asked"));
            assertEquals("submit", wordOf(words.readLine()));
        }
        long over = System.nanoTime();
        assertEquals("+OK", client.answer());
        await(() -> old.pendingMessageCount() == 0);
        long waited = (System.nanoTime() - over) / 1_000_000;
        assertEquals(List.of(1, 2, 1, List.of()), List.of(calls("u"), calls("s"), calls("asked"), world.notices));
        assertTrue(waited >= 1_000, "called again " + waited + " ms behind a wait of 1.5 s was told");
    }

    /** The next one could not know of calls that are out two processes back, and would make them a second time. */
    @Test
    void nobodyTakesOverWhileCallsOfTheProcessBeforeAreOut() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("u");
        client.submit("unsafe", "u", NO_KEY);
        await(() -> held.size() == 1);
        Sender second = start();
        JsonObject refused = say("{\"do\":\"take\",\"v\":1}", true);
        assertEquals(
                List.of("no", "calls of the process before this one are still out"),
                List.of(refused.get("do").getAsString(), refused.get("why").getAsString()));
        SenderFixture.write(held.get("u"), ok(200, ""));
        await(() -> second.pendingMessageCount() == 0);
        Sender third = start();
        assertEquals("200", ready(third));
        assertEquals(List.of(1, List.of()), List.of(calls("u"), world.notices));
    }

    /** The next process may be short of CPU time: what would end before its first turn has its notice from the old one. */
    @Test
    void whatEndsWhileNobodyDecidesHasItsNoticeInTime() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        assertEquals("+OK", client.submit("unsafe", "soon", NO_KEY, 600, 8));
        assertEquals("+OK", client.submit("unsafe", "later", NO_KEY, 60_000, 8));
        try (SocketChannel line = SocketChannel.open(StandardProtocolFamily.UNIX)) {
            line.connect(UnixDomainSocketAddress.of(folder.resolve("state").resolve("successor")));
            line.write(ByteBuffer.wrap("{\"do\":\"take\",\"v\":1}\n".getBytes(StandardCharsets.UTF_8)));
            assertTrue(new BufferedReader(Channels.newReader(line, StandardCharsets.UTF_8))
                    .readLine()
                    .contains("yours"));
            await(() -> noticed("soon", "returned"));
            assertFalse(noticed("later", "returned"));
        }
        await(() -> ready(old).equals("200"));
        // Its notice is repeated, as nobody has recorded the answer.
        await(() -> old.pendingMessageCount() == 1);
    }

    private static String wordOf(String line) {
        return JsonParser.parseString(line).getAsJsonObject().get("do").getAsString();
    }

    /** A second one finds the folder given; without a socket passed down a process ends with one line as before. */
    @Test
    void onlyOneTakesThePlace() throws Exception {
        Sender old = start();
        Sender second = start();
        Sender third = start();
        assertEquals(List.of("503", "503", "200"), List.of(ready(old), ready(second), ready(third)));
        assertEquals("+OK", client().submit("safe", "a", NO_KEY));
        await(() -> third.pendingMessageCount() == 0);
        assertThrows(InvalidSettingsException.class, () -> Sender.start(SenderConfig.read(world.environment())));
        assertThrows(InvalidSettingsException.class, () -> SenderConfig.inherits(Map.of("GW_ACCEPT_FD", "3")));
    }

    /**
     * An old one of another build passes on what cannot be read: as after a crash, but nothing is lost. It calls off what it has out, as
     * that is made again, and stays until it is told to end: it owns all again when the new one dies.
     */
    @Test
    void anEstateThatCannotBeReadIsAsACrash() throws Exception {
        Sender old = start();
        SenderFixture.Client client = client();
        world.prove(old, client);
        Map<String, Socket> held = hold("s", "u");
        client.submit("safe", "s", NO_KEY);
        client.submit("unsafe", "u", NO_KEY);
        await(() -> held.size() == 2);
        Path socket = folder.resolve("state").resolve("successor");
        Path aside = folder.resolve("aside");
        java.nio.file.Files.move(socket, aside);
        Thread between = new Thread(() -> spoil(socket, aside));
        between.start();
        Sender fresh = start();
        between.join();
        await(() -> fresh.pendingMessageCount() == 0);
        assertEquals(List.of(2, 1, true), List.of(calls("s"), calls("u"), noticed("u", "failed")));
        await(() -> held.values().stream().allMatch(OwnershipTransferTest::closedByTheOther));
        assertFalse(old.stopped().isDone(), "it ended though nobody had asked for that");
        assertEquals(List.of("503", "200"), List.of(ready(old), ready(fresh)));
        fresh.stop();
        await(() -> ready(old).equals("200"));
    }

    private static boolean closedByTheOther(Socket socket) {
        try {
            return socket.isClosed()
                    || socket.getInputStream().available() == 0
                            && socket.getInputStream().read() < 0;
        } catch (IOException e) {
            return true;
        }
    }

    /** Stands between the two and renames a part of what the old one passes on. */
    private static void spoil(Path socket, Path aside) {
        try (java.nio.channels.ServerSocketChannel middle = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
            middle.bind(UnixDomainSocketAddress.of(socket));
            try (SocketChannel fresh = middle.accept();
                    SocketChannel old = SocketChannel.open(StandardProtocolFamily.UNIX)) {
                old.connect(UnixDomainSocketAddress.of(aside));
                BufferedReader asked = new BufferedReader(Channels.newReader(fresh, StandardCharsets.UTF_8));
                old.write(ByteBuffer.wrap((asked.readLine() + "\n").getBytes(StandardCharsets.UTF_8)));
                String yours = new BufferedReader(Channels.newReader(old, StandardCharsets.UTF_8)).readLine();
                assertTrue(yours.contains("\"learned\""));
                fresh.write(ByteBuffer.wrap(
                        (yours.replace("\"learned\"", "\"known\"") + "\n").getBytes(StandardCharsets.UTF_8)));
                asked.readLine();
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Nothing is rounded, dropped or mixed up on its way. */
    @Test
    void theEstateReadsAsItWasWritten() {
        JsonObject list = new JsonObject();
        list.addProperty("rev", 4);
        TransferredState estate = new TransferredState(
                123,
                list,
                List.of(new TransferredState.CallInFlight(List.of(5L, 6L), "s-1", 77)),
                List.of(
                        new DeliveryScheduler.UpstreamSnapshot(
                                new DeliveryScheduler.HealthCheckpoint(3, 0, UpstreamStatus.UNAVAILABLE, 1, 2.5, 3.5),
                                4,
                                5,
                                Double.POSITIVE_INFINITY,
                                6,
                                7,
                                8.5,
                                9.5,
                                0.5,
                                1.5,
                                2.25,
                                3.75,
                                0.125),
                        new DeliveryScheduler.UpstreamSnapshot(
                                new DeliveryScheduler.HealthCheckpoint(3, 9, UpstreamStatus.HEALTHY, 1, 2, 3),
                                4,
                                5,
                                1.75,
                                Long.MAX_VALUE / 2,
                                7,
                                8,
                                9,
                                10,
                                11,
                                12,
                                13,
                                14)),
                List.of(new DeliveryScheduler.KeyPause(-1, 50, 6)));
        String text = estate.write(number -> "s-" + number).toString();
        assertEquals(
                estate,
                TransferredState.read(
                        JsonParser.parseString(text).getAsJsonObject(), uid -> Long.parseLong(uid.substring(2))));
    }
}
