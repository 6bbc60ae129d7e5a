package amberroute.cli;

import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.FaultInjectionNetwork;
import amberroute.testkit.FaultScript;
import amberroute.testkit.FaultScript.Fault;
import amberroute.testkit.FaultScript.Kind;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "survivors",
        mixinStandardHelpOptions = true,
        description = {
            "Daemons that hold copies of one another's work, under load, with a net of faults between them: in each round one or two",
            "faults (killed, killed with the folder gone, stopped, cut off, split, datagrams lost), then all heals.",
            "Exit code 0 where nothing was lost, doubled or out of order and every notice came in time."
        })
final class FailoverExperiment implements Callable<Integer> {
    private static final int DESTINATIONS = 4;
    private static final long READY_TIMEOUT_MILLIS = 30_000;
    /** A loss is told in docs/survival.md as costing so much: what falls due meanwhile is told late. */
    private static final long FAILOVER_TIMEOUT_MICROS = 4_000_000;
    /** The longest that a message of the stage's classes lives. */
    private static final long MESSAGE_LIFETIME_MICROS = 6_000_000;

    private static final int REPLICA_COUNT = 3;
    private static final long REPLICATED_TIMEOUT_MILLIS = 15_000;

    @Option(names = "--daemons", defaultValue = "7", description = "how many (${DEFAULT-VALUE})")
    private int daemons;

    @Option(names = "--rounds", defaultValue = "20", description = "rounds of faults (${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--per-second", defaultValue = "100", description = "messages a second (${DEFAULT-VALUE})")
    private double perSecond;

    @Option(
            names = "--kinds",
            split = ",",
            defaultValue = "KILL,LOSE,PAUSE,CUT,ONE_WAY,SPLIT,FLAP,STORM",
            description = "which faults are drawn (${DEFAULT-VALUE})")
    private List<Kind> kinds;

    @Option(
            names = "--script",
            description = "the faults of every round, in place of drawn ones: KIND:TARGET:AT_MS:LASTS_MS,...")
    private String script;

    @Option(
            names = "--quiet",
            defaultValue = "3",
            description = "seconds under load before the first round (${DEFAULT-VALUE})")
    private int quiet;

    @Option(names = "--off", description = "without copies: what the same costs there")
    private boolean replicationOff;

    @Option(names = "--direct", description = "without the net of faults between the daemons, for what copies cost")
    private boolean direct;

    @Option(names = "--logs", description = "print the daemons' logs at the end")
    private boolean logs;

    private final List<FailoverDaemon> slots = new ArrayList<>();
    private final List<Long> failoverMillis = new ArrayList<>();
    /** When each daemon was last befallen: what it had may be at any other since. */
    private final Map<Integer, Long> faultedAtMillis = new TreeMap<>();

    private final Map<Kind, Integer> faultCounts = new TreeMap<>();
    private Path folder;
    private Path file;
    private FaultInjectionNetwork network;
    private TestEnvironment environment;
    private long released;
    /** How long it took behind each round until all estates had all their copies again. */
    private final List<Long> fullyReplicatedMillis = new ArrayList<>();

    private long notFullyReplicated;
    private String missingReplicas = "";
    private long startCpuMillis;
    private long steadySince;
    private long steadyCpuMillis;

