package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.FailingCalls.Call;
import amberroute.sender.FailingCalls.Errno;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Real processes whose system calls fail for a while. */
class SystemCallFaultTest {
    private static final String NO_KEY = "0000000000000000";
    /** Clients wait no longer for an answer. */
    private static final long CLIENT_TIMEOUT_MS = 400;
    /** What is owed may be so late. */
    private static final long SLACK_MS = 500;

    @TempDir
    Path folder;

    private SenderFixture world;
    private FailingCalls calls;
    private SenderProcess process;

    @BeforeEach
    void open() throws Exception {
        calls = new FailingCalls(folder);
        world = new SenderFixture(folder);
        // So long that no call is taken for silent meanwhile, however slow the machine.
        world.deadline = 400_000_000;
        world.slots = 3;
        process = SenderProcess.start(calls.with(world.environment()), folder.resolve("log"));
    }

    @AfterEach
    void close() throws IOException {
        if (process != null) {
            process.close();
            world.close();
        }
    }

    private static long since(long instant) {
        return (System.nanoTime() - instant) / 1_000_000;
    }

    private long callsFor(String id) {
        return world.receiver.requests.stream()
                .filter(r -> r.body().equals("body of " + id))
                .count();
    }

    private boolean noticed(String id) {
        return world.notices.stream().anyMatch(notice -> notice.contains("\"" + id + "\""));
    }

