package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three senders that replicate, in processes of their own: a failover works by the configuration in force, not by that of the start. */
class FailoverReloadTest {
    private static final int MESSAGES = 8;
    /** Longer than the peers take to find a sender lost and to continue its journal. */
    private static final long TIME_LEFT_MS = 8_000;

    @TempDir
    Path folder;

    private SenderFixture world;
    private ReplicatedSenders senders;

    @BeforeEach
    void start() throws Exception {
        world = new SenderFixture(folder);
        // Messages end by notices.
        world.receiver.answers = request -> null;
        senders = new ReplicatedSenders(folder);
    }

    @AfterEach
    void end() throws IOException {
        senders.close();
        world.close();
    }

    private void moveDiscovery() throws Exception {
        world.moveDiscovery(5, "Ready");
        senders.configureDiscovery(world.moved);
        for (SenderProcess process : senders.processes()) {
            if (process.alive()) {
                process.signal("HUP");
                await(() -> process.logged("event=discovery_address_set"));
            }
        }
        world.discovery.close();
    }

    private void awaitNoticeOfEachMessage() {
        await(() -> IntStream.range(0, MESSAGES).allMatch(i -> world.moved.requests.stream()
                .anyMatch(request -> request.body().contains(SenderFixture.ID + i))));
    }

    /** Guards against a failover that uses the discovery address of the start of its process, where nobody is behind a reload. */
    @Test
    void noticesOfAFailoverGoToTheDiscoveryOfTheLastReload() throws Exception {
        senders.configureDiscovery(world.discovery);
        senders.start();
        moveDiscovery();
        senders.submit("safe", MESSAGES, TIME_LEFT_MS);
        senders.processes().get(0).kill();
        senders.awaitFailover();
        awaitNoticeOfEachMessage();
    }

    /** Guards against a failover that a reload of its process does not reach, which repeats its notices at the former address. */
    @Test
    void aRunningFailoverFollowsAReload() throws Exception {
        senders.configureDiscovery(world.discovery);
        senders.start();
        senders.submit("safe", MESSAGES, TIME_LEFT_MS);
        senders.processes().get(0).kill();
        SenderProcess successor = senders.awaitFailover();
        await(() -> successor.logged("event=messages_recovered messages=" + MESSAGES));
        moveDiscovery();
        awaitNoticeOfEachMessage();
    }

    /** Guards against a failover that begins with the endpoint list of the start of its process, and calls a receiver that has moved. */
    @Test
    void aFailoverCallsTheEndpointsThatItsProcessHasNow() throws Exception {
        Path list = folder.resolve("endpoints.json");
        Files.writeString(list, world.list(1, true, "Ready", "s-1"));
        senders.configure("endpoints = \"endpoints.json\"", world.discovery.address());
        senders.start();
        awaitListsLoaded(1);
        try (SenderFixture.Http other = new SenderFixture.Http(request -> null)) {
            String changed = world.list(2, true, "Ready", "s-2").replace(world.receiver.address(), other.address());
            Path aside = folder.resolve("endpoints.new");
            Files.writeString(aside, changed);
            Files.move(aside, list, StandardCopyOption.ATOMIC_MOVE);
            awaitListsLoaded(2);
            world.receiver.requests.clear();
            senders.submit("safe", MESSAGES, TIME_LEFT_MS);
            int callsBefore = other.requests.size();
            senders.processes().get(0).kill();
            senders.awaitFailover();
            await(() -> other.requests.size() > callsBefore);
        }
        assertEquals(List.of(), world.receiver.requests);
    }

    /** Each process reads the file once when it begins to serve, and again whenever it is replaced. */
    private void awaitListsLoaded(long times) {
        senders.processes()
                .forEach(process -> await(() -> {
                    try {
                        return process.lines("event=endpoint_file_loaded") == times;
                    } catch (IOException e) {
                        return false;
                    }
                }));
    }
}
