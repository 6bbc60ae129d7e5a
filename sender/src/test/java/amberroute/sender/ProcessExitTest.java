package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes that are told to end, killed, started again by the dozen, or held at their limit of descriptors. */
class ProcessExitTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String ID = "0123456789abcdef0123456789abcde";
    private static final int DESCRIPTORS = 256;
    private static final int RESTARTS = 30;

    @TempDir
    Path folder;

    private SenderFixture world;
    private final List<SenderProcess> processes = new ArrayList<>();
    private final List<SenderFixture.Client> clients = new ArrayList<>();

    @BeforeEach
    void open() throws IOException {
        world = new SenderFixture(folder);
    }

    @AfterEach
    void close() throws IOException {
        SenderProcess.closeAll(processes);
        for (SenderFixture.Client client : clients) {
            client.close();
        }
        world.close();
    }

    private SenderFixture.Client client(SenderProcess to) throws IOException {
        SenderFixture.Client client = new SenderFixture.Client(to.port());
        clients.add(client);
        return client;
    }

    /** Discovery is down while idle clients fill the descriptors: there is room for its return, calls, notices and the journal. */
    @Test
    void idleClientsLeaveRoomForAllElse() throws Exception {
        world.discovery.greet = s -> false;
        SenderProcess process = SenderProcess.begin(world.environment(), folder.resolve("log"), DESCRIPTORS);
        processes.add(process);
        await(process::ready);
        long most = 0;
        for (int i = 0; i < 2 * DESCRIPTORS; i++) {
            SenderFixture.Client idle = client(process);
            if (i % 2 == 0) {
                try {
                    idle.ask("PING");
                } catch (IOException e) {
                    // It was pushed out by a newcomer.
                }
            }
            most = Math.max(most, process.descriptors());
        }
        // The process's own and those of receivers are not touched; some go for the moments in which connections close.
        assertTrue(most < DESCRIPTORS - 16, most + " descriptors");
        world.discovery.greet = s -> true;
        await(world::watched);
        SenderFixture.Client client = client(process);
        assertEquals("+OK", client.submit("safe", ID + "0", NO_KEY, 8_000, 7));
        await(() -> world.receiver.requests.stream()
                .anyMatch(r -> r.header("X-Request-ID").equals(ID + "0")));
        assertEquals("+OK", client.submit("unsafe", ID + "1", NO_KEY, 300, 8));
        await(() -> world.notices.stream().anyMatch(n -> n.contains(ID + "1")));
        assertTrue(process.alive());
        assertFalse(process.logged("Too many open files"));
    }

    /** Many that are started again at once, while discovery accepts them and says nothing: none waits for it, nor for another. */
    @Test
    void nineInTenOfManyRestartsAreReadyAsSoonAsTheirWorkAllows() throws Exception {
        Map<String, String> environment = world.environment();
        long alone = System.nanoTime();
        SenderProcess first = SenderProcess.start(environment, folder.resolve("alone"));
        alone = System.nanoTime() - alone;
        first.kill();
        world.discovery.answers = r -> null;
        long from = System.nanoTime();
        for (int i = 0; i < RESTARTS; i++) {
            Map<String, String> own = new HashMap<>(environment);
            own.put("GW_STATE", folder.resolve("state" + i).toString());
            processes.add(SenderProcess.begin(own, folder.resolve("log" + i), 0));
        }
        // One after another on a single core would take as many times as long as one alone.
        while (processes.stream().filter(SenderProcess::ready).count() < RESTARTS * 9 / 10
                && System.nanoTime() - from < RESTARTS * alone) {
            Thread.sleep(5);
        }
        long took = System.nanoTime() - from;
        assertTrue(took < RESTARTS * alone, took / 1_000_000 + " ms, alone " + alone / 1_000_000);
        System.out.println(RESTARTS + " restarts: nine in ten ready after " + took / 1_000_000 + " ms, one alone after "
                + alone / 1_000_000 + " ms");
    }

    /** SIGHUP moves discovery while the process is told to end, and a second SIGTERM comes: what was taken is told all the same. */
    @Test
    void signalsThatCrossLoseNothing() throws Exception {
        SenderProcess process = SenderProcess.start(world.environment(), folder.resolve("log"));
        processes.add(process);
        await(world::watched);
        world.receiver.answers = r -> null;
        SenderFixture.Client client = client(process);
        for (int i = 0; i < 6; i++) {
            assertEquals("+OK", client.submit("safe", ID + i, NO_KEY, 20_000, 7));
        }
        process.signal("TERM");
        await(() -> process.logged("event=process_terminating"));
        world.moveDiscovery(3, "Ready");
        process.signal("HUP");
        process.signal("TERM");
        await(() -> process.logged("event=discovery_address_set"));
        assertEquals("+OK", client.submit("safe", ID + "7", NO_KEY, 20_000, 7));
        assertTrue(process.alive(), "it ended early");
        process.kill();
        world.receiver.answers = r -> SenderFixture.ok(200, "");
        world.receiver.requests.clear();
        processes.add(SenderProcess.start(world.environment(), folder.resolve("log2")));
        await(() -> world.receiver.requests.stream()
                        .map(r -> r.header("X-Request-ID"))
                        .distinct()
                        .count()
                == 7);
    }
}
