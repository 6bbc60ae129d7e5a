package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.command;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.client.ClientServer;
import amberroute.sender.client.ConnectionDraining;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.EOFException;
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
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A client's connection ends in the very moment in which something still lies unread on it. The loop is held while that is
 * brought about, so that it comes about each time.
 */
class ClientConnectionCloseTest {
    private static final int PLACES = 24;
    /** Answers that do not fit a narrow window by far. */
    private static final int MANY = 250;
    /** So many bytes of a request are less than the whole. */
    private static final int HALF = 40;

    private final List<ClientServer.Answer> asked = new CopyOnWriteArrayList<>();
    private final List<SenderFixture.Client> clients = new ArrayList<>();
    private EventLoopGroup group;
    private EventLoop loop;
    private ClientServer server;
    private int port;

    @BeforeEach
    void open() throws Exception {
        group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        loop = group.next();
        server = new ClientServer(loop, (submission, answer) -> asked.add(answer), PLACES, 1 << 20);
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
        return command("SUBMIT", "0000000000000000", id, "c=safe,d=8000,k=5c0f,dest=7", "body");
    }

    private interface Work {
        void run() throws Exception;
    }

    /** On the loop, which sees nothing of what arrives meanwhile. */
    private void held(Work work) {
        loop.submit(() -> {
                    work.run();
                    return null;
                })
                .syncUninterruptibly();
    }

    /** Brings it about that a connection which rests is ended. */
    private void end(String how) throws Exception {
        switch (how) {
            case "pushed over to another process" -> server.closeResting(PLACES);
            case "let go of before the kill" -> server.drain(new ConnectionDraining(0, 0), 1);
            case "stopped for good" -> server.closeUnanswered();
            default -> throw new IllegalArgumentException(how);
        }
    }

    /** One whose window is so small that most of its answers have not left yet. */
    private SenderFixture.Client narrow() throws Exception {
        SenderFixture.Client client = new SenderFixture.Client(port, 1_024);
        clients.add(client);
        client.write(command("PING").repeat(MANY) + submit("a0"));
        // What is read behind the others is answered behind them.
        await(() -> asked.size() == 1);
        held(() -> asked.remove(0).ok());
        return client;
    }

    private static void readsAll(SenderFixture.Client client) throws IOException {
        for (int i = 0; i < MANY; i++) {
            assertEquals("+PONG", client.answer(), "of " + i);
        }
        assertEquals("+OK", client.answer());
    }

    /** A request crosses the end: it is nobody's, and the answers before it are read whole, with an orderly end behind them. */
    @ParameterizedTest
    @ValueSource(strings = {"pushed over to another process", "let go of before the kill", "stopped for good"})
    void aRequestThatCrossesTheEndTakesNoAnswerWithIt(String how) throws Exception {
        SenderFixture.Client client = narrow();
        held(() -> {
            client.write(submit("a1"));
            end(how);
        });
        readsAll(client);
        assertThrows(EOFException.class, client::answer, "the connection was reset");
        assertEquals(0, asked.size(), "a request was read behind the end");
    }

    /** One that has been served and has then sent the first half of a request; the server has read that. */
    private SenderFixture.Client midway() throws Exception {
        SenderFixture.Client client = client();
        client.write(command("PING") + submit("a0").substring(0, HALF));
        assertEquals("+PONG", client.answer());
        return client;
    }

    private void isServed(SenderFixture.Client midway) throws Exception {
        midway.write(submit("a0").substring(HALF));
        await(() -> asked.size() == 1);
        held(() -> asked.remove(0).ok());
        assertEquals("+OK", midway.answer());
    }

    private int connections() {
        return loop.submit(server::connections).syncUninterruptibly().getNow();
    }

    /** Where there are many, those that rest longest are swept out; not who is in the middle of a request, however long ago its last was. */
    @Test
    void theSweepLeavesAloneWhoHasBegunARequest() throws Exception {
        SenderFixture.Client midway = midway();
        for (int i = 0; i < PLACES / 2; i++) {
            assertEquals("+PONG", client().ask("PING"));
        }
        await(() -> connections() <= PLACES / 3);
        isServed(midway);
    }

