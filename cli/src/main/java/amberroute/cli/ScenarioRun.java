package amberroute.cli;

import amberroute.fleet.FleetClient;
import amberroute.fleet.FleetDefinition;
import amberroute.fleet.SupervisionPolicy;
import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.FaultProxy;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.StubUpstreamServer;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * One run of a fleet of real daemons between stand-ins: comes up, serves for a while, goes through an outage of a
 * partner and rolling restarts, stops for good, and closes its books.
 */
final class ScenarioRun implements AutoCloseable {
    /**
     * {@code quiet} milliseconds of load come before anything happens; the partner is out for {@code outage}, beginning in
     * the middle of the first rolling restart; {@code rolls} of them follow one another, in which {@code kills} daemons are
     * killed outright at random moments, whatever they are at. Then the fleet goes to {@code scaleTo} daemons, 0 for no
     * change, with an outage of the same length in the middle where there were no restarts. With {@code move} daemons hand
     * over what they hold when they leave, and agree on what they give a cold partner.
     */
    record Plan(
            int daemons,
            long seed,
            double perSecond,
            long quiet,
            long outage,
            int rolls,
            long after,
            int kills,
            String rolling,
            int scaleTo,
            boolean move) {

        Plan(
                int daemons,
                long seed,
                double perSecond,
                long quiet,
                long outage,
                int rolls,
                long after,
                int kills,
                String rolling) {
            this(daemons, seed, perSecond, quiet, outage, rolls, after, kills, rolling, 0, false);
        }
    }

    private static final int DESTINATIONS = 6;
    private static final Pattern HANDOFF_LINE = Pattern.compile("handoff=\"([0-9]+) messages were handed over");
    /** Calls to this one pass a proxy that delays them and now and then resets all its connections. */
    private static final int MALFORMED_DESTINATION = 5;

    private static final double RESET_PROBABILITY = 0.1;
    private static final long READY_MS = 120_000;
    private static final long ROLL_MS = 600_000;

    private final Plan plan;
    private final Consumer<String> lines;
    private final Path folder;
    private final TestEnvironment environment;
    private final LoadClients clients;
    private final LocalFleet fleet;
    private final Map<String, Long> downSince = new HashMap<>();
    private long lastPollMillis;
    private long upMillis;
    /** What the supervisor said last; the table is drawn on another thread. */
    private volatile JsonObject status;

    private final Random random;
    private long killed;
    private long scaleMillis;

    ScenarioRun(Plan plan, Consumer<String> lines) throws Exception {
        this.plan = plan;
        this.lines = lines;
        random = new Random(plan.seed());
        folder = Files.createTempDirectory("amberroute-");
        environment = new TestEnvironment(plan.seed());
        for (int d = 1; d <= DESTINATIONS; d++) {
            StubUpstream.Parameters figures = StubUpstream.Parameters.unlimited();
            // Two endpoints of 25 calls a second and slot: about 1.6 times what the busiest destination is asked.
            figures = figures.sized(Math.max(2, (int) Math.ceil(plan.perSecond() * 0.01)), 32, 40_000);
            figures = d == 3
                    ? figures.limited(Math.max(20, plan.perSecond() / 3), 0)
                    : d == 4 ? figures.limited(Math.max(20, plan.perSecond() / 3), 1_000_000) : figures;
            environment.destination(d, 2, figures, d % 2 == 0 ? "batch" : "single", d == MALFORMED_DESTINATION);
        }
        environment.fault(FaultProxy.Fault.delayed(1_000));
        int port = TestEnvironment.freePorts(2 * plan.daemons(), plan.seed());
        String more = !plan.move()
                ? ""
                : "rolling.move = true\nhandover.gentle = true\nhandover.listen = \"127.0.0.1:"
                        + (port + plan.daemons()) + "\"\n";
        environment.senderFile(folder, plan.daemons());
        Path file = environment.fleetFile(
                folder, plan.daemons(), port, InstallationDirectory.daemonJar(), more + plan.rolling());
        List<InetSocketAddress> senders = new ArrayList<>();
        for (int i = 0; i < plan.daemons(); i++) {
            senders.add(new InetSocketAddress(InetAddress.getLoopbackAddress(), port + i));
        }
        clients = environment.clients(senders, TestEnvironment.messageKinds());
        fleet = new LocalFleet(FleetDefinition.read(file, InstallationDirectory.daemonJar()));
    }

