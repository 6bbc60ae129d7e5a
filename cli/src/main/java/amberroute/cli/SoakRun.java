package amberroute.cli;

import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.StubUpstreamServer;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

/**
 * One seed of a soak: real senders between stand-ins, with signals in series, receivers that hang, refuse or die, discovery that falls
 * silent, an endpoint that drains, and in some seeds a crowd of idle clients. What clients, receivers and the platform saw is
 * checked against the rules by {@link DeliveryHistory}.
 */
final class SoakRun implements AutoCloseable {
    private static final int SENDERS = 2;
    private static final int DESTINATIONS = 3;
    private static final double PER_SECOND = 120;
    private static final int REQUESTS_ON_A_CONNECTION = 4;
    private static final int CONNECTIONS_TO_A_SENDER = 24;
    private static final int KEYS = 30;
    private static final int CLIENT_ATTEMPTS = 8;
    private static final long DEADLINE_MICROS = 6_000_000;
    /** A change of the endpoint list counts as told by then. */
    private static final long LIST_CHANGE_TOLD_MILLIS = 6_000;

    private static final long TIMELINE_BEFORE_MILLIS = 6_000;
    private static final long TIMELINE_BEHIND_MILLIS = 2_000;
    private static final int MAX_TIMELINE_LINES = 400;
    private static final long POLL_MILLIS = 10;

    private final long seed;
    private final long seconds;
    private final Random random;
    private final Path folder;
    private final TestEnvironment environment;
    private final LoadClients clients;
    private final SoakTimeline timeline = new SoakTimeline();
    private final List<SoakSender> senders = new ArrayList<>();
    private final List<InetSocketAddress> addresses;
    private final List<String> findings = new ArrayList<>();
    private final boolean crowded;
    /** Whether the run has ended without a finding: then nobody needs its folder. */
    private boolean rulesKept;

    private volatile boolean silent;
    private volatile long silentUntilNanos = System.nanoTime();
    /** The endpoint that drains, once that counts as told, and its calls at that time. */
    private volatile StubUpstreamServer drainedEndpoint;

    private volatile long callsWhenTold;

    SoakRun(long seed, long seconds) throws Exception {
        this.seed = seed;
        this.seconds = seconds;
        random = new Random(seed);
        crowded = random.nextInt(3) == 0;
        folder = Files.createTempDirectory("amberroute-soak-");
        environment = new TestEnvironment(seed);
        for (int destination = 1; destination <= DESTINATIONS; destination++) {
            environment.destination(
                    destination,
                    2,
                    StubUpstream.Parameters.unlimited().sized(8, 64, 15_000),
                    "single",
                    destination == DESTINATIONS);
        }
        int port = TestEnvironment.freePorts(2 * SENDERS, seed);
        addresses = TestEnvironment.addresses(port, SENDERS);
        for (int i = 0; i < SENDERS; i++) {
            SoakConfiguration configuration = new SoakConfiguration(
                    folder, i, SENDERS, port + i, port + SENDERS + i, environment, DEADLINE_MICROS);
            configuration.write(SoakConfiguration.Limits.INITIAL);
            senders.add(new SoakSender(i, folder, configuration, timeline));
        }
        clients = environment.clients(addresses, TestEnvironment.messageKinds());
        environment.runOnLoop(() -> clients.pipeline(REQUESTS_ON_A_CONNECTION, CONNECTIONS_TO_A_SENDER));
    }

