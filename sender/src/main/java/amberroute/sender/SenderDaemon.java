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
    /** Microseconds from SIGTERM to SIGKILL at least, less a margin. */
    private static final long SIGKILL_DELAY_MICROS = 3_600_000;
    /** The earliest SIGKILL behind SIGTERM that the draining of connections reckons with, in milliseconds. */
    private static final long EARLIEST_SIGKILL_MS = 3_450;

    private final Sender sender;
    private final SenderConfig config;

    private SenderDaemon(Sender sender, SenderConfig config) {
        this.sender = sender;
        this.config = config;
    }

    /**
     * Serves until the process is told to end; {@code hangup} says when to read the configuration again.
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
        throw new InvalidSettingsException("GW_ACCEPT_FD: descriptor 0 is no listening socket");
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
                        ShutdownMode.RESTART, config.standalone().stopMillis()));
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

    /** Logs the end, so that nobody has to guess from a missing process whether it ended by itself. */
    private static void exit(int code) {
        LogEvent.of("process_exited").with("cause", "self").with("status", code).warn();
        System.exit(code);
    }

    /**
     * Runs in the shutdown hook, at whose return the process ends. The sender goes on for most of the time until it is killed, then
     * closes its client connections; what is pending then is in the journal. A process that has transferred its ownership ends as
     * soon as it has nothing left to do.
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
