package amberroute.cli;

import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.FaultInjectionNetwork;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "overload",
        mixinStandardHelpOptions = true,
        description = {
            "Daemons before two destinations that are asked for more than they do: 130% for a while, three times as much for some seconds,",
            "then 70%, with clients that come again. Once with each daemon alone, once with prices, beside a modelled sender that sees all.",
            "Exit code 0 where nothing was lost, doubled or out of order in both, and, with ten seconds or more of the first, prices served no",
            "less than none did."
        })
final class OverloadExperiment implements Callable<Integer> {
    private static final int DESTINATIONS = 2;
    private static final long WARM_MS = 4_000;
    private static final long EASY_MS = 8_000;
    /** Behind a spike the fleet is back once so much of what came within a second is served in time. */
    private static final double RECOVERED_SHARE = 0.9;
    /** Chance: two plays of the same differ by about so much in what they serve. */
    private static final double NOISE = 0.03;

    private static final int LONG_RUN_SECONDS = 10;

    /** What befalls the fleet in the middle of the steady overload. */
    enum InjectedFault {
        NONE,
        KILL,
        PAUSE,
        SPLIT,
        STORM
    }

    @Option(names = "--daemons", defaultValue = "12", description = "how many (${DEFAULT-VALUE})")
    private int daemons;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    @Option(
            names = "--per-second",
            defaultValue = "60",
            description = "what each destination takes a second (${DEFAULT-VALUE})")
    private double perSecond;

    @Option(names = "--steady", defaultValue = "15", description = "seconds of 130% (${DEFAULT-VALUE})")
    private int steady;

    @Option(names = "--spike", defaultValue = "6", description = "seconds of three times as much (${DEFAULT-VALUE})")
    private int spike;

    @Option(names = "--trouble", defaultValue = "NONE", description = "${COMPLETION-CANDIDATES} (${DEFAULT-VALUE})")
    private InjectedFault fault;

    @Option(names = "--logs", description = "print the daemons' logs at the end")
    private boolean logs;

    /** Of one play: worth served against the one that sees all, in each part; calls refused a message; seconds until back. */
    private record Measurement(
            double steady,
            double spike,
            double easy,
            double refused,
            double backAfter,
            boolean historyConsistent,
            JsonObject view) {}

    @Override
    public Integer call() throws Exception {
        Measurement without = run(false);
        Measurement with = run(true);
        JsonObject out = new JsonObject();
        out.addProperty("daemons", daemons);
        out.addProperty("seed", seed);
        out.addProperty("trouble", fault.name());
        add(out, "alone", without);
        add(out, "priced", with);
        // Of a few seconds chance has too large a part.
        boolean better = steady < LONG_RUN_SECONDS
                || with.steady() + with.spike() >= without.steady() + without.spike() - 2 * NOISE;
        boolean ok = without.historyConsistent() && with.historyConsistent() && better && with.view() != null;
        out.addProperty("ok", ok);
        System.out.println(out);
        return ok ? 0 : Main.BAD;
    }

    private static void add(JsonObject out, String name, Measurement seen) {
        JsonObject one = new JsonObject();
        one.addProperty("steady", round(seen.steady()));
        one.addProperty("spike", round(seen.spike()));
        one.addProperty("easy", round(seen.easy()));
        one.addProperty("refused_a_message", round(seen.refused()));
        one.addProperty("back_after_s", seen.backAfter());
        one.addProperty("books_close", seen.historyConsistent());
        out.add(name, one);
    }

    private static double round(double value) {
        return Math.round(value * 1e3) / 1e3;
    }

    private Measurement run(boolean priced) throws Exception {
        Path folder = Files.createTempDirectory("amberroute-overload-");
        List<ExperimentDaemon> all = new ArrayList<>();
        try (TestEnvironment stage = new TestEnvironment(seed)) {
            for (int d = 1; d <= DESTINATIONS; d++) {
                stage.destination(d, 1, StubUpstream.Parameters.unlimited().limited(perSecond, 0), "single");
            }
            int port = TestEnvironment.freePorts(2 * daemons + daemons * daemons, seed);
            FaultInjectionNetwork net =
                    stage.network(TestEnvironment.addresses(port + daemons, daemons), port + 2 * daemons);
            Path file = stage.senderFile(
                    folder,
                    daemons,
                    "handover.listen = \"127.0.0.1:1\"\nhandover.peers = [\"none=127.0.0.1:1\"]\n" + "fleet.overload = "
                            + priced);
            for (int i = 0; i < daemons; i++) {
                all.add(start(folder, file, net, port, i));
            }
            for (ExperimentDaemon daemon : all) {
                daemon.awaitReady();
            }
            LoadClients clients =
                    stage.clients(TestEnvironment.addresses(port, daemons), TestEnvironment.messageKinds());
            load(stage, clients, 0.7);
            Thread.sleep(WARM_MS);
            long steadyFrom = TestEnvironment.micros();
            load(stage, clients, 1.3);
            Thread.sleep(steady * 400L);
            inject(stage, net, all, folder, file, port);
            Thread.sleep(Math.max(0, steady * 600L - 2_000));
            JsonObject view = priced ? ask(folder) : null;
            long spikeFrom = TestEnvironment.micros();
            load(stage, clients, 3);
            Thread.sleep(spike * 1_000L);
            long easyFrom = TestEnvironment.micros();
            load(stage, clients, 0.7);
            Thread.sleep(EASY_MS);
            long easyTo = TestEnvironment.micros();
            stage.awaitCompletion(() -> {});
            return measurement(stage, view, new long[] {steadyFrom, spikeFrom, easyFrom, easyTo});
        } finally {
            for (ExperimentDaemon daemon : all) {
                daemon.process.destroyForcibly().waitFor();
            }
            for (int i = 0; logs && i < all.size(); i++) {
                System.out.println("-- s" + i + "\n" + Files.readString(folder.resolve("s" + i + ".log")));
            }
            LocalFleet.delete(folder);
        }
    }

