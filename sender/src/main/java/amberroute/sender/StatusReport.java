package amberroute.sender;

import amberroute.sender.admin.ControlSocket;
import amberroute.sender.client.ClientServer;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.lifecycle.LifecyclePhase;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.notification.FailureNotifier;
import amberroute.sender.upstream.UpstreamClient;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** The state of the sender as the control socket reports it. Event loop only. */
final class StatusReport {
    private final SenderConfig config;
    private final LifecycleState lifecycle;
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final UpstreamClient upstream;
    private final FailureNotifier notifier;
    private final ClientServer clientServer;
    private final Supplier<InetSocketAddress> listenAddress;

    /** {@code listenAddress} is the address that clients connect to, known after the sender starts to serve. */
    StatusReport(
            SenderState state,
            SchedulerDriver scheduler,
            UpstreamClient upstream,
            FailureNotifier notifier,
            ClientServer clientServer,
            Supplier<InetSocketAddress> listenAddress) {
        config = state.config();
        lifecycle = state.lifecycle();
        folder = state.folder();
        messages = state.messages();
        this.scheduler = scheduler;
        this.upstream = upstream;
        this.notifier = notifier;
        this.clientServer = clientServer;
        this.listenAddress = listenAddress;
    }

    /** The state as JSON. Each call restarts the measurement of the longest event loop iteration. */
    JsonObject describe() {
        JsonObject status = ControlSocket.answer(true, null);
        status.addProperty("name", config.name());
        status.addProperty("pid", ProcessHandle.current().pid());
        status.addProperty("state", lifecycle.phase().wireName());
        status.addProperty("for_ms", lifecycle.millisInPhase());
        if (lifecycle.phase() != LifecyclePhase.STARTING) {
            InetSocketAddress address = listenAddress.get();
            status.addProperty("listen", address.getAddress().getHostAddress() + ":" + address.getPort());
            status.addProperty("held", messages.accepted().size());
            status.addProperty("calls", upstream.callCount());
            status.addProperty("notices", notifier.pending());
            status.addProperty("clients", clientServer.connections());
            status.addProperty("disk_used", folder.journal().usedBytes());
            status.addProperty("disk_live", folder.journal().liveBytes());
            status.addProperty("disk_trouble", folder.journal().writeFailureReason());
            status.addProperty("longest_turn_us", scheduler.takeLongestIterationMicros());
        }
        return status;
    }
}
