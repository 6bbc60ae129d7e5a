package amberroute.cli;

import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.LoadClients;
import amberroute.testkit.RecoveryJudge;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/**
 * One fleet before destinations that go out together, each in another way, and come back with a small share of their capacity. What
 * the destinations get is judged by {@link RecoveryJudge}, and all else by {@link DeliveryHistory}.
 */
final class RecoveryRun implements AutoCloseable {
    /** What is played. */
    record Plan(
            long seed,
            int senders,
            double perSecond,
            long outageMillis,
            int kills,
            List<StubUpstream.Mode> outageKinds) {}

    /** Share of all messages that each destination gets from {@link LoadClients}. */
    private static final double[] TRAFFIC_SHARES = {0.345, 0.239, 0.215, 0.201};
    /** Messages offered to a destination, as a share of its capacity. */
    private static final double OFFERED_LOAD_RATIO = 0.7;

    private static final int UPSTREAM_SLOTS = 2;
    private static final int UPSTREAM_QUEUE = 8;
    /** As in {@link SoakConfiguration}. */
    private static final double SLOW_START_CAPACITY = 0.15;

    private static final long SLOW_START_MILLIS = 10_000;
    private static final long WARM_UP_MILLIS = 8_000;
    private static final int KEYS = 30;
    private static final int CLIENT_ATTEMPTS = 8;
    private static final long START_AFTER_KILL_MILLIS = 600;
    /** Longer than the outages, so that messages outlast them. */
    private static final long DEADLINE_MICROS = 20_000_000;

    private static final long LATENCY_OBJECTIVE_MICROS = 2_500_000;

    private final Plan plan;
    private final Random random;
    private final Path folder;
    private final TestEnvironment environment;
    private final RecoveryJudge judge;
    private final LoadClients clients;
    private final SoakTimeline timeline = new SoakTimeline();
    private final List<SoakSender> senders = new ArrayList<>();
    private boolean rulesKept;

    RecoveryRun(Plan plan) throws Exception {
        this.plan = plan;
        random = new Random(plan.seed());
        folder = Files.createTempDirectory("amberroute-recovery-");
        environment = new TestEnvironment(plan.seed());
        for (int destination = 1; destination <= TRAFFIC_SHARES.length; destination++) {
            environment.destination(destination, 1, parameters(destination), "single", true);
        }
        judge = new RecoveryJudge(environment.history());
        environment.upstreams().forEach(upstream -> upstream.listenToCalls(judge));
        int port = TestEnvironment.freePorts(2 * plan.senders(), plan.seed());
        List<InetSocketAddress> addresses = TestEnvironment.addresses(port, plan.senders());
        for (int i = 0; i < plan.senders(); i++) {
            SoakConfiguration configuration = new SoakConfiguration(
                    folder, i, plan.senders(), port + i, port + plan.senders() + i, environment, DEADLINE_MICROS);
            configuration.write(SoakConfiguration.Limits.INITIAL);
            senders.add(new SoakSender(i, folder, configuration, timeline));
        }
        clients = environment.clients(addresses, messageKinds());
    }

    private static List<LoadClients.Kind> messageKinds() {
        return TestEnvironment.messageKinds().stream()
                .map(kind -> new LoadClients.Kind(
                        kind.name(),
                        kind.effect(),
                        kind.ordered(),
                        kind.share(),
                        LATENCY_OBJECTIVE_MICROS,
                        DEADLINE_MICROS))
                .toList();
    }

    private StubUpstream.Parameters parameters(int destination) {
        double capacityPerSecond = TRAFFIC_SHARES[destination - 1] * plan.perSecond() / OFFERED_LOAD_RATIO;
        return StubUpstream.Parameters.unlimited()
                .sized(UPSTREAM_SLOTS, UPSTREAM_QUEUE, (long) (UPSTREAM_SLOTS * 1e6 / capacityPerSecond))
                .recovering(SLOW_START_CAPACITY, SLOW_START_MILLIS * 1_000);
    }

    /** Plays it; the result has {@code ok}, the seed, what each destination got and the counts. */
    JsonObject run() throws Exception {
        startSenders();
        environment.runOnLoop(() -> clients.run(new LoadClients.Load(plan.perSecond(), 0, 1, KEYS, CLIENT_ATTEMPTS)));
        Thread.sleep(WARM_UP_MILLIS);
        beginOutages();
        Thread killing = new Thread(this::killSenders, "kills");
        killing.start();
        Thread.sleep(plan.outageMillis());
        endOutages();
        Thread.sleep(SLOW_START_MILLIS);
        killing.join();
        environment.awaitCompletion(() -> {});
        return result();
    }

