package amberroute.sender;

import static amberroute.sender.World.await;
import static amberroute.sender.World.ok;
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
    private World world;
    private SharedSocket socket;
    private final List<SenderProcess> processes = new ArrayList<>();
    private final Map<String, Socket> unanswered = new ConcurrentHashMap<>();

    @BeforeEach
    void open() throws Exception {
        world = new World(folder);
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

    private World.Client client() throws IOException {
        return new World.Client(socket.port());
    }

    private long calls(String id) {
        return world.receiver.requests.stream().filter(r -> r.body().equals("body of " + id)).count();
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
            World.write(call, ok(200, ""));
        }
    }

    /** One message of each effect out, one more behind the keyed one, all with the old process. */
    private SenderProcess oldProcessWithCallsOut() throws Exception {
        SenderProcess old = start();
        World.Client client = client();
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
        assertTrue(next.logged("took over from a running process"));
        assertEquals("+OK", client().submit("safe", "last", NO_KEY, 300_000, 7));
        await(() -> calls("last") == 1);
        old.signal("TERM");
        await(() -> socket.status(old).isPresent());
        assertTrue(next.alive());
    }

    @Test
    void replacementKilledAsItTakesOver() throws Exception {
        SenderProcess old = oldProcessWithCallsOut();
        killReplacementWhen(old, begin(), () -> old.logged("gave way"));
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
        await(() -> old.logged("ends soon"));
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
        await(() -> fresh.logged("operators ask"));
        fresh.kill();
        assertOldProcessServes(old);
    }
}
