package amberroute.cli;

import amberroute.fleet.FleetClient;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

/** One daemon of a rig, as a process of its own with the platform's kind of JVM settings but for the heap. */
final class ExperimentDaemon {
    private static final long READY_TIMEOUT_MILLIS = 60_000;
    final Path state;
    final Path log;
    final Process process;

    ExperimentDaemon(Path folder, Path file, String name, int port, int heapMb, Map<String, String> more)
            throws IOException {
        this(folder, file, name, port, heapMb, more, false);
    }

    /** {@code again}: its log goes on behind that of the process before. */
    ExperimentDaemon(Path folder, Path file, String name, int port, int heapMb, Map<String, String> more, boolean again)
            throws IOException {
        state = folder.resolve(name);
        log = folder.resolve(name + ".log");
        ProcessBuilder builder = new ProcessBuilder(
                "java",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xshare:auto",
                "-Xmx" + heapMb + "m",
                "-Xss512k",
                "-jar",
                InstallationDirectory.daemonJar().toString(),
                "serve",
                "--config",
                file.toString());
        builder.environment().put("GW_NAME", name);
        builder.environment().put("GW_LISTEN", "127.0.0.1:" + port);
        builder.environment().put("GW_STATE", state.toString());
        builder.environment().putAll(more);
        process = builder.redirectErrorStream(true)
                .redirectOutput(
                        again
                                ? ProcessBuilder.Redirect.appendTo(log.toFile())
                                : ProcessBuilder.Redirect.to(log.toFile()))
                .start();
    }

    static JsonObject status(Path state) throws IOException {
        return FleetClient.ask(state.resolve("control"), FleetClient.request("status"));
    }

    JsonObject status() throws IOException {
        return FleetClient.ask(state.resolve("control"), FleetClient.request("status"));
    }

    void awaitReady() throws Exception {
        long end = System.nanoTime() + READY_TIMEOUT_MILLIS * 1_000_000;
        while (true) {
            try {
                if (status().get("state").getAsString().equals("ready")) {
                    return;
                }
            } catch (IOException | RuntimeException e) {
                // Not yet.
            }
            if (System.nanoTime() > end || !process.isAlive()) {
                throw new IOException("a daemon is not ready: " + Files.readString(log));
            }
            Thread.sleep(20);
        }
    }

    /** CPU time that the process has used, in milliseconds. */
    long cpuMillis() {
        return process.info()
                .totalCpuDuration()
                .map(java.time.Duration::toMillis)
                .orElse(0L);
    }
}
