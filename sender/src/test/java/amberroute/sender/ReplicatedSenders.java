package amberroute.sender;

import static amberroute.sender.SenderFixture.await;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/** Three senders that replicate their journals, in processes of their own with one configuration file. */
final class ReplicatedSenders implements Closeable {
    private static final int SENDERS = 3;
    /** Ports below the range that the system deals out: no listener on port 0 takes one before its process binds it. */
    private static final int FIRST_PORT = 12_000;

    private static final int PORTS = 18_000;
    private static final String NO_KEY = "0000000000000000";

    private final Path folder;
    private final List<SenderProcess> processes = new ArrayList<>();

    ReplicatedSenders(Path folder) {
        this.folder = folder;
    }

    private static List<Integer> freePorts() throws IOException {
        List<ServerSocket> probes = new ArrayList<>();
        while (probes.size() < SENDERS) {
            try {
                int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
                probes.add(new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
            } catch (IOException e) {
                // Another one.
            }
        }
        List<Integer> ports = probes.stream().map(ServerSocket::getLocalPort).toList();
        for (ServerSocket probe : probes) {
            probe.close();
        }
        return ports;
    }

    /** Writes the file that all senders read; {@code endpoints} is the line that names who lists the endpoints. */
    void configure(String endpoints, String notices) throws IOException {
        Files.writeString(
                folder.resolve("sender.toml"),
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
    }

    void configureDiscovery(SenderFixture.Http discovery) throws IOException {
        configure("discovery = \"" + discovery.address() + "\"", discovery.address());
    }

    /** Returns when all are ready. */
    void start() throws IOException {
        List<Integer> handoffPorts = freePorts();
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

    List<SenderProcess> processes() {
        return processes;
    }

    /** Submits so many messages of a class to the first sender, which takes them on once there are enough replicas. */
    void submit(String className, int messages, long timeLeftMillis) throws IOException {
        try (SenderFixture.Client client =
                new SenderFixture.Client(processes.get(0).port())) {
            for (int i = 0; i < messages; i++) {
                String id = SenderFixture.ID + i;
                String options = "c=" + className + ",d=" + timeLeftMillis + ",k=k" + i + ",dest=7";
                await(() -> client.tryAsk("SUBMIT", NO_KEY, id, options, "body of " + id)
                        .equals("+OK"));
            }
        }
    }

    /** Returns the sender that continues the journal of a lost one. */
    SenderProcess awaitFailover() {
        await(() -> processes.stream().anyMatch(ReplicatedSenders::continuesAnotherJournal));
        return processes.stream()
                .filter(ReplicatedSenders::continuesAnotherJournal)
                .findFirst()
                .orElseThrow();
    }

    private static boolean continuesAnotherJournal(SenderProcess process) {
        return process.logged("event=failover_started");
    }

    @Override
    public void close() {
        SenderProcess.closeAll(processes);
    }
}
