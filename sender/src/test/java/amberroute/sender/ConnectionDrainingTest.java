package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.client.ConnectionDraining;
import amberroute.sender.client.QueueingDelay;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** From SIGTERM to SIGKILL: clients send on every connection that stays open, and each request needs its whole answer. */
class ConnectionDrainingTest {
    private static final String NO_KEY = "0000000000000000";

    @TempDir
    Path folder;

    private SenderFixture world;
    private SenderProcess process;

    @BeforeEach
    void build() throws IOException {
        world = new SenderFixture(folder);
        world.openCap = 5_000;
    }

    @AfterEach
    void end() throws Exception {
        if (process != null) {
            process.kill();
        }
        world.close();
    }

    @Test
    void closesAllSoonEnoughForTheLastAnswers() {
        ConnectionDraining parting = new ConnectionDraining(10_000, 3_450);
        assertFalse(parting.begun(12_449));
        assertEquals(0, parting.surplus(12_449, 60));
        assertTrue(parting.begun(12_450));
        assertEquals(0, parting.surplus(12_450, 60));
        assertEquals(30, parting.surplus(12_750, 60));
        assertEquals(10, parting.surplus(12_750, 40), "what clients close themselves counts");
        assertFalse(parting.isReadingOver(13_049));
        assertTrue(
                parting.isReadingOver(13_450 - QueueingDelay.CLIENT_TIMEOUT_MS),
                "who asked last would still wait at the kill");
        assertEquals(7, parting.surplus(13_050, 7));
        assertFalse(parting.isKillDue(13_449));
        assertTrue(parting.isKillDue(13_450));
    }

    @Test
    void aShortTimeIsAllForTheLastAnswers() {
        ConnectionDraining parting = new ConnectionDraining(0, 300);
        assertTrue(parting.begun(0) && parting.isReadingOver(0));
        assertEquals(9, parting.surplus(0, 9));
    }

    /** The processes themselves: told to end under load, killed, and started again on the same folder. */
    @Test
    void partsWithClientsBeforeTheKillAndOwesWhatItTook() throws Exception {
        process = SenderProcess.start(world.environment(), folder.resolve("first"));
        Set<String> taken = ConcurrentHashMap.newKeySet();
        List<String> spoilt = new ArrayList<>();
        AtomicInteger takenBehind = new AtomicInteger();
        List<Thread> busy = new ArrayList<>();
        try (SenderFixture.Client idle = new SenderFixture.Client(process.port());
                SenderFixture.Client half = new SenderFixture.Client(process.port())) {
            assertEquals("+PONG", idle.ask("PING"));
            assertEquals("+PONG", half.ask("PING"));
            for (int i = 0; i < 6; i++) {
                busy.add(client(i, taken, spoilt, takenBehind));
            }
            await(() -> taken.size() > 30);
            // What comes from now on is still held at the kill.
            world.receiver.answers = r -> null;
            process.signal("TERM");
            await(() -> process.logged("event=process_terminating"));
            takenBehind.set(1);
            half.write("*5\r\n$6\r\nSUB");
            for (Thread each : busy) {
                each.join(20_000);
                assertFalse(each.isAlive(), "a connection stayed open up to the kill");
            }
            assertThrows(IOException.class, idle::answer);
            // Told that its request never came whole, which is no end to its connection, then let go.
            assertTrue(half.answer().startsWith("-ERR"));
            assertThrows(IOException.class, half::answer);
            assertThrows(IOException.class, () -> new SenderFixture.Client(process.port()), "the door stayed open");
        }
        await(() -> process.logged("event=client_connections_drained"));
        assertTrue(process.alive(), "it ended, and nobody had the time to see it off");
        assertTrue(takenBehind.get() > 6, "nothing was taken any more behind SIGTERM");
        assertEquals(List.of(), spoilt);
        process.kill();
        world.receiver.answers = r -> ok(200, "");
        process = SenderProcess.start(world.environment(), folder.resolve("second"));
        // On a slow machine the time of some is up by then: that is an end too, if they are told.
        await(() -> taken.stream()
                .allMatch(id -> world.receiver.requests.stream()
                                .anyMatch(r -> r.header("X-Request-ID").equals(id))
                        || world.notices.stream().anyMatch(n -> n.contains('"' + id + '"'))));
    }

    /** Hands in one message after another on one connection, until that is closed. */
    private Thread client(int number, Set<String> taken, List<String> spoilt, AtomicInteger behind) throws IOException {
        SenderFixture.Client client = new SenderFixture.Client(process.port());
        Thread thread = new Thread(() -> {
            try (client) {
                for (int i = 0; ; i++) {
                    String id = "c" + number + "-" + i;
                    String answer = client.submit("safe", id, NO_KEY, 20_000, 7);
                    if (answer.equals("+OK")) {
                        taken.add(id);
                        behind.addAndGet(behind.get() > 0 ? 1 : 0);
                    } else if (!answer.startsWith("-BUSY")) {
                        synchronized (spoilt) {
                            spoilt.add(id + ": " + answer);
                        }
                    }
                    Thread.sleep(5);
                }
            } catch (EOFException | java.net.SocketException e) {
                // Closed between requests, or crossed by one that is to be sent once more.
            } catch (IOException | InterruptedException e) {
                synchronized (spoilt) {
                    spoilt.add(number + ": " + e);
                }
            }
        });
        thread.start();
        return thread;
    }
}
