package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static amberroute.sender.SenderFixture.ok;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Real processes of one sender on a passed listening socket; the replacement is killed at each stage of the transfer. */
class ProcessReplacementTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String KEY = "7f3a9c21e0b4d655";
    /** SIGKILL follows SIGTERM no sooner than this. */
    private static final long KILL_MS = 3_700;

    @TempDir
    Path folder;

    private SenderFixture world;
    private SharedSocket socket;
    private final List<SenderProcess> processes = new ArrayList<>();
    private final Map<String, Socket> unanswered = new ConcurrentHashMap<>();

    @BeforeEach
    void open() throws Exception {
        world = new SenderFixture(folder);
        world.slots = 8;
        // So long that no call is taken for silent meanwhile, however slow the machine.
        world.deadline = 400_000_000;
        socket = new SharedSocket(folder);
    }

    @AfterEach
    void close() throws IOException {
        SenderProcess.closeAll(processes);
        socket.close();
        world.close();
    }

    private SenderProcess begin() throws Exception {
        SenderProcess process = socket.begin(world.environment(), folder.resolve("log" + processes.size()));
        processes.add(process);
        return process;
    }

    private SenderProcess start() throws Exception {
        SenderProcess process = begin();
        await(process::ready);
        return process;
    }

    private SenderFixture.Client client() throws IOException {
        return new SenderFixture.Client(socket.port());
    }

    private long calls(String id) {
        return world.receiver.requests.stream()
                .filter(r -> r.body().equals("body of " + id))
                .count();
    }

    /** The next call for each of these ids waits for {@link #answerAll}. */
    private void leaveUnanswered(String... ids) {
        List<String> waiting = new CopyOnWriteArrayList<>(List.of(ids));
        world.receiver.answers = request -> {
            String id = request.body().replace("body of ", "");
            if (waiting.remove(id)) {
                unanswered.put(id, request.socket());
                return null;
            }
            return ok(200, "");
        };
    }

    private void answerAll() throws IOException {
        for (Socket call : unanswered.values()) {
            SenderFixture.write(call, ok(200, ""));
        }
    }

    /** One message of each effect out, one more behind the keyed one, all with the old process. */
    private SenderProcess oldProcessWithCallsOut() throws Exception {
        SenderProcess old = start();
        SenderFixture.Client client = client();
        assertEquals("+OK", client.submit("safe", "first", NO_KEY));
        await(() -> calls("first") == 1);
        leaveUnanswered("safe", "unsafe", "keyed");
        assertEquals("+OK", client.submit("safe", "safe", NO_KEY, 300_000, 7));
        assertEquals("+OK", client.submit("unsafe", "unsafe", NO_KEY, 300_000, 7));
        assertEquals("+OK", client.submit("keyed", "keyed", KEY, 300_000, 7));
        assertEquals("+OK", client.submit("keyed", "next", KEY, 300_000, 7));
        await(() -> unanswered.size() == 3);
        return old;
    }

    /** The old process is the sender again: what was out goes on there, once, and clients are served. */
    private void assertOldProcessServes(SenderProcess old) throws Exception {
        assertEquals("+OK", client().submit("safe", "behind", NO_KEY, 300_000, 7));
        answerAll();
        await(() -> calls("next") == 1 && calls("behind") == 1);
        assertEquals(List.of(1L, 1L, 1L, 1L), List.of(calls("safe"), calls("unsafe"), calls("keyed"), calls("behind")));
        assertEquals(List.of(), world.notices);
        assertTrue(socket.status(old).isEmpty(), "the old process ended with status " + socket.status(old));
    }

    private void killReplacementWhen(SenderProcess old, SenderProcess fresh, BooleanSupplier moment) throws Exception {
        await(moment);
        fresh.kill();
        assertOldProcessServes(old);
        SenderProcess next = start();
        assertTrue(next.logged("event=ownership_acquired"));
        assertEquals("+OK", client().submit("safe", "last", NO_KEY, 300_000, 7));
        await(() -> calls("last") == 1);
        old.signal("TERM");
        await(() -> socket.status(old).isPresent());
        assertTrue(next.alive());
    }

    @Test
    void replacementKilledAsItTakesOver() throws Exception {
        SenderProcess old = oldProcessWithCallsOut();
        killReplacementWhen(old, begin(), () -> old.logged("event=ownership_transferred"));
    }

    @Test
    void replacementKilledWhenReady() throws Exception {
        SenderProcess old = oldProcessWithCallsOut();
        SenderProcess fresh = begin();
        killReplacementWhen(old, fresh, fresh::ready);
    }

    /** The old process was told to end before: it serves on until it is killed, as the replacement that it made way for is gone. */
    @Test
    void replacementKilledWhenTheOldProcessWasToldToEnd() throws Exception {
        SenderProcess old = oldProcessWithCallsOut();
        SenderProcess fresh = start();
        answerAll();
        await(() -> calls("next") == 1);
        long told = System.nanoTime();
        old.signal("TERM");
        await(() -> old.logged("event=process_terminating"));
        fresh.kill();
        await(() -> socket.status(fresh).isPresent());
        assertEquals("+OK", client().submit("safe", "behind", NO_KEY, 300_000, 7));
        await(() -> calls("behind") == 1);
        // Nobody else is there for the clients: it must not end before the platform ends it.
        while (System.nanoTime() - told < KILL_MS * 1_000_000) {
            assertTrue(socket.status(old).isEmpty(), "it ended by itself with status " + socket.status(old));
            Thread.sleep(20);
        }
        old.kill();
        assertEquals(List.of(1L, 1L, 1L), List.of(calls("safe"), calls("unsafe"), calls("keyed")));
    }

    /** Killed before it asked for the folder: the old process has not changed. */
    @Test
    void replacementKilledBeforeItAsks() throws Exception {
        SenderProcess old = oldProcessWithCallsOut();
        Map<String, String> environment = new HashMap<>(world.environment());
        SenderProcess fresh = socket.begin(environment, folder.resolve("early"));
        processes.add(fresh);
        await(() -> fresh.logged("event=admin_server_listening"));
        fresh.kill();
        assertOldProcessServes(old);
    }

    /**
     * Replacements are killed at moments spread over their start, their transfer and their first moments as owner, under traffic. The
     * first process outlives them all; no message is lost, none that may not be repeated is called twice, and no key's order breaks.
     */
    @Test
    void replacementsKilledAtManyMomentsUnderTraffic() throws Exception {
        SenderProcess old = start();
        long begun = System.nanoTime();
        SenderProcess probe = start();
        long untilReady = (System.nanoTime() - begun) / 1_000_000;
        probe.kill();
        Traffic traffic = new Traffic();
        for (int round = 0; round < ROUNDS; round++) {
            SenderProcess fresh = begin();
            // From half of the usual start to as much behind it.
            Thread.sleep(untilReady * (50 + 100L * round / (ROUNDS - 1)) / 100);
            fresh.kill();
            long answered = traffic.accepted.size();
            await(() -> traffic.accepted.size() > answered);
            assertTrue(socket.status(old).isEmpty(), "round " + round + ": it ended with status " + socket.status(old));
        }
        traffic.stop();
        await(() -> traffic.accepted.stream()
                .allMatch(id ->
                        calls(id) > 0 || world.notices.stream().anyMatch(notice -> notice.contains("\"" + id + "\""))));
        List<String> twice = traffic.accepted.stream()
                .filter(id -> id.startsWith("unsafe") && calls(id) > 1)
                .toList();
        assertEquals(List.of(), twice);
        assertEquals(List.of(), traffic.outOfOrder());
        long takeovers = old.lines("event=ownership_reclaimed");
        assertTrue(takeovers > 1, "only " + takeovers + " replacements had taken over when they were killed");
        System.out.println(ROUNDS + " replacements killed, " + takeovers + " of them as owners, ready after "
                + untilReady + " ms: " + traffic.accepted.size() + " messages taken on, " + traffic.again
                + " submissions asked again, " + world.notices.size() + " notices");
    }

    /** Guards against a new process that stays with the discovery address of its start, though the old one was told of another. */
    @Test
    void takesAConfigurationThatTheOldProcessWasToldOfBeforeTheTransfer() throws Exception {
        SenderProcess old = start();
        SenderProcess fresh = begin();
        // It has read its configuration.
        await(() -> fresh.logged("event=admin_server_listening"));
        moveDiscovery(old);
        await(fresh::ready);
        world.discovery.close();
        assertNoticeAtNewAddress();
    }

    /** Guards against a configuration that is lost as the old process, which was told of it, owns nothing any more. */
    @Test
    void takesAConfigurationThatTheOldProcessWasToldOfBehindTheTransfer() throws Exception {
        SenderProcess old = start();
        SenderProcess fresh = start();
        moveDiscovery(old);
        old.signal("TERM");
        await(() -> socket.status(old).isPresent());
        await(() -> fresh.logged("event=discovery_address_set"));
        world.discovery.close();
        assertNoticeAtNewAddress();
    }

    private void moveDiscovery(SenderProcess told) throws Exception {
        world.moveDiscovery(5, "Ready");
        told.signal("HUP");
        await(() -> told.logged("event=configuration_applied") || told.logged("event=configuration_rejected"));
    }

    /** A message that cannot be delivered ends by a notice. */
    private void assertNoticeAtNewAddress() throws IOException {
        assertEquals("+OK", client().submit("unsafe", "undelivered", NO_KEY, 3_000, 8));
        await(() ->
                world.moved.requests.stream().anyMatch(request -> request.body().contains("undelivered")));
    }

    /** The limit on memory holds for both processes together: the new one has to start smaller, and grows when the old one is gone. */
    @Test
    void theNewOneTakesLessMemoryWhileTheOldOneRuns() throws Exception {
        world.openCap = 300;
        List<String> command = SenderProcess.command(SenderProcess.deployedOptions());
        SenderProcess old = beginBy(command);
        await(old::ready);
        world.receiver.answers = r -> null;
        SenderFixture.Client client = client();
        for (int i = 0; i < 200; i++) {
            client.submit("safe", "m" + i, NO_KEY, 300_000, 7);
        }
        long alone = old.proportionalKilobytes();
        SenderProcess fresh = beginBy(command);
        long[] peak = new long[1];
        await(() -> {
            peak[0] = Math.max(peak[0], old.proportionalKilobytes() + fresh.proportionalKilobytes());
            return fresh.ready();
        });
        System.out.println("memory in MB: " + alone / 1_024 + " alone, " + peak[0] / 1_024 + " both together at most");
        assertTrue(peak[0] < 1.9 * alone, peak[0] + " kB, alone " + alone);
        old.kill();
        await(() -> fresh.proportionalKilobytes() > 0.9 * alone);
    }

    private SenderProcess beginBy(List<String> command) throws Exception {
        SenderProcess process = socket.begin(world.environment(), folder.resolve("log" + processes.size()), command);
        processes.add(process);
        return process;
    }

    private static final int ROUNDS = 12;

    /** A client that hands in one message after another, of each effect in turn, and asks again on another connection. */
    private final class Traffic {
        final List<String> accepted = new CopyOnWriteArrayList<>();
        volatile int again;
        private volatile boolean ended;
        private final Thread thread = new Thread(this::run, "traffic");

        Traffic() {
            thread.start();
        }

        private void run() {
            List<String> effects = List.of("safe", "keyed", "unsafe");
            for (int i = 0; !ended; i++) {
                String effect = effects.get(i % effects.size());
                submit(effect, effect + i);
            }
        }

        /** Under a new id each time, as what became of the one before is not known. */
        private void submit(String effect, String name) {
            for (int attempt = 0; !ended; attempt++) {
                String id = name + "a" + attempt;
                try (SenderFixture.Client client = client()) {
                    if (client.submit(effect, id, effect.equals("keyed") ? KEY : NO_KEY, 20_000, 7)
                            .equals("+OK")) {
                        accepted.add(id);
                        return;
                    }
                } catch (IOException e) {
                    // The process that had read it is gone.
                }
                again++;
            }
        }

        void stop() throws InterruptedException {
            ended = true;
            thread.join();
        }

        /** First calls of the key that came ahead of the first call of one that was taken on before. */
        List<String> outOfOrder() {
            List<String> taken =
                    accepted.stream().filter(id -> id.startsWith("keyed")).toList();
            List<String> called = world.receiver.requests.stream()
                    .map(r -> r.body().replace("body of ", ""))
                    .filter(taken::contains)
                    .distinct()
                    .toList();
            List<String> expected = taken.stream().filter(called::contains).toList();
            return called.equals(expected) ? List.of() : called;
        }
    }
}
