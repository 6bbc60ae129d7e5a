package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.config.SenderConfig;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that are silent, stuck or senseless get an error or a close, and take nothing from the others. */
class BadClientsTest {
    private static final String NO_KEY = "0000000000000000";

    @TempDir
    Path folder;

    private SenderFixture world;
    private Sender sender;

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
        sender = world.start();
    }

    @AfterEach
    void end() throws IOException {
        sender.stop();
        world.close();
    }

    private static void closes(SenderFixture.Client client) {
        assertThrows(IOException.class, () -> {
            while (true) {
                client.answer();
            }
        });
    }

    /** Whatever has no end gets an error and a close while the client still waits. */
    @ParameterizedTest
    @ValueSource(strings = {"\r\n\r\n", "*0\r\n", "*2\r\n$4\r\nPI", "*1\r\n$100\r\nhalf", "PING"})
    void endsWhatIsNotFinished(String start) throws IOException {
        SenderFixture.Client client = world.client(sender);
        assertEquals("-ERR no whole request in time", client.raw(start));
        closes(client);
    }

    /** A good request buys no time for the next one that is stuck; between requests there is no such limit. */
    @Test
    void endsALaterRequestThatIsNotFinished() throws IOException {
        SenderFixture.Client client = world.client(sender);
        assertEquals("+PONG", client.ask("PING"));
        assertEquals("-ERR no whole request in time", client.raw("*2\r\n$4\r\n"));
        closes(client);
    }

    /** What cannot be taken is turned away when it is announced, and the error arrives though more is on its way. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "*1\r\n$60000000\r\n",
                "*1\r\n$-1\r\n",
                "*1\r\n$9999999999999999999\r\n",
                "*-1\r\n",
                "*4000000\r\n",
                "*1\r\n:4\r\n"
            })
    void turnsAwayWhatIsAnnounced(String start) throws IOException {
        SenderFixture.Client client = world.client(sender);
        String answer = client.raw(start + "x".repeat(150_000));
        assertTrue(answer.startsWith("-ERR Protocol error"), answer);
        closes(client);
    }

    @Test
    void turnsAwayALineWithoutEnd() throws IOException {
        SenderFixture.Client client = world.client(sender);
        assertEquals("-ERR Protocol error: too long a line", client.raw("x".repeat(9_000)));
        closes(client);
    }

    /**
     * Whoever takes another client's id first must not have the other told that its message is taken on: it would be
     * lost. The same message again, as over a connection that closed, is.
     */
    @Test
    void aStolenIdIsNoAcceptanceOfTheOwnersMessage() throws IOException {
        world.receiver.answers = r -> null;
        SenderFixture.Client thief = world.client(sender);
        SenderFixture.Client owner = world.client(sender);
        String id = SenderFixture.ID + "a";
        String key = "0000000000000000";
        assertEquals("+OK", thief.ask("SUBMIT", key, id, "c=safe,d=8000,dest=7", "the thief's"));
        assertEquals("-BUSY", owner.ask("SUBMIT", key, id, "c=safe,d=2000,dest=7", "the owner's"));
        assertEquals("-BUSY", owner.ask("SUBMIT", key, id, "c=unsafe,d=8000,dest=7", "the thief's"));
        assertEquals("+OK", owner.ask("SUBMIT", key, id, "c=safe,d=7900,dest=7", "the thief's"));
        assertEquals(1, sender.pendingMessageCount());
        world.receiver.answers = r -> SenderFixture.ok(200, "");
        world.receiver.sockets.forEach(s -> {
            try {
                s.close();
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
        SenderFixture.await(() -> sender.pendingMessageCount() == 0);
        assertEquals("-BUSY", owner.ask("SUBMIT", key, id, "c=safe,d=2000,dest=7", "the owner's"));
        assertEquals("+OK", owner.ask("SUBMIT", key, id, "c=safe,d=2000,dest=7", "the thief's"));
    }

    /** The same nonsense over and over is answered for a while, then the connection ends. */
    @Test
    void endsAClientThatOnlySendsNonsense() throws IOException {
        SenderFixture.Client client = world.client(sender);
        int errors = 0;
        assertEquals("-ERR unknown command", client.raw("NONSENSE\r\n".repeat(500)));
        try {
            while (true) {
                assertEquals("-ERR unknown command", client.answer());
                errors++;
            }
        } catch (IOException closed) {
            assertTrue(errors < 100, errors + " errors");
        }
    }

    /** Hundreds that connect and say nothing must not push out one that is usual, though it was idle for longer. */
    @Test
    void keepsUsualClientsWhenOthersOnlyConnect() throws IOException {
        SenderFixture.Client usual = world.client(sender);
        assertEquals("+PONG", usual.ask("PING"));
        List<SenderFixture.Client> silent = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            silent.add(world.client(sender));
        }
        closes(silent.get(0));
        assertEquals("+OK", usual.submit("safe", SenderFixture.ID + "1", NO_KEY));
        await(() -> sender.pendingMessageCount() == 0);
        assertEquals("+PONG", world.client(sender).ask("PING"));
    }

    /** Many that come in one pass of the loop must each push out another, or descriptors run out. */
    @Test
    void staysWithinItsConnectionsInABurst() throws IOException {
        int most = SenderConfig.read(world.environment()).maxClientConnections();
        sender.blockEventLoop(() -> {
            for (int i = 0; i < 300; i++) {
                world.tryClient(sender);
            }
        });
        for (int i = 0; i < 200; i++) {
            assertTrue(sender.clientConnectionCount() <= most, "connections: " + sender.clientConnectionCount());
        }
        assertEquals("+PONG", world.client(sender).ask("PING"));
    }

    /** Clients may hold only so many connections: those that ask once and stay would keep the next message out. */
    @Test
    void closesConnectionsThatAskedOnceWhenThereAreMany() throws IOException {
        int most = SenderConfig.read(world.environment()).maxClientConnections();
        SenderFixture.Client first = world.client(sender);
        assertEquals("+OK", first.submit("safe", SenderFixture.ID + "1", NO_KEY));
        for (int i = 0; i < most / 2; i++) {
            assertEquals("+PONG", world.client(sender).ask("PING"));
        }
        await(() -> sender.clientConnectionCount() <= most / 3);
        closes(first);
        assertEquals("+OK", world.client(sender).submit("safe", SenderFixture.ID + "2", NO_KEY));
    }

    /** Clients that asked once and stay must not leave newcomers so few places that these push out each other. */
    @Test
    void letsNewcomersInWhereOthersStay() throws IOException {
        int most = SenderConfig.read(world.environment()).maxClientConnections();
        for (int i = 0; i < most; i++) {
            assertEquals("+PONG", world.client(sender).ask("PING"));
        }
        List<SenderFixture.Client> fresh = new ArrayList<>();
        sender.blockEventLoop(() -> {
            for (int i = 0; i < 8; i++) {
                fresh.add(world.tryClient(sender));
            }
        });
        for (SenderFixture.Client client : fresh) {
            assertEquals("+PONG", client.ask("PING"));
        }
    }

    /** Room for requests that are not whole is bounded for all connections together, and given back. */
    @Test
    void boundsWhatUnfinishedRequestsHold() throws IOException {
        List<SenderFixture.Client> clients = new ArrayList<>();
        String large = "*1\r\n$65536\r\n";
        for (int i = 0; i < 100; i++) {
            SenderFixture.Client client = world.client(sender);
            client.write(large);
            clients.add(client);
        }
        SenderFixture.Client last = clients.get(clients.size() - 1);
        assertEquals("-ERR Protocol error: too many large requests at once", last.answer());
        SenderFixture.Client usual = world.client(sender);
        assertEquals("+OK", usual.submit("safe", SenderFixture.ID + "1", NO_KEY));
        for (SenderFixture.Client client : clients) {
            client.close();
        }
        String body = "x".repeat(60_000);
        await(() -> world.tryClient(sender)
                .tryAsk("SUBMIT", NO_KEY, SenderFixture.ID + "2", "c=safe,d=8000,dest=7", body)
                .equals("+OK"));
    }
}
