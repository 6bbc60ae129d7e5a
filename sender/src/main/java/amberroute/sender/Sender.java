package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.admin.AdminServer;
import amberroute.sender.admin.ControlSocket;
import amberroute.sender.admin.SenderMetrics;
import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.decision.SchedulerAction;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.eventloop.MillisecondSelectStrategy;
import amberroute.sender.lifecycle.FolderReclaim;
import amberroute.sender.lifecycle.LifecyclePhase;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.OutgoingTransfer;
import amberroute.sender.lifecycle.ServiceManagerNotifier;
import amberroute.sender.lifecycle.SignalHandlers;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.lifecycle.TransferChannel;
import amberroute.sender.peer.SupersededReplicas;
import amberroute.sender.util.Log;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.spi.SelectorProvider;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.logging.Level;
import java.util.logging.Logger;

/**
 * A sender: connects the components and carries out the actions of the event loop iterations. One event loop owns the delivery
 * scheduler and all state. Events between two iterations are queued; an iteration then steps the scheduler through them and
 * carries out its actions, acceptances first, as no call may be made for a message that is not in the journal.
 */
public final class Sender {
    /** How long to wait for another process to free the listen address. */
    private static final long LISTEN_TIMEOUT_MS = 20_000;

    private static final long LISTEN_RETRY_MS = 20;
    private static final long CLOSE_TIMEOUT_MS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Netty's own log is off. Its size has no limit, and when no file descriptor is left, the JDK's logger cannot load its time
     * zones for the first line and ends the event loop with an error.
     */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    static {
        NETTY_LOGGER.setLevel(Level.OFF);
    }

    private final SenderConfig config;
    /** The listening socket that the process was started with, null if it opens its own. */
    private final ServerSocketChannel inheritedSocket;
    /** Null except in a failover sender, which continues another sender's journal on the event loop of its parent. */
    private final Sender parent;

    private final ConfigSource configSource;

    private final EventLoopStallDetector stallDetector;
    private final EventLoopGroup eventLoopGroup;
    private final EventLoop loop;
    private final LifecycleState lifecycle = new LifecycleState();
    private final ServiceManagerNotifier serviceManager;
    private final StateFolder folder;
    private final SenderState state;
    private final ControlSocket controlSocket;
    private final DeliveryComponents delivery;
    private final LifecycleComponents lifecycleComponents;
    /** Completed with the exit code after a stop; {@link #stop} then closes sockets and files. */
    private final CompletableFuture<Integer> exitCode = new CompletableFuture<>();
    /** Read by the admin server, which has a thread of its own. */
    private volatile SenderMetrics.Snapshot publishedMetrics;
    /** Null if no address is configured for it. */
    private AdminServer adminServer;

    private InetSocketAddress address;

    /**
     * Locks the state folder and opens it, unless another process that may transfer it has the lock.
     *
     * @param inheritedSocket the socket that clients connect to, null if this process opens one
     * @param parent the sender on whose event loop this one runs, null for an event loop of its own
     * @param configSource the source of the configuration
     * @throws IOException if the state folder cannot be used
     */
    Sender(SenderConfig config, ServerSocketChannel inheritedSocket, Sender parent, ConfigSource configSource)
            throws IOException {
        this.config = config;
        this.inheritedSocket = inheritedSocket;
        this.parent = parent;
        this.configSource = configSource;
        serviceManager =
                new ServiceManagerNotifier(configSource.environment() == null ? Map.of() : configSource.environment());
        ActiveSettings activeSettings = new ActiveSettings(config);
        DeliveryScheduler scheduler = SchedulerDriver.newTracedScheduler(activeSettings);
        folder = new StateFolder(config);
        lockFolder();
        stallDetector = parent == null ? new EventLoopStallDetector() : parent.stallDetector;
        eventLoopGroup = parent == null ? newEventLoopGroup(stallDetector) : parent.eventLoopGroup;
        loop = parent == null ? eventLoopGroup.next() : parent.loop;
        controlSocket = new ControlSocket(loop, this::onCommand);
        if (!hasControlSocket()) {
            openFolderIfLocked();
        }
        state = new SenderState(
                config,
                loop,
                lifecycle,
                folder,
                new MessageTable(),
                activeSettings,
                new SenderMetrics(),
                new OwnershipTransfers());
        publishedMetrics = state.metrics().snapshot(new SenderMetrics.Now(0, 0, 0));
        delivery = new DeliveryComponents(state, stallDetector, scheduler, this::carryOut);
        lifecycleComponents =
                new LifecycleComponents(state, delivery, serviceManager, configSource, exitCode, this::address);
        if (supportsOwnershipTransfer()) {
            state.transfers().setOutgoing(new OutgoingTransfer(loop, newOwnershipRelease()));
        }
        if (hasControlSocket()) {
            // Commands may arrive after the folder is locked, while the journal is opened, so all components have to
            // exist.
            openFolderIfLocked();
        }
    }

