package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.membership.Heartbeat;
import amberroute.membership.Heartbeat.Health;
import amberroute.membership.MembershipView;
import amberroute.sender.config.SenderConfig;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A daemon that agrees with its peers on what a cold partner gets; the peer is played by the test on a socket. */
class GracefulShutdownTest {
    private static final String NO_KEY = "0000000000000000";

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;
    private DatagramSocket peer;
    private long number;

    @BeforeEach
    void build() throws Exception {
        world = new SenderFixture(folder);
        peer = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        peer.setSoTimeout(10_000);
        Files.writeString(folder.resolve("endpoints.json"), world.list(1, true, "Ready"));
        Path file = folder.resolve("one.toml");
        Files.writeString(
                file,
                """
                name = "one"
                listen = "127.0.0.1:0"
                state = "one"
                endpoints = "endpoints.json"
                notices = "%s"
                senders = 2
                [handover]
                listen = "127.0.0.1:0"
                peers = ["one=127.0.0.1:1", "two=127.0.0.1:%d"]
                [fleet]
                gentle = true
                first = 4
                lease = "200ms"
                [limits]
                slots = 16
                open_messages = 100
                descriptors = 256
                """
                                .formatted(world.discovery.address(), peer.getLocalPort())
                        + SenderFixture.CLASSES);
        sender = Sender.start(SenderConfig.read(Map.of("GW_CONFIG", file.toString())));
    }

    @AfterEach
    void end() throws IOException {
        sender.stop();
        peer.close();
        world.close();
    }

    private Heartbeat read(Predicate<Heartbeat> wanted) throws IOException {
        byte[] bytes = new byte[Heartbeat.MAX_DATAGRAM_BYTES];
        for (int i = 0; i < 200; i++) {
            DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
            peer.receive(packet);
            Heartbeat beat = Heartbeat.decode(ByteBuffer.wrap(bytes, 0, packet.getLength()));
            if (beat != null && wanted.test(beat)) {
                return beat;
            }
        }
        throw new AssertionError("no such beat came");
    }

    private void tell(List<Heartbeat.SlowStartUpdate> news, List<Heartbeat.QuotaLoan> loans) throws IOException {
        Heartbeat beat = new Heartbeat("two", 1, ++number, MembershipView.Phase.READY, news, loans);
        byte[] bytes = new byte[beat.encode().remaining()];
        beat.encode().get(bytes);
        InetSocketAddress to = sender.handoffAddress();
        peer.send(new DatagramPacket(bytes, bytes.length, to));
    }

    private void hand(int from, int to) throws IOException {
        SenderFixture.Client client = world.client(sender);
        for (int i = from; i < to; i++) {
            assertEquals("+OK", client.submit("safe", "m" + i, NO_KEY, 18_000, 7));
        }
    }

    private int answered() {
        return world.receiver.requests.size();
    }

    /** Nobody knows the partner: it gets this daemon's part of the first rate, whatever waits. */
    @Test
    void anUnknownPartnerGetsAPartOfTheFirstRate() throws Exception {
        hand(0, 16);
        await(() -> answered() >= 2);
        long from = System.nanoTime();
        int before = answered();
        await(() -> answered() >= before + 3);
        double seconds = (System.nanoTime() - from) / 1e9;
        // Two a second by its own part; what the partner answers raises it, at most to a few.
        assertTrue(3 / seconds < 6, 3 / seconds + " a second");
        assertTrue(sender.pendingMessageCount() > 5);
    }

    /** A peer that is answered says that it is well: nothing holds this daemon back. */
    @Test
    void aPeersWordThatItIsWellLiftsTheCeiling() throws Exception {
        hand(0, 16);
        assertTrue(sender.pendingMessageCount() > 5);
        tell(List.of(new Heartbeat.SlowStartUpdate(7, Health.HEALTHY, -1, -1, 10, 50, 50, 0)), List.of());
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals(16, answered());
    }

