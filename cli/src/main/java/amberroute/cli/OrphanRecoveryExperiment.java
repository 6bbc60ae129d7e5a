package amberroute.cli;

import amberroute.fleet.FleetClient;
import amberroute.testkit.DeliveryHistory;
import amberroute.testkit.LoadClients;
import amberroute.testkit.StubUpstream;
import amberroute.testkit.TestEnvironment;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

@Command(
        name = "adoption",
        mixinStandardHelpOptions = true,
        description = {
            "Under load, one daemon after another is killed or stopped at a random moment, and replaced by one with a folder of",
            "its own that takes the old one's over; now and then the replacement is killed meanwhile, and one more follows.",
            "Exit code 0 where nothing was lost, doubled or out of order, every notice came in time and every zombie ended itself."
        })
final class OrphanRecoveryExperiment implements Callable<Integer> {
    private static final long READY_MS = 30_000;
    private static final int DESTINATIONS = 4;
    private static final Pattern RECOVERED_LINE =
            Pattern.compile("event=orphaned_folder_adopted .*?messages=([0-9]+) ");

    @Option(names = "--daemons", defaultValue = "3", description = "how many (${DEFAULT-VALUE})")
    private int daemons;

    @Option(names = "--rounds", defaultValue = "100", description = "daemons that are taken over (${DEFAULT-VALUE})")
    private int rounds;

    @Option(names = "--seed", defaultValue = "1", description = "for all random choices (${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--per-second", defaultValue = "60", description = "messages a second (${DEFAULT-VALUE})")
    private double perSecond;

    private final List<DaemonSlot> slots = new ArrayList<>();
    private Path folder;
    private Path file;
    private long zombies;
    private long zombiesEnded;
    private long recoverersKilled;
    private long longestAway;

    /** One instance's name and address over all its processes, with the folders that they had. */
    private final class DaemonSlot {
        final int index;
        final int port;
        final List<Path> folders = new ArrayList<>();
        Process process;

        DaemonSlot(int index, int port) {
            this.index = index;
            this.port = port;
        }

        void start() throws IOException {
            List<String> old = new ArrayList<>();
            // The newest first: what an older one still has may have been taken by a newer one in part.
            for (int i = folders.size() - 1; i >= Math.max(0, folders.size() - 4); i--) {
                old.add(folders.get(i).toString());
            }
            Path state = folder.resolve("s" + index + "-" + folders.size());
            folders.add(state);
            ProcessBuilder builder = new ProcessBuilder(
                    "java",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-Xshare:auto",
                    "-Xmx64m",
                    "-Xss512k",
                    "-jar",
                    InstallationDirectory.daemonJar().toString(),
                    "serve",
                    "--config",
                    file.toString());
            builder.environment().put("GW_NAME", "d" + index);
            builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
            builder.environment().put("GW_STATE", state.toString());
            builder.environment().put("GW_ADOPT", String.join(":", old));
            process = builder.redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(
                            folder.resolve("d" + index + ".log").toFile()))
                    .start();
        }

        Path state() {
            return folders.get(folders.size() - 1);
        }

        boolean ready() {
            try {
                return FleetClient.ask(state().resolve("control"), FleetClient.request("status"))
                        .get("state")
                        .getAsString()
                        .equals("ready");
            } catch (IOException | RuntimeException e) {
                return false;
            }
        }

