package amberroute.cli;

import amberroute.fleet.FleetDefinition;
import amberroute.fleet.SupervisionPolicy;
import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "cold-fleet",
        mixinStandardHelpOptions = true,
        description = {
            "A fleet before one partner that is cold, under a full backlog: once the partner comes back from an outage that the fleet",
            "has seen (returning), once the fleet itself starts with nothing but a cold partner before it (starting); each with the",
            "common limit and without. The load is counted as a share of what brings the partner down. Exit code 0 where with the",
            "limit it stayed at or below 1 in both, where starting without it did not, and where all books close."
        })
final class FleetSlowStartExperiment implements Callable<Integer> {
    private static final long READY_MS = 60_000;
    /** Warm capacity in messages a second, by calls of 20 ms. */
    private static final int SERVICE = 20_000;
    /** How much more than its capacity comes in the first moment after a start, and for how long. */
    private static final double BURST = 5;

    private static final long BURST_MS = 1_000;

    @Option(names = "--daemons", defaultValue = "20", description = "how many (${DEFAULT-VALUE})")
    private int daemons;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--slots",
            defaultValue = "2",
            description = "the partner's; each carries 50 messages a second (${DEFAULT-VALUE})")
    private int slots;

    @Option(
            names = "--usual",
            defaultValue = "0.9",
            description = "usual load as a share of the partner's capacity (${DEFAULT-VALUE})")
    private double usual;

    @Option(
            names = "--quiet",
            defaultValue = "16",
            description = "seconds of usual load before the outage (${DEFAULT-VALUE})")
    private int quiet;

    @Option(names = "--outage", defaultValue = "8", description = "seconds that the partner is out (${DEFAULT-VALUE})")
    private int outage;

    @Option(names = "--starting-only", description = "leave out the fleet that sees its partner return")
    private boolean startingOnly;

    /** What came of one run: times in milliseconds from the return on, -1 for never. */
    private record Measurement(
            double share, long overloadCount, long usualMs, long answered, boolean historyConsistent) {}

    private double capacity() {
        return slots * 1e6 / SERVICE;
    }

    @Override
    public Integer call() throws Exception {
        StubUpstream.Parameters figures = StubUpstream.Parameters.unlimited().sized(slots, 4 * slots, SERVICE);
        Measurement returning = startingOnly ? null : run(false, true);
        Measurement returningFree = startingOnly ? null : run(false, false);
        Measurement starting = run(true, true);
        Measurement startingFree = run(true, false);
        double warm = Math.max(0, usual - figures.slowStartFrom()) / (1 - figures.slowStartFrom());
        JsonObject out = new JsonObject();
        out.addProperty("daemons", daemons);
        out.addProperty("seed", seed);
        out.addProperty("capacity", capacity());
        out.addProperty("usual", usual * capacity());
        out.addProperty("ideal_usual_ms", Math.round(warm * figures.slowStartMicros() / 1e3));
        if (!startingOnly) {
            add(out, "returning", returning);
            add(out, "returning_free", returningFree);
        }
        add(out, "starting", starting);
        add(out, "starting_free", startingFree);
        boolean ok = (startingOnly || withinLimit(returning) && returningFree.historyConsistent())
                && withinLimit(starting)
                && startingFree.historyConsistent()
                && startingFree.share() > 1;
        out.addProperty("ok", ok);
        System.out.println(out);
        return ok ? 0 : Main.BAD;
    }

    private static boolean withinLimit(Measurement seen) {
        return seen.share() <= 1 && seen.overloadCount() == 0 && seen.historyConsistent() && seen.usualMs() >= 0;
    }

    private static void add(JsonObject out, String name, Measurement seen) {
        JsonObject one = new JsonObject();
        one.addProperty("highest_share", Math.round(seen.share() * 1e3) / 1e3);
        one.addProperty("falls", seen.overloadCount());
        one.addProperty("usual_after_ms", seen.usualMs());
        one.addProperty("answered", seen.answered());
        one.addProperty("books_close", seen.historyConsistent());
        out.add(name, one);
    }

    private Measurement run(boolean starting, boolean gentle) throws Exception {
        Path folder = Files.createTempDirectory("amberroute-cold-");
        TestEnvironment stage = new TestEnvironment(seed);
        StubUpstream.Parameters figures = StubUpstream.Parameters.unlimited().sized(slots, 4 * slots, SERVICE);
        stage.destination(1, 1, figures, "single");
        int port = TestEnvironment.freePorts(2 * daemons, seed);
        stage.senderFile(
                folder,
                daemons,
                "cold.span = \"" + figures.slowStartMicros() / 1_000 + "ms\"\ncold.from = " + figures.slowStartFrom());
        String more = "start.at_once = " + daemons + "\nhandover.listen = \"127.0.0.1:" + (port + daemons) + "\"\n"
                + (gentle ? "handover.gentle = true\n" : "");
        Path file = stage.fleetFile(folder, daemons, port, InstallationDirectory.daemonJar(), more);
        LoadClients clients = stage.clients(TestEnvironment.addresses(port, daemons), TestEnvironment.messageKinds());
        LocalFleet fleet = new LocalFleet(FleetDefinition.read(file, InstallationDirectory.daemonJar()));
        try (stage;
                fleet) {
            LoadClients.Load load = new LoadClients.Load(usual * capacity(), 0, 1, 200, 8);
            if (starting) {
                // All daemons are there and have called nobody yet; the partner has just started, and all clients come
                // at once.
                fleet.start();
                fleet.awaitReady(READY_MS);
                stage.setMode(1, StubUpstream.Mode.DEAD);
            } else {
                fleet.start();
                fleet.awaitReady(READY_MS);
                stage.runOnLoop(() -> clients.run(load));
                Thread.sleep(quiet * 1_000L);
                stage.setMode(1, StubUpstream.Mode.DEAD);
                Thread.sleep(outage * 1_000L);
            }
            stage.setMode(1, StubUpstream.Mode.UP);
            if (starting) {
                stage.runOnLoop(() -> clients.run(new LoadClients.Load(BURST * capacity(), 0, 1, 200, 8)));
                Thread.sleep(BURST_MS);
                stage.runOnLoop(() -> clients.run(load));
            }
            long usualMs = awaitRecovery(stage, figures.slowStartMicros() / 1_000 + 6_000);
            long answered = stage.totals().delivered();
            stage.awaitCompletion(() -> {});
            fleet.stop(SupervisionPolicy.Mode.FINAL);
            DeliveryHistory.Totals t = stage.totals();
            Measurement seen = new Measurement(
                    stage.highestSlowStartShare(),
                    stage.overloadCount(),
                    usualMs,
                    answered,
                    t.ok() && t.accepted() > 0);
            System.out.println((starting ? "starting" : "returning") + (gentle ? " with the limit: " : " without: ")
                    + seen + " " + t);
            return seen;
        } finally {
            LocalFleet.delete(folder);
        }
    }

    /** When the partner first answered nine tenths of its usual load over a second. */
    private long awaitRecovery(TestEnvironment stage, long span) throws InterruptedException {
        long begun = System.nanoTime() / 1_000_000;
        List<long[]> seen = new ArrayList<>();
        long usualMs = -1;
        for (long now = begun; now - begun < span; now = System.nanoTime() / 1_000_000) {
            seen.add(new long[] {now, stage.totals().delivered()});
            while (seen.get(0)[0] < now - 1_100) {
                seen.remove(0);
            }
            long[] first = seen.get(0);
            double rate = (seen.get(seen.size() - 1)[1] - first[1]) * 1e3 / Math.max(1, now - first[0]);
            if (usualMs < 0 && now - first[0] >= 1_000 && rate >= 0.9 * usual * capacity()) {
                usualMs = now - begun;
            }
            Thread.sleep(50);
        }
        return usualMs;
    }
}
