package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.admin.AdminServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The operators' door: it answers whatever the sender and other callers do, and its figures are true. */
class AdminServerTest {
    private static final String NO_KEY = "0000000000000000";

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

    /** Sends these bytes and reads all that comes until the other side closes. */
    static String ask(InetSocketAddress address, String request) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            SenderFixture.write(socket, request);
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    static String get(InetSocketAddress address, String path) {
        return ask(address, "GET " + path + " HTTP/1.1\r\nHost: ops\r\n\r\n");
    }

    /** A figure by its name with labels, -1 where it is not shown. */
    static double figure(Sender sender, String name) {
        return get(sender.adminAddress(), "/-/metrics")
                .lines()
                .filter(line -> line.startsWith(name + " "))
                .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
                .findFirst()
                .orElse(-1);
    }

    private static String ended(String className, String result) {
        return "svc_responses_total{kind=\"" + className + "\",result=\"" + result + "\"}";
    }

    @Test
    void countsEveryEndUnderItsClass() throws IOException {
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        client.submit("safe", SenderFixture.ID + "1", NO_KEY);
        client.submit("keyed", SenderFixture.ID + "2", NO_KEY);
        await(() -> sender.pendingMessageCount() == 0);
        world.receiver.answers = r -> ok(500, "");
        client.submit("unsafe", SenderFixture.ID + "3", NO_KEY);
        client.submit("safe", SenderFixture.ID + "4", NO_KEY, 600, 8);
        assertEquals("-ERR unknown destination", client.submit("safe", SenderFixture.ID + "5", NO_KEY, 8_000, 99));
        await(() -> sender.pendingMessageCount() == 0);
        await(() -> figure(sender, ended("safe", "shed")) == 1);
        assertEquals(
                List.of(1.0, 1.0, 1.0, 0.0, 1.0, 3.0, 0.0, 2.0),
                List.of(
                        figure(sender, ended("safe", "ok")),
                        figure(sender, ended("keyed", "ok")),
                        figure(sender, ended("unsafe", "errors")),
                        figure(sender, ended("unsafe", "ok")),
                        figure(sender, ended("safe", "errors")),
                        figure(sender, "svc_tries_total"),
                        figure(sender, "svc_active"),
                        figure(sender, "svc_pool_size")));
    }

    /** A message that is out counts as active; a receiver that no longer answers as avoided. */
    @Test
    void showsWhatIsUnderWayAndWhoIsAvoided() throws IOException {
        world.deadline = 60_000_000;
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        world.prove(sender, client);
        world.receiver.answers = r -> null;
        for (int i = 1; i <= 3; i++) {
            client.submit("safe", SenderFixture.ID + i, NO_KEY, 60_000, 7);
        }
        await(() -> figure(sender, "svc_active") == 3);
        await(() -> figure(sender, "svc_pool_ejected") == 1);
        assertEquals(2, figure(sender, "svc_pool_size"));
    }

    private static String attempts(String state, String result) {
        return "svc_destination_attempts_total{destination=\"7\",state=\"" + state + "\",result=\"" + result + "\"}";
    }

    /** Operators have to see whether calls went to a destination that this sender took for unavailable. */
    @Test
    void countsAttemptsByTheStateOfTheirDestination() throws IOException {
        sender = world.start();
        SenderFixture.Client client = world.client(sender);
        world.prove(sender, client);
        world.receiver.answers = r -> ok(500, "");
        client.submit("safe", SenderFixture.ID + "1", NO_KEY);
        await(() -> figure(sender, attempts("unavailable", "failed")) >= 1);
        assertTrue(figure(sender, attempts("healthy", "failed")) >= 1);
        assertTrue(figure(sender, attempts("healthy", "delivered")) >= 1);
        world.receiver.answers = r -> ok(200, "");
        await(() -> figure(sender, attempts("unavailable", "delivered")) == 1);
    }

    /** The sender's loop does nothing at all meanwhile. */
    @Test
    void answersWhileTheSenderIsBusy() throws Exception {
        sender = world.start();
        CountDownLatch over = new CountDownLatch(1);
        Thread busy = new Thread(() -> sender.blockEventLoop(() -> {
            try {
                over.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }));
        busy.start();
        try {
            assertTrue(get(sender.adminAddress(), "/-/ready").startsWith("HTTP/1.1 200"));
            assertTrue(get(sender.adminAddress(), "/-/metrics").contains("svc_active 0"));
        } finally {
            over.countDown();
            busy.join();
        }
    }

    @Test
    void answersBesideCallersThatNeverFinish() throws IOException {
        sender = world.start();
        List<Socket> idle = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * AdminServer.MOST_CONNECTIONS; i++) {
                Socket socket = new Socket(
                        InetAddress.getLoopbackAddress(), sender.adminAddress().getPort());
                SenderFixture.write(socket, i % 2 == 0 ? "" : "GET /-/rea");
                idle.add(socket);
            }
            assertTrue(get(sender.adminAddress(), "/-/ready").startsWith("HTTP/1.1 200"));
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    @Test
    void saysNoToWhatItDoesNotKnow() throws IOException {
        sender = world.start();
        assertTrue(get(sender.adminAddress(), "/").startsWith("HTTP/1.1 404"));
        assertTrue(
                ask(sender.adminAddress(), "DELETE /-/ready HTTP/1.1\r\n\r\n").startsWith("HTTP/1.1 405"));
        assertTrue(ask(sender.adminAddress(), "\u0001 nonsense\r\n\r\n").startsWith("HTTP/1.1 400"));
        assertTrue(ask(sender.adminAddress(), "GET /" + "x".repeat(9_000) + " HTTP/1.1\r\n\r\n")
                .startsWith("HTTP/1.1 4"));
        assertTrue(get(sender.adminAddress(), "/-/ready").startsWith("HTTP/1.1 200"), "it ended on bad input");
    }
}