    /** Plays it; the result has {@code ok}, the seed, the first finding and the counts. */
    JsonObject run() throws Exception {
        for (SoakSender sender : senders) {
            sender.start();
        }
        for (SoakSender sender : senders) {
            if (sender.awaitReady() < 0) {
                throw new IOException("n" + sender.number() + " did not start: " + Files.readString(sender.log()));
            }
        }
        environment.runOnLoop(() -> clients.run(new LoadClients.Load(PER_SECOND, 0.2, 6, KEYS, CLIENT_ATTEMPTS)));
        long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
        List<SoakSignals> signals = startSignals(endNanos);
        List<Thread> threads =
                signals.stream().map(each -> new Thread(each, "signals")).toList();
        threads.forEach(Thread::start);
        disturb(endNanos);
        for (Thread thread : threads) {
            thread.join();
        }
        restoreAll();
        environment.awaitCompletion(() -> {});
        signals.forEach(each -> findings.addAll(each.findings()));
        collectFindings();
        noteUnanswered();
        Files.write(
                folder.resolve("timeline"),
                timeline.merged(senders.stream().map(SoakSender::log).toList(), 0, Long.MAX_VALUE));
        return result(signals);
    }

    private List<SoakSignals> startSignals(long endNanos) {
        List<SoakSignals> signals = new ArrayList<>();
        for (SoakSender sender : senders) {
            signals.add(new SoakSignals(
                    sender, environment, clients, timeline, endNanos, seed * SENDERS + sender.number()));
        }
        return signals;
    }

    /** Troubles at receivers, discovery and clients, one after another. */
    private void disturb(long endNanos) throws Exception {
        boolean drained = false;
        while (System.nanoTime() < endNanos) {
            Thread.sleep(500 + random.nextInt(1_500));
            int destination = 1 + random.nextInt(DESTINATIONS);
            switch (random.nextInt(crowded ? 6 : 5)) {
                case 0 -> trouble(destination, StubUpstream.Mode.HANG);
                case 1 -> trouble(destination, StubUpstream.Mode.REFUSE);
                case 2 -> trouble(destination, StubUpstream.Mode.DEAD);
                case 3 -> silenceDiscovery(() -> Thread.sleep(500 + random.nextInt(1_500)));
                case 4 -> {
                    environment.resetOne(random.nextInt(2));
                    timeline.action("stand-ins", "connections of one endpoint reset");
                    if (!drained) {
                        drained = true;
                        drain();
                    }
                }
                default -> {
                    if (random.nextBoolean()) {
                        silenceDiscovery(this::crowd);
                    } else {
                        crowd();
                    }
                }
            }
        }
    }

    private interface Step {
        void run() throws Exception;
    }

    private void trouble(int destination, StubUpstream.Mode mode) throws InterruptedException {
        timeline.action("stand-ins", "destination " + destination + " " + mode);
        environment.setMode(destination, mode);
        Thread.sleep(500 + random.nextInt(2_500));
        environment.setMode(destination, StubUpstream.Mode.UP);
        timeline.action("stand-ins", "destination " + destination + " UP");
    }

    private void silenceDiscovery(Step meanwhile) throws Exception {
        timeline.action("stand-ins", "discovery is silent");
        silent = true;
        environment.runOnLoop(() -> environment.platform().silent(true));
        meanwhile.run();
        environment.runOnLoop(() -> environment.platform().silent(false));
        silentUntilNanos = System.nanoTime();
        silent = false;
        timeline.action("stand-ins", "discovery speaks");
    }

    /** Idle clients fill the descriptors of one sender. */
    private void crowd() throws InterruptedException, IOException {
        SoakCrowd.visit(addresses.get(random.nextInt(SENDERS)), timeline);
    }

    /** An endpoint is listed as one that takes no new calls; from the time on that this counts as told none may come. */
    private void drain() {
        StubUpstreamServer endpoint = environment.upstreams().get(random.nextInt(2));
        timeline.action("stand-ins", endpoint.uid() + " drains");
        environment.runOnLoop(() -> environment
                .platform()
                .listEndpoint(endpoint.uid(), endpoint.address(), endpoint.destination(), "single", "Terminating"));
        long drainedNanos = System.nanoTime();
        Thread watch = new Thread(
                () -> {
                    awaitTold(drainedNanos);
                    callsWhenTold = environment.callOnLoop(endpoint::calls);
                    drainedEndpoint = endpoint;
                    timeline.action("stand-ins", "the drain of " + endpoint.uid() + " counts as told");
                },
                "drain");
        watch.setDaemon(true);
        watch.start();
    }

