package amberroute.cli;

import amberroute.fleet.FleetDefinition;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "start",
        mixinStandardHelpOptions = true,
        description = {
            "From fleet up to all ready, with the class archive and without it in turn, and what a daemon holds at rest.",
            "Exit code 0 where every fleet came up, 3 where not."
        })
final class StartupExperiment implements Callable<Integer> {
    private static final long READY_MS = 120_000;

    @Option(names = "--daemons", split = ",", defaultValue = "1,5,20", description = "fleet sizes (${DEFAULT-VALUE})")
    private List<Integer> sizes;

    @Option(names = "--rounds", defaultValue = "5", description = "starts of each size and kind (${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--at-once", defaultValue = "8", description = "daemons that may be starting (${DEFAULT-VALUE})")
    private int atOnce;

    @Override
    public Integer call() throws Exception {
        JsonObject result = new JsonObject();
        boolean ok = true;
        for (int size : sizes) {
            List<Long> with = new ArrayList<>();
            List<Long> without = new ArrayList<>();
            JsonObject rest = new JsonObject();
            for (int round = 0; round < rounds; round++) {
                with.add(start(size, true, rest));
                without.add(start(size, false, new JsonObject()));
            }
            ok &= Collections.min(with) >= 0 && Collections.min(without) >= 0;
            JsonObject one = new JsonObject();
            one.addProperty("ready_ms", median(with));
            one.addProperty("ready_ms_without_archive", median(without));
            one.addProperty("ratio", Math.round(1_000.0 * median(with) / Math.max(1, median(without))) / 1e3);
            one.add("at_rest", rest);
            result.add("daemons_" + size, one);
            System.out.println(size + " daemons: with " + with + ", without " + without + " ms, at rest " + rest);
        }
        result.addProperty("rounds", rounds);
        result.addProperty("seed", 0);
        result.addProperty("ok", ok);
        System.out.println(result);
        return ok ? 0 : Main.BAD;
    }

    private static long median(List<Long> values) {
        return values.stream().sorted().toList().get(values.size() / 2);
    }

    /** Milliseconds until all are ready, -1 where they are not in time. */
    private long start(int size, boolean archive, JsonObject rest) throws Exception {
        Path folder = Files.createTempDirectory("amberroute-start-");
        try (TestEnvironment stage = new TestEnvironment(0)) {
            stage.destination(1, 1, StubUpstream.Parameters.unlimited(), "single");
            stage.senderFile(folder, size);
            Path file = stage.fleetFile(
                    folder,
                    size,
                    TestEnvironment.freePorts(size, System.nanoTime()),
                    InstallationDirectory.daemonJar(),
                    "archive = " + archive + "\n[start]\nat_once = " + atOnce + "\n");
            try (LocalFleet fleet = new LocalFleet(FleetDefinition.read(file, InstallationDirectory.daemonJar()))) {
                long from = System.nanoTime();
                fleet.start();
                while (System.nanoTime() - from < READY_MS * 1_000_000) {
                    JsonObject status = fleet.ask("status");
                    if (status.get("ready").getAsBoolean()) {
                        long took = (System.nanoTime() - from) / 1_000_000;
                        atRest(status.getAsJsonArray("daemons"), rest);
                        return took;
                    }
                    Thread.sleep(5);
                }
                System.out.println(fleet.log());
                return -1;
            }
        } finally {
            LocalFleet.delete(folder);
        }
    }

    /** The largest of all daemons, as the kernel tells it; nothing where it does not. */
    private static void atRest(JsonArray daemons, JsonObject rest) throws IOException, InterruptedException {
        Thread.sleep(1_000);
        for (JsonElement d : daemons) {
            Path process = Path.of("/proc", d.getAsJsonObject().get("pid").getAsString());
            if (!Files.isDirectory(process)) {
                continue;
            }
            for (String line : Files.readAllLines(process.resolve("status"))) {
                String[] words = line.split("\\s+");
                if (words[0].equals("VmRSS:") || words[0].equals("RssAnon:")) {
                    most(rest, words[0].equals("VmRSS:") ? "resident_kb" : "anonymous_kb", Long.parseLong(words[1]));
                }
            }
            try (Stream<Path> open = Files.list(process.resolve("fd"))) {
                most(rest, "descriptors", open.count());
            }
        }
    }

    private static void most(JsonObject rest, String name, long value) {
        rest.addProperty(name, Math.max(value, rest.has(name) ? rest.get(name).getAsLong() : 0));
    }
}