    private ExperimentDaemon start(Path folder, Path file, FaultInjectionNetwork net, int port, int index)
            throws IOException {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            if (i != index) {
                peers.add("s" + i + "=" + net.address(index, i));
            }
        }
        return new ExperimentDaemon(
                folder,
                file,
                "s" + index,
                port + index,
                64,
                Map.of("GW_HANDOVER", "127.0.0.1:" + (port + daemons + index), "GW_PEERS", String.join(",", peers)),
                true);
    }

    private void load(TestEnvironment stage, LoadClients clients, double times) {
        stage.runOnLoop(() -> clients.run(new LoadClients.Load(times * perSecond * DESTINATIONS, 0, 1, 400, 8)));
    }

    /** Two seconds of it. */
    private void inject(
            TestEnvironment stage,
            FaultInjectionNetwork net,
            List<ExperimentDaemon> all,
            Path folder,
            Path file,
            int port)
            throws Exception {
        long from = TestEnvironment.micros();
        switch (fault) {
            case KILL -> {
                all.get(0).process.destroyForcibly().waitFor();
                Thread.sleep(1_000);
                all.set(0, start(folder, file, net, port, 0));
                Thread.sleep(1_000);
                all.get(0).awaitReady();
                stage.runOnLoop(() -> stage.history().senderDown(0, from, TestEnvironment.micros()));
            }
            case PAUSE -> {
                signal(all.get(0), "STOP");
                Thread.sleep(2_000);
                signal(all.get(0), "CONT");
                stage.runOnLoop(() -> stage.history().senderDown(0, from, TestEnvironment.micros()));
            }
            case SPLIT -> {
                List<Integer> half = new ArrayList<>();
                for (int i = 0; i < daemons / 2; i++) {
                    half.add(i);
                }
                stage.runOnLoop(() -> net.split(half, true));
                Thread.sleep(2_000);
                stage.runOnLoop(net::heal);
            }
            case STORM -> {
                stage.runOnLoop(() -> net.conditions(new FaultInjectionNetwork.LinkConditions(0.2, 0.05, 60_000)));
                Thread.sleep(2_000);
            }
            default -> Thread.sleep(2_000);
        }
    }

    private static void signal(ExperimentDaemon daemon, String name) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + daemon.process.pid())
                .start()
                .waitFor();
    }

    /** What the second daemon takes the whole for: the first may be the one that trouble befell. */
    private static JsonObject ask(Path folder) throws IOException {
        JsonObject view = amberroute.fleet.FleetClient.ask(
                folder.resolve("s1").resolve("control"), amberroute.fleet.FleetClient.request("overload"));
        System.out.println("as s1 sees it: " + view);
        return view.get("ok").getAsBoolean()
                        && !view.getAsJsonArray("destinations").isEmpty()
                ? view
                : null;
    }

    private Measurement measurement(TestEnvironment stage, JsonObject view, long[] parts) {
        List<DeliveryHistory.Entry> entries =
                stage.callOnLoop(() -> stage.history().all());
        DeliveryHistory.Totals totals = stage.totals();
        double[] shares = new double[3];
        for (int i = 0; i < 3; i++) {
            List<OmniscientBaseline.Message> some = OmniscientBaseline.messages(entries, parts[i], parts[i + 1]);
            shares[i] = OmniscientBaseline.served(some) / Math.max(1e-9, OmniscientBaseline.best(some, perSecond));
        }
        double back = -1;
        for (long at = parts[2]; back < 0 && at + 1_000_000 <= parts[3]; at += 250_000) {
            List<OmniscientBaseline.Message> some = OmniscientBaseline.messages(entries, at, at + 1_000_000);
            long inTime = some.stream()
                    .filter(m -> m.doneAt() > 0 && m.doneAt() <= m.latencyObjectiveMicros())
                    .count();
            back = inTime >= RECOVERED_SHARE * some.size() ? (at - parts[2]) / 1e6 : back;
        }
        long refused = stage.callOnLoop(() -> stage.upstreams().stream()
                .mapToLong(p -> p.upstream().overLimit())
                .sum());
        JsonObject sums = new JsonObject();
        DeliveryTotalsJson.add(sums, totals);
        System.out.println(sums);
        stage.callOnLoop(stage.history()::violations).forEach(c -> System.out.println("! " + c));
        return new Measurement(
                shares[0],
                shares[1],
                shares[2],
                (double) refused / Math.max(1, totals.delivered()),
                back,
                totals.ok() && totals.accepted() > 0,
                view);
    }
}