    /** A change counts as told when discovery has been reachable for long enough since. */
    private void awaitTold(long changedNanos) {
        try {
            while (silent || millisSince(Math.max(changedNanos, silentUntilNanos)) < LIST_CHANGE_TOLD_MILLIS) {
                Thread.sleep(POLL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private void restoreAll() {
        for (int destination = 1; destination <= DESTINATIONS; destination++) {
            environment.setMode(destination, StubUpstream.Mode.UP);
        }
        environment.runOnLoop(() -> environment.platform().silent(false));
    }

    private void collectFindings() {
        DeliveryHistory.Totals totals = environment.totals();
        findings.addAll(environment.callOnLoop(environment.history()::violations));
        findings.addAll(environment.callOnLoop(environment.history()::closedUnanswered));
        environment
                .callOnLoop(() -> environment.history().lost(TestEnvironment.micros()))
                .forEach(each -> findings.add("lost: " + each));
        environment.callOnLoop(environment.history()::late).forEach(each -> findings.add("late notice: " + each));
        if (totals.open() > 0) {
            findings.add(totals.open() + " messages have no end");
        }
        StubUpstreamServer drained = drainedEndpoint;
        if (drained != null && environment.callOnLoop(drained::calls) > callsWhenTold) {
            findings.add("calls to " + drained.uid() + " behind its drain");
        }
        if (environment.overloadCount() > 0) {
            findings.add("endpoints in slow start fell over " + environment.overloadCount() + " times");
        }
    }

    /** Puts what clients had no answer to into the timeline. */
    private void noteUnanswered() {
        for (DeliveryHistory.Entry entry : environment.callOnLoop(environment.history()::all)) {
            if (entry.answer() == DeliveryHistory.Answer.SILENT || entry.answer() == DeliveryHistory.Answer.CLOSED) {
                timeline.actionAt(
                        entry.answeredAtMicros(),
                        "clients",
                        entry.id + " at n" + entry.sender + ": " + entry.answer() + " " + entry.unansweredMicros()
                                + " us behind its last byte");
            }
        }
    }

    private JsonObject result(List<SoakSignals> signals) {
        DeliveryHistory.Totals totals = environment.totals();
        JsonObject result = new JsonObject();
        result.addProperty("seed", seed);
        result.addProperty("crowd", crowded);
        result.addProperty("submitted", totals.submitted());
        result.addProperty("accepted", totals.accepted());
        result.addProperty("delivered", totals.delivered());
        result.addProperty("returned", totals.returned());
        result.addProperty("failed", totals.failed());
        result.addProperty("unanswered", totals.unanswered());
        result.addProperty(
                "restarts", signals.stream().mapToInt(SoakSignals::restarts).sum());
        result.addProperty(
                "ready_ms",
                signals.stream()
                        .mapToLong(SoakSignals::longestReadyMillis)
                        .max()
                        .orElse(0));
        result.addProperty("findings", findings.size());
        result.addProperty("first", findings.isEmpty() ? "" : findings.get(0));
        rulesKept = findings.isEmpty();
        result.addProperty("ok", rulesKept);
        return result;
    }

    /** All findings, the lines of all logs round the first one, and the folder. */
    List<String> report() {
        List<String> lines = new ArrayList<>(findings);
        long foundMillis = timeline.firstFindingMillis();
        long from = foundMillis == 0 ? 0 : foundMillis - TIMELINE_BEFORE_MILLIS;
        long to = foundMillis == 0 ? Long.MAX_VALUE : foundMillis + TIMELINE_BEHIND_MILLIS;
        List<String> merged =
                timeline.merged(senders.stream().map(SoakSender::log).toList(), from, to);
        lines.addAll(merged.subList(Math.max(0, merged.size() - MAX_TIMELINE_LINES), merged.size()));
        lines.add("folder: " + folder);
        lines.add("clock of findings: " + TestEnvironment.micros() + " us at " + System.currentTimeMillis());
        return lines;
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