    /** Plays it all; the object has what is asked of the last line. */
    JsonObject run() throws Exception {
        long begun = millis();
        fleet.start();
        until(() -> status.get("ready").getAsBoolean(), READY_MS, "the fleet to be ready");
        upMillis = millis() - begun;
        lines.accept(plan.daemons() + " daemons are ready after " + upMillis + " ms");
        long quietFrom = TestEnvironment.micros();
        environment.runOnLoop(() ->
                clients.run(new LoadClients.Load(plan.perSecond(), 0.2, 12, Math.max(20, (int) plan.perSecond()), 8)));
        watch(plan.quiet());
        long quietTo = TestEnvironment.micros();
        long rollFrom = quietTo;
        for (int i = 0; i < plan.rolls(); i++) {
            lines.accept("rolling restart " + (i + 1) + " begins");
            JsonObject answer = fleet.ask("restart");
            if (!answer.get("ok").getAsBoolean()) {
                throw new IOException("restart refused: " + answer);
            }
            if (i == 0 && plan.outage() > 0) {
                watch(1_000);
                lines.accept("destination 1 is out");
                environment.setMode(1, StubUpstream.Mode.DEAD);
                watch(plan.outage());
                lines.accept("destination 1 is back, and cold");
                environment.setMode(1, StubUpstream.Mode.UP);
            }
            while (killed < plan.kills()) {
                watch(100 + random.nextInt(900));
                killOne();
            }
            until(() -> rollOver(), ROLL_MS, "the rolling restart to end");
            if (plan.kills() > 0) {
                until(() -> status.get("ready").getAsBoolean(), READY_MS, "the fleet to be ready again");
            }
            lines.accept(
                    "rolling restart " + (i + 1) + ": " + status.get("rolling").getAsString());
        }
        if (plan.scaleTo() > 0) {
            scale();
        }
        long rollTo = TestEnvironment.micros();
        watch(plan.after());
        rollTo = plan.scaleTo() > 0 ? TestEnvironment.micros() : rollTo;
        environment.runOnLoop(clients::pause);
        lines.accept("clients have stopped asking");
        awaitCompletion();
        fleet.stop(SupervisionPolicy.Mode.FINAL);
        return result(quietFrom, quietTo, rollFrom, rollTo);
    }

    private void scale() throws Exception {
        boolean outage = plan.rolls() == 0 && plan.outage() > 0;
        if (outage) {
            // Before anybody leaves, so that those who do hold something.
            lines.accept("destination 1 is out");
            environment.setMode(1, StubUpstream.Mode.DEAD);
            watch(plan.outage() / 2);
        }
        long from = millis();
        JsonObject request = FleetClient.request("scale");
        request.addProperty("to", plan.scaleTo());
        JsonObject answer = fleet.ask(request);
        if (!answer.get("ok").getAsBoolean()) {
            throw new IOException("scale refused: " + answer);
        }
        if (outage) {
            watch(plan.outage() / 2);
            environment.setMode(1, StubUpstream.Mode.UP);
        }
        until(() -> status.get("scaled").getAsBoolean(), ROLL_MS, "the fleet to be scaled");
        scaleMillis = millis() - from;
        lines.accept("from " + plan.daemons() + " to " + plan.scaleTo() + " daemons in " + scaleMillis + " ms");
    }

    /** Clients keep to those daemons that have not left for good. */
    private void follow(JsonArray daemons) {
        int active = 0;
        for (int i = 0; i < daemons.size(); i++) {
            active = daemons.get(i).getAsJsonObject().get("state").getAsString().equals("out") ? active : i + 1;
        }
        int there = active;
        environment.runOnLoop(() -> clients.useSenders(there));
    }

