package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.client.QueueingDelay;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A real process that is stopped most of the time, in short steps, as one that gets a tenth of its core. */
class CpuStarvationTest {
    private static final String NO_KEY = "0000000000000000";
    private static final int MESSAGES = 60;
    private static final long TIME_MS = 2_500;
    /** A final answer may be so late, and the platform here needs a moment to note it. */
    private static final long SLACK_MS = 500;

    @TempDir
    Path folder;

    private SenderFixture world;
    private SenderProcess process;
    private final Map<String, Long> noticedAt = new ConcurrentHashMap<>();

    @BeforeEach
    void open() throws Exception {
        world = new SenderFixture(folder);
        world.slots = 8;
        world.noticeAnswers = request -> {
            request.body().lines().forEach(line -> noticedAt.putIfAbsent(line.split("\"")[3], System.nanoTime()));
            return SenderFixture.ok(204, "");
        };
        process = SenderProcess.start(world.environment(), folder.resolve("log"));
    }

    @AfterEach
    void close() throws IOException {
        process.close();
        world.close();
    }

    @Test
    void nothingEndsLateWithATenthOfACore() throws Exception {
        try (SenderFixture.Client client = new SenderFixture.Client(process.port())) {
            // Its code is loaded by then.
            for (int i = 0; i < 50; i++) {
                client.submit("safe", "warm" + i, NO_KEY);
            }
            await(() -> world.receiver.requests.size() == 50);
        }
        world.receiver.answers = r -> null;
        Map<String, Long> taken = new ConcurrentHashMap<>();
        CpuThrottle throttle = new CpuThrottle(process.pid());
        List<SenderFixture.Client> clients = new ArrayList<>();
        try {
            for (int i = 0; i < MESSAGES; i++) {
                SenderFixture.Client client =
                        new SenderFixture.Client(process.port()).patience(QueueingDelay.CLIENT_TIMEOUT_MS);
                clients.add(client);
                long handedIn = System.nanoTime();
                if (isTaken(client, "m" + i)) {
                    taken.put("m" + i, handedIn);
                }
            }
            await(() -> noticedAt.keySet().containsAll(taken.keySet()));
        } finally {
            throttle.close();
            for (SenderFixture.Client client : clients) {
                client.close();
            }
        }
        long worst = taken.entrySet().stream()
                .mapToLong(m -> (noticedAt.get(m.getKey()) - m.getValue()) / 1_000_000)
                .max()
                .orElse(0);
        System.out.println("with a tenth of a core " + taken.size() + " of " + MESSAGES + " messages of " + TIME_MS
                + " ms were taken on, the latest end came after " + worst + " ms; " + throttle);
        assertTrue(taken.size() > 0);
        assertTrue(worst <= TIME_MS + SLACK_MS, "the latest end came after " + worst + " ms; " + throttle);
        assertEquals(
                List.of(),
                taken.keySet().stream().filter(id -> !noticedAt.containsKey(id)).toList());
    }

    /** As the protocol has it: a client waits so long for this answer, then it closes and what it handed in counts for nothing. */
    private static boolean isTaken(SenderFixture.Client client, String id) throws IOException {
        try {
            return client.submit("safe", id, NO_KEY, TIME_MS, 7).equals("+OK");
        } catch (SocketTimeoutException gaveUp) {
            client.close();
            return false;
        }
    }
}
