package amberroute.cli;

import amberroute.testkit.RespRequest;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "held-load",
        mixinStandardHelpOptions = true,
        description = {
            "One daemon that holds so many messages for a partner that is away passes others on to one that is well, as fast as clients",
            "that keep 32 under way hand them in: messages a second, CPU time for each, and the longest turn. Exit code 0 where every message",
            "that was taken on for the partner that is well was delivered, and what was held is still held."
        })
final class PendingLoadExperiment implements Callable<Integer> {
    private static final long DRAIN_MS = 20_000;

    @Option(
            names = "--held",
            split = ",",
            defaultValue = "100,10000,50000",
            description = "how many, one run each (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(
            names = "--messages",
            defaultValue = "30000",
            description = "how many pass by what is held (${DEFAULT-VALUE})")
    private int messages;

    @Option(names = "--seed", defaultValue = "1", description = "for the stand-ins (${DEFAULT-VALUE})")
    private long seed;

    private long longestTurn;

    @Override
    public Integer call() throws Exception {
        return ExperimentSeries.runAll(sizes, seed, this::run);
    }

    private JsonObject run(int held) throws Exception {
        Path folder = Files.createTempDirectory("amberroute-held-");
        ExperimentDaemon daemon = null;
        try (TestEnvironment stage = new TestEnvironment(seed)) {
            stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "single");
            stage.destination(2, 4, StubUpstream.Parameters.unlimited().sized(64, 256, 1_000), "single");
            stage.setMode(1, StubUpstream.Mode.DEAD);
            Path file = stage.senderFile(folder, 1);
            String text = Files.readString(file)
                    .replace("open_messages = 1000", "open_messages = " + (2 * held + 4_000))
                    .replace("disk = \"16MB\"", "disk = \"" + Math.max(64, held / 100) + "MB\"")
                    .replace("deadline = \"6s\"", "deadline = \"10m\"")
                    .replace("aim = \"1500ms\"", "aim = \"100ms\"")
                    .replace("descriptors = 512", "descriptors = 1024");
            Files.writeString(file, text.replace("[limits]", "[limits]\nmax_attempts = 100"));
            int port = TestEnvironment.freePorts(1, seed);
            daemon = new ExperimentDaemon(folder, file, "sender", port, Math.max(200, held / 50), Map.of());
            daemon.awaitReady();
            // The partner that is well is known, so that it is not taken to need its aim.
            submit(port, 200, 2, "w");
            awaitPending(daemon, 0);
            int taken = submit(port, held, 1, "h");
            submit(port, messages / 4, 2, "v");
            awaitPending(daemon, taken);
            long cpu = daemon.cpuMillis();
            longestTurn = 0;
            daemon.status();
            long from = System.nanoTime();
            int passed = submit(port, messages, 2, "p");
            int left = awaitPending(daemon, taken);
            double seconds = (System.nanoTime() - from) / 1e9;
            JsonObject out = new JsonObject();
            out.addProperty("held", taken);
            out.addProperty("passed", passed);
            out.addProperty("a_second", Math.round(passed / seconds));
            out.addProperty("cpu_us_each", Math.round((daemon.cpuMillis() - cpu) * 1e3 / Math.max(1, passed)));
            out.addProperty("longest_turn_ms", longestTurn / 1e3);
            out.addProperty("ok", taken > held / 2 && passed > messages / 2 && left == taken);
            return out;
        } finally {
            if (daemon != null) {
                daemon.process.destroyForcibly().waitFor();
            }
            LocalFleet.delete(folder);
        }
    }

    /** What is held once it is no more than so many, or some time has passed. */
    private int awaitPending(ExperimentDaemon daemon, int held) throws Exception {
        long end = System.nanoTime() + DRAIN_MS * 1_000_000;
        while (true) {
            JsonObject status = daemon.status();
            // Whoever asks begins it anew.
            longestTurn = Math.max(longestTurn, status.get("longest_turn_us").getAsLong());
            int now = status.get("held").getAsInt();
            if (now <= held || System.nanoTime() > end) {
                return now;
            }
            Thread.sleep(2);
        }
    }

    /** Hands in so many, some at a time on one connection; returns how many were taken on. */
    private static int submit(int port, int size, int destination, String name) throws IOException {
        return PipelinedClient.submit(
                port,
                size,
                i -> RespRequest.of(
                        "SUBMIT",
                        PipelinedClient.NO_KEY,
                        name + i,
                        "c=quote-status,d=600000,dest=" + destination,
                        PipelinedClient.BODY));
    }
}