    private boolean hasControlSocket() {
        return config.standalone() != null && parent == null;
    }

    private boolean supportsOwnershipTransfer() {
        return inheritedSocket != null && TransferChannel.supported(config.state());
    }

    private void lockFolder() throws IOException {
        if (supportsOwnershipTransfer()) {
            folder.tryLock();
        } else {
            folder.lock();
        }
    }

    private static EventLoopGroup newEventLoopGroup(EventLoopStallDetector stallDetector) {
        return new MultiThreadIoEventLoopGroup(
                1,
                MillisecondSelectStrategy.around(NioIoHandler.newFactory(SelectorProvider.provider(), stallDetector)));
    }

    private void openFolderIfLocked() throws IOException {
        if (!folder.locked()) {
            return;
        }
        try {
            openFolder();
        } catch (IOException | RuntimeException e) {
            controlSocket.close();
            if (parent == null) {
                eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            }
            folder.unlock();
            throw e;
        }
    }

    private void openFolder() throws IOException {
        folder.open(loop, this::onFolderLocked);
    }

    private void onFolderLocked() throws IOException {
        if (config.standalone() == null) {
            return;
        }
        if (hasControlSocket()) {
            controlSocket.listen(config.standalone().control());
        }
        if (config.standalone().replication() != null) {
            SupersededReplicas.setAside(config.state());
        }
    }

    private OwnershipRelease newOwnershipRelease() {
        return new OwnershipRelease(
                state,
                delivery,
                lifecycleComponents.endpointFile,
                lifecycleComponents.callsInFlight,
                lifecycleComponents.connections,
                this::startReclaim);
    }

    private void startReclaim() {
        ReclaimOwner owner = new ReclaimOwner(state, delivery, lifecycleComponents, this::openFolder);
        OwnershipReclaim reclaimHost = new OwnershipReclaim(
                state, delivery, lifecycleComponents.callsInFlight, lifecycleComponents.connections, owner);
        FolderReclaim reclaim = new FolderReclaim(loop, reclaimHost);
        state.transfers().setReclaim(reclaim);
        reclaim.start();
    }

    private void onCommand(JsonObject request, Consumer<JsonObject> answer) {
        lifecycleComponents.controlCommands.handle(request, answer);
    }

    /** Serves until the process is told to stop; {@code hangupSignal} requests a reload of the configuration. */
    public static void run(Map<String, String> environment, SignalHandlers hangupSignal) throws IOException {
        SenderDaemon.run(environment, hangupSignal);
    }

    /** Starts a sender on an event loop of its own, for tests. */
    static Sender start(SenderConfig config) throws IOException {
        return start(config, null);
    }

    /** Starts a sender with a listening socket from which other processes may accept connections as well, for tests. */
    static Sender start(SenderConfig config, ServerSocketChannel inheritedSocket) throws IOException {
        Sender sender = new Sender(config, inheritedSocket, null, ConfigSource.NOT_RELOADABLE);
        sender.start();
        return sender;
    }

    private Sender newFailoverSender(SenderConfig failoverConfig) throws IOException {
        return new Sender(failoverConfig, null, this, ConfigSource.NOT_RELOADABLE);
    }

