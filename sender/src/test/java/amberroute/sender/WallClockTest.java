package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The wall clock of a machine is stepped, while a process runs and between a kill and the next start. */
class WallClockTest {
    private static final String NO_KEY = "0000000000000000";
    private static final String KEY = "7f3a9c21e0b4d655";
    private static final long HOUR = 3_600;
    /** How long messages may be delivered. */
    private static final long TIME_MS = 5_000;
    /** In {@link World#lanes}. */
    private static final long KEY_LIFE_MS = 5_000;

    @TempDir
    Path folder;

    private SenderFixture world;
    private SteppedClock clock;
    private final List<SenderProcess> processes = new ArrayList<>();

    @BeforeEach
    void open() throws Exception {
        clock = new SteppedClock(folder);
        world = new SenderFixture(folder);
        world.receiver.answers = r -> null;
    }

    @AfterEach
    void close() throws Exception {
        SenderProcess.closeAll(processes);
        if (world != null) {
            world.close();
        }
    }

    private SenderProcess start() throws Exception {
        SenderProcess process =
                SenderProcess.start(clock.with(world.environment()), folder.resolve("log" + processes.size()));
        processes.add(process);
        return process;
    }

    private long calls(String id) {
        return world.receiver.requests.stream()
                .filter(r -> r.body().equals("body of " + id))
                .count();
    }

    private boolean noticed(String id) {
        return world.notices.stream().anyMatch(notice -> notice.contains("\"" + id + "\""));
    }

    private static long since(long instant) {
        return (System.nanoTime() - instant) / 1_000_000;
    }

    @ParameterizedTest
    @ValueSource(longs = {HOUR, -HOUR})
    void aMessageEndsInItsTimeWhateverTheWallClockSays(long step) throws Exception {
        SenderProcess first = start();
        long begun = System.nanoTime();
        try (SenderFixture.Client client = new SenderFixture.Client(first.port())) {
            assertEquals("+OK", client.submit("safe", "held", NO_KEY, TIME_MS, 7));
        }
        clock.step(step);
        Thread.sleep(TIME_MS / 5);
        assertTrue(!noticed("held"), "it ended " + since(begun) + " ms behind its acceptance");
        first.kill();
        clock.step(-step);
        start();
        await(() -> noticed("held"));
        long ended = since(begun);
        assertTrue(
                ended > TIME_MS * 7 / 10 && ended < TIME_MS + 500, "it ended " + ended + " ms behind its acceptance");
    }

    @Test
    void aKeysLifeIsNotLongerForAClockThatWasSetBack() throws Exception {
        SenderProcess first = start();
        try (SenderFixture.Client client = new SenderFixture.Client(first.port())) {
            assertEquals("+OK", client.submit("keyed", "k", KEY, 4 * KEY_LIFE_MS, 7));
        }
        await(() -> calls("k") == 1);
        first.kill();
        Thread.sleep(KEY_LIFE_MS);
        clock.step(-HOUR);
        start();
        await(() -> noticed("k"));
        assertEquals(1, calls("k"));
    }
}