    @Override
    public Integer call() throws Exception {
        folder = Files.createTempDirectory("amberroute-survivors-");
        Random random = new Random(seed);
        try (TestEnvironment made = new TestEnvironment(seed)) {
            environment = made;
            for (int d = 1; d <= DESTINATIONS; d++) {
                environment.destination(
                        d,
                        2,
                        StubUpstream.Parameters.unlimited().sized(8, 32, 40_000),
                        d % 2 == 0 ? "batch" : "single");
            }
            file = environment.senderFile(
                    folder,
                    daemons,
                    "handover.listen = \"127.0.0.1:1\"\nhandover.peers = [\"none=127.0.0.1:1\"]\n"
                            + (replicationOff ? "" : "survival.on = true\n"));
            int port = TestEnvironment.freePorts(2 * daemons + daemons * daemons, seed);
            List<InetSocketAddress> senders = TestEnvironment.addresses(port, daemons);
            List<InetSocketAddress> listeners = TestEnvironment.addresses(port + daemons, daemons);
            for (int i = 0; i < daemons; i++) {
                slots.add(new FailoverDaemon(i, port + i, "127.0.0.1:" + (port + daemons + i), folder, file));
            }
            network = environment.network(listeners, port + 2 * daemons);
            for (FailoverDaemon slot : slots) {
                slot.setPeers(peers(slot));
                slot.start();
            }
            awaitReady();
            startCpuMillis = totalCpuMillis();
            LoadClients clients = environment.clients(senders, TestEnvironment.messageKinds());
            environment.runOnLoop(() -> clients.run(new LoadClients.Load(perSecond, 0.2, 8, 40, 8)));
            // The first half warms the daemons up: what is compiled there is not what a message costs.
            Thread.sleep(quiet * 500L);
            steadySince = TestEnvironment.micros();
            steadyCpuMillis = totalCpuMillis();
            Thread.sleep(quiet * 500L);
            for (int round = 0; round < rounds; round++) {
                FaultScript faults =
                        script != null ? FaultScript.read(script) : FaultScript.draw(random, daemons, kinds);
                int away = 1 + random.nextInt(DESTINATIONS);
                System.out.println("round " + round + " at " + TestEnvironment.micros() / 1_000 + " destination " + away
                        + " faults " + faults);
                // A partner that is away fills what is in hand.
                environment.setMode(away, random.nextBoolean() ? StubUpstream.Mode.DEAD : StubUpstream.Mode.HANG);
                Thread.sleep(400);
                play(faults, away);
            }
            environment.awaitCompletion(() -> slots.forEach(slot -> pollUnchecked(slot)));
            return result();
        } finally {
            if (logs) {
                for (FailoverDaemon slot : slots) {
                    System.out.println("-- " + slot.name());
                    System.out.println(Files.readString(slot.log()));
                }
            }
            for (FailoverDaemon slot : slots) {
                slot.close();
            }
            LocalFleet.delete(folder);
        }
    }

    /** Returns the peers of a daemon: behind the network of faults, or {@code direct}, which measures what replicas cost. */
    private List<String> peers(FailoverDaemon slot) {
        return slots.stream()
                .filter(peer -> peer != slot)
                .map(peer ->
                        peer.name() + "=" + (direct ? peer.handoffAddress : network.address(slot.index, peer.index)))
                .toList();
    }

    /** Returns the CPU time of all processes so far, in milliseconds. */
    private long totalCpuMillis() {
        return slots.stream().mapToLong(FailoverDaemon::cpuMillis).sum();
    }

