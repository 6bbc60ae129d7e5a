package amberroute.sender.lifecycle;

import amberroute.sender.client.ClientServer;
import amberroute.sender.client.ConnectionDraining;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.notification.FailureNotifier;
import amberroute.sender.upstream.UpstreamClient;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Closes the client connections of a process that is replaced or ends, step by step so that clients do not reconnect all at once. The
 * event loop does the work; {@link #drain}, {@link #finish} and {@link #awaitFinished} are safe on any thread. Times are milliseconds.
 */
public final class ConnectionRetirement {
    /** Not before the successor is likely to serve: clients sent over earlier would only wait at its listener. */
    private static final long FIRST_STEP_MS = 300;

    private static final long STEP_MS = 20;
    private static final long LONGEST_WAIT_HOURS = 1;

    private final EventLoop loop;
    private final ClientServer clientServer;
    private final UpstreamClient upstream;
    private final FailureNotifier notifier;
    private final CompletableFuture<Integer> exitCode;
    private final BooleanSupplier reclaimPossible;
    private final CountDownLatch finished = new CountDownLatch(1);
    /** Null until the process is told to end. */
    private volatile ConnectionDraining draining;

    private Future<?> steps;

    /**
     * {@code exitCode} is completed when the process may end; {@code reclaimPossible} says that it may own the state folder again
     * within a moment.
     */
    public ConnectionRetirement(
            EventLoop loop,
            ClientServer clientServer,
            UpstreamClient upstream,
            FailureNotifier notifier,
            CompletableFuture<Integer> exitCode,
            BooleanSupplier reclaimPossible) {
        this.loop = loop;
        this.clientServer = clientServer;
        this.upstream = upstream;
        this.notifier = notifier;
        this.exitCode = exitCode;
        this.reclaimPossible = reclaimPossible;
    }

    /** Begins to close connections as the process is killed, or ends by itself, so many milliseconds from now at the soonest. */
    public void drain(long withinMillis) {
        if (draining != null) {
            return;
        }
        ConnectionDraining begun = new ConnectionDraining(SchedulerClock.millis(), withinMillis);
        draining = begun;
        loop.scheduleWithFixedDelay(
                () -> clientServer.drain(begun, SchedulerClock.millis()), 0, STEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Whether the process was told to end. */
    public boolean draining() {
        return draining != null;
    }

    /** Whether the connections close now, as the process ends soon. */
    public boolean closing() {
        return draining != null && draining.begun(SchedulerClock.millis());
    }

    /** Milliseconds until the process may be killed; only while {@link #draining}. */
    public long millisLeft() {
        return draining.millisUntilKill(SchedulerClock.millis());
    }

    /** Lets idle clients reconnect to the successor; {@code unanswered} counts submissions that wait for its answer. */
    public void startRetiring(int connectionsPerStep, IntSupplier unanswered) {
        steps = loop.scheduleWithFixedDelay(
                () -> retireStep(connectionsPerStep, unanswered), FIRST_STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Ends {@link #startRetiring}. */
    public void stopRetiring() {
        steps.cancel(false);
    }

    private void retireStep(int connectionsPerStep, IntSupplier unanswered) {
        clientServer.closeResting(connectionsPerStep);
        if (reclaimPossible.getAsBoolean()) {
            return;
        }
        boolean idle = upstream.callCount() == 0
                && unanswered.getAsInt() == 0
                && notifier.pending() == 0
                && clientServer.openConnections() == 0;
        if (draining != null && (idle || draining.isKillDue(SchedulerClock.millis()))) {
            finish(0);
        }
    }

    /** The process may end, with this exit code. */
    public void finish(int code) {
        finished.countDown();
        exitCode.complete(code);
    }

    /** Waits until the process may end. Not on the event loop. */
    public void awaitFinished() {
        try {
            finished.await(LONGEST_WAIT_HOURS, TimeUnit.HOURS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