    /** A newcomer pushes out who rests, though another's last request is longer ago. */
    @Test
    void aNewcomerPushesOutNobodyWhoHasBegunARequest() throws Exception {
        SenderFixture.Client midway = midway();
        int served = PLACES - PLACES / 8;
        SenderFixture.Client resting = client();
        assertEquals("+PONG", resting.ask("PING"));
        for (int i = 2; i < served; i++) {
            assertEquals("+PONG", client().ask("PING"));
        }
        held(this::client);
        assertThrows(EOFException.class, resting::answer);
        isServed(midway);
    }

    /** The same where a newcomer pushes out whoever has rested longest. */
    @Test
    void whoIsPushedOutByANewcomerReadsItsLastAnswers() throws Exception {
        SenderFixture.Client first = narrow();
        int served = PLACES - PLACES / 8;
        for (int i = 1; i < served; i++) {
            assertEquals("+PONG", client().ask("PING"));
        }
        // The newcomer is accepted first, as its key was there before; what crosses then lies unread behind the end.
        held(() -> {
            client();
            first.write(submit("a1"));
        });
        readsAll(first);
        if (asked.isEmpty()) {
            assertThrows(EOFException.class, first::answer);
        }
    }

    /** One that came in the same write as the request whose answer ends the connection is owed an answer too. */
    @Test
    void whatCameWithTheLastRequestIsAnsweredToo() throws Exception {
        SenderFixture.Client client = client();
        assertEquals("+PONG", client.ask("PING"));
        held(() -> server.closeAfterReplies());
        client.write(command("PING") + command("PING") + submit("a1"));
        assertEquals("+PONG", client.answer());
        assertEquals("+PONG", client.answer());
        await(() -> asked.size() == 1);
        held(() -> asked.get(0).ok());
        assertEquals("+OK", client.answer());
        assertThrows(EOFException.class, client::answer);
    }

    /** Behind the last answer of one that retires, too, bytes may lie unread. */
    @Test
    void aRequestThatCrossesTheLastAnswerDoesNotDestroyIt() throws Exception {
        SenderFixture.Client client = narrow();
        client.write(submit("a1"));
        await(() -> asked.size() == 1);
        held(() -> {
            server.closeAfterReplies();
            client.write(submit("a2"));
            asked.get(0).ok();
            // What the pass behind this one would do first, before it reads.
        });
        readsAll(client);
        assertEquals("+OK", client.answer());
        if (asked.size() == 1) {
            assertThrows(EOFException.class, client::answer);
        }
    }

    /** Those who are connected and wait to be accepted are served before the door is shut. */
    @Test
    void nobodyWhoWaitsAtTheDoorIsReset() throws Exception {
        int many = 20;
        List<SenderFixture.Client> waiting = new ArrayList<>();
        held(() -> {
            for (int i = 0; i < many; i++) {
                SenderFixture.Client client = client();
                client.write(command("PING"));
                waiting.add(client);
            }
            server.closeListener();
        });
        for (SenderFixture.Client client : waiting) {
            assertEquals("+PONG", client.answer());
        }
        await(() -> {
            try {
                new SenderFixture.Client(port).close();
                return false;
            } catch (IOException e) {
                return true;
            }
        });
    }

    /** A client that rests until the sender ends its connection reads no error that it would take for its next answer. */
    @Test
    void whoHasAskedNothingIsLetGoWithoutAWord() throws Exception {
        assertThrows(EOFException.class, client()::answer);
    }

    /** Connections that linger hold places only until newcomers need them. */
    @Test
    void thoseThatLingerAreBounded() throws Exception {
        int served = PLACES - PLACES / 8;
        for (int i = 0; i < served; i++) {
            assertEquals("+PONG", client().ask("PING"));
        }
        held(server::closeUnanswered);
        // None of them closes its side: they linger.
        held(() -> assertEquals(served, server.openConnections() - server.connections()));
        for (int i = 0; i < PLACES; i++) {
            assertEquals("+PONG", client().ask("PING"));
            held(() -> assertTrue(server.openConnections() <= PLACES, "open " + server.openConnections()));
        }
        await(() -> server.openConnections() == served);
        assertEquals(0, asked.size());
    }
}
