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
 * One fleet before destinations that go out together, each in another way, and come back with a small share of their capacity,
 * while some of the senders get signals in series. What the destinations get is judged by {@link RecoveryJudge}, and all else by {@link DeliveryHistory}.
 */
final class RecoveryRun implements AutoCloseable {
    /** Most senders that get signals where the seed draws them; these are not restarted beside that. */
    static final int MAX_SIGNALLED_DRAWN = 4;

    /** Senders that are killed and started again; {@code beginMillis} is since the return of the destinations. */
    record Restarts(int senders, long beginMillis, long spreadMillis) {
        /** Draws none, a third or all senders but the signalled ones, at once or one after another, around the return. */
        static Restarts draw(Random random, int senders) {
            int unsignalled = senders - MAX_SIGNALLED_DRAWN;
            return switch (random.nextInt(5)) {
                case 0 -> new Restarts(0, 0, 0);
                case 1 -> new Restarts(unsignalled / 3, -5_000 + random.nextInt(6_000), 0);
                case 2 -> new Restarts(unsignalled, -5_000 + random.nextInt(10_000), 10_000 + random.nextInt(8_000));
                default -> new Restarts(unsignalled, -3_500 + random.nextInt(5_000), 0);
            };
        }

        long killAtMillis(int index) {
            return beginMillis + spreadMillis * index / Math.max(1, senders - 1);
        }
    }

    /** What is played. */
    record Plan(
            long seed,
            int senders,
            double perSecond,
            long ageMillis,
            long outageMillis,
            int signalledSenders,
            Restarts restarts,
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
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int KEYS = 30;
    private static final int CLIENT_ATTEMPTS = 8;
    private static final int REQUESTS_ON_A_CONNECTION = 4;
    private static final int CONNECTIONS_TO_A_SENDER = 24;
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
    private final List<SenderRestart> restarts = new ArrayList<>();
    private final List<InetSocketAddress> addresses;
    private final List<String> findings = new ArrayList<>();
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
        addresses = TestEnvironment.addresses(port, plan.senders());
        for (int i = 0; i < plan.senders(); i++) {
            SoakConfiguration configuration = new SoakConfiguration(
                    folder, i, plan.senders(), port + i, port + plan.senders() + i, environment, DEADLINE_MICROS);
            configuration.write(SoakConfiguration.Limits.INITIAL);
            senders.add(new SoakSender(i, folder, configuration, timeline));
        }
        clients = environment.clients(addresses, messageKinds());
        environment.runOnLoop(() -> clients.pipeline(REQUESTS_ON_A_CONNECTION, CONNECTIONS_TO_A_SENDER));
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
        Thread.sleep(plan.ageMillis());
        beginOutages();
        long outageEndNanos = System.nanoTime() + plan.outageMillis() * NANOS_PER_MILLI;
        List<SoakSignals> signals = startSignals();
        List<Thread> threads = new ArrayList<>(startRestarts(outageEndNanos));
        signals.forEach(each -> threads.add(new Thread(each, "signals")));
        threads.forEach(Thread::start);
        visitByCrowd();
        Thread.sleep(Math.max(0, (outageEndNanos - System.nanoTime()) / NANOS_PER_MILLI));
        endOutages();
        Thread.sleep(SLOW_START_MILLIS);
        for (Thread thread : threads) {
            thread.join();
        }
        environment.awaitCompletion(() -> {});
        signals.forEach(each -> findings.addAll(each.findings()));
        restarts.forEach(each -> findings.addAll(each.findings()));
        findings.addAll(environment.callOnLoop(environment.history()::closedUnanswered));
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

    /** Some senders get signals in series until the destinations are warm. */
    private List<SoakSignals> startSignals() {
        long endNanos = System.nanoTime() + (plan.outageMillis() + SLOW_START_MILLIS) * NANOS_PER_MILLI;
        List<SoakSignals> signals = new ArrayList<>();
        for (SoakSender sender : senders.subList(0, plan.signalledSenders())) {
            long signalSeed = plan.seed() * senders.size() + sender.number();
            signals.add(new SoakSignals(sender, environment, clients, timeline, endNanos, signalSeed));
        }
        return signals;
    }

    /** The last senders are restarted, each by a thread of its own, so that all may be killed at once. */
    private List<Thread> startRestarts(long outageEndNanos) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < plan.restarts().senders(); i++) {
            SoakSender sender = senders.get(senders.size() - 1 - i);
            SenderRestart restart = new SenderRestart(sender, environment, clients, timeline);
            long killAtNanos = outageEndNanos + plan.restarts().killAtMillis(i) * NANOS_PER_MILLI;
            restarts.add(restart);
            threads.add(new Thread(() -> restartAt(restart, killAtNanos), "restart"));
        }
        return threads;
    }

    private static void restartAt(SenderRestart restart, long killAtNanos) {
        try {
            Thread.sleep(Math.max(0, (killAtNanos - System.nanoTime()) / NANOS_PER_MILLI));
            restart.killAndStart();
            restart.awaitReady();
        } catch (IOException e) {
            restart.report("a sender did not restart: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** In a third of the seeds idle clients fill the descriptors of one sender. */
    private void visitByCrowd() throws InterruptedException, IOException {
        if (plan.signalledSenders() > 0 && random.nextInt(3) == 0) {
            SoakCrowd.visit(addresses.get(random.nextInt(addresses.size())), timeline);
        }
    }

    private JsonObject result() throws IOException {
        DeliveryHistory.Totals totals = environment.totals();
        List<RecoveryJudge.Result> destinations = environment.callOnLoop(judge::results);
        boolean withinBudget =
                destinations.stream().allMatch(each -> !each.ruleBroken() && each.peakInformedShare() <= 1);
        boolean completed = totals.ok() && totals.lateNotifications() == 0 && findings.isEmpty();
        rulesKept = withinBudget && completed;
        JsonObject result = new JsonObject();
        result.addProperty("ok", rulesKept);
        result.addProperty("seed", plan.seed());
        result.add("informed_and_all_calls_in_budgets", loads(destinations));
        result.addProperty("accepted", totals.accepted());
        result.addProperty("delivered", totals.delivered());
        result.addProperty("in_time", totals.inTime());
        result.addProperty("lost", totals.lost());
        result.addProperty("late_notices", totals.lateNotifications());
        result.addProperty("duplicates", totals.duplicateExecutions());
        result.addProperty("out_of_order", totals.outOfOrder());
        result.addProperty("slowest_restart_ms", slowestRestartMillis());
        if (!findings.isEmpty()) {
            result.addProperty("finding", findings.get(0));
        }
        if (!rulesKept) {
            result.addProperty("timeline", writeTimeline().toString());
        }
        return result;
    }

    /** Returns what each destination got, with a mark where the rule was broken. */
    private JsonArray loads(List<RecoveryJudge.Result> destinations) {
        JsonArray loads = new JsonArray();
        for (RecoveryJudge.Result each : destinations) {
            loads.add(String.format(
                    Locale.ROOT,
                    "%d %s %.2f/%.2f%s",
                    each.destination(),
                    outageKind(each.destination()),
                    each.peakInformedShare(),
                    each.peakShare(),
                    each.ruleBroken() ? " BROKEN" : ""));
        }
        return loads;
    }

    private long slowestRestartMillis() {
        return restarts.stream()
                .mapToLong(SenderRestart::longestReadyMillis)
                .max()
                .orElse(0);
    }

    private Path writeTimeline() throws IOException {
        Path report = folder.resolve("timeline");
        Files.write(
                report, timeline.merged(senders.stream().map(SoakSender::log).toList(), 0, Long.MAX_VALUE));
        return report;
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