    /** Who connects meanwhile is served within a client's patience, and the loop does not spin on what it cannot accept. */
    @ParameterizedTest
    @EnumSource(names = {"ECONNABORTED", "EMFILE", "ENFILE", "ENOBUFS"})
    void acceptFailsForAMoment(Errno error) throws Exception {
        calls.fail(Call.ACCEPT, error, 3);
        long begun = System.nanoTime();
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            assertEquals("+OK", client.submit("safe", "one", NO_KEY));
        }
        long took = since(begun);
        assertTrue(calls.used(Call.ACCEPT));
        assertTrue(took < CLIENT_TIMEOUT_MS, "answered after " + took + " ms");
        await(() -> callsFor("one") == 1);
        // For good: what comes once the trouble is over finds an open door.
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            assertEquals("+PONG", client.ask("PING"));
        }
    }

    /**
     * While nothing can be written: what may be repeated is delivered, what may not ends in its time, nothing new is taken on. Once
     * the disk is back all goes on without a restart.
     */
    @ParameterizedTest
    @EnumSource(names = {"ENOSPC", "EIO"})
    void theDiskTakesNothingForAWhile(Errno error) throws Exception {
        SenderFixture.Client client = new SenderFixture.Client(process.port());
        assertEquals("+OK", client.submit("safe", "first", NO_KEY));
        await(() -> callsFor("first") == 1);
        world.receiver.requests.clear();
        world.receiver.answers = r -> null;
        // Each keeps a slot until the calls of the others may start, behind the trouble's begin.
        for (int i = 0; i < world.slots; i++) {
            assertEquals("+OK", client.submit("safe", "out" + i, NO_KEY, 20_000, 7));
        }
        await(() -> world.receiver.requests.size() == world.slots);
        long begun = System.nanoTime();
        assertEquals("+OK", client.submit("safe", "safe", NO_KEY, 20_000, 7));
        assertEquals("+OK", client.submit("unsafe", "unsafe", NO_KEY, 2_500, 8));
        calls.fail(Call.WRITE, error);
        world.receiver.answers = r -> SenderFixture.ok(200, "");
        world.receiver.requests.forEach(r -> answer(r));
        await(() -> callsFor("safe") == 1);
        String refused = client.submit("safe", "new", NO_KEY);
        assertTrue(refused.startsWith("-BUSY"), refused);
        await(() -> noticed("unsafe"));
        assertTrue(since(begun) < 2_500 + SLACK_MS, "ended after " + since(begun) + " ms");
        assertEquals(0, callsFor("unsafe"));
        calls.heal(Call.WRITE);
        await(() -> tryAgain(client));
        await(() -> callsFor("again") == 1);
        assertEquals(1, callsFor("safe"));
        assertFalse(noticed("safe"));
        process.kill();
        world.receiver.requests.clear();
        process = SenderProcess.start(calls.with(world.environment()), folder.resolve("log2"));
        // All that ended while nothing could be written is known to have ended.
        try (SenderFixture.Client next = new SenderFixture.Client(process.port())) {
            assertEquals("+OK", next.submit("safe", "last", NO_KEY));
        }
        await(() -> callsFor("last") == 1);
        assertEquals(List.of(0L, 0L, 0L), List.of(callsFor("safe"), callsFor("unsafe"), callsFor("out0")));
    }

    /** Nothing can be written as the process is started again: it waits for the disk rather than end. */
    @ParameterizedTest
    @EnumSource(names = {"ENOSPC", "EIO"})
    void theDiskTakesNothingAtAStart(Errno error) throws Exception {
        world.receiver.answers = r -> null;
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            assertEquals("+OK", client.submit("safe", "held", NO_KEY, 60_000, 7));
        }
        process.kill();
        calls.fail(Call.WRITE, error);
        world.receiver.answers = r -> SenderFixture.ok(200, "");
        process = SenderProcess.begin(calls.with(world.environment()), folder.resolve("log2"), 0);
        long begun = System.nanoTime();
        while (since(begun) < 3_000) {
            assertTrue(process.alive(), "it ended");
            Thread.sleep(20);
        }
        calls.heal(Call.WRITE);
        await(process::ready);
        await(() -> callsFor("held") > 0);
    }

    private static void answer(SenderFixture.Request request) {
        try {
            SenderFixture.write(request.socket(), SenderFixture.ok(200, ""));
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static boolean tryAgain(SenderFixture.Client client) {
        return client.tryAsk("SUBMIT", NO_KEY, "again", "c=safe,d=8000,k=,dest=7", "body of again")
                .equals("+OK");
    }

    /** A connect that fails here says nothing of the receiver: it is called as soon as that is over. */
    @ParameterizedTest
    @EnumSource(names = {"EADDRNOTAVAIL", "ENOBUFS", "ENETUNREACH"})
    void connectFailsForAMoment(Errno error) throws Exception {
        calls.fail(Call.CONNECT, error, 4);
        long begun = System.nanoTime();
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            assertEquals("+OK", client.submit("unsafe", "one", NO_KEY, 8_000, 7));
        }
        await(() -> callsFor("one") == 1);
        assertTrue(calls.used(Call.CONNECT));
        assertTrue(since(begun) < 4_000, "called after " + since(begun) + " ms");
    }

    /**
     * The connection of a call breaks while its answer is awaited, which Linux may tell by other errors than a reset: what may be
     * repeated is, what may not ends as perhaps run and is called once.
     */
    @ParameterizedTest
    @EnumSource(names = {"ETIMEDOUT", "EHOSTUNREACH"})
    void aBrokenConnectionShowsByAnotherError(Errno error) throws Exception {
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            assertEquals("+OK", client.submit("safe", "answered", NO_KEY));
            await(() -> callsFor("answered") == 1);
            breakAtTheNextAnswer(error);
            assertEquals("+OK", client.submit("safe", "repeated", NO_KEY));
            await(() -> callsFor("repeated") == 2);
            breakAtTheNextAnswer(error);
            assertEquals("+OK", client.submit("unsafe", "once", NO_KEY));
            await(() -> noticed("once"));
        }
        assertTrue(calls.used(Call.READ));
        assertEquals(1, callsFor("once"));
        assertEquals(2, callsFor("repeated"));
        assertFalse(noticed("repeated"));
    }

    private void breakAtTheNextAnswer(Errno error) {
        world.receiver.answers = request -> {
            world.receiver.answers = r -> SenderFixture.ok(200, "");
            try {
                calls.failReads(world.receiver.port(), error, 1);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
            return SenderFixture.ok(200, "");
        };
    }

    /** Whatever the size of the pieces, requests, calls, answers and notices are whole. */
    @ParameterizedTest
    @ValueSource(ints = {1, 7})
    void readsAndWritesAreShort(int mostBytes) throws Exception {
        calls.shorten(mostBytes);
        world.receiver.answers = r -> SenderFixture.ok(r.body().endsWith("failed") ? 500 : 200, "");
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            for (int i = 0; i < 5; i++) {
                assertEquals("+OK", client.submit("safe", "piece" + i, NO_KEY));
            }
            assertEquals("+PONG", client.ask("PING"));
            assertEquals("+OK", client.submit("unsafe", "failed", NO_KEY));
        }
        for (int i = 0; i < 5; i++) {
            String id = "piece" + i;
            await(() -> callsFor(id) == 1);
        }
        await(() -> noticed("failed"));
        assertEquals(1, callsFor("failed"));
        assertTrue(calls.shortened() > 100, calls.shortened() + " reads and writes were short");
    }
}
