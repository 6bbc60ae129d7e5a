package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.discovery.EndpointWatch;
import amberroute.sender.peer.ReplicaStore;
import amberroute.sender.peer.ReplicationCoordinator;
import amberroute.sender.peer.SupersededReplicas;
import amberroute.sender.util.LogEvent;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;

/**
 * What this sender does for the replication: ends when another sender continues its journal, and continues the journal of a
 * failed sender.
 */
final class ReplicationHostAdapter implements ReplicationCoordinator.Host {
    /** Exit code of a process whose journal another sender continues; the process may be restarted, and begins a new journal. */
    private static final int EXIT_CODE_SUPERSEDED = 7;

    private static final long MICROS_PER_MILLI = 1_000;

    /** Creates a sender on the event loop of this one. */
    interface SenderFactory {
        Sender create(SenderConfig config) throws IOException;
    }

    private final Path folder;
    private final EventLoop loop;
    private final ActiveSettings activeSettings;
    private final EndpointWatch endpoints;
    private final PeerServices peers;
    private final FailoverSenders failovers;
    private final SenderFactory senderFactory;

    ReplicationHostAdapter(
            SenderState state,
            EndpointWatch endpoints,
            PeerServices peers,
            FailoverSenders failovers,
            SenderFactory senderFactory) {
        folder = state.config().state();
        loop = state.loop();
        activeSettings = state.activeSettings();
        this.endpoints = endpoints;
        this.peers = peers;
        this.failovers = failovers;
        this.senderFactory = senderFactory;
    }

    @Override
    public void fenced(String reason) {
        LogEvent.of("journal_superseded")
                .with("reason", reason)
                .with("exit_code", EXIT_CODE_SUPERSEDED)
                .warn();
        SupersededReplicas.markSuperseded(folder);
        Runtime.getRuntime().halt(EXIT_CODE_SUPERSEDED);
    }

    @Override
    public ReplicationCoordinator.Failover startFailover(
            ReplicaStore.StoredReplica replica, Path replicaFolder, long term) throws IOException {
        // These may not be those that this process started with.
        SenderConfig inForce = onLoop(activeSettings::config);
        JsonObject endpointList = onLoop(() -> endpoints.toJson(endpoint -> false));
        SenderConfig failoverConfig = failoverConfig(inForce, replica, replicaFolder, endpointList);
        FailoverSender failover =
                new FailoverSender(loop, peers.replication(), senderFactory.create(failoverConfig), replica, term);
        loop.execute(() -> failovers.add(failover, inForce));
        return failover;
    }

    private <T> T onLoop(Callable<T> read) {
        return loop.submit(read).syncUninterruptibly().getNow();
    }

    private SenderConfig failoverConfig(
            SenderConfig inForce, ReplicaStore.StoredReplica replica, Path replicaFolder, JsonObject endpointList) {
        Map<String, InetSocketAddress> failoverPeers =
                new LinkedHashMap<>(inForce.standalone().peers());
        failoverPeers.put(inForce.name(), peers.handoffAddress());
        // Uses the name of the failed sender, which may come back and has to hold these keys as any peer does.
        return inForce.forFailover(
                replica.journalId, replicaFolder, inForce.standalone().forFailover(failoverPeers), endpointList);
    }

    @Override
    public long maxMessageLifeMillis() {
        return activeSettings.settings().classes().stream()
                        .mapToLong(DeliveryScheduler.MessageClass::deadlineMicros)
                        .max()
                        .orElse(0)
                / MICROS_PER_MILLI;
    }
}
