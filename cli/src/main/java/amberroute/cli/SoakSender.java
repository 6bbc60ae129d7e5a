package amberroute.cli;

import amberroute.testkit.TestEnvironment;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One sender of a soak over all its processes: started by the deploy file's {@code run}, with the same state folder each time. Used by
 * one thread, but for {@link #kill}.
 */
final class SoakSender {
    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long POLL_MILLIS = 5;
    private static final int REQUEST_TIMEOUT_MILLIS = 500;
    private static final int HTTP_OK = 200;

    private final int number;
    private final SoakConfiguration configuration;
    private final Path folder;
    private final Path log;
    private final SoakTimeline timeline;
    private volatile Process process;
    /** Whether the end of the present process was asked for. */
    private volatile boolean endExpected;

    SoakSender(int number, Path folder, SoakConfiguration configuration, SoakTimeline timeline) {
        this.number = number;
        this.folder = folder;
        this.configuration = configuration;
        this.timeline = timeline;
        log = folder.resolve("n" + number + ".log");
    }

    int number() {
        return number;
    }

    Path log() {
        return log;
    }

    SoakConfiguration configuration() {
        return configuration;
    }

    private void note(String text) {
        timeline.action("n" + number, text);
    }

    /** The command that the deploy file has for senders. */
    private static String runCommand(Path root) throws IOException {
        Matcher run = Pattern.compile("(?m)^run = \"([^\"]+)\"")
                .matcher(Files.readString(root.resolve("deploy").resolve("balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run");
        }
        return run.group(1);
    }

    /** Starts a process and returns at once. */
    void start() throws IOException {
        Path root = InstallationDirectory.daemonJar().getParent().getParent();
        Path temporary = Files.createDirectories(folder.resolve("tmp" + number));
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand(root));
        builder.directory(root.toFile());
        builder.environment().put("GW_CONFIG", configuration.file().toString());
        builder.environment().put("GW_STATE", folder.resolve("state" + number).toString());
        builder.environment().put("TMPDIR", temporary.toString());
        endExpected = false;
        process = builder.redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        note("started as " + process.pid());
    }

    /** Waits until it is ready; returns after how many milliseconds, -1 where it ended or never was. */
    long awaitReady() throws InterruptedException {
        long start = System.nanoTime();
        while (process.isAlive() && millisSince(start) < READY_TIMEOUT_MILLIS) {
            if (ready()) {
                note("ready after " + millisSince(start) + " ms");
                return millisSince(start);
            }
            Thread.sleep(POLL_MILLIS);
        }
        return -1;
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private boolean ready() {
        try {
            URI uri = URI.create("http://127.0.0.1:" + configuration.opsPort() + "/-/ready");
            HttpURLConnection connection = (HttpURLConnection) uri.toURL().openConnection();
            connection.setConnectTimeout(REQUEST_TIMEOUT_MILLIS);
            connection.setReadTimeout(REQUEST_TIMEOUT_MILLIS);
            int status = connection.getResponseCode();
            try (InputStream body = status == HTTP_OK ? connection.getInputStream() : connection.getErrorStream()) {
                if (body != null) {
                    body.readAllBytes();
                }
            }
            return status == HTTP_OK;
        } catch (IOException e) {
            return false;
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Whether the process has ended and nobody had asked it to. */
    boolean endedByItself() {
        return !process.isAlive() && !endExpected;
    }

    /** Sends TERM: the process may end from now on. */
    void terminate() throws IOException, InterruptedException {
        endExpected = true;
        signal("TERM");
    }

    /** Sends a signal that does not end the process. */
    void signal(String name) throws IOException, InterruptedException {
        note("SIG" + name);
        new ProcessBuilder("/bin/sh", "-c", "kill -" + name + " " + process.pid())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }

    /** Kills the process at once. Safe for use by several threads. */
    void kill() {
        endExpected = true;
        note("SIGKILL at " + TestEnvironment.micros());
        if (process != null) {
            process.destroyForcibly();
        }
    }

    /** Waits until the process has ended. */
    void awaitEnd() {
        if (process != null) {
            process.onExit().join();
        }
    }
}
