package amberroute.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.testkit.DeliveryHistory.Answer;
import amberroute.testkit.DeliveryHistory.Effect;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The stand-ins as their peers meet them: raw requests to partners and platform, a scripted sender for clients. */
class TestEnvironmentTest {
    private TestEnvironment stage;

    @BeforeEach
    void build() throws Exception {
        stage = new TestEnvironment(5);
    }

    @AfterEach
    void end() {
        stage.close();
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + 20_000_000_000L;
        boolean holds = condition.getAsBoolean();
        while (!holds && System.nanoTime() < end) {
            Thread.sleep(5);
            holds = condition.getAsBoolean();
        }
        assertTrue(holds, "waited in vain");
    }

    private static Socket connect(String address) throws IOException {
        Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), Integer.parseInt(address.substring(address.indexOf(':') + 1)));
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** One request and its whole answer, head and body. */
    private static String http(Socket socket, String method, String path, String body, String... headers)
            throws IOException {
        StringBuilder request = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: x\r\n");
        for (String header : headers) {
            request.append(header).append("\r\n");
        }
        request.append("Content-Length: ")
                .append(body.length())
                .append("\r\n\r\n")
                .append(body);
        socket.getOutputStream().write(request.toString().getBytes(StandardCharsets.ISO_8859_1));
        StringBuilder answer = new StringBuilder();
        int length = 0;
        while (answer.indexOf("\r\n\r\n") < 0 || answer.length() < answer.indexOf("\r\n\r\n") + 4 + length) {
            int b = socket.getInputStream().read();
            if (b < 0) {
                throw new IOException("closed after: " + answer);
            }
            answer.append((char) b);
            if (answer.toString().endsWith("\r\n\r\n") && length == 0) {
                length = answer.toString()
                        .lines()
                        .filter(l -> l.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:"))
                        .mapToInt(l -> Integer.parseInt(l.substring(15).strip()))
                        .findFirst()
                        .orElse(0);
            }
        }
        return answer.toString();
    }

    private DeliveryHistory.Entry handIn(String id, Effect effect) {
        return stage.callOnLoop(() -> {
            DeliveryHistory.Entry entry = stage.history()
                    .submitted(id, id, "c", effect, 0, false, 1, 0, Long.MAX_VALUE / 2, Long.MAX_VALUE / 2);
            stage.history().answered(entry, Answer.TAKEN);
            return entry;
        });
    }

    private StubUpstreamServer partner(StubUpstream.Parameters figures) throws Exception {
        stage.destination(1, 1, figures, "std");
        return stage.upstreams().get(0);
    }

    // ---- Partners. ----

    @Test
    void aPartnerCarriesOutAndBooksIt() throws Exception {
        StubUpstreamServer partner = partner(StubUpstream.Parameters.unlimited());
        handIn("a", Effect.KEYED);
        try (Socket socket = connect(partner.address())) {
            assertTrue(http(socket, "POST", "/receive", "x", "X-Request-ID: a", "Idempotency-Key: k")
                    .startsWith("HTTP/1.1 200"));
            // The same key again is answered and has no second effect.
            assertTrue(http(socket, "POST", "/receive", "x", "X-Request-ID: a", "Idempotency-Key: k")
                    .startsWith("HTTP/1.1 200"));
            assertTrue(http(socket, "POST", "/receive", "x").startsWith("HTTP/1.1 400"));
            assertTrue(
                    http(socket, "POST", "/elsewhere", "x", "X-Request-ID: a").startsWith("HTTP/1.1 400"));
        }
        DeliveryHistory.Totals totals = stage.totals();
        assertEquals(1, totals.delivered());
        assertEquals(0, totals.duplicateExecutions());
        assertEquals(2, partner.calls());
    }

    @Test
    void aPartnerReadsManyMessagesInOneCall() throws Exception {
        StubUpstreamServer partner = partner(StubUpstream.Parameters.unlimited());
        handIn("a", Effect.SAFE);
        handIn("b", Effect.SAFE);
        try (Socket socket = connect(partner.address())) {
            String answer = http(socket, "POST", "/receive-many", "a - 2\r\nxy\r\nb k 0\r\n\r\n");
            assertTrue(answer.startsWith("HTTP/1.1 200") && answer.endsWith("a delivered\r\nb delivered\r\n"), answer);
            for (String bad : List.of("a - 5\r\nxy\r\n", "a -\r\n", "nonsense", "a - x\r\n\r\n")) {
                assertTrue(http(socket, "POST", "/receive-many", bad).startsWith("HTTP/1.1 400"), bad);
            }
        }
        assertEquals(2, stage.totals().delivered());
    }

    @Test
    void aPartnerAboveItsLimitTellsATrueWait() throws Exception {
        StubUpstreamServer partner = partner(StubUpstream.Parameters.unlimited().limited(2, 400_000));
        for (int i = 0; i < 3; i++) {
            handIn("m" + i, Effect.SAFE);
        }
        try (Socket socket = connect(partner.address())) {
            String answer = "";
            int sent = 0;
            while (!answer.startsWith("HTTP/1.1 429") && sent < 3) {
                answer = http(socket, "POST", "/receive", "", "X-Request-ID: m" + sent++);
            }
            assertTrue(answer.startsWith("HTTP/1.1 429"), answer);
            String wait = answer.lines()
                    .filter(l -> l.toLowerCase(java.util.Locale.ROOT).startsWith("retry-after:"))
                    .findFirst()
                    .orElseThrow();
            Thread.sleep((long) (Double.parseDouble(wait.substring(12).strip()) * 1_000) + 1);
            assertTrue(http(socket, "POST", "/receive", "", "X-Request-ID: m" + (sent - 1))
                    .startsWith("HTTP/1.1 200"));
        }
    }

    @Test
    void aPartnerThatDiesResetsAndOneThatHangsIsSilent() throws Exception {
        StubUpstreamServer partner = partner(StubUpstream.Parameters.unlimited());
        handIn("a", Effect.SAFE);
        try (Socket socket = connect(partner.address())) {
            assertTrue(http(socket, "POST", "/receive", "", "X-Request-ID: a").startsWith("HTTP/1.1 200"));
            stage.setMode(1, StubUpstream.Mode.HANG);
            socket.setSoTimeout(200);
            assertThrows(IOException.class, () -> http(socket, "POST", "/receive", "", "X-Request-ID: a"));
            stage.setMode(1, StubUpstream.Mode.DEAD);
            assertThrows(IOException.class, () -> http(socket, "POST", "/receive", "", "X-Request-ID: a"));
        }
        stage.setMode(1, StubUpstream.Mode.REFUSE);
        try (Socket socket = connect(partner.address())) {
            assertTrue(http(socket, "POST", "/receive", "", "X-Request-ID: a").startsWith("HTTP/1.1 503"));
        }
    }

    @Test
    void aProxiedDestinationIsListedByItsProxy() throws Exception {
        stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "std", true);
        handIn("a", Effect.SAFE);
        String list = stage.callOnLoop(stage.platform()::fullList);
        assertFalse(list.contains(stage.upstreams().get(0).address()), list);
        String listed = list.substring(list.indexOf("127.0.0.1:")).split("\"")[0];
        try (Socket socket = connect(listed)) {
            assertTrue(http(socket, "POST", "/receive", "", "X-Request-ID: a").startsWith("HTTP/1.1 200"));
            stage.resetOne(0);
            assertThrows(IOException.class, () -> http(socket, "POST", "/receive", "", "X-Request-ID: a"));
        }
    }

    // ---- The platform. ----

    @Test
    void thePlatformListsWatchesAndTakesNotices() throws Exception {
        stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "std");
        handIn("a", Effect.SAFE);
        handIn("b", Effect.SAFE);
        try (Socket watch = connect(stage.platform().address());
                Socket post = connect(stage.platform().address())) {
            watch.getOutputStream()
                    .write("GET /api/targets?follow=1&since=0 HTTP/1.1\r\nHost: x\r\n\r\n"
                            .getBytes(StandardCharsets.US_ASCII));
            BufferedReader lines =
                    new BufferedReader(new InputStreamReader(watch.getInputStream(), StandardCharsets.UTF_8));
            assertTrue(next(lines).contains("\"all\":true"));
            stage.runOnLoop(() -> stage.platform().listEndpoint("p1-0", "127.0.0.1:9", 1, "std", "Terminating"));
            String change = next(lines);
            assertTrue(change.contains("Terminating") && change.contains("\"all\":false"), change);
            assertTrue(http(
                            post,
                            "POST",
                            "/status",
                            "{\"id\":\"a\",\"state\":\"returned\",\"after_ms\":5}\n"
                                    + "{\"id\":\"b\",\"state\":\"failed\"}\n")
                    .startsWith("HTTP/1.1 204"));
            assertTrue(http(post, "POST", "/status", "nonsense\n").startsWith("HTTP/1.1 400"));
            assertTrue(http(post, "GET", "/api/targets", "").contains("Terminating"));
            assertTrue(http(post, "GET", "/nowhere", "").startsWith("HTTP/1.1 404"));
        }
        assertEquals(1, stage.totals().returned());
        assertEquals(1, stage.totals().failed());
    }

    private static String next(BufferedReader lines) throws IOException {
        String line = lines.readLine();
        while (line != null && !line.startsWith("{")) {
            line = lines.readLine();
        }
        return String.valueOf(line);
    }

    // ---- Clients. ----

    /** A sender that answers by a script and notes what it was handed. */
    private static final class Script implements AutoCloseable {
        final List<String> ids = Collections.synchronizedList(new ArrayList<>());
        final Map<String, Long> at = Collections.synchronizedMap(new HashMap<>());
        private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final Function<String, String> answers;

        /** The function has the id and gives an answer, or null to close without one. */
        Script(Function<String, String> answers) throws IOException {
            this.answers = answers;
            daemon(() -> {
                while (true) {
                    Socket socket = server.accept();
                    daemon(() -> serve(socket));
                }
            });
        }

        private interface Work {
            void run() throws IOException;
        }

        private static void daemon(Work work) {
            Thread thread = new Thread(() -> {
                try {
                    work.run();
                } catch (IOException e) {
                    // The test is over, or the client has left.
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private void serve(Socket socket) throws IOException {
            try (socket) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
                while ("*5".equals(in.readLine())) {
                    String[] words = new String[5];
                    for (int i = 0; i < 5; i++) {
                        in.readLine();
                        words[i] = in.readLine();
                    }
                    at.put(words[2], System.nanoTime());
                    ids.add(words[2]);
                    String answer = answers.apply(words[2]);
                    if (answer == null) {
                        return;
                    }
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.US_ASCII));
                }
            }
        }

        InetSocketAddress address() {
            return (InetSocketAddress) server.getLocalSocketAddress();
        }

        @Override
        public void close() throws IOException {
            server.close();
        }
    }

    private LoadClients ask(Script script, Effect effect, boolean ordered, int most) throws Exception {
        stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "std");
        LoadClients clients = stage.clients(
                List.of(script.address()),
                List.of(new LoadClients.Kind("c", effect, ordered, 1, 1_000_000, 3_000_000)));
        stage.runOnLoop(() -> clients.run(new LoadClients.Load(500, 0, 1, 1, 5)));
        await(() -> stage.callOnLoop(clients::submittedCount) >= most);
        stage.runOnLoop(clients::pause);
        return clients;
    }

    @Test
    void clientsComeAgainWhenTheyAreTold() throws Exception {
        try (Script script = new Script(id -> id.endsWith(".1") ? "-BUSY 300\r\n" : "+OK\r\n")) {
            LoadClients clients = ask(script, Effect.UNSAFE, false, 3);
            await(() -> stage.callOnLoop(clients::openRequests) == 0);
            long again = script.ids.stream().filter(id -> id.endsWith(".2")).count();
            assertTrue(again >= 3, script.ids.toString());
            for (String id : script.ids) {
                if (id.endsWith(".2")) {
                    long waited = script.at.get(id) - script.at.get(id.replace(".2", ".1"));
                    assertTrue(waited >= 299_000_000L, "came after " + waited + " ns");
                }
            }
        }
        DeliveryHistory.Totals totals = stage.totals();
        assertEquals(totals.accepted(), totals.rejected());
    }

    /** Where no answer came an unsafe message may have been taken on: it is not handed in again. */
    @ParameterizedTest
    @EnumSource(names = {"UNSAFE", "SAFE"})
    void clientsRepeatWithoutAnAnswerOnlyWhatMayBe(Effect effect) throws Exception {
        try (Script script = new Script(id -> id.endsWith(".1") ? null : "+OK\r\n")) {
            LoadClients clients = ask(script, effect, false, 2);
            await(() -> stage.callOnLoop(clients::openRequests) == 0);
            assertEquals(effect == Effect.SAFE, script.ids.stream().anyMatch(id -> id.endsWith(".2")));
        }
        assertTrue(stage.totals().unanswered() >= 2);
    }

    @Test
    void clientsHandInAKeysMessagesOneAfterAnother() throws Exception {
        int[] open = new int[1];
        int[] most = new int[1];
        try (Script script = new Script(id -> {
            synchronized (open) {
                most[0] = Math.max(most[0], ++open[0]);
            }
            try {
                Thread.sleep(10);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            synchronized (open) {
                open[0]--;
            }
            return "+OK\r\n";
        })) {
            LoadClients clients = ask(script, Effect.KEYED, true, 20);
            await(() -> stage.callOnLoop(clients::openRequests) == 0);
            assertEquals(1, most[0]);
            List<Long> numbers = script.ids.stream()
                    .map(id -> Long.parseLong(id.substring(1, id.indexOf('.')), 16))
                    .toList();
            assertEquals(numbers.stream().sorted().toList(), numbers);
        }
    }

    @Test
    void aSenderThatIsNotThereCostsNoTry() throws Exception {
        InetSocketAddress nobody;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            nobody = (InetSocketAddress) probe.getLocalSocketAddress();
        }
        stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "std");
        LoadClients clients = stage.clients(
                List.of(nobody), List.of(new LoadClients.Kind("c", Effect.UNSAFE, false, 1, 1_000, 400_000)));
        stage.runOnLoop(() -> clients.run(new LoadClients.Load(200, 0, 1, 1, 5)));
        await(() -> stage.callOnLoop(clients::submittedCount) >= 3);
        stage.runOnLoop(clients::pause);
        await(() -> stage.callOnLoop(clients::openRequests) == 0);
        assertEquals(0, stage.totals().submitted());
    }
}