    private boolean rollOver() {
        String rolling = status.get("rolling").getAsString();
        return rolling.equals("done") || rolling.startsWith("aborted");
    }

    /** SIGKILL for any daemon that lives, ready or not. */
    private void killOne() {
        List<Long> alive = new ArrayList<>();
        status.getAsJsonArray("daemons")
                .forEach(d -> alive.add(d.getAsJsonObject().get("pid").getAsLong()));
        alive.removeIf(pid -> pid <= 0);
        if (!alive.isEmpty()) {
            ProcessHandle.of(alive.get(random.nextInt(alive.size()))).ifPresent(process -> {
                lines.accept("killed process " + process.pid());
                process.destroyForcibly();
                killed++;
            });
        }
    }

    /** Until every message has its end, or its time is long gone. */
    private void awaitCompletion() throws Exception {
        long end = millis() + 20_000;
        while (millis() < end
                && environment.callOnLoop(() ->
                        clients.openRequests() > 0 || environment.history().open() > 0)) {
            watch(200);
        }
    }

    private interface Condition {
        boolean holds();
    }

    private void until(Condition condition, long most, String what) throws Exception {
        long end = millis() + most;
        poll();
        while (status == null || !condition.holds()) {
            if (millis() > end) {
                throw new IOException("waited in vain for " + what + "; the supervisor says: " + fleet.log());
            }
            watch(100);
        }
    }

    private void watch(long span) throws Exception {
        long end = millis() + span;
        do {
            poll();
            if (random.nextDouble() < RESET_PROBABILITY) {
                environment.resetOne(random.nextInt());
            }
            Thread.sleep(Math.max(1, Math.min(100, end - millis())));
        } while (millis() < end);
    }

    /** Asks the supervisor how all are, and notes in the book when a daemon was away. */
    private void poll() {
        long now = TestEnvironment.micros();
        try {
            status = fleet.ask("status");
        } catch (IOException e) {
            return;
        }
        JsonArray daemons = status.getAsJsonArray("daemons");
        follow(daemons);
        for (int i = 0; i < daemons.size(); i++) {
            JsonObject d = daemons.get(i).getAsJsonObject();
            String name = d.get("name").getAsString();
            boolean ready = d.get("state").getAsString().equals("ready");
            int sender = i;
            if (!ready) {
                downSince.putIfAbsent(name, lastPollMillis);
            } else if (downSince.containsKey(name)) {
                long from = downSince.remove(name);
                environment.runOnLoop(() -> environment.history().senderDown(sender, from, now));
            }
        }
        lastPollMillis = now;
    }

    /** A live table: each daemon, each destination, and the books so far. */
    List<String> table() {
        List<String> out = new ArrayList<>(status == null ? List.of("the fleet starts") : FleetCommand.table(status));
        environment.runOnLoop(() -> {
            for (int i = 0; i < environment.upstreams().size(); i += 2) {
                StubUpstreamServer one = environment.upstreams().get(i);
                out.add(String.format(
                        "destination %d  %-7s  calls %6d  over its limit %4d",
                        one.destination(),
                        one.upstream().mode().name().toLowerCase(java.util.Locale.ROOT),
                        one.calls() + environment.upstreams().get(i + 1).calls(),
                        one.upstream().overLimit()
                                + environment.upstreams().get(i + 1).upstream().overLimit()));
            }
        });
        out.add(line());
        return out;
    }

