package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.config.ActiveSettings;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.peer.ReplicaStore;
import amberroute.sender.peer.ReplicationCoordinator;
import amberroute.sender.peer.SupersededReplicas;
import amberroute.sender.util.LogEvent;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

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

    private final SenderConfig config;
    private final EventLoop loop;
    private final ActiveSettings activeSettings;
    private final PeerServices peers;
    private final SenderFactory senderFactory;

    ReplicationHostAdapter(
            SenderConfig config,
            EventLoop loop,
            ActiveSettings activeSettings,
            PeerServices peers,
            SenderFactory senderFactory) {
        this.config = config;
        this.loop = loop;
        this.activeSettings = activeSettings;
        this.peers = peers;
        this.senderFactory = senderFactory;
    }

    @Override
    public void fenced(String reason) {
        LogEvent.of("journal_superseded")
                .with("reason", reason)
                .with("exit_code", EXIT_CODE_SUPERSEDED)
                .warn();
        SupersededReplicas.markSuperseded(config.state());
        Runtime.getRuntime().halt(EXIT_CODE_SUPERSEDED);
    }

    @Override
    public ReplicationCoordinator.Failover startFailover(ReplicaStore.StoredReplica replica, Path folder, long term)
            throws IOException {
        Map<String, InetSocketAddress> failoverPeers =
                new LinkedHashMap<>(config.standalone().peers());
        failoverPeers.put(config.name(), peers.handoffAddress());
        // Uses the name of the failed sender, which may come back and has to hold these keys as any peer does.
        SenderConfig failoverConfig = config.forFailover(
                replica.journalId, folder, config.standalone().forFailover(failoverPeers));
        return new FailoverSender(loop, peers.replication(), senderFactory.create(failoverConfig), replica, term);
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
