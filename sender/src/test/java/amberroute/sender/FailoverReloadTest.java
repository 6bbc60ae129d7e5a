package amberroute.sender;

import static amberroute.sender.SenderFixture.await;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Three senders that replicate, in processes of their own: a failover works by the configuration in force, not by that of the start. */
class FailoverReloadTest {
    private static final String NO_KEY = "0000000000000000";
    private static final int SENDERS = 3;
    private static final int MESSAGES = 8;
    /** Longer than the peers take to find a sender lost and to continue its journal. */
    private static final long TIME_LEFT_MS = 8_000;

    @TempDir
    Path folder;

    private SenderFixture world;
    private final List<SenderProcess> processes = new ArrayList<>();
    private List<Integer> handoffPorts;

    @BeforeEach
    void start() throws Exception {
        world = new SenderFixture(folder);
        // Messages end by notices.
        world.receiver.answers = request -> null;
        handoffPorts = freePorts();
    }

    @AfterEach
    void end() throws IOException {
        SenderProcess.closeAll(processes);
        world.close();
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> probes = new ArrayList<>();
        for (int i = 0; i < SENDERS; i++) {
            probes.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        }
        List<Integer> ports = probes.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket probe : probes) {
            probe.close();
        }
        return ports;
    }

    /** Writes the file that all senders read; {@code endpoints} is the line that names who lists the endpoints. */
    private Path configure(String endpoints, String notices) throws IOException {
        Path file = folder.resolve("sender.toml");
        Files.writeString(
                file,
                """
                listen = "127.0.0.1:0"
                %s
                notices = "%s"
                survival.on = true
                [limits]
                slots = 4
                disk = "1MB"
                """
                                .formatted(endpoints, notices)
                        + SenderFixture.CLASSES);
        return file;
    }

    private void configureDiscovery(SenderFixture.Http discovery) throws IOException {
        configure("discovery = \"" + discovery.address() + "\"", discovery.address());
    }

    private void startSenders() throws IOException {
        String peers = IntStream.range(0, SENDERS)
                .mapToObj(i -> "s" + i + "=127.0.0.1:" + handoffPorts.get(i))
                .collect(Collectors.joining(","));
        for (int i = 0; i < SENDERS; i++) {
            Map<String, String> environment = new HashMap<>();
            environment.put("GW_CONFIG", folder.resolve("sender.toml").toString());
            environment.put("GW_NAME", "s" + i);
            environment.put("GW_STATE", folder.resolve("s" + i).toString());
            environment.put("GW_HANDOVER", "127.0.0.1:" + handoffPorts.get(i));
            environment.put("GW_PEERS", peers);
            processes.add(SenderProcess.begin(environment, folder.resolve("log" + i), 0));
        }
        processes.forEach(process -> await(process::ready));
    }

    private void moveDiscovery() throws Exception {
        world.moveDiscovery(5, "Ready");
        configureDiscovery(world.moved);
        for (SenderProcess process : processes) {
            if (process.alive()) {
                process.signal("HUP");
                await(() -> process.logged("event=discovery_address_set"));
            }
        }
        world.discovery.close();
    }

    private void submit(SenderProcess sender) throws IOException {
        try (SenderFixture.Client client = new SenderFixture.Client(sender.port())) {
            for (int i = 0; i < MESSAGES; i++) {
                String id = SenderFixture.ID + i;
                String options = "c=safe,d=" + TIME_LEFT_MS + ",dest=7";
                // Turned away while there are too few replicas.
                await(() -> client.tryAsk("SUBMIT", NO_KEY, id, options, "body of " + id)
                        .equals("+OK"));
            }
        }
    }

    private SenderProcess awaitFailover() {
        await(() -> processes.stream().anyMatch(FailoverReloadTest::continuesAnotherJournal));
        return processes.stream()
                .filter(FailoverReloadTest::continuesAnotherJournal)
                .findFirst()
                .orElseThrow();
    }

    private static boolean continuesAnotherJournal(SenderProcess process) {
        return process.logged("event=failover_started");
    }

    private void awaitNoticeOfEachMessage() {
        await(() -> IntStream.range(0, MESSAGES).allMatch(i -> world.moved.requests.stream()
                .anyMatch(request -> request.body().contains(SenderFixture.ID + i))));
    }

    /** Guards against a failover that uses the discovery address of the start of its process, where nobody is behind a reload. */
    @Test
    void noticesOfAFailoverGoToTheDiscoveryOfTheLastReload() throws Exception {
        configureDiscovery(world.discovery);
        startSenders();
        moveDiscovery();
        submit(processes.get(0));
        processes.get(0).kill();
        awaitFailover();
        awaitNoticeOfEachMessage();
    }

    /** Guards against a failover that a reload of its process does not reach, which repeats its notices at the former address. */
    @Test
    void aRunningFailoverFollowsAReload() throws Exception {
        configureDiscovery(world.discovery);
        startSenders();
        submit(processes.get(0));
        processes.get(0).kill();
        SenderProcess successor = awaitFailover();
        await(() -> successor.logged("event=messages_recovered messages=" + MESSAGES));
        moveDiscovery();
        awaitNoticeOfEachMessage();
    }

    /** Guards against a failover that begins with the endpoint list of the start of its process, and calls a receiver that has moved. */
    @Test
    void aFailoverCallsTheEndpointsThatItsProcessHasNow() throws Exception {
        Path list = folder.resolve("endpoints.json");
        Files.writeString(list, world.list(1, true, "Ready", "s-1"));
        configure("endpoints = \"endpoints.json\"", world.discovery.address());
        startSenders();
        awaitListsLoaded(1);
        try (SenderFixture.Http other = new SenderFixture.Http(request -> null)) {
            String changed = world.list(2, true, "Ready", "s-2").replace(world.receiver.address(), other.address());
            Path aside = folder.resolve("endpoints.new");
            Files.writeString(aside, changed);
            Files.move(aside, list, java.nio.file.StandardCopyOption.ATOMIC_MOVE);
            awaitListsLoaded(2);
            world.receiver.requests.clear();
            submit(processes.get(0));
            int callsBefore = other.requests.size();
            processes.get(0).kill();
            awaitFailover();
            await(() -> other.requests.size() > callsBefore);
        }
        assertEquals(List.of(), world.receiver.requests);
    }

    /** Each process reads the file once when it begins to serve, and again whenever it is replaced. */
    private void awaitListsLoaded(long times) {
        processes.forEach(process -> await(() -> {
            try {
                return process.lines("event=endpoint_file_loaded") == times;
            } catch (IOException e) {
                return false;
            }
        }));
    }
}
