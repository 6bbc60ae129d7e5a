package amberroute.sender;

import amberroute.sender.admin.ControlCommands;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.lifecycle.ConnectionRetirement;
import amberroute.sender.lifecycle.ServiceManagerNotifier;
import amberroute.sender.lifecycle.ShutdownCoordinator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Creates and connects the components that start, reload, transfer and stop a sender, and its control commands. Created before
 * the event loop runs; the components are used on it.
 */
final class LifecycleComponents {
    final EndpointFileFollower endpointFile;
    final JournalMaintenance maintenance;
    final SettingsActivation settingsActivation;
    final FailoverSenders failovers;
    final SettingsReload settingsReload;
    final CallsInFlight callsInFlight;
    final ConnectionRetirement connections;
    final ShutdownCoordinator shutdown;
    final FolderAdoption adoption;
    final ControlCommands controlCommands;

    /**
     * Creates the components.
     *
     * @param serviceManager is notified when the sender is ready and when it stops
     * @param configSource the source from which reloads read the configuration
     * @param exitCode completed after a stop
     * @param clientAddress the address that clients connect to, known after the sender starts to serve
     */
    LifecycleComponents(
            SenderState state,
            DeliveryComponents delivery,
            ServiceManagerNotifier serviceManager,
            ConfigSource configSource,
            CompletableFuture<Integer> exitCode,
            Supplier<InetSocketAddress> clientAddress) {
        SenderConfig config = state.config();
        EventLoop loop = state.loop();
        endpointFile = new EndpointFileFollower(config, loop, delivery.endpoints);
        maintenance = new JournalMaintenance(loop, state.folder(), state.lifecycle(), delivery.keyHolds);
        settingsActivation = new SettingsActivation(
                state, delivery.scheduler, delivery.endpoints, delivery.upstream, delivery.clientServer);
        failovers = new FailoverSenders(state.activeSettings());
        settingsReload = new SettingsReload(
                state,
                configSource,
                settingsActivation,
                delivery.endpoints,
                endpointFile,
                delivery.notifier,
                failovers);
        callsInFlight = new CallsInFlight(delivery.upstream, delivery.endpoints);
        connections = new ConnectionRetirement(
                loop,
                delivery.clientServer,
                delivery.upstream,
                delivery.notifier,
                exitCode,
                state.transfers()::reclaimPossible);
        shutdown = newShutdown(state, delivery, serviceManager, exitCode);
        delivery.submissions.setAdmission(newAdmission(state, delivery));
        adoption = new FolderAdoption(state, delivery.recovery);
        controlCommands = new ControlCommands(loop, newSenderCommands(state, delivery, configSource, clientAddress));
    }

    private ShutdownCoordinator newShutdown(
            SenderState state,
            DeliveryComponents delivery,
            ServiceManagerNotifier serviceManager,
            CompletableFuture<Integer> exitCode) {
        StandaloneConfig.Standalone standalone = state.config().standalone();
        ShutdownWork shutdownWork = new ShutdownWork(
                state,
                delivery.scheduler,
                delivery.completion,
                delivery.submissions,
                delivery.keyHolds,
                delivery.peers);
        return new ShutdownCoordinator(
                state.loop(),
                state.lifecycle(),
                delivery.clientServer,
                delivery.upstream,
                delivery.notifier,
                connections,
                serviceManager,
                exitCode,
                standalone == null ? 0 : standalone.backAfterMillis(),
                shutdownWork);
    }

    private SubmissionAdmission newAdmission(SenderState state, DeliveryComponents delivery) {
        return new SubmissionAdmission(
                state,
                delivery.endpoints,
                delivery.peers,
                delivery.fleet,
                shutdown,
                delivery.submissions::deferredCount);
    }

    private SenderCommands newSenderCommands(
            SenderState state,
            DeliveryComponents delivery,
            ConfigSource configSource,
            Supplier<InetSocketAddress> clientAddress) {
        StatusReport status = new StatusReport(
                state, delivery.scheduler, delivery.upstream, delivery.notifier, delivery.clientServer, clientAddress);
        return new SenderCommands(
                state.config(),
                configSource.environment(),
                state.lifecycle(),
                status,
                settingsReload,
                adoption,
                shutdown,
                delivery.peers,
                delivery.fleet);
    }
}
