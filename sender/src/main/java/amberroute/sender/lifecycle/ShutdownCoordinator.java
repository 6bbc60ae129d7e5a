package amberroute.sender.lifecycle;

import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.client.ClientServer;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.notification.FailureNotifier;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.Collection;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Carries out a {@link ShutdownSequence}: a stop for a restart, for a move to peers, or for good. At its end the exit code is
 * completed, and the process closes its sockets and files. Event loop only; times are milliseconds.
 */
public final class ShutdownCoordinator {
    /** Exit code of a stop for good that left something in the journal. */
    public static final int EXIT_LEFT_OVER = 3;

    private static final long STEP_MS = 10;
    /** Connections of a daemon that leaves close once they have been idle for so long. */
    private static final long IDLE_BEFORE_CLOSE_MS = 250;
    /** Idle client connections close in so many steps. */
    private static final int RETIREMENT_STEPS = 100;

    /** What a stop does with messages. */
    public interface Host {
        /** Messages that are accepted, submitted, deferred or offered to peers. */
        int pendingCount();

        /** Messages in delivery. */
        Collection<AcceptedMessage> accepted();

        /** Answers submissions that were deferred, where that is possible now; false where none were. */
        boolean retryDeferred();

        /** Tells the scheduler how many microseconds calls may still take. */
        void announceStop(long withinMicros);

        /** Announces the ordered keys of this sender to peers, and offers them what can move. */
        void announceKeys();

        /** Offers to peers what can move. */
        void offerMessages();

        /** Completes all messages that are left; no call is in flight. */
        void completeAll();

        /** Tells the holders of replicas that this sender comes back. */
        void announceReturn();

        /** Describes what went to peers for the log, null where no handoff is configured. */
        String handoffSummary();
    }

    private final EventLoop loop;
    private final LifecycleState lifecycle;
    private final ClientServer clientServer;
    private final UpstreamClient upstream;
    private final FailureNotifier notifier;
    private final ConnectionRetirement connections;
    private final ServiceManagerNotifier serviceManager;
    private final CompletableFuture<Integer> exitCode;
    private final long restartMillis;
    private final Host host;
    /** Null until a stop begins. */
    private ShutdownSequence sequence;
    /** A stop requested before the sender serves, which begins then. */
    private Runnable requestedEarly;

    private Future<?> steps;
    private int connectionsPerStep;
    private boolean callsStopped;

    /** {@code restartMillis} is how long after its end a restarted sender serves again. */
    public ShutdownCoordinator(
            EventLoop loop,
            LifecycleState lifecycle,
            ClientServer clientServer,
            UpstreamClient upstream,
            FailureNotifier notifier,
            ConnectionRetirement connections,
            ServiceManagerNotifier serviceManager,
            CompletableFuture<Integer> exitCode,
            long restartMillis,
            Host host) {
        this.loop = loop;
        this.lifecycle = lifecycle;
        this.clientServer = clientServer;
        this.upstream = upstream;
        this.notifier = notifier;
        this.connections = connections;
        this.serviceManager = serviceManager;
        this.exitCode = exitCode;
        this.restartMillis = restartMillis;
        this.host = host;
    }

    /** Whether a stop has begun: nothing new is accepted. */
    public boolean stopping() {
        return sequence != null;
    }

    /** Whether no call may be started any more. */
    public boolean callsStopped() {
        return callsStopped;
    }

    /**
     * When a client that is rejected during a stop may come again, in milliseconds; {@code place}, from 0 to 1, spreads clients over
     * the time.
     */
    public long retryAdviceMillis(double place) {
        return sequence.retryAdviceMillis(nowMillis(), clientServer.connections(), place);
    }

    /** The sender serves: a stop that was requested early begins. */
    public void ready() {
        if (requestedEarly != null) {
            requestedEarly.run();
        }
    }

    /** Begins a stop. A stop for good takes over from one for a restart; any other is in progress already. */
    public void begin(ShutdownMode mode, long withinMillis) {
        if (lifecycle.phase() == LifecyclePhase.STARTING) {
            requestedEarly = () -> begin(mode, withinMillis);
            return;
        }
        if (lifecycle.ownershipReleased()) {
            connections.drain(withinMillis);
            return;
        }
        if (sequence != null && !supersededBy(mode)) {
            return;
        }
        sequence = new ShutdownSequence(mode, nowMillis(), withinMillis, restartMillis);
        lifecycle.enter(LifecyclePhase.DRAINING);
        serviceManager.report("STOPPING=1");
        if (mode != ShutdownMode.RESTART) {
            clientServer.closeAfterReplies();
            connectionsPerStep = 1 + clientServer.connections() / RETIREMENT_STEPS;
            host.announceKeys();
        }
        LogEvent.of("shutdown_started")
                .with("mode", mode.name().toLowerCase(Locale.ROOT))
                .with("within_ms", withinMillis)
                .with("messages", host.accepted().size())
                .warn();
        host.announceStop(TimeUnit.MILLISECONDS.toMicros(sequence.deliveryMillisLeft(nowMillis())));
        if (steps == null) {
            steps = loop.scheduleWithFixedDelay(this::step, 0, STEP_MS, TimeUnit.MILLISECONDS);
        }
    }

    private boolean supersededBy(ShutdownMode mode) {
        return sequence.mode() != mode && mode != ShutdownMode.RESTART && sequence.mode() != ShutdownMode.FINAL;
    }

    private void step() {
        boolean leaves = sequence.mode() != ShutdownMode.RESTART;
        if (!host.retryDeferred() && leaves) {
            clientServer.closeResting(connectionsPerStep, IDLE_BEFORE_CLOSE_MS);
        }
        ShutdownSequence.Load load = new ShutdownSequence.Load(
                host.pendingCount(), upstream.callCount(), notifier.pending(), clientServer.openConnections());
        switch (sequence.next(nowMillis(), load)) {
            case DELIVER -> {
                if (leaves) {
                    host.offerMessages();
                }
            }
            case CANCEL_CALLS -> {
                callsStopped = true;
                upstream.cancelAll();
            }
            case COMPLETE_ALL -> {
                callsStopped = true;
                host.completeAll();
            }
            case AWAIT_NOTIFICATIONS -> {}
            case CLOSE -> {
                clientServer.closeListener();
                clientServer.closeUnanswered();
            }
            case DONE -> finish(load);
            default -> throw new IllegalStateException("unknown step of a stop");
        }
    }

    private void finish(ShutdownSequence.Load load) {
        steps.cancel(false);
        logCompletion();
        boolean isFinal = sequence.mode() == ShutdownMode.FINAL;
        if (!isFinal) {
            host.announceReturn();
        }
        boolean leftOver = load.pendingMessages() > 0 || load.pendingNotifications() > 0;
        exitCode.complete(leftOver && isFinal ? EXIT_LEFT_OVER : 0);
    }

    private void logCompletion() {
        LogEvent event = LogEvent.of("shutdown_completed")
                .with("mode", sequence.mode().name().toLowerCase(Locale.ROOT))
                .with("messages_left", host.accepted().size())
                .with("notifications_left", notifier.pending());
        String handoff = host.handoffSummary();
        if (handoff != null) {
            event.with("handoff", handoff);
        }
        event.warn();
    }

    private static long nowMillis() {
        return TimeUnit.MICROSECONDS.toMillis(SchedulerClock.micros());
    }
}
