package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.handoff.Ownership;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.journal.HandoffBatchRecord;
import amberroute.sender.journal.Journal;
import amberroute.sender.journal.SegmentFiles;
import amberroute.sender.lifecycle.ShutdownCoordinator;
import amberroute.sender.lifecycle.ShutdownSequence;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffCoordinator;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Daemons that leave give what they hold to daemons that stay. */
class HandoffTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String CLASSES =
            "\"classes\":{\"safe\":\"SAFE ENDPOINT 0 false\",\"keyed\":\"KEYED DESTINATION"
                    + " 5000000 true\",\"unsafe\":\"UNSAFE ENDPOINT 0 false\"},";
    private static final String KEY = "7f3a9c21e0b4d655";

    @TempDir
    Path folder;

    private SenderFixture world;
    private final List<Sender> senders = new ArrayList<>();

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
    }

    @AfterEach
    void end() throws IOException {
        senders.forEach(Sender::stop);
        world.close();
    }

    private Sender start(String name, String peers) throws IOException {
        Sender sender = Sender.start(world.handoffConfig(name, peers, 50));
        senders.add(sender);
        return sender;
    }

    private static String peer(String name, Sender sender) {
        return "\"" + name + "=127.0.0.1:" + sender.handoffAddress().getPort() + "\"";
    }

    private static int stop(Sender sender, long within) throws Exception {
        sender.blockEventLoop(() -> sender.beginStop(ShutdownMode.FINAL, within));
        return sender.stopped().get(20, TimeUnit.SECONDS);
    }

    /**
     * Fills the slots with calls that hang, so that what comes behind waits. They come in one write and so go out in one turn: one
     * that came behind hanging ones would be held back for their age. They have a minute, of which a call may take a quarter: given
     * up or silent while a slow machine still hands in the rest, they would be an outage, for which that is rightly turned away.
     */
    private void hang(SenderFixture.Client client) throws IOException {
        world.receiver.answers = r -> r.body().contains("hang") ? null : ok(503, "", "Retry-After: 1");
        StringBuilder all = new StringBuilder();
        for (int i = 0; i < 4; i++) {
            all.append(
                    SenderFixture.command("SUBMIT", NO_KEY, "hang" + i, "c=safe,d=60000,dest=7", "body of hang" + i));
        }
        client.write(all.toString());
        for (int i = 0; i < 4; i++) {
            assertEquals("+OK", client.answer());
        }
        await(() -> world.receiver.requests.stream()
                        .filter(r -> r.body().contains("hang"))
                        .count()
                == 4);
    }

    private boolean noticed(String id, String state) {
        return world.notices.contains("{\"id\":\"" + id + "\",\"state\":\"" + state + "\"}");
    }

    @Test
    void whatWaitsMovesInOrderAndIsDeliveredByTheHeir() throws Exception {
        Sender heir = start("heir", "");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        hang(client);
        for (int i = 0; i < 3; i++) {
            assertEquals("+OK", client.submit("keyed", "k" + i, KEY));
        }
        assertEquals("+OK", client.submit("unsafe", "u", NO_KEY));
        world.receiver.requests.clear();
        // Calls that hang go on hanging; what is tried again must not, or the heir tries nothing else for seconds.
        world.receiver.answers = r -> ok(200, "");
        assertEquals(0, stop(leaver, 2_000));
        assertEquals(0, leaver.pendingMessageCount());
        await(() -> heir.pendingMessageCount() == 0);
        List<String> bodies = world.receiver.requests.stream()
                .map(SenderFixture.Request::body)
                .toList();
        assertEquals(
                List.of("body of k0", "body of k1", "body of k2"),
                bodies.stream().filter(b -> b.contains(" k")).toList());
        assertEquals(1, bodies.stream().filter(b -> b.equals("body of u")).count());
        assertFalse(
                world.notices.stream().anyMatch(n -> n.contains("\"k") || n.contains("\"u")), world.notices.toString());
    }

    private void offer(Sender heir, String lot, String id, String className, long doubtSince) throws IOException {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), heir.handoffAddress().getPort())) {
            socket.setSoTimeout(10_000);
            SenderFixture.write(
                    socket,
                    "{\"word\":\"OFFER\",\"lot\":\"" + lot + "\",\"generation\":2,\"from\":\"leaver\","
                            + CLASSES + "\"messages\":[{\"id\":\"" + id + "\",\"idempotency_key\":\"\",\"class\":\""
                            + className
                            + "\",\"key\":\"0\",\"destination\":7,\"deadline\":" + (System.currentTimeMillis() + 15_000)
                            + ",\"attempts\":1,\"doubt_since\":" + doubtSince
                            + ",\"doubt_at\":\"s-1\",\"body\":\"AAAA\"}]}\n");
            byte[] answer = new byte[200];
            assertEquals(
                    "{\"word\":\"YES\",\"lot\":\"" + lot + "\",\"generation\":2}\n",
                    new String(answer, 0, socket.getInputStream().read(answer)));
        }
    }

    /** An unsafe message that may have run arrives as such: the heir says that it failed and never calls. */
    @Test
    void doubtMovesWithTheMessage() throws Exception {
        Sender heir = start("heir", "");
        offer(heir, "lot", "doubt", "unsafe", System.currentTimeMillis() - 50);
        await(() -> noticed("doubt", "failed"));
        assertEquals(0, world.receiver.requests.size());
    }

    /** The yes was lost: the offer comes again, before and after the heir's restart, and is carried out once. */
    @Test
    void anOfferThatComesAgainIsAnsweredTheSameAndCarriedOutOnce() throws Exception {
        Sender heir = start("heir", "");
        offer(heir, "lot", "m", "safe", 0);
        await(() -> heir.pendingMessageCount() == 0);
        offer(heir, "lot", "m", "safe", 0);
        heir.stop();
        senders.remove(heir);
        Sender again = start("heir", "");
        offer(again, "lot", "m", "safe", 0);
        assertEquals(0, again.pendingMessageCount());
        assertEquals(1, world.receiver.requests.size());
    }

    @Test
    void whenAllPeersRefuseTheLeaverEndsItself() throws Exception {
        Sender heir = Sender.start(world.handoffConfig("heir", "", 1));
        senders.add(heir);
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        hang(client);
        assertEquals("+OK", client.submit("keyed", "k0", KEY));
        assertEquals("+OK", client.submit("keyed", "k1", KEY));
        assertEquals(0, stop(leaver, 1_500));
        assertEquals(0, heir.pendingMessageCount());
        assertTrue(noticed("k0", "returned") && noticed("k1", "returned"), world.notices.toString());
    }

    @Test
    void twoLeaversThatChooseEachOtherBothEnd() throws Exception {
        int port;
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = probe.getLocalPort();
        }
        Sender two = start("two", "\"one=127.0.0.1:" + port + "\"");
        world.handoffConfig("one", peer("two", two), 50);
        Path file = folder.resolve("one.toml");
        Files.writeString(
                file,
                Files.readString(file)
                        .replace(
                                "[handover]\nlisten = \"127.0.0.1:0\"",
                                "[handover]\nlisten = \"127.0.0.1:" + port + "\""));
        Sender again = Sender.start(SenderConfig.read(Map.of("GW_CONFIG", file.toString())));
        senders.add(again);
        SenderFixture.Client client = world.client(again);
        world.prove(again, client);
        hang(client);
        assertEquals("+OK", client.submit("safe", "m", NO_KEY));
        two.blockEventLoop(() -> two.beginStop(ShutdownMode.FINAL, 1_500));
        assertEquals(0, stop(again, 1_500));
        assertEquals(0, two.stopped().get(20, TimeUnit.SECONDS));
        assertTrue(noticed("m", "returned"), world.notices.toString());
    }

    /** The heir takes the offer and says nothing: what it may own has failed as far as the leaver can tell. */
    @Test
    void anHeirThatFallsSilentLeavesOnlyAFailure() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Sender leaver = start("leaver", "\"heir=127.0.0.1:" + deaf.getLocalPort() + "\"");
            SenderFixture.Client client = world.client(leaver);
            world.prove(leaver, client);
            hang(client);
            assertEquals("+OK", client.submit("safe", "m", NO_KEY));
            assertEquals(0, stop(leaver, 1_500));
            assertTrue(noticed("m", "failed"), world.notices.toString());
            assertEquals(0, leaver.pendingMessageCount());
        }
        // A process that dies between the two records must find the message ended, not its own again.
        Path state = folder.resolve("leaver");
        byte[] whole = SegmentFiles.firstSegment(state);
        boolean gaveUp = false;
        for (int end : SegmentFiles.recordEnds(whole)) {
            SegmentFiles.replaceWithPrefix(state, whole, end);
            try (Journal journal = Journal.openReadOnly(state)) {
                for (HandoffBatchRecord lot : journal.handoffBatches().values()) {
                    boolean ended = lot.ownership().status() == Ownership.Status.ENDED;
                    gaveUp |= ended;
                    assertTrue(
                            !ended
                                    || journal.undeliveredMessages(lot.messageNumbers())
                                            .isEmpty(),
                            "a lot ended before its message");
                }
            }
        }
        assertTrue(gaveUp, "no lot was given up");
    }

    /** Guards against a new process at the address of a peer that is gone, without its folder, being taken for that peer. */
    @Test
    void aNewProcessAtThePeersAddressIsNotOfferedWhatThePeerMayHaveRun() throws Exception {
        try (ServerSocket peersAddress = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Sender leaver = start("leaver", "\"heir=127.0.0.1:" + peersAddress.getLocalPort() + "\"");
            SenderFixture.Client client = world.client(leaver);
            world.prove(leaver, client);
            hang(client);
            assertEquals("+OK", client.submit("unsafe", "u", NO_KEY));
            leaver.blockEventLoop(() -> leaver.beginStop(ShutdownMode.FINAL, 4_000));
            try (Socket peer = peersAddress.accept()) {
                // It takes the offer, may call, and is gone before it answers.
                readLineWith(peer, "\"u\"");
            }
            Sender newProcess = start("heir", "");
            world.receiver.requests.clear();
            world.receiver.answers = r -> ok(200, "");
            Socket connection = peersAddress.accept();
            forward(connection, newProcess.handoffAddress().getPort());
            assertEquals(0, leaver.stopped().get(20, TimeUnit.SECONDS));
            await(() -> newProcess.pendingMessageCount() == 0);
            assertEquals(
                    0,
                    world.receiver.requests.stream()
                            .filter(r -> r.body().equals("body of u"))
                            .count());
            assertTrue(noticed("u", "failed"), world.notices.toString());
            connection.close();
        }
    }

    private static void readLineWith(Socket from, String text) throws IOException {
        BufferedReader lines = new BufferedReader(new InputStreamReader(from.getInputStream(), StandardCharsets.UTF_8));
        String line = lines.readLine();
        while (line != null && !line.contains(text)) {
            line = lines.readLine();
        }
    }

    /** Joins a connection with one to this port, for as long as both are open. */
    private static void forward(Socket connection, int port) throws IOException {
        Socket target = new Socket(InetAddress.getLoopbackAddress(), port);
        copyInBackground(connection, target);
        copyInBackground(target, connection);
    }

    private static void copyInBackground(Socket from, Socket to) {
        SenderFixture.daemon(() -> {
            try (from;
                    to) {
                from.getInputStream().transferTo(to.getOutputStream());
            } catch (IOException e) {
                // One of them is closed.
            }
        });
    }

    /** The leaver dies with an offer out; its next process asks, and the heir's word counts, yes or no. */
    @Test
    void aLeaverThatDiesBeforeItHeardAsksAgain() throws Exception {
        Sender heir = start("heir", "");
        Path state = folder.resolve("leaver");
        for (boolean adopted : new boolean[] {true, false}) {
            String id = adopted ? "yes" : "no";
            world.receiver.answers = r -> ok(200, "");
            Journal journal = Journal.open(state, 3_000_000);
            AcceptedMessage owned = new AcceptedMessage(
                    journal.nextNumber(), id, "", "safe", 0, 7, System.currentTimeMillis() + 15_000, new byte[3]);
            journal.accept(owned);
            journal.writeHandoffBatch(
                    "lot-" + id,
                    new Ownership(2, Ownership.Status.OFFERED, "heir"),
                    owned.deadlineMillis,
                    List.of(owned));
            journal.close();
            world.receiver.requests.clear();
            if (adopted) {
                offer(heir, "lot-yes", "yes", "safe", 0);
                await(() -> world.receiver.requests.size() == 1);
            }
            Sender leaver = start("leaver", peer("heir", heir));
            await(() -> leaver.pendingMessageCount() == 0 && heir.pendingMessageCount() == 0);
            assertEquals(
                    1,
                    world.receiver.requests.stream()
                            .filter(r -> r.header("X-Request-ID").equals(id))
                            .count());
            leaver.stop();
            senders.remove(leaver);
        }
        assertEquals(List.of(), world.notices);
    }

    /** What no client could have handed in would stand in headers and times: none of it is taken. */
    @Test
    void aPeersMessageIsHeldToWhatClientsMaySay() throws Exception {
        Sender heir = start("heir", "");
        String good = "{\"word\":\"OFFER\",\"lot\":\"l\",\"generation\":2,\"from\":\"leaver\"," + CLASSES
                + "\"messages\":[{\"id\":\"m\","
                + "\"idempotency_key\":\"\",\"class\":\"safe\",\"key\":\"0\",\"destination\":7,\"deadline\":"
                + (System.currentTimeMillis() + 15_000)
                + ",\"attempts\":1,\"doubt_since\":0,\"doubt_at\":\"\",\"body\":\"AAAA\"}]}\n";
        for (String[] bad : new String[][] {
            {"\"id\":\"m\"", "\"id\":\"a\\r\\nX: y\""},
            {"\"id\":\"m\"", "\"id\":\"\""},
            {"\"idempotency_key\":\"\"", "\"idempotency_key\":\"a b\""},
            {"\"attempts\":1", "\"attempts\":-1"},
            {"\"doubt_since\":0", "\"doubt_since\":-5"},
            {"\"deadline\":1", "\"deadline\":99999999"},
            {"\"body\":\"AAAA\"", "\"body\":\"!\""}
        }) {
            String line = good.replace(bad[0], bad[1]);
            assertFalse(line.equals(good), bad[0]);
            assertEquals("", exchange(heir, line), line);
        }
        for (String[] refused : new String[][] {
            {"\"class\":\"safe\"", "\"class\":\"none\""},
            {"\"destination\":7", "\"destination\":99"},
            {"\"lot\":\"l\"", "\"lot\":\"empty\""}
        }) {
            String line = good.replace(refused[0], refused[1])
                    .replace("\"lot\":\"l\"", "\"lot\":\"" + refused[1].length() + "\"");
            line = refused[0].contains("lot") ? line.replaceAll("\\[\\{.*\\}\\]", "[]") : line;
            assertTrue(exchange(heir, line).contains("\"NO\""), line);
        }
        assertEquals(0, heir.pendingMessageCount());
        assertTrue(exchange(heir, good).contains("\"YES\""));
        await(() -> heir.pendingMessageCount() == 0);
        assertEquals(1, world.receiver.requests.size());
    }

    private static String exchange(Sender heir, String line) throws IOException {
        try (Socket socket = new Socket(
                InetAddress.getLoopbackAddress(), heir.handoffAddress().getPort())) {
            socket.setSoTimeout(10_000);
            SenderFixture.write(socket, line);
            byte[] answer = new byte[300];
            int length = socket.getInputStream().read(answer);
            return length < 0 ? "" : new String(answer, 0, length, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    /** The heir dies right after it said yes, before it called anybody: its next process owns the message. */
    @Test
    void anHeirThatDiesRightAfterItsYesDeliversWhenItIsBack() throws Exception {
        world.receiver.answers = r -> null;
        Sender heir = start("heir", "");
        offer(heir, "lot", "m", "safe", 0);
        heir.stop();
        senders.remove(heir);
        world.receiver.answers = r -> ok(200, "");
        Sender again = start("heir", "");
        await(() -> again.pendingMessageCount() == 0);
        assertTrue(world.receiver.requests.stream()
                .anyMatch(r -> r.header("X-Request-ID").equals("m")));
        assertEquals(List.of(), world.notices);
    }

    /** Withdrawn before it was ever heard of: a late offer of it is refused for good, over a restart too. */
    @Test
    void aWithdrawnOfferIsNeverTaken() throws Exception {
        Sender heir = start("heir", "");
        String cancel = "{\"word\":\"CANCEL\",\"lot\":\"lot\",\"generation\":2,\"from\":\"leaver\"}\n";
        assertTrue(exchange(heir, cancel).contains("\"NO\""));
        heir.stop();
        senders.remove(heir);
        Sender again = start("heir", "");
        String late = "{\"word\":\"OFFER\",\"lot\":\"lot\",\"generation\":2,\"from\":\"leaver\"," + CLASSES
                + "\"messages\":[{\"id\":\"m\","
                + "\"idempotency_key\":\"\",\"class\":\"safe\",\"key\":\"0\",\"destination\":7,\"deadline\":"
                + (System.currentTimeMillis() + 15_000)
                + ",\"attempts\":0,\"doubt_since\":0,\"doubt_at\":\"\",\"body\":\"\"}]}\n";
        assertTrue(exchange(again, late).contains("\"NO\""));
        assertEquals(0, again.pendingMessageCount());
        assertEquals(0, world.receiver.requests.size());
    }

    @Test
    void nonsenseFromAPeerClosesItsConnectionOnly() throws Exception {
        Sender heir = start("heir", "");
        for (String bad : List.of(
                "x\n",
                "{}\n",
                "{\"word\":\"YES\",\"lot\":\"a\",\"generation\":1,\"from\":\"b\"}\n",
                "{\"word\":\"OFFER\",\"lot\":\"a\",\"generation\":2,\"from\":\"b\",\"messages\":[{}]}\n",
                "x".repeat(HandoffCoordinator.MAX_LINE_BYTES + 10))) {
            try (Socket socket = new Socket(
                    InetAddress.getLoopbackAddress(), heir.handoffAddress().getPort())) {
                socket.setSoTimeout(10_000);
                try {
                    SenderFixture.write(socket, bad);
                    assertEquals(-1, socket.getInputStream().read());
                } catch (SocketException e) {
                    // Reset, as input was left unread: as good an end.
                }
            }
        }
        SenderFixture.Client client = world.client(heir);
        assertEquals("+PONG", client.ask("PING"));
    }

    private static String bodyOf(SenderFixture.Request r) {
        return r.body().replace("body of ", "");
    }

    private List<String> delivered(String prefix) {
        return world.receiver.requests.stream()
                .map(HandoffTest::bodyOf)
                .filter(b -> b.startsWith(prefix))
                .toList();
    }

    /** Opens a file of endpoints of its own for one daemon. */
    private Sender startWith(String name, String peers, String from, String to) throws IOException {
        world.handoffConfig(name, peers, 50);
        Path file = folder.resolve(name + ".toml");
        String text = Files.readString(file);
        assertTrue(text.contains(from), from);
        Files.writeString(file, text.replace(from, to));
        Sender sender = Sender.start(SenderConfig.read(Map.of("GW_CONFIG", file.toString())));
        senders.add(sender);
        return sender;
    }

    private static void leave(Sender sender, ShutdownMode mode, long within) {
        sender.blockEventLoop(() -> sender.beginStop(mode, within));
    }

    /** One message of a key is out at the leaver and three wait there; its client comes to the heir with two more. */
    @Test
    void whatClientsBringToTheHeirFirstComesBehindWhatTheLeaverHas() throws Exception {
        Sender heir = start("heir", "");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        world.receiver.answers = r -> r.body().contains("k0") ? null : ok(200, "");
        assertEquals("+OK", client.submit("keyed", "k0", KEY));
        await(() -> delivered("k0").size() == 1);
        for (int i = 1; i < 4; i++) {
            assertEquals("+OK", client.submit("keyed", "k" + i, KEY));
        }
        leave(leaver, ShutdownMode.FINAL, 9_000);
        String answer = client.submit("keyed", "k4", KEY);
        assertTrue(answer.startsWith("-BUSY"), answer);
        // All peers hold the key: its client may go at once, and does.
        assertTrue(
                answer.equals("-BUSY") || Long.parseLong(answer.substring(6)) <= ShutdownSequence.MAX_RETRY_SPREAD_MS,
                answer);
        SenderFixture.Client there = world.client(heir);
        assertEquals("+OK", there.submit("keyed", "k4", KEY));
        assertEquals("+OK", there.submit("keyed", "k5", KEY));
        assertEquals("+OK", there.submit("keyed", "other", "1111111111111111"));
        await(() -> delivered("other").size() == 1);
        assertEquals(List.of("k0"), delivered("k"));
        // Its time is over by the leaver's own patience; it is in doubt, and moves as such.
        world.receiver.answers = r -> ok(200, "");
        for (java.net.Socket socket : world.receiver.sockets) {
            socket.close();
        }
        await(() -> heir.pendingMessageCount() == 0 && leaver.pendingMessageCount() == 0);
        List<String> run = new ArrayList<>(delivered("k"));
        run.remove("k0");
        assertEquals(
                List.of("k0", "k1", "k2", "k3", "k4", "k5"),
                run.stream().distinct().toList());
        assertEquals(0, leaver.stopped().get(20, TimeUnit.SECONDS));
        assertEquals(List.of(), world.notices);
    }

    /** Takes all offers and acknowledges no hold; returns the lines that it reads. */
    private static List<String> acceptOffersOnly(ServerSocket server) {
        List<String> lines = new java.util.concurrent.CopyOnWriteArrayList<>();
        Thread peer = new Thread(() -> {
            try (Socket socket = server.accept()) {
                java.io.BufferedReader in = new java.io.BufferedReader(new java.io.InputStreamReader(
                        socket.getInputStream(), java.nio.charset.StandardCharsets.UTF_8));
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    lines.add(line);
                    if (line.contains("\"OFFER\"")) {
                        com.google.gson.JsonObject offer =
                                com.google.gson.JsonParser.parseString(line).getAsJsonObject();
                        SenderFixture.write(
                                socket,
                                "{\"word\":\"YES\",\"lot\":" + offer.get("lot") + ",\"generation\":"
                                        + offer.get("generation") + "}\n");
                    }
                }
            } catch (IOException e) {
                // The test is over.
            }
        });
        peer.setDaemon(true);
        peer.start();
        return lines;
    }

    /** Failure: the repetition of a hold came behind the adoption of its key, and kept the key's later messages waiting. */
    @Test
    void aKeyThatThePeerHasAdoptedIsNotAnnouncedToItAgain() throws Exception {
        try (ServerSocket heir = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            List<String> lines = acceptOffersOnly(heir);
            Sender leaver = start("leaver", "\"heir=127.0.0.1:" + heir.getLocalPort() + "\"");
            SenderFixture.Client client = world.client(leaver);
            world.prove(leaver, client);
            world.receiver.answers = r -> r.body().contains("hang") ? null : ok(503, "", "Retry-After: 3");
            assertEquals("+OK", client.submit("keyed", "hang", "1111111111111111"));
            await(() -> delivered("hang").size() == 1);
            assertEquals("+OK", client.submit("keyed", "k0", KEY));
            leave(leaver, ShutdownMode.FINAL, 9_000);
            await(() -> lines.stream().anyMatch(line -> line.contains("\"OFFER\"")));
            int offer = recordsWith(lines, "\"OFFER\"");
            await(() -> lines.subList(offer, lines.size()).stream().anyMatch(HandoffTest::isHold));
            List<String> repeated = lines.subList(offer, lines.size()).stream()
                    .filter(HandoffTest::isHold)
                    .toList();
            assertTrue(repeated.get(0).contains("1111111111111111"), repeated.toString());
            assertFalse(repeated.toString().contains(KEY), repeated.toString());
        }
    }

    private static boolean isHold(String line) {
        return line.contains("\"HOLD\"");
    }

    /** A peer that says nothing may be where the client goes next: the client is told to wait until all is over. */
    @Test
    void whoeverMightFindItsKeyUnheldIsToldToStayAway() throws Exception {
        try (ServerSocket deaf = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Sender leaver = start("leaver", "\"heir=127.0.0.1:" + deaf.getLocalPort() + "\"");
            SenderFixture.Client client = world.client(leaver);
            world.prove(leaver, client);
            hang(client);
            assertEquals("+OK", client.submit("keyed", "k0", KEY));
            leave(leaver, ShutdownMode.FINAL, 3_000);
            long asked = System.nanoTime();
            String answer = client.submit("keyed", "k1", KEY);
            assertTrue(answer.startsWith("-BUSY "), answer);
            long told = Long.parseLong(answer.substring(6));
            long waited = (System.nanoTime() - asked) / 1_000_000;
            // k0 had eight seconds, and nobody knows how long the two clocks agree.
            assertTrue(told + waited > 4_000, "told " + told);
            answer = world.client(leaver).submit("keyed", "x", "1111111111111111");
            assertTrue(
                    answer.equals("-BUSY")
                            || Long.parseLong(answer.substring(6)) <= ShutdownSequence.MAX_RETRY_SPREAD_MS,
                    answer);
            leaver.stopped().get(20, TimeUnit.SECONDS);
        }
    }

    /** The same messages go through three daemons, one of them in doubt, and come out once and in order. */
    @Test
    void aChainOfThreeHandOversKeepsOrderAndDoubt() throws Exception {
        Sender third = start("third", "");
        Sender second = start("second", peer("third", third));
        Journal journal = Journal.open(folder.resolve("first"), 3_000_000);
        long key = Long.parseUnsignedLong(KEY, 16);
        for (String id : List.of("k0", "k1", "u", "lost")) {
            AcceptedMessage m = new AcceptedMessage(
                    journal.nextNumber(),
                    id,
                    id,
                    id.startsWith("k") ? "keyed" : "unsafe",
                    id.startsWith("k") ? key : 0,
                    7,
                    System.currentTimeMillis() + 15_000,
                    ("body of " + id).getBytes());
            journal.accept(m);
            if (id.equals("k0") || id.equals("lost")) {
                journal.recordAttempt(m, "s-1", System.currentTimeMillis(), 0);
                journal.recordOutcome(m, true);
            }
        }
        journal.close();
        world.receiver.answers = r -> ok(503, "", "Retry-After: 3");
        Sender first = start("first", peer("second", second));
        await(() -> noticed("lost", "failed"));
        stop(first, 3_000);
        assertEquals(0, first.pendingMessageCount());
        assertEquals(3, second.pendingMessageCount());
        stop(second, 3_000);
        assertEquals(3, third.pendingMessageCount());
        world.receiver.requests.clear();
        world.receiver.answers = r -> ok(200, "");
        await(() -> third.pendingMessageCount() == 0 && second.pendingMessageCount() == 0);
        assertEquals(List.of("k0", "k1"), delivered("k"));
        assertEquals(List.of("u"), delivered("u"));
        assertEquals(List.of("{\"id\":\"lost\",\"state\":\"failed\"}"), world.notices);
    }

    /** The disk of the heir has no room for messages but for a no: their owner hears it and goes on. */
    @Test
    void anHeirWithAFullDiskRefuses() throws Exception {
        Sender heir = startWith("heir", "", "[limits]", "[limits]\ndisk = \"256KB\"");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        hang(client);
        String body = "x".repeat(20_000);
        for (int i = 0; i < 8; i++) {
            assertEquals("+OK", client.ask("SUBMIT", NO_KEY, "big" + i, "c=safe,d=8000,dest=7", body));
        }
        // Time for several offers and their noes, also on a slow machine: one that is in doubt at the end could not be
        // returned.
        int code = stop(leaver, 6_000);
        assertEquals(0, code);
        assertEquals(0, leaver.pendingMessageCount());
        long returned = world.notices.stream()
                .filter(n -> n.contains("big") && n.contains("returned"))
                .count();
        assertTrue(returned > 0, world.notices.toString());
        assertFalse(world.notices.stream().anyMatch(n -> n.contains("failed")), world.notices.toString());
        world.receiver.answers = r -> ok(200, "");
        await(() -> heir.pendingMessageCount() == 0);
    }

    /** A key's life counts from the first try at the first owner: behind it nothing is tried at the heir. */
    @Test
    void aKeyedMessageIsTriedOnlyWithinItsKeysLifeSinceTheFirstOwnersTry() throws Exception {
        Sender heir = start("heir", "");
        offer(heir, "old", "old", "keyed", System.currentTimeMillis() - 4_900);
        offer(heir, "young", "young", "keyed", System.currentTimeMillis() - 500);
        await(() -> heir.pendingMessageCount() == 0);
        await(() -> noticed("old", "returned"));
        assertEquals(
                List.of("young"),
                world.receiver.requests.stream()
                        .map(r -> r.header("X-Request-ID"))
                        .toList());
    }

    /** A daemon to which a class means something else would do with it what its owner would not. */
    @Test
    void aClassThatMeansSomethingElseThereIsNotMoved() throws Exception {
        Sender heir =
                startWith("heir", "", "name = \"unsafe\"\neffect = \"unsafe\"", "name = \"unsafe\"\neffect = \"safe\"");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        hang(client);
        assertEquals("+OK", client.submit("unsafe", "u", NO_KEY));
        assertEquals("+OK", client.submit("safe", "s", NO_KEY));
        assertEquals(0, stop(leaver, 2_000));
        assertTrue(noticed("u", "returned"), world.notices.toString());
        assertFalse(noticed("s", "returned"), world.notices.toString());
    }

    /** While nobody answers notices, what waits behind one stays, and is told by the next process on the folder. */
    @Test
    void whileNoticesAreAwayTheirKeysStay() throws Exception {
        Sender heir = start("heir", "");
        Path state = folder.resolve("leaver");
        Journal journal = Journal.open(state, 3_000_000);
        long key = Long.parseUnsignedLong(KEY, 16);
        for (int i = 0; i < 2; i++) {
            AcceptedMessage m = new AcceptedMessage(
                    journal.nextNumber(),
                    "k" + i,
                    "k" + i,
                    "keyed",
                    key,
                    7,
                    System.currentTimeMillis() + 15_000,
                    "body".getBytes());
            journal.accept(m);
            if (i == 0) {
                journal.endWithNotice(m, m.failed());
            }
        }
        journal.close();
        world.noticeAnswers = r -> null;
        Sender leaver = start("leaver", peer("heir", heir));
        assertEquals(ShutdownCoordinator.EXIT_LEFT_OVER, stop(leaver, 1_000));
        assertEquals(0, heir.pendingMessageCount());
        assertEquals(0, world.receiver.requests.size());
        leaver.stop();
        senders.remove(leaver);
        world.notices.clear();
        world.noticeAnswers = r -> ok(204, "");
        Sender again = start("leaver", peer("heir", heir));
        await(() -> again.pendingMessageCount() == 0);
        assertTrue(noticed("k0", "failed"), world.notices.toString());
    }

    /** A restart that moves: what comes back to the restarted daemon waits for what its peer took over. */
    @Test
    void aDaemonThatMovesAndComesBackLetsItsHeirGoFirst() throws Exception {
        Sender heir = start("heir", "");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        world.receiver.answers = r -> ok(503, "", "Retry-After: 1");
        for (int i = 0; i < 3; i++) {
            assertEquals("+OK", client.submit("keyed", "k" + i, KEY));
        }
        leave(leaver, ShutdownMode.MOVE, 6_000);
        String answer = client.submit("keyed", "k3", KEY);
        assertTrue(answer.startsWith("-BUSY ") && Long.parseLong(answer.substring(6)) >= 3_000, answer);
        assertEquals(0, leaver.stopped().get(20, TimeUnit.SECONDS));
        assertEquals(0, leaver.pendingMessageCount());
        assertEquals(3, heir.pendingMessageCount());
        leaver.stop();
        senders.remove(leaver);
        world.receiver.requests.clear();
        Sender again = start("leaver", peer("heir", heir));
        SenderFixture.Client back = world.client(again);
        assertEquals("+OK", back.submit("keyed", "k3", KEY));
        world.receiver.answers = r -> ok(200, "");
        await(() -> again.pendingMessageCount() == 0 && heir.pendingMessageCount() == 0);
        List<String> run = new ArrayList<>();
        // Refused ones are tried again: the last time of each is when it ran.
        delivered("k").forEach(k -> {
            run.remove(k);
            run.add(k);
        });
        assertEquals(List.of("k0", "k1", "k2", "k3"), run);
        assertEquals(List.of(), world.notices);
    }

    private static int recordsWith(List<String> records, String word) {
        for (int i = 0; i < records.size(); i++) {
            if (records.get(i).contains(word)) {
                return i;
            }
        }
        throw new AssertionError("no record " + word);
    }

    /**
     * A move is made, then made again from every pair of points at which its two daemons can have died: the leaver's
     * journal cut off behind each of its records, and the heir's likewise, as far as the one can have been written without
     * the other. Whatever the pair, each message is carried out once or ended once, in order.
     */
    @Test
    void fromEveryPairOfCrashPointsEachMessageHasOneOwner() throws Exception {
        Sender heir = start("heir", "");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.receiver.answers = r -> ok(503, "", "Retry-After: 3");
        for (String id : List.of("k0", "k1", "u")) {
            assertEquals(
                    "+OK",
                    client.submit(id.equals("u") ? "unsafe" : "keyed", id, id.equals("u") ? NO_KEY : KEY, 30_000, 7));
        }
        stop(leaver, 5_000);
        assertEquals(3, heir.pendingMessageCount());
        leaver.stop();
        heir.stop();
        senders.clear();
        byte[] theirs = SegmentFiles.firstSegment(folder.resolve("leaver"));
        byte[] own = SegmentFiles.firstSegment(folder.resolve("heir"));
        List<String> left = SegmentFiles.recordContents(theirs);
        List<String> took = SegmentFiles.recordContents(own);
        int offered = recordsWith(left, "OFFERED");
        int given = recordsWith(left, "GIVEN");
        int adopted = recordsWith(took, "OWNED");
        int pairs = 0;
        // Whatever is before the offer has been tested by others: the messages are the leaver's alone.
        for (int l = offered; l <= left.size(); l++) {
            for (int h = adopted; h <= took.size(); h++) {
                boolean possible = l > offered || h == adopted;
                possible &= l <= given || h > adopted;
                if (!possible) {
                    continue;
                }
                pairs++;
                SegmentFiles.replaceWithPrefix(
                        folder.resolve("leaver"),
                        theirs,
                        SegmentFiles.recordEnds(theirs).get(l - 1));
                SegmentFiles.replaceWithPrefix(
                        folder.resolve("heir"),
                        own,
                        SegmentFiles.recordEnds(own).get(h - 1));
                world.receiver.requests.clear();
                world.notices.clear();
                world.receiver.answers = r -> ok(200, "");
                Sender heirAgain = start("heir", "");
                Sender leaverAgain = start("leaver", peer("heir", heirAgain));
                await(() -> heirAgain.pendingMessageCount() == 0 && leaverAgain.pendingMessageCount() == 0);
                String at = "leaver " + l + ", heir " + h + ": " + delivered("") + world.notices;
                if (h <= adopted + 1) {
                    assertEquals(List.of("k0", "k1"), delivered("k"), at);
                    assertEquals(List.of("u"), delivered("u"), at);
                    assertEquals(List.of(), world.notices, at);
                } else {
                    // A call was out as the heir died: that message is in doubt, and a key's life may be over.
                    for (String id : List.of("k0", "k1", "u")) {
                        long told = world.notices.stream()
                                .filter(n -> n.contains("\"" + id + "\""))
                                .count();
                        assertEquals(1, delivered(id).size() + told, at);
                    }
                    assertTrue(
                            List.of(List.of(), List.of("k0"), List.of("k1"), List.of("k0", "k1"))
                                    .contains(delivered("k")),
                            at);
                }
                heirAgain.stop();
                leaverAgain.stop();
                senders.clear();
            }
        }
        assertTrue(pairs >= 6, "only " + pairs + " pairs");
    }

    /**
     * The way back from the heir is cut as it takes the lot, and heals after the leaver's time: the leaver has said failed,
     * which promises nothing, the heir has delivered, and its late yes changes nothing more.
     */
    @Test
    void aPartitionThatHealsAfterTheDeadlineLeavesOneOwner() throws Exception {
        Sender heir = start("heir", "");
        java.util.concurrent.CountDownLatch heal = new java.util.concurrent.CountDownLatch(1);
        java.util.concurrent.atomic.AtomicInteger late = new java.util.concurrent.atomic.AtomicInteger();
        try (ServerSocket between = new ServerSocket(0, 5, InetAddress.getLoopbackAddress())) {
            Thread proxy = new Thread(() -> {
                try (Socket from = between.accept();
                        Socket to = new Socket(
                                InetAddress.getLoopbackAddress(),
                                heir.handoffAddress().getPort())) {
                    Thread back = new Thread(() -> {
                        try {
                            heal.await();
                            byte[] bytes = new byte[4_096];
                            for (int n = to.getInputStream().read(bytes);
                                    n > 0;
                                    n = to.getInputStream().read(bytes)) {
                                late.addAndGet(n);
                                from.getOutputStream().write(bytes, 0, n);
                            }
                        } catch (IOException | InterruptedException e) {
                            // The test is over.
                        }
                    });
                    back.setDaemon(true);
                    back.start();
                    from.getInputStream().transferTo(to.getOutputStream());
                } catch (IOException e) {
                    // The test is over.
                }
            });
            proxy.setDaemon(true);
            proxy.start();
            Sender leaver = start("leaver", "\"heir=127.0.0.1:" + between.getLocalPort() + "\"");
            SenderFixture.Client client = world.client(leaver);
            world.prove(leaver, client);
            world.receiver.answers = r -> ok(503, "", "Retry-After: 1");
            assertEquals("+OK", client.submit("unsafe", "u", NO_KEY));
            await(() -> delivered("u").size() == 1);
            world.receiver.requests.clear();
            leave(leaver, ShutdownMode.FINAL, 2_500);
            await(() -> heir.pendingMessageCount() == 1);
            List<String> run = new java.util.concurrent.CopyOnWriteArrayList<>();
            world.receiver.answers = r -> {
                run.add(bodyOf(r));
                return ok(200, "");
            };
            await(() -> noticed("u", "failed"));
            await(() -> heir.pendingMessageCount() == 0);
            heal.countDown();
            await(() -> late.get() > 0);
            assertEquals(0, leaver.stopped().get(20, TimeUnit.SECONDS));
            assertEquals(0, leaver.pendingMessageCount());
            assertEquals(List.of("u"), run);
            assertEquals(1, world.notices.size(), world.notices.toString());
        }
    }

    /** What is told of a keyed message's doubt counts at the heir: a leaver that dropped it would have it tried too late. */
    @Test
    void theLeaverTellsSinceWhenAMessageIsInDoubt() throws Exception {
        Sender heir = start("heir", "");
        Journal journal = Journal.open(folder.resolve("leaver"), 3_000_000);
        AcceptedMessage m = new AcceptedMessage(
                journal.nextNumber(),
                "k",
                "k",
                "keyed",
                0,
                7,
                System.currentTimeMillis() + 15_000,
                "body of k".getBytes());
        journal.accept(m);
        journal.recordAttempt(m, "s-1", System.currentTimeMillis() - 2_500, 0);
        journal.recordOutcome(m, true);
        journal.close();
        world.receiver.answers = r -> ok(503, "", "Retry-After: 3");
        Sender leaver = start("leaver", peer("heir", heir));
        await(() -> delivered("k").size() == 1);
        assertEquals(0, stop(leaver, 3_000));
        assertEquals(1, heir.pendingMessageCount());
        List<String> run = new java.util.concurrent.CopyOnWriteArrayList<>();
        await(() -> delivered("k").size() == 2);
        world.receiver.answers = r -> {
            run.add(bodyOf(r));
            return ok(200, "");
        };
        await(() -> heir.pendingMessageCount() == 0);
        assertEquals(List.of(), run);
        assertTrue(
                world.notices.stream().anyMatch(n -> n.contains("\"k\"") && n.contains("returned")),
                world.notices.toString());
    }

    /** The endpoint is replaced while its messages move: the heir goes by the list that it has by then. */
    @Test
    void aListThatChangesMeanwhileIsTheHeirs() throws Exception {
        Sender heir = start("heir", "");
        Sender leaver = start("leaver", peer("heir", heir));
        SenderFixture.Client client = world.client(leaver);
        world.prove(leaver, client);
        world.receiver.answers = r -> ok(503, "", "Retry-After: 1");
        for (int i = 0; i < 3; i++) {
            assertEquals("+OK", client.submit("keyed", "k" + i, KEY));
        }
        Path aside = folder.resolve("endpoints.new");
        Files.writeString(aside, world.list(3, true, "Ready", "s-2"));
        leave(leaver, ShutdownMode.FINAL, 4_000);
        Files.move(aside, folder.resolve("endpoints.json"), java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        assertEquals(0, leaver.stopped().get(20, TimeUnit.SECONDS));
        await(() -> heir.isEndpointReady("s-2") && !heir.isEndpointReady("s-1"));
        world.receiver.requests.clear();
        world.receiver.answers = r -> ok(200, "");
        await(() -> heir.pendingMessageCount() == 0);
        List<String> run = delivered("k").stream().distinct().toList();
        assertEquals(List.of("k0", "k1", "k2"), run);
        assertEquals(List.of(), world.notices);
    }
}