    private static void pollUnchecked(FailoverDaemon slot) {
        try {
            slot.poll();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void awaitReady() throws Exception {
        long end = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        for (FailoverDaemon slot : slots) {
            while (!slot.isReady()) {
                if (System.nanoTime() > end) {
                    throw new IOException(slot.name() + " is not ready: " + Files.readString(slot.log()));
                }
                slot.poll();
                Thread.sleep(20);
            }
        }
    }

    /**
     * What one folder's loss leaves is made whole before the next folder is taken, as two of a group's at once are not survived:
     * each estate that goes on has all its holders' copies, and they count.
     */
    private void awaitFullyReplicated() throws Exception {
        long from = System.nanoTime();
        while (!replicationOff
                && !fullyReplicated()
                && System.nanoTime() - from < REPLICATED_TIMEOUT_MILLIS * 1_000_000) {
            for (FailoverDaemon slot : slots) {
                // A process may find only now that its estate goes on elsewhere.
                slot.poll();
            }
            Thread.sleep(50);
        }
        long took = (System.nanoTime() - from) / 1_000_000;
        fullyReplicatedMillis.add(took);
        if (took >= REPLICATED_TIMEOUT_MILLIS) {
            notFullyReplicated++;
            System.out.println("not whole: " + missingReplicas);
        }
    }

    private boolean fullyReplicated() {
        missingReplicas = slots.stream()
                .map(slot -> slot.missingReplicas(Math.min(REPLICA_COUNT, daemons)))
                .filter(missing -> !missing.isEmpty())
                .findFirst()
                .orElse("");
        return missingReplicas.isEmpty();
    }

    /** One thing that is to be done at a moment of the round. */
    private record ScheduledStep(long at, Callable<Void> work) {}

    private void play(FaultScript faults, int away) throws Exception {
        List<ScheduledStep> due = new ArrayList<>();
        long longest = 0;
        for (Fault f : faults.faults()) {
            faultCounts.merge(f.kind(), 1, Integer::sum);
            due.add(new ScheduledStep(f.atMillis(), () -> begin(f)));
            if (f.kind() == Kind.FLAP) {
                for (long at = f.atMillis() + 200; at < f.atMillis() + f.durationMillis(); at += 200) {
                    boolean cut = (at - f.atMillis()) / 200 % 2 == 0;
                    due.add(new ScheduledStep(at, () -> split(List.of(f.target()), cut)));
                }
            }
            if (f.kind() == Kind.SLOW) {
                for (long at = f.atMillis(); at < f.atMillis() + f.durationMillis(); at += 100) {
                    due.add(new ScheduledStep(at, () -> signal(f.target(), "STOP")));
                    due.add(new ScheduledStep(at + 90, () -> signal(f.target(), "CONT")));
                }
            }
            due.add(new ScheduledStep(f.atMillis() + f.durationMillis(), () -> end(f)));
            longest = Math.max(longest, f.atMillis() + f.durationMillis());
        }
        due.add(new ScheduledStep(1_200, () -> {
            environment.setMode(away, StubUpstream.Mode.UP);
            return null;
        }));
        due.sort((a, b) -> Long.compare(a.at(), b.at()));
        long start = System.nanoTime();
        long rest = longest + 2_500;
        int next = 0;
        while (next < due.size() || (System.nanoTime() - start) / 1_000_000 < rest) {
            while (next < due.size()
                    && (System.nanoTime() - start) / 1_000_000 >= due.get(next).at()) {
                due.get(next++).work().call();
            }
            for (FailoverDaemon slot : slots) {
                slot.poll();
            }
            Thread.sleep(10);
        }
        environment.runOnLoop(network::heal);
        awaitReady();
        awaitFullyReplicated();
        for (FailoverDaemon slot : slots) {
            if (slot.lostAtMillis > 0) {
                long took = failoverMillis(slot);
                if (took >= 0) {
                    failoverMillis.add(took);
                }
                slot.lostAtMillis = 0;
            }
        }
    }

    private Void begin(Fault f) throws Exception {
        FailoverDaemon slot = slots.get(f.target());
        long now = TestEnvironment.micros();
        switch (f.kind()) {
            case KILL, LOSE, OLD_FOLDER -> {
                if (slot.stopped) {
                    return null;
                }
                slot.stopped = true;
                if (f.kind() == Kind.OLD_FOLDER) {
                    slot.copyState();
                    Thread.sleep(100);
                }
                slot.kill();
                if (f.kind() == Kind.LOSE) {
                    slot.lostAtMillis = System.currentTimeMillis();
                    slot.deleteState();
                }
            }
            case PAUSE -> slot.signal("STOP");
            case RESTART -> slot.signal("TERM");
            case SLOW -> {}
            case RELEASE -> release(slot);
            case CUT, FLAP -> split(List.of(f.target()), true);
            case ONE_WAY -> oneWay(f.target(), true);
            case SPLIT -> split(half(f.target()), true);
            default -> environment.runOnLoop(
                    () -> network.conditions(new FaultInjectionNetwork.LinkConditions(0.2, 0.05, 60_000)));
        }
        long until = now + Math.max(FAILOVER_TIMEOUT_MICROS, f.durationMillis() * 1_000);
        environment.runOnLoop(() -> environment.history().senderDown(f.target(), now, until));
        // What this one had taken over, or been handed, is delayed with its own.
        faultedAtMillis.forEach((other, at) -> {
            if (other != f.target() && now - at < MESSAGE_LIFETIME_MICROS + FAILOVER_TIMEOUT_MICROS) {
                environment.runOnLoop(() -> environment.history().senderDown(other, now, until));
            }
        });
        faultedAtMillis.put(f.target(), now);
        if (f.kind() == Kind.SPLIT) {
            // A group may have its majority on the other side of whichever half its owner is in.
            slots.forEach(s -> environment.runOnLoop(() -> environment
                    .history()
                    .senderDown(s.index, now, now + f.durationMillis() * 1_000 + FAILOVER_TIMEOUT_MICROS)));
        }
        return null;
    }

    private Void end(Fault f) throws Exception {
        FailoverDaemon slot = slots.get(f.target());
        switch (f.kind()) {
            case KILL, LOSE, OLD_FOLDER -> {
                if (f.kind() == Kind.OLD_FOLDER) {
                    slot.restoreState();
                }
                slot.stopped = false;
            }
            case PAUSE -> slot.signal("CONT");
            case SLOW -> slot.signal("CONT");
            case RESTART, RELEASE -> {}
            case CUT, FLAP -> split(List.of(f.target()), false);
            case ONE_WAY -> oneWay(f.target(), false);
            case SPLIT -> split(half(f.target()), false);
            default -> environment.runOnLoop(() -> network.conditions(FaultInjectionNetwork.LinkConditions.CLEAR));
        }
        return null;
    }

    /** Returns the milliseconds from a loss until the first other daemon had resumed what was lost, -1 where none has. */
    private long failoverMillis(FailoverDaemon lost) throws IOException {
        long earliest = -1;
        for (FailoverDaemon slot : slots) {
            long millis = slot.failoverMillis(lost);
            earliest = millis >= 0 && (earliest < 0 || millis < earliest) ? millis : earliest;
        }
        return earliest;
    }

    /** Asks each daemon to release what it has taken over from this one. */
    private void release(FailoverDaemon owner) {
        slots.forEach(slot -> released += slot.releaseJournalsOf(owner));
    }

    private List<Integer> half(int from) {
        List<Integer> out = new ArrayList<>();
        for (int i = 0; i < daemons / 2; i++) {
            out.add((from + i) % daemons);
        }
        return out;
    }

    private Void signal(int target, String name) throws Exception {
        slots.get(target).signal(name);
        return null;
    }

    private Void split(List<Integer> some, boolean on) {
        environment.runOnLoop(() -> network.split(some, on));
        return null;
    }

    private void oneWay(int from, boolean on) {
        environment.runOnLoop(() -> {
            for (int to = 0; to < daemons; to++) {
                if (to != from) {
                    network.cut(from, to, on);
                }
            }
        });
    }

    private int result() throws Exception {
        DeliveryHistory.Totals t = environment.totals();
        long allCpuMillis = totalCpuMillis();
        JsonObject out = new JsonObject();
        out.addProperty("rounds", rounds);
        out.addProperty("daemons", daemons);
        out.addProperty("seed", seed);
        out.addProperty("faults", faultCounts.toString());
        DeliveryTotalsJson.add(out, t);
        out.addProperty("refused", t.rejected());
        out.addProperty("errors", t.errors());
        out.addProperty("silent", t.unanswered());
        out.addProperty("in_time", t.inTime());
        out.addProperty(
                "estates_over",
                slots.stream().mapToInt(FailoverDaemon::lostLeaderships).sum());
        out.addProperty("takeovers_seen", failoverMillis.size());
        out.addProperty("released", released);
        failoverMillis.sort(null);
        if (!failoverMillis.isEmpty()) {
            out.addProperty("takeover_ms_median", failoverMillis.get(failoverMillis.size() / 2));
            out.addProperty("takeover_ms_p99", failoverMillis.get((int)
                    Math.min(failoverMillis.size() - 1, failoverMillis.size() * 99L / 100)));
        }
        fullyReplicatedMillis.sort(null);
        if (!fullyReplicatedMillis.isEmpty()) {
            out.addProperty("whole_ms_median", fullyReplicatedMillis.get(fullyReplicatedMillis.size() / 2));
            out.addProperty("whole_ms_most", fullyReplicatedMillis.get(fullyReplicatedMillis.size() - 1));
            out.addProperty("not_whole", notFullyReplicated);
        }
        out.addProperty(
                "taken_ms_p50",
                environment.callOnLoop(() -> environment.history().acceptLatencyPercentile(0.5)) / 1e3);
        out.addProperty(
                "taken_ms_p99",
                environment.callOnLoop(() -> environment.history().acceptLatencyPercentile(0.99)) / 1e3);
        out.addProperty("start_cpu_ms", startCpuMillis);
        out.addProperty(
                "cpu_us_a_message", t.accepted() == 0 ? 0 : (allCpuMillis - startCpuMillis) * 1_000 / t.accepted());
        long steady = environment.callOnLoop(() -> environment.history().acceptedSince(steadySince));
        out.addProperty("steady_taken", steady);
        out.addProperty(
                "steady_ms_p50",
                environment.callOnLoop(() -> environment.history().acceptLatencyPercentile(0.5, steadySince)) / 1e3);
        out.addProperty(
                "steady_ms_p99",
                environment.callOnLoop(() -> environment.history().acceptLatencyPercentile(0.99, steadySince)) / 1e3);
        out.addProperty("steady_cpu_us_a_message", steady == 0 ? 0 : (allCpuMillis - steadyCpuMillis) * 1_000 / steady);
        boolean ok = t.ok() && t.lateNotifications() == 0 && t.accepted() > 0;
        out.addProperty("ok", ok);
        if (!ok) {
            environment.callOnLoop(environment.history()::violations).forEach(c -> System.out.println("! " + c));
            environment
                    .callOnLoop(() -> environment.history().lost(TestEnvironment.micros()))
                    .forEach(c -> System.out.println("! lost " + c));
            environment.callOnLoop(() -> environment.history().late()).forEach(c -> System.out.println("! late " + c));
        }
        System.out.println(out);
        return ok ? 0 : Main.BAD;
    }
}