        void awaitReady() throws Exception {
            long end = System.nanoTime() + READY_MS * 1_000_000;
            while (!ready()) {
                if (System.nanoTime() > end || !process.isAlive()) {
                    throw new IOException("daemon " + index + " is not ready: "
                            + Files.readString(folder.resolve("d" + index + ".log"))
                                    .lines()
                                    .reduce((a, b) -> b)
                                    .orElse(""));
                }
                Thread.sleep(10);
            }
        }
    }

    @Override
    public Integer call() throws Exception {
        folder = Files.createTempDirectory("amberroute-adoption-");
        Random random = new Random(seed);
        try (TestEnvironment stage = new TestEnvironment(seed)) {
            for (int d = 1; d <= DESTINATIONS; d++) {
                stage.destination(
                        d,
                        2,
                        StubUpstream.Parameters.unlimited().sized(8, 32, 60_000),
                        d % 2 == 0 ? "batch" : "single");
            }
            Path made = stage.senderFile(folder, daemons);
            file = folder.resolve("adoptable.toml");
            Files.writeString(file, "adoption = true\n" + Files.readString(made));
            int port = TestEnvironment.freePorts(daemons, seed);
            for (int i = 0; i < daemons; i++) {
                slots.add(new DaemonSlot(i, port + i));
                slots.get(i).start();
            }
            for (DaemonSlot slot : slots) {
                slot.awaitReady();
            }
            LoadClients clients =
                    stage.clients(TestEnvironment.addresses(port, daemons), TestEnvironment.messageKinds());
            stage.runOnLoop(() -> clients.run(new LoadClients.Load(perSecond, 0.2, 8, 40, 8)));
            for (int round = 0; round < rounds; round++) {
                // A partner that is away fills the journals, and calls that hang leave messages in doubt.
                int away = 1 + random.nextInt(DESTINATIONS);
                stage.setMode(away, random.nextBoolean() ? StubUpstream.Mode.DEAD : StubUpstream.Mode.HANG);
                Thread.sleep(200 + random.nextInt(800));
                replace(stage, slots.get(random.nextInt(daemons)), random);
                stage.setMode(away, StubUpstream.Mode.UP);
                if ((round + 1) % 10 == 0) {
                    System.out.println((round + 1) + " rounds: " + stage.totals());
                }
            }
            stage.awaitCompletion(() -> {});
            return result(stage);
        } finally {
            for (DaemonSlot slot : slots) {
                slot.process.destroyForcibly().waitFor();
            }
            LocalFleet.delete(folder);
        }
    }

    private void replace(TestEnvironment stage, DaemonSlot slot, Random random) throws Exception {
        Process old = slot.process;
        long from = TestEnvironment.micros();
        boolean zombie = random.nextInt(3) == 0;
        if (zombie) {
            zombies++;
            signal("STOP", old);
        } else {
            old.destroyForcibly().waitFor();
        }
        Path orphan = slot.state();
        slot.start();
        if (random.nextInt(5) == 0) {
            // Anywhere in its start, the taking over included.
            Thread.sleep(random.nextInt(700));
            slot.process.destroyForcibly().waitFor();
            recoverersKilled++;
            slot.start();
        }
        if (zombie) {
            awaitFence(orphan, slot);
            Thread.sleep(random.nextInt(200));
            signal("CONT", old);
            zombiesEnded += old.waitFor(10, TimeUnit.SECONDS) && old.exitValue() == 5 ? 1 : 0;
            old.destroyForcibly().waitFor();
        }
        slot.awaitReady();
        long to = TestEnvironment.micros();
        longestAway = Math.max(longestAway, to - from);
        stage.runOnLoop(() -> stage.history().senderDown(slot.index, from, to));
    }

    /** Until the folder is another's, which the zombie has to find when it wakes up. */
    private static void awaitFence(Path orphan, DaemonSlot slot) throws Exception {
        long end = System.nanoTime() + READY_MS * 1_000_000;
        while (!Files.exists(orphan.resolve("fence"))) {
            if (System.nanoTime() > end || !slot.process.isAlive()) {
                throw new IOException("nobody raised a fence in " + orphan.getFileName());
            }
            Thread.sleep(5);
        }
    }

    private static void signal(String name, Process process) throws Exception {
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    /** As the daemons' logs tell. */
    private long adopted() throws IOException {
        long sum = 0;
        for (DaemonSlot slot : slots) {
            for (String line : Files.readAllLines(folder.resolve("d" + slot.index + ".log"))) {
                Matcher told = RECOVERED_LINE.matcher(line);
                sum += told.find() ? Long.parseLong(told.group(1)) : 0;
            }
        }
        return sum;
    }

    private int result(TestEnvironment stage) throws IOException {
        DeliveryHistory.Totals t = stage.totals();
        JsonObject out = new JsonObject();
        out.addProperty("rounds", rounds);
        out.addProperty("daemons", daemons);
        out.addProperty("seed", seed);
        DeliveryTotalsJson.add(out, t);
        out.addProperty("zombies", zombies);
        out.addProperty("zombies_ended", zombiesEnded);
        out.addProperty("takers_killed", recoverersKilled);
        out.addProperty("adopted", adopted());
        out.addProperty("longest_away_ms", longestAway / 1_000);
        boolean ok = t.ok() && t.lateNotifications() == 0 && t.accepted() > 0 && zombies == zombiesEnded;
        out.addProperty("ok", ok);
        if (!ok) {
            stage.callOnLoop(stage.history()::violations).forEach(c -> System.out.println("! " + c));
            stage.callOnLoop(() -> stage.history().lost(TestEnvironment.micros()))
                    .forEach(c -> System.out.println("! lost " + c));
        }
        System.out.println(out);
        return ok ? 0 : Main.BAD;
    }
}