    /** What it has no use for itself is lent to a peer that asks; a number that comes again gets nothing. */
    @Test
    void anIdleDaemonLendsItsPart() throws Exception {
        read(beat -> beat.sender().equals("one"));
        Heartbeat.QuotaLoan ask = new Heartbeat.QuotaLoan(false, 7, 1_000, 0.5f);
        List<Heartbeat.QuotaLoan> answers = new ArrayList<>();
        // For a while after its start it may have lent all in an earlier life.
        await(() -> {
            if (!answers.isEmpty() && answers.get(answers.size() - 1).fraction() > 0) {
                return true;
            }
            try {
                tell(
                        List.of(),
                        List.of(new Heartbeat.QuotaLoan(
                                false, 7, ask.requestNumber() + answers.size(), ask.fraction())));
                answers.add(read(beat ->
                                !beat.loans().isEmpty() && beat.loans().get(0).granted())
                        .loans()
                        .get(0));
                return answers.get(answers.size() - 1).fraction() > 0;
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        assertEquals(0.5f, answers.get(answers.size() - 1).fraction());
        assertTrue(answers.size() > 1, "it lent at once, though it may have lent all before its start");
        long lent = answers.get(answers.size() - 1).requestNumber();
        tell(List.of(), List.of(new Heartbeat.QuotaLoan(false, 7, lent, 0.5f)));
        assertEquals(0, read(beat -> !beat.loans().isEmpty()).loans().get(0).fraction());
    }

    /** Its news tell what it saw; with more waiting than its part allows it asks its peer. */
    @Test
    void itTellsWhatItSeesAndAsksForMore() throws Exception {
        tell(List.of(), List.of());
        hand(0, 16);
        Heartbeat.QuotaLoan ask = read(beat ->
                        beat.loans().stream().anyMatch(l -> !l.granted() && l.destination() == 7))
                .loans()
                .get(0);
        assertTrue(ask.fraction() > 0);
        Heartbeat.SlowStartUpdate news = read(beat ->
                        beat.updates().stream().anyMatch(n -> n.destination() == 7 && n.successAgoMillis() >= 0))
                .updates()
                .stream()
                .filter(n -> n.destination() == 7)
                .findFirst()
                .orElseThrow();
        assertEquals(Health.SLOW_START, news.health());
        assertTrue(news.pendingMessages() > 0);
    }

    /** Datagrams that are no beats, from strangers, or a flood of them: the daemon goes on, and owes them nothing. */
    @Test
    void nonsenseOnTheWireHarmsNobody() throws Exception {
        tell(List.of(), List.of());
        InetSocketAddress to = sender.handoffAddress();
        java.util.SplittableRandom random = new java.util.SplittableRandom(3);
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            stranger.setSoTimeout(300);
            Heartbeat forged = new Heartbeat(
                    "two",
                    9,
                    99,
                    MembershipView.Phase.READY,
                    List.of(new Heartbeat.SlowStartUpdate(7, Health.HEALTHY, -1, -1, 10, 50, 50, 0)),
                    List.of(new Heartbeat.QuotaLoan(false, 7, 5, 0.5f)));
            byte[] bytes = new byte[forged.encode().remaining()];
            forged.encode().get(bytes);
            stranger.send(new DatagramPacket(bytes, bytes.length, to));
            for (int i = 0; i < 2_000; i++) {
                byte[] noise = new byte[random.nextInt(2_000)];
                random.nextBytes(noise);
                stranger.send(new DatagramPacket(noise, noise.length, to));
            }
            boolean answered = true;
            try {
                stranger.receive(new DatagramPacket(new byte[10], 10));
            } catch (SocketTimeoutException e) {
                answered = false;
            }
            assertFalse(answered, "a stranger got an answer");
        }
        assertEquals("+PONG", world.client(sender).ask("PING"));
        hand(0, 16);
        assertTrue(sender.pendingMessageCount() > 5, "a stranger's word lifted the ceiling");
        world.receiver.answers = r -> ok(200, "");
    }
}