    /** Starts to serve. Not on the event loop. */
    void start() throws IOException {
        try {
            startAdminServer();
            if (!folder.locked()) {
                acquireOwnership();
            }
            loop.submit(this::startReplication).sync();
            loop.submit(this::recover).sync();
            delivery.peers.listen(delivery.fleet);
            if (config.standalone() != null) {
                for (Path orphanedFolder : config.standalone().adopt()) {
                    lifecycleComponents.adoption.adoptBeforeServing(orphanedFolder);
                }
            }
            listen();
            loop.submit(this::becomeReady).sync();
            if (state.transfers().outgoing() != null) {
                state.transfers().outgoing().listen(config.state());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) {
            stop();
            throw new IOException("cannot start: " + e.getMessage(), e);
        }
        if (parent == null) {
            LogEvent.of("sender_ready")
                    .with("name", config.name())
                    .with("address", address)
                    .warn();
            lifecycleComponents.settingsReload.reloadAfterTransfer();
        }
    }

    private void startAdminServer() throws Exception {
        if (config.ops() != null) {
            adminServer = new AdminServer(lifecycle::ready, () -> publishedMetrics.text());
            adminServer.listen(config.ops());
            LogEvent.of("admin_server_listening")
                    .with("address", adminServer.address())
                    .warn();
            loop.scheduleWithFixedDelay(this::publishMetrics, 0, SenderMetrics.EVERY_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void publishMetrics() {
        publishedMetrics = state.metrics()
                .snapshot(new SenderMetrics.Now(
                        lifecycle.ownershipReleased()
                                ? 0
                                : state.messages().accepted().size(),
                        delivery.endpoints.size(),
                        delivery.scheduler.avoidedEndpointCount()));
    }

    private void acquireOwnership() throws IOException, InterruptedException {
        PredecessorEvents events =
                new PredecessorEvents(state, delivery, lifecycleComponents.settingsReload::reloadAfterTransfer);
        new OwnershipAcquisition(state, delivery.endpoints, delivery.clientServer, events).acquire(this::openFolder);
    }

    private Void startReplication() throws IOException {
        delivery.peers.startReplication(new ReplicationHostAdapter(
                state, delivery.endpoints, delivery.peers, lifecycleComponents.failovers, this::newFailoverSender));
        return null;
    }

    private void recover() {
        delivery.fleet.start();
        if (state.transfers().incoming() == null) {
            delivery.endpoints.start();
        }
        restore(delivery.recovery.applyTransferredEndpoints());
        if (delivery.peers.startHandoff(newHandoffHost())) {
            lifecycleComponents.maintenance.startExpiry();
        }
        lifecycleComponents.maintenance.start();
        LogEvent.of("messages_recovered")
                .with("messages", state.messages().accepted().size())
                .warn();
        delivery.scheduler.requestIteration();
    }

    private HandoffHostAdapter newHandoffHost() {
        return new HandoffHostAdapter(
                state,
                delivery.scheduler,
                delivery.completion,
                delivery.recovery,
                delivery.endpoints,
                delivery.keyHolds,
                lifecycleComponents.shutdown);
    }

    private void restore(JsonArray leavingEndpoints) {
        delivery.recovery.restore(
                leavingEndpoints,
                () -> lifecycleComponents.settingsActivation.apply(
                        state.activeSettings().config()));
    }

    /** Opens the listener for clients; a failover sender has none. */
    private void listen() throws Exception {
        if (parent != null) {
            return;
        }
        address = inheritedSocket == null ? listenOnceAddressIsFree() : delivery.clientServer.listen(inheritedSocket);
    }

    /**
     * Listens, and retries if this process replaces a fenced one, which frees the address only after it has found the fencing
     * token.
     */
    private InetSocketAddress listenOnceAddressIsFree() throws Exception {
        boolean replacesFencedProcess =
                config.standalone() != null && !config.standalone().adopt().isEmpty();
        long startNanos = System.nanoTime();
        while (true) {
            try {
                return delivery.clientServer.listen(config.listen());
            } catch (Exception e) {
                if (!replacesFencedProcess
                        || !(e instanceof BindException)
                        || System.nanoTime() - startNanos > LISTEN_TIMEOUT_MS * NANOS_PER_MILLI) {
                    throw e;
                }
                Thread.sleep(LISTEN_RETRY_MS);
            }
        }
    }

    private void becomeReady() {
        if (state.transfers().transferredState() != null) {
            state.transfers().incoming().open(state.transfers().transferredCallMessages());
            state.transfers().clearTransferredState();
        }
        lifecycle.enter(LifecyclePhase.READY);
        serviceManager.report("READY=1");
        lifecycleComponents.shutdown.ready();
        lifecycleComponents.endpointFile.start();
    }

    /** Carries out the actions of an event loop iteration. A failure of one action does not prevent the others. */
    private void carryOut(List<SchedulerAction> actions) {
        Log.guarded("accept", () -> delivery.acceptance.answerSubmissions(actions));
        actions.forEach(action -> Log.guarded("complete", () -> delivery.schedulerActions.complete(action)));
        if (!lifecycleComponents.shutdown.callsStopped()) {
            Log.guarded("call", () -> delivery.attemptDispatcher.startCalls(actions));
        }
        actions.forEach(action -> Log.guarded("other", () -> delivery.schedulerActions.carryOut(action)));
        Log.guarded("compact", folder.journal()::compactStep);
        delivery.attemptDispatcher.clearCancelledOnceDurable();
    }

    /** Rereads the configuration. Returns null, or the reason why it is rejected. Not on the event loop. */
    String reload(Map<String, String> newEnvironment) {
        return lifecycleComponents.settingsReload.reload(newEnvironment);
    }

    /** Stops immediately, as a kill would, except that sockets and the journal's files are closed. Not on the event loop. */
    void stop() {
        OwnershipTransfers transfers = state.transfers();
        if (transfers.outgoing() != null && !eventLoopGroup.isShuttingDown()) {
            loop.submit(transfers.outgoing()::close).awaitUninterruptibly(CLOSE_TIMEOUT_MS);
        }
        if (transfers.reclaim() != null) {
            transfers.reclaim().cancel();
        }
        controlSocket.close();
        if (adminServer != null) {
            adminServer.close();
        }
        delivery.peers.close();
        delivery.fleet.close();
        lifecycleComponents.endpointFile.close();
        if (parent != null) {
            // The event loop is the parent's, on which the failover sender closes the rest.
            return;
        }
        eventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
        folder.close();
    }

    EventLoop loop() {
        return loop;
    }

    SenderState state() {
        return state;
    }

    DeliveryComponents delivery() {
        return delivery;
    }

    LifecycleComponents lifecycleComponents() {
        return lifecycleComponents;
    }

    // ---- For tests. ----

    /** Begins a stop. Event loop only. */
    void beginStop(ShutdownMode mode, long withinMillis) {
        lifecycleComponents.shutdown.begin(mode, withinMillis);
    }

    /** Completed with the exit code after a stop. */
    CompletableFuture<Integer> stopped() {
        return exitCode;
    }

    /** The address that clients connect to. */
    InetSocketAddress address() {
        return address;
    }

    /** The address of the admin server, null if it is not configured. */
    InetSocketAddress adminAddress() {
        return adminServer == null ? null : adminServer.address();
    }

    /** The address on which peers hand messages over to this sender, null if they cannot. */
    InetSocketAddress handoffAddress() {
        return delivery.peers.handoffAddress();
    }

    /** The number of messages in the journal, including those whose notification is not acknowledged. */
    int pendingMessageCount() {
        return loop.submit(() -> folder.journal().pendingMessages().size())
                .syncUninterruptibly()
                .getNow();
    }

    int idleUpstreamConnectionCount() {
        return loop.submit(delivery.upstream::idleConnections)
                .syncUninterruptibly()
                .getNow();
    }

    int clientConnectionCount() {
        return loop.submit(delivery.clientServer::connections)
                .syncUninterruptibly()
                .getNow();
    }

    /** Whether an endpoint is listed as ready. */
    boolean isEndpointReady(String endpointUid) {
        return loop.submit(() -> delivery.endpoints.isReady(delivery.endpoints.number(endpointUid)))
                .syncUninterruptibly()
                .getNow();
    }

    /** Blocks the event loop, as CPU starvation of the machine would. */
    void blockEventLoop(Runnable work) {
        loop.submit(work).syncUninterruptibly();
    }
}
