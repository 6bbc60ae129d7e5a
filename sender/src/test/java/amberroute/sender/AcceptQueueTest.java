package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.client.ClientServer;
import amberroute.sender.client.OutageBacklog;
import amberroute.sender.client.QueueingDelay;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Connections that waited in the accept queue while no process accepted them, as behind the kill of a process on a passed socket. */
@Timeout(60)
class AcceptQueueTest {
    private static final int GAVE_UP_BEFORE_EACH = 40;
    private static final int STILL_THERE = 3;
    private static final String NO_KEY = "0000000000000000";
    private static final String KEY = "000000000000000a";

    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final LinkedBlockingQueue<ClientServer.Submission> submitted = new LinkedBlockingQueue<>();
    private final List<Socket> clients = new ArrayList<>();
    private ServerSocketChannel listening;

    @BeforeEach
    void listen() throws IOException {
        listening = ServerSocketChannel.open();
        listening.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        listening.configureBlocking(false);
    }

    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        listening.close();
    }

    @Test
    void requestsOfClientsThatGaveUpAreNotHandedOn() throws Exception {
        List<String> stillThere = new ArrayList<>();
        for (int i = 0; i < STILL_THERE; i++) {
            for (int j = 0; j < GAVE_UP_BEFORE_EACH; j++) {
                submit("gave-up-" + i + "-" + j).close();
            }
            clients.add(submit("there-" + i));
            stillThere.add("there-" + i);
        }
        ClientServer server = serve();
        for (Socket client : clients) {
            assertEquals("+OK", answer(client));
        }
        int gaveUp = STILL_THERE * GAVE_UP_BEFORE_EACH;
        while (loop.submit(server::abandonedRequests).sync().getNow() < gaveUp && submitted.size() <= STILL_THERE) {
            Thread.sleep(5);
        }
        assertEquals(
                stillThere, submitted.stream().map(ClientServer.Submission::id).toList());
        assertEquals(gaveUp, loop.submit(server::abandonedRequests).sync().getNow());
    }

    /** However soon the process accepts: the queue is older than the process. */
    @Test
    void allThatClientsMayHaveWaitedIsOffTheTimeLeft() throws Exception {
        long begun = System.nanoTime();
        clients.add(submit("there"));
        serve();
        assertEquals("+OK", answer(clients.get(0)));
        assertWholeClientTimeoutIsOff(submitted.take().timeLeftMillis(), begun);
    }

    /** What comes later on the same connections, and on new ones, is not taken for old. */
    @Test
    void laterRequestsAreHandedOnAtOnce() throws Exception {
        clients.add(submit("first"));
        ClientServer server = serve();
        assertEquals("+OK", answer(clients.get(0)));
        write(clients.get(0), "second", NO_KEY);
        assertEquals("+OK", answer(clients.get(0)));
        clients.add(submit("other"));
        assertEquals("+OK", answer(clients.get(1)));
        assertEquals(
                List.of("first", "second", "other"),
                submitted.stream().map(ClientServer.Submission::id).toList());
        assertEquals(0L, loop.submit(server::abandonedRequests).sync().getNow());
    }

    /** Its client may have had it ready all through the outage, and sent it when the message before had its answer. */
    @Test
    void whatFollowsTheAnswerOfItsKeyMayBeAsOldAsTheOutage() throws Exception {
        long begun = System.nanoTime();
        clients.add(submit("before", KEY));
        serve();
        assertEquals("+OK", answer(clients.get(0)));
        assertWholeClientTimeoutIsOff(submitted.take().timeLeftMillis(), begun);
        write(clients.get(0), "behind", KEY);
        assertEquals("+OK", answer(clients.get(0)));
        long left = submitted.take().timeLeftMillis();
        assertTrue(left <= 8_000 - OutageBacklog.UNSEEN_MS, left + " ms left");
    }

    /** All that the client may have waited is off, and no more than has passed since the test began besides. */
    private static void assertWholeClientTimeoutIsOff(long timeLeft, long begun) {
        long most = 8_000 - QueueingDelay.CLIENT_TIMEOUT_MS;
        long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begun);
        assertTrue(timeLeft <= most && timeLeft >= most - passed, timeLeft + " ms left, " + passed + " ms passed");
    }

    private ClientServer serve() throws InterruptedException {
        ClientServer server = new ClientServer(
                loop,
                (submission, answer) -> {
                    submitted.add(submission);
                    answer.ok();
                },
                1_000,
                1 << 20);
        server.setClassNames(Set.of("safe"));
        server.listen(listening);
        return server;
    }

    private Socket submit(String id) throws IOException {
        return submit(id, NO_KEY);
    }

    private Socket submit(String id, String key) throws IOException {
        Socket client = new Socket();
        client.connect(listening.getLocalAddress());
        write(client, id, key);
        return client;
    }

    private static void write(Socket client, String id, String key) throws IOException {
        StringBuilder text = new StringBuilder("*5\r\n");
        for (String word : List.of("SUBMIT", key, id, "c=safe,d=8000,dest=1", "body")) {
            text.append('$').append(word.length()).append("\r\n").append(word).append("\r\n");
        }
        client.getOutputStream().write(text.toString().getBytes(StandardCharsets.US_ASCII));
    }

    private static String answer(Socket client) throws IOException {
        return new BufferedReader(new InputStreamReader(client.getInputStream(), StandardCharsets.US_ASCII)).readLine();
    }
}
