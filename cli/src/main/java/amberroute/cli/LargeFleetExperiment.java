package amberroute.cli;

import amberroute.fleet.FleetDefinition;
import amberroute.fleet.SupervisionPolicy;
import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** What one daemon needs among many others and with many endpoints, beside what it needs among few. */
@Command(
        name = "wide",
        mixinStandardHelpOptions = true,
        description = {
            "Runs a small fleet, then a wide one with many endpoints, each under load and a restart of all daemons one after another, and",
            "measures the memory, threads and descriptors of the daemon that had most of each. Fails unless all books close, no daemon has more",
            "threads in the wide fleet, and its memory grows by less than --growth."
        })
final class LargeFleetExperiment implements Callable<Integer> {
    private static final long READY_MS = 180_000;
    private static final long RESTART_MS = 600_000;

    @Option(names = "--daemons", defaultValue = "120", description = "of the wide fleet (${DEFAULT-VALUE})")
    private int daemons;

    @Option(names = "--destinations", defaultValue = "200", description = "of the wide fleet (${DEFAULT-VALUE})")
    private int destinations;

    @Option(names = "--endpoints", defaultValue = "3", description = "for each destination (${DEFAULT-VALUE})")
    private int endpoints;

    @Option(
            names = "--small",
            defaultValue = "3",
            description = "daemons of the small fleet, and half its destinations (${DEFAULT-VALUE})")
    private int small;

    @Option(names = "--rate", defaultValue = "4", description = "messages a second for each daemon (${DEFAULT-VALUE})")
    private double rate;

    @Option(names = "--seconds", defaultValue = "15", description = "of load before the restarts (${DEFAULT-VALUE})")
    private int seconds;

    @Option(names = "--growth", defaultValue = "1.25", description = "of memory, at most (${DEFAULT-VALUE})")
    private double growth;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    /** The most that any daemon had, and what became of the messages. */
    private record Measurement(
            int daemons,
            int endpoints,
            double megabytes,
            long threads,
            long descriptors,
            long accepted,
            long delivered,
            boolean historyConsistent) {}

    @Override
    public Integer call() throws Exception {
        Measurement few = run(small, Math.max(1, 2 * small), 2);
        Measurement many = run(daemons, destinations, endpoints);
        boolean ok = few.historyConsistent()
                && many.historyConsistent()
                && many.threads() <= few.threads()
                && many.megabytes() < growth * few.megabytes();
        JsonObject out = new JsonObject();
        out.addProperty("ok", ok);
        out.addProperty("seed", seed);
        out.add("few", json(few));
        out.add("many", json(many));
        System.out.println(out);
        return ok ? 0 : Main.BAD;
    }

    private static JsonObject json(Measurement seen) {
        JsonObject out = new JsonObject();
        out.addProperty("daemons", seen.daemons());
        out.addProperty("endpoints", seen.endpoints());
        out.addProperty("megabytes", Math.round(seen.megabytes() * 10) / 10.0);
        out.addProperty("threads", seen.threads());
        out.addProperty("descriptors", seen.descriptors());
        out.addProperty("taken", seen.accepted());
        out.addProperty("delivered", seen.delivered());
        out.addProperty("books_close", seen.historyConsistent());
        return out;
    }

    private Measurement run(int count, int partners, int each) throws Exception {
        Path folder = Files.createTempDirectory("amberroute-wide-");
        TestEnvironment stage = new TestEnvironment(seed);
        for (int i = 1; i <= partners; i++) {
            stage.destination(i, each, StubUpstream.Parameters.unlimited(), "single");
        }
        int port = TestEnvironment.freePorts(count, seed);
        stage.senderFile(folder, count);
        Path file = stage.fleetFile(
                folder,
                count,
                port,
                InstallationDirectory.daemonJar(),
                "start.at_once = 8\nrolling.at_once = " + Math.max(1, count / 10) + "\n");
        LoadClients clients = stage.clients(TestEnvironment.addresses(port, count), TestEnvironment.messageKinds());
        LocalFleet fleet = new LocalFleet(FleetDefinition.read(file, InstallationDirectory.daemonJar()));
        try (stage;
                fleet) {
            fleet.start();
            fleet.awaitReady(READY_MS);
            stage.runOnLoop(() -> clients.run(new LoadClients.Load(rate * count, 0.1, 4, 20 * count, 4)));
            Thread.sleep(seconds * 1_000L);
            fleet.ask("restart");
            fleet.await(RESTART_MS, status -> status.get("ready").getAsBoolean() && restarted(status));
            double megabytes = 0;
            long threads = 0;
            long descriptors = 0;
            for (JsonElement one : fleet.ask("status").getAsJsonArray("daemons")) {
                long pid = one.getAsJsonObject().get("pid").getAsLong();
                megabytes = Math.max(megabytes, number(pid, "VmHWM:") / 1_024.0);
                threads = Math.max(threads, number(pid, "Threads:"));
                try (Stream<Path> open = Files.list(Path.of("/proc/" + pid + "/fd"))) {
                    descriptors = Math.max(descriptors, open.count());
                }
            }
            stage.awaitCompletion(() -> {});
            fleet.stop(SupervisionPolicy.Mode.FINAL);
            DeliveryHistory.Totals t = stage.totals();
            Measurement seen = new Measurement(
                    count,
                    partners * each,
                    megabytes,
                    threads,
                    descriptors,
                    t.accepted(),
                    t.delivered(),
                    t.ok() && t.accepted() > 0);
            System.out.println(seen + " " + t);
            return seen;
        } finally {
            LocalFleet.delete(folder);
        }
    }

    private static boolean restarted(JsonObject status) {
        for (JsonElement one : status.getAsJsonArray("daemons")) {
            if (one.getAsJsonObject().get("starts").getAsInt() < 2) {
                return false;
            }
        }
        return true;
    }

    /** A figure of a process as the kernel tells it. */
    private static long number(long pid, String name) throws IOException {
        for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
            if (line.startsWith(name)) {
                return Long.parseLong(line.substring(name.length()).replaceAll("[^0-9]", ""));
            }
        }
        throw new IOException("no " + name + " of process " + pid);
    }
}
