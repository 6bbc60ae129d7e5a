package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three senders that replicate, in processes of their own: a message never has two attempts in flight, whoever owns it. */
class FailoverAttemptTest {
    private static final int MESSAGES = 3;
    private static final long TIME_LEFT_MS = 16_000;
    /** Longer than a failover takes, shorter than an attempt may take with that time left. */
    private static final long RESPONSE_MS = 3_400;

    @TempDir
    Path folder;

    private SenderFixture world;
    private ReplicatedSenders senders;
    /** Ids of messages with a call that is neither answered nor closed by its sender. */
    private final Set<String> inFlight = ConcurrentHashMap.newKeySet();

    private final Map<String, Integer> calls = new ConcurrentHashMap<>();
    private final List<String> secondAttempts = new CopyOnWriteArrayList<>();

    @BeforeEach
    void start() throws Exception {
        world = new SenderFixture(folder);
        world.receiver.answers = this::respondLate;
        senders = new ReplicatedSenders(folder);
    }

    @AfterEach
    void end() throws IOException {
        senders.close();
        world.close();
    }

    private String respondLate(SenderFixture.Request request) {
        String id = request.header("X-Request-ID");
        if (!inFlight.add(id)) {
            secondAttempts.add(id);
        }
        boolean first = calls.merge(id, 1, Integer::sum) == 1;
        boolean closed = first && closesWithin(request.socket(), RESPONSE_MS);
        inFlight.remove(id);
        return closed ? null : SenderFixture.ok(200, "");
    }

    private static boolean closesWithin(Socket socket, long millis) {
        try {
            socket.setSoTimeout((int) millis);
            // A sender writes nothing more before it has the response.
            return socket.getInputStream().read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        } finally {
            clearTimeout(socket);
        }
    }

    private static void clearTimeout(Socket socket) {
        try {
            socket.setSoTimeout(0);
        } catch (IOException e) {
            // It is closed.
        }
    }

    /** Guards against a second attempt by the successor of a sender that is frozen, while the call of that one is still in flight. */
    @Test
    void successorRepeatsNoAttemptThatMayBeInFlight() throws Exception {
        senders.configureDiscovery(world.discovery);
        senders.start();
        senders.submit("safe", MESSAGES, TIME_LEFT_MS);
        await(() -> calls.size() == MESSAGES);
        SenderProcess owner = senders.processes().get(0);
        owner.signal("STOP");
        senders.awaitFailover();
        await(() -> calls.values().stream().allMatch(count -> count == 2));
        assertEquals(List.of(), secondAttempts);
        owner.signal("CONT");
        await(() -> !owner.alive());
        assertTrue(owner.logged("event=journal_superseded"));
    }
}
