package amberroute.cli;

import amberroute.fleet.FleetClient;
import amberroute.testkit.RespRequest;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "hand-over",
        mixinStandardHelpOptions = true,
        description = {
            "One daemon that holds so many messages for a partner that is away gives them to another and ends: how long that takes,",
            "how many bytes it is, and how long the heir's loop was held up at most. Exit code 0 where all moved and none is owed twice."
        })
final class HandoffExperiment implements Callable<Integer> {
    private static final Pattern HANDOFF_LINE =
            Pattern.compile("handoff=\"([0-9]+) messages were handed over in ([0-9]+) lots, ([0-9]+) bytes");

    @Option(
            names = "--messages",
            split = ",",
            defaultValue = "10,1000,50000",
            description = "how many, one run each (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(
            names = "--keyed",
            defaultValue = "0.3",
            description = "share of them with an ordered key, four to a key (${DEFAULT-VALUE})")
    private double keyed;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--within",
            defaultValue = "120",
            description = "seconds that the leaver may take (${DEFAULT-VALUE})")
    private int within;

    private Path folder;

    @Override
    public Integer call() throws Exception {
        return ExperimentSeries.runAll(sizes, seed, this::run);
    }

    private JsonObject run(int size) throws Exception {
        folder = Files.createTempDirectory("amberroute-handover-");
        List<ExperimentDaemon> daemons = new ArrayList<>();
        try (TestEnvironment stage = new TestEnvironment(seed)) {
            stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "single");
            // Refused at once and for long: nothing is out, all waits.
            stage.setMode(1, StubUpstream.Mode.DEAD);
            Path file = stage.senderFile(folder, 2);
            String text = Files.readString(file)
                    .replace("open_messages = 1000", "open_messages = " + Math.min(200_000, 2 * size + 100))
                    .replace("disk = \"16MB\"", "disk = \"" + Math.max(16, size / 100) + "MB\"")
                    .replace("deadline = \"6s\"", "deadline = \"10m\"")
                    // What nobody has answered yet is taken to need its aim: with a longer one most would be refused.
                    .replace("aim = \"1500ms\"", "aim = \"100ms\"")
                    .replace("descriptors = 512", "descriptors = 1024");
            // The trials of a partner that is away shall end none of them.
            Files.writeString(file, text.replace("[limits]", "[limits]\nmax_attempts = 100"));
            int port = TestEnvironment.freePorts(4, seed);
            int heap = size > 10_000 ? 1_000 : 100;
            String peers = "leaver=127.0.0.1:" + (port + 2) + ",heir=127.0.0.1:" + (port + 3);
            ExperimentDaemon leaver =
                    new ExperimentDaemon(folder, file, "leaver", port, heap, handOver(port + 2, peers));
            daemons.add(leaver);
            ExperimentDaemon heir =
                    new ExperimentDaemon(folder, file, "heir", port + 1, heap, handOver(port + 3, peers));
            daemons.add(heir);
            leaver.awaitReady();
            heir.awaitReady();
            int taken = submitMessages(port, size);
            int held = leaver.status().get("held").getAsInt();
            long longestIdle = longestTurn(heir);
            JsonObject stop = FleetClient.request("stop");
            stop.addProperty("mode", "final");
            stop.addProperty("within_ms", within * 1_000L);
            long begun = System.nanoTime();
            FleetClient.ask(leaver.state.resolve("control"), stop);
            boolean ended = leaver.process.waitFor(within + 10L, TimeUnit.SECONDS);
            long took = (System.nanoTime() - begun) / 1_000;
            JsonObject status = heir.status();
            Matcher moved = HANDOFF_LINE.matcher(Files.readString(leaver.log));
            boolean told = moved.find();
            JsonObject out = new JsonObject();
            out.addProperty("messages", size);
            out.addProperty("taken", taken);
            out.addProperty("moved", told ? Long.parseLong(moved.group(1)) : 0);
            out.addProperty("lots", told ? Long.parseLong(moved.group(2)) : 0);
            out.addProperty(
                    "bytes_each",
                    told
                            ? Math.round(Long.parseLong(moved.group(3)) / Math.max(1.0, Long.parseLong(moved.group(1))))
                            : 0);
            out.addProperty("took_ms", took / 1_000.0);
            out.addProperty(
                    "heir_longest_turn_ms", status.get("longest_turn_us").getAsLong() / 1e3);
            out.addProperty("heir_longest_turn_before_ms", longestIdle / 1e3);
            out.addProperty("heir_holds", status.get("held").getAsInt());
            out.addProperty(
                    "ok",
                    ended
                            && told
                            && taken > 0
                            && leaver.process.exitValue() == 0
                            && Long.parseLong(moved.group(1)) == held
                            && status.get("held").getAsInt() == held);
            return out;
        } finally {
            for (ExperimentDaemon d : daemons) {
                d.process.destroyForcibly().waitFor();
            }
            LocalFleet.delete(folder);
        }
    }

    private static Map<String, String> handOver(int port, String peers) {
        return Map.of("GW_HANDOVER", "127.0.0.1:" + port, "GW_PEERS", peers);
    }

    private static long longestTurn(ExperimentDaemon daemon) throws IOException {
        return daemon.status().get("longest_turn_us").getAsLong();
    }

    /** Hands in so many, some at a time on one connection; returns how many were taken on. */
    private int submitMessages(int port, int size) throws IOException {
        Random random = new Random(seed);
        return PipelinedClient.submit(port, size, i -> {
            boolean order = random.nextDouble() < keyed;
            String key = order ? String.format("%016x", 1 + i / 4) : PipelinedClient.NO_KEY;
            return RespRequest.of(
                    "SUBMIT",
                    key,
                    "m" + i,
                    (order ? "c=policy-order,k=k" + i : "c=quote-status") + ",d=600000,dest=1",
                    PipelinedClient.BODY);
        });
    }
}
