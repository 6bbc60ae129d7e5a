package amberroute.cli;

import amberroute.fleet.FleetClient;
import amberroute.fleet.FleetDefinition;
import amberroute.fleet.SupervisionPolicy;
import amberroute.fleet.Supervisor;
import com.google.gson.JsonObject;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** A fleet of real daemons under a supervisor on a thread of this process, for the demo and the rigs. */
final class LocalFleet implements AutoCloseable {
    private static final long STOP_MS = 60_000;

    private final FleetDefinition definition;
    private final Supervisor supervisor;
    private final Thread thread;
    private final ByteArrayOutputStream log = new ByteArrayOutputStream();

    /** Takes the fleet's folder; nothing is started yet. */
    LocalFleet(FleetDefinition definition) throws IOException {
        this.definition = definition;
        supervisor = new Supervisor(definition, new PrintStream(log, true, StandardCharsets.UTF_8));
        thread = new Thread(
                () -> {
                    try {
                        supervisor.run();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                },
                "supervisor");
    }

    void start() {
        thread.start();
    }

    JsonObject ask(String what) throws IOException {
        return FleetClient.ask(definition.control(), FleetClient.request(what));
    }

    JsonObject ask(JsonObject request) throws IOException {
        return FleetClient.ask(definition.control(), request);
    }

    /** Waits until the supervisor's status is so, for so many milliseconds at most. */
    void await(long most, Predicate<JsonObject> condition) throws IOException, InterruptedException {
        long end = System.nanoTime() + most * 1_000_000;
        while (!condition.test(ask("status"))) {
            if (System.nanoTime() > end) {
                throw new IOException("the fleet does not get there: " + log());
            }
            Thread.sleep(20);
        }
    }

    void awaitReady(long most) throws IOException, InterruptedException {
        await(most, status -> status.get("ready").getAsBoolean());
    }

    /** What the supervisor has logged. */
    String log() {
        return log.toString(StandardCharsets.UTF_8);
    }

    /** Stops all daemons and waits for it. */
    void stop(SupervisionPolicy.Mode mode) throws IOException {
        supervisor.stop(mode);
        try {
            thread.join(STOP_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (thread.isAlive()) {
            throw new IOException("the fleet did not stop; the supervisor says: " + log());
        }
    }

    /** Ends what still runs. */
    @Override
    public void close() throws IOException {
        try (supervisor) {
            if (thread.isAlive()) {
                stop(SupervisionPolicy.Mode.RESTART);
            }
        }
    }

    /** Removes a run's folder with all that is in it. */
    static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }
}
