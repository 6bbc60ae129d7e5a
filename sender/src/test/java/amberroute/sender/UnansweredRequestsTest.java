package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.command;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.client.ClientServer;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests whose replies take long: what they hold is bounded for one connection, and for all together. */
class UnansweredRequestsTest {
    private static final int PLACES = 64;
    private static final int MEMORY_BYTES = 1 << 20;
    private static final String LARGE_BODY = "x".repeat(60_000);
    /** Longer than a request may take to arrive. */
    private static final long REPLY_DELAY_NANOS = 2_500_000_000L;

    private final List<ClientServer.Answer> asked = new CopyOnWriteArrayList<>();
    private final List<SenderFixture.Client> clients = new ArrayList<>();
    private EventLoopGroup group;
    private EventLoop loop;
    private int port;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        ClientServer server = new ClientServer(loop, (submission, answer) -> asked.add(answer), PLACES, MEMORY_BYTES);
        server.setClassNames(Set.of("safe"));
        port = server.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                .getPort();
    }

    @AfterEach
    void close() throws IOException {
        for (SenderFixture.Client client : clients) {
            client.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private SenderFixture.Client client() throws IOException {
        SenderFixture.Client client = new SenderFixture.Client(port);
        clients.add(client);
        return client;
    }

    private static String submit(String id) {
        return command("SUBMIT", "0000000000000000", id, "c=safe,d=8000,dest=7", LARGE_BODY);
    }

    /** Returns how many there were. */
    private int acceptAll() {
        return loop.submit(() -> {
                    List<ClientServer.Answer> accepted = List.copyOf(asked);
                    asked.clear();
                    accepted.forEach(ClientServer.Answer::ok);
                    return accepted.size();
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Guards against large messages that wait for their decision in any number, which filled the heap. */
    @Test
    void largeMessagesBeyondTheMemoryAreTurnedAwayUntilOthersHaveTheirReply() throws Exception {
        int room = MEMORY_BYTES / LARGE_BODY.length();
        for (int i = 0; i < room; i++) {
            client().write(submit("held" + i));
            int held = i + 1;
            await(() -> asked.size() == held);
        }
        SenderFixture.Client beyond = client();
        assertEquals("-BUSY", beyond.raw(submit("beyond")));
        assertEquals("+PONG", beyond.ask("PING"));
        // A small one needs no room.
        beyond.write(command("SUBMIT", "0000000000000000", "small", "c=safe,d=8000,dest=7", "body"));
        await(() -> asked.size() == room + 1);
        acceptAll();
        assertEquals("+OK", beyond.answer());
        beyond.write(submit("again"));
        await(() -> asked.size() == 1);
        acceptAll();
        assertEquals("+OK", beyond.answer());
    }

    /**
     * Guards against a connection that is read on however much of it waits for replies. What lies unread meanwhile is no fault of its client,
     * whose next request gets its time from when reading goes on.
     */
    @Test
    void aConnectionIsNotReadOnWhileMuchOfItWaits() throws Exception {
        int count = 8;
        SenderFixture.Client client = client();
        StringBuilder pipelined = new StringBuilder();
        for (int i = 0; i < count; i++) {
            pipelined.append(submit("m" + i));
        }
        Thread writer = new Thread(() -> {
            try {
                client.write(pipelined.toString());
            } catch (IOException e) {
                // The replies will be missed.
            }
        });
        writer.start();
        await(() -> !asked.isEmpty());
        long from = System.nanoTime();
        await(() -> System.nanoTime() - from > REPLY_DELAY_NANOS);
        int unanswered = asked.size();
        assertTrue(unanswered <= 4, "read on with " + unanswered + " unanswered");
        int accepted = 0;
        while (accepted < count) {
            await(() -> !asked.isEmpty());
            accepted += acceptAll();
        }
        for (int i = 0; i < count; i++) {
            assertEquals("+OK", client.answer());
        }
        writer.join();
    }
}