    private void startSenders() throws IOException, InterruptedException {
        for (SoakSender sender : senders) {
            sender.start();
        }
        for (SoakSender sender : senders) {
            if (sender.awaitReady() < 0) {
                throw new IOException("n" + sender.number() + " did not start: " + Files.readString(sender.log()));
            }
        }
    }

    private StubUpstream.Mode outageKind(int destination) {
        return plan.outageKinds()
                .get(Math.floorMod(
                        (int) plan.seed() + destination, plan.outageKinds().size()));
    }

    private void beginOutages() {
        for (int destination = 1; destination <= TRAFFIC_SHARES.length; destination++) {
            int number = destination;
            StubUpstream.Mode kind = outageKind(number);
            environment.runOnLoop(() -> judge.outageBegins(number, kind));
            environment.setMode(number, kind);
            timeline.action("stand-ins", "destination " + number + " " + kind);
        }
    }

    private void endOutages() {
        for (int destination = 1; destination <= TRAFFIC_SHARES.length; destination++) {
            environment.setMode(destination, StubUpstream.Mode.UP);
            timeline.action("stand-ins", "destination " + destination + " UP");
        }
    }

    /** Kills some senders, one after another, from the beginning of the outages until the destinations are warm. */
    private void killSenders() {
        long pauseMillis = (plan.outageMillis() + SLOW_START_MILLIS) / (plan.kills() + 1);
        try {
            for (int i = 0; i < plan.kills(); i++) {
                Thread.sleep(Math.max(1, pauseMillis - START_AFTER_KILL_MILLIS));
                SoakSender sender = senders.get(random.nextInt(senders.size()));
                long fromMicros = TestEnvironment.micros();
                environment.runOnLoop(() -> {
                    environment.history().senderKilled(sender.number(), TestEnvironment.micros());
                    sender.kill();
                });
                sender.awaitEnd();
                Thread.sleep(START_AFTER_KILL_MILLIS);
                sender.start();
                sender.awaitReady();
                environment.runOnLoop(
                        () -> environment.history().senderDown(sender.number(), fromMicros, TestEnvironment.micros()));
            }
        } catch (IOException | InterruptedException e) {
            timeline.finding("kills ended: " + e);
        }
    }

    private JsonObject result() throws IOException {
        DeliveryHistory.Totals totals = environment.totals();
        JsonArray destinations = new JsonArray();
        boolean withinBudget = true;
        for (RecoveryJudge.Result each : environment.callOnLoop(judge::results)) {
            withinBudget &= !each.ruleBroken() && each.peakInformedShare() <= 1;
            destinations.add(String.format(
                    Locale.ROOT,
                    "%d %s %.2f/%.2f%s",
                    each.destination(),
                    outageKind(each.destination()),
                    each.peakInformedShare(),
                    each.peakShare(),
                    each.ruleBroken() ? " BROKEN" : ""));
        }
        boolean completed = totals.ok() && totals.lateNotifications() == 0 && timeline.firstFindingMillis() == 0;
        rulesKept = withinBudget && completed;
        JsonObject result = new JsonObject();
        result.addProperty("ok", rulesKept);
        result.addProperty("seed", plan.seed());
        result.add("informed_and_all_calls_in_budgets", destinations);
        result.addProperty("accepted", totals.accepted());
        result.addProperty("delivered", totals.delivered());
        result.addProperty("in_time", totals.inTime());
        result.addProperty("lost", totals.lost());
        result.addProperty("late_notices", totals.lateNotifications());
        result.addProperty("duplicates", totals.duplicateExecutions());
        result.addProperty("out_of_order", totals.outOfOrder());
        if (!rulesKept) {
            Path report = folder.resolve("timeline");
            Files.write(
                    report,
                    timeline.merged(senders.stream().map(SoakSender::log).toList(), 0, Long.MAX_VALUE));
            result.addProperty("timeline", report.toString());
        }
        return result;
    }

    @Override
    public void close() throws IOException {
        senders.forEach(SoakSender::kill);
        senders.forEach(SoakSender::awaitEnd);
        environment.close();
        if (rulesKept) {
            LocalFleet.delete(folder);
        }
    }
}
