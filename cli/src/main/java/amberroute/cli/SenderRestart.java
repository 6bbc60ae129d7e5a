package amberroute.cli;

import amberroute.testkit.LoadClients;
import amberroute.testkit.TestEnvironment;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Ends and starts the process of one sender, and tells the delivery history and the clients of it. The state folder stays. Used by one
 * thread.
 */
final class SenderRestart {
    /** The next start comes so long behind SIGKILL. */
    private static final long START_AFTER_KILL_MILLIS = 600;
    /** A process has to be ready within this time. */
    private static final long READY_WITHIN_MILLIS = 10_000;

    private final SoakSender sender;
    private final TestEnvironment environment;
    private final LoadClients clients;
    private final SoakTimeline timeline;
    private final List<String> findings = new ArrayList<>();
    /** Since when it is being restarted, 0 while it serves. */
    private volatile long downSinceMicros;

    private long longestReadyMillis;
    private int count;

    SenderRestart(SoakSender sender, TestEnvironment environment, LoadClients clients, SoakTimeline timeline) {
        this.sender = sender;
        this.environment = environment;
        this.clients = clients;
        this.timeline = timeline;
    }

    /** Notes what must not happen. */
    void report(String finding) {
        timeline.finding(finding);
        findings.add(finding);
    }

    List<String> findings() {
        return List.copyOf(findings);
    }

    long longestReadyMillis() {
        return longestReadyMillis;
    }

    /** Returns how many processes were started. */
    int count() {
        return count;
    }

    /** From now on until it is ready again. */
    void goesDown() {
        downSinceMicros = downSinceMicros == 0 ? TestEnvironment.micros() : downSinceMicros;
    }

    /** Kills the process without a warning and starts the next one. */
    void killAndStart() throws IOException, InterruptedException {
        goesDown();
        environment.runOnLoop(() -> {
            environment.history().senderKilled(sender.number(), TestEnvironment.micros());
            sender.kill();
        });
        endAndStart();
    }

    /** Kills the process, which the history and the clients know of, and starts the next one. */
    void endAndStart() throws IOException, InterruptedException {
        sender.kill();
        sender.awaitEnd();
        Thread.sleep(START_AFTER_KILL_MILLIS);
        // With the endpoint list as it is by now.
        sender.configuration().write(SoakConfiguration.Limits.INITIAL);
        sender.start();
        count++;
        environment.runOnLoop(() -> clients.allowConnecting(sender.number()));
    }

    /** Waits until the process serves. */
    void awaitReady() throws InterruptedException {
        long millis = sender.awaitReady();
        if (millis < 0 || millis > READY_WITHIN_MILLIS) {
            report("n" + sender.number() + " was not ready in time: " + millis + " ms");
        }
        longestReadyMillis = Math.max(longestReadyMillis, millis);
        long fromMicros = downSinceMicros;
        downSinceMicros = 0;
        environment.runOnLoop(
                () -> environment.history().senderDown(sender.number(), fromMicros, TestEnvironment.micros()));
    }
}