    /** All books in one line. */
    String line() {
        DeliveryHistory.Totals t = environment.totals();
        long ready = 0;
        long held = 0;
        if (status != null) {
            for (JsonElement d : status.getAsJsonArray("daemons")) {
                ready += d.getAsJsonObject().get("state").getAsString().equals("ready") ? 1 : 0;
                held += d.getAsJsonObject().has("held")
                        ? d.getAsJsonObject().get("held").getAsLong()
                        : 0;
            }
        }
        return String.format(
                "ready %2d/%d  taken %6d  delivered %6d  returned %4d  failed %3d  held %4d  refused %5d  "
                        + "lost %d  doubled %d  out of order %d",
                ready,
                plan.daemons(),
                t.accepted(),
                t.delivered(),
                t.returned(),
                t.failed(),
                held,
                t.rejected(),
                t.lost(),
                t.duplicateExecutions(),
                t.outOfOrder());
    }

    private JsonObject result(long quietFrom, long quietTo, long rollFrom, long rollTo) {
        DeliveryHistory.Totals t = environment.totals();
        JsonObject out = new JsonObject();
        DeliveryTotalsJson.add(out, t);
        out.addProperty("asked", environment.callOnLoop(clients::submittedCount));
        out.addProperty("refused", t.rejected());
        out.addProperty("silent", t.unanswered());
        out.addProperty("daemons", plan.daemons());
        out.addProperty("seed", plan.seed());
        out.addProperty("up_ms", upMillis);
        out.addProperty(
                "in_time_quiet",
                round(environment.callOnLoop(() -> environment.history().shareInTime(quietFrom, quietTo))));
        out.addProperty(
                "in_time_rolling",
                round(environment.callOnLoop(() -> environment.history().shareInTime(rollFrom, rollTo))));
        out.addProperty("cold_share", round(environment.highestSlowStartShare()));
        out.addProperty("falls", environment.overloadCount());
        out.addProperty("kills", killed);
        if (plan.scaleTo() > 0) {
            out.addProperty("scaled_to", plan.scaleTo());
            out.addProperty("scale_ms", scaleMillis);
        }
        out.addProperty("handed_over", handedOffMessages());
        out.addProperty("rolling", status.get("rolling").getAsString());
        boolean ok = t.ok()
                && t.lateNotifications() == 0
                && t.accepted() > 0
                && (plan.rolls() == 0
                        || plan.kills() > 0
                        || status.get("rolling").getAsString().equals("done"));
        out.addProperty("ok", ok);
        if (!ok) {
            environment.callOnLoop(environment.history()::violations).forEach(c -> lines.accept("! " + c));
            environment
                    .callOnLoop(() -> environment.history().lost(TestEnvironment.micros()))
                    .forEach(c -> lines.accept("! lost " + c));
            lines.accept(fleet.log());
        }
        return out;
    }

    /** As the daemons' logs tell. */
    private long handedOffMessages() {
        long sum = 0;
        try (Stream<Path> files = Files.list(folder.resolve("run"))) {
            for (Path log : files.filter(f -> f.getFileName().toString().contains(".log"))
                    .toList()) {
                for (String line : Files.readAllLines(log)) {
                    Matcher told = HANDOFF_LINE.matcher(line);
                    sum += told.find() ? Long.parseLong(told.group(1)) : 0;
                }
            }
        } catch (IOException e) {
            lines.accept("the daemons' logs cannot be read: " + e);
        }
        return sum;
    }

    private static double round(double value) {
        return Math.round(value * 1e4) / 1e4;
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    /** The supervisor's log and each daemon's line of its stop, for people. */
    List<String> log() throws IOException {
        List<String> out = new ArrayList<>(fleet.log().lines().toList());
        try (Stream<Path> files = Files.list(folder.resolve("run"))) {
            for (Path log : files.filter(f -> f.getFileName().toString().endsWith(".log"))
                    .sorted()
                    .toList()) {
                Files.readAllLines(log).stream()
                        .filter(l -> l.contains("event=shutdown_"))
                        .forEach(l -> out.add(log.getFileName() + " " + l));
            }
        }
        return out;
    }

    Path folder() {
        return folder;
    }

    /** Ends what still runs and clears the run's folder. */
    @Override
    public void close() throws IOException {
        try (environment;
                fleet) {
            // Both are closed, the fleet first.
        } finally {
            LocalFleet.delete(folder);
        }
    }
}
