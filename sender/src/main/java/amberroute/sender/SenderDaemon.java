package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.settings.InvalidSettingsException;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.lifecycle.ConnectionRetirement;
import amberroute.sender.lifecycle.HeapReserve;
import amberroute.sender.lifecycle.SignalHandlers;
import amberroute.sender.util.LogEvent;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.util.Map;

/** Runs a sender as a process: signals, shutdown hook and exit code. Not on the event loop. */
final class SenderDaemon {
    /** Minimum time from SIGTERM to SIGKILL, less a margin. */
    private static final long SIGKILL_DELAY_MICROS = 3_600_000;
    /** Earliest SIGKILL after SIGTERM that the draining of connections allows for. */
    private static final long EARLIEST_SIGKILL_MS = 3_450;

    private final Sender sender;
    private final SenderConfig config;

    private SenderDaemon(Sender sender, SenderConfig config) {
        this.sender = sender;
        this.config = config;
    }

    /**
     * Serves until the process is told to stop; {@code hangupSignal} requests a reload of the configuration.
     *
     * @throws IOException if the sender cannot start
     */
    static void run(Map<String, String> environment, SignalHandlers hangupSignal) throws IOException {
        long fingerprint = SenderConfig.fingerprint(environment);
        SenderConfig config = SenderConfig.read(environment);
        ServerSocketChannel inheritedSocket = SenderConfig.inherits(environment) ? inheritedSocket() : null;
        Sender sender = new Sender(config, inheritedSocket, null, new ConfigSource(environment, fingerprint));
        SenderDaemon daemon = new SenderDaemon(sender, config);
        if (config.standalone() != null) {
            daemon.handleStandaloneSignals();
        }
        if (sender.state().folder().locked()) {
            HeapReserve.commit();
        }
        sender.start();
        hangupSignal.then(() -> sender.reload(environment));
        if (config.standalone() == null) {
            daemon.handlePlatformSignals();
        }
    }

    private static ServerSocketChannel inheritedSocket() throws IOException {
        if (System.inheritedChannel() instanceof ServerSocketChannel socket) {
            return socket;
        }
        throw new InvalidSettingsException("GW_ACCEPT_FD: file descriptor 0 is not a listening socket");
    }

    private void handleStandaloneSignals() {
        sender.stopped().thenAccept(code -> new Thread(
                        () -> {
                            sender.stop();
                            exit(code);
                        },
                        "exit")
                .start());
        Runnable restart = () -> sender.loop()
                .execute(() -> sender.beginStop(
                        ShutdownMode.RESTART, config.standalone().stopDeadlineMillis()));
        SignalHandlers.install("TERM").then(restart);
        SignalHandlers.install("INT").then(restart);
    }

    private void handlePlatformSignals() {
        sender.stopped().thenAccept(code -> {
            if (code != 0) {
                new Thread(() -> exit(code), "exit").start();
            }
        });
        Runtime.getRuntime().addShutdownHook(new Thread(this::terminate, "terminate"));
    }

    /** Logs the exit, so that an operator can tell whether a missing process ended by itself. */
    private static void exit(int code) {
        LogEvent.of("process_exited").with("cause", "self").with("status", code).warn();
        System.exit(code);
    }

    /**
     * Runs in the shutdown hook; the process ends when this method returns. The sender goes on for most of the time until
     * SIGKILL, then closes its client connections; messages that are still pending are in the journal. A process that has
     * transferred its ownership ends as soon as it has no work left.
     */
    private void terminate() {
        LogEvent.of("process_terminating")
                .with("ownership", sender.state().lifecycle().ownershipReleased() ? "transferred" : "held_by_folder")
                .warn();
        ConnectionRetirement connections = sender.lifecycleComponents().connections;
        connections.drain(EARLIEST_SIGKILL_MS);
        sender.loop()
                .execute(() -> sender.delivery().scheduler.submit(new Event.ShutdownStarted(SIGKILL_DELAY_MICROS)));
        connections.awaitFinished();
        LogEvent.of("process_exited").with("cause", "signal").warn();
    }
}
