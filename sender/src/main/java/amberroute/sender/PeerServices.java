package amberroute.sender;

import amberroute.sender.config.SenderConfig;
import amberroute.sender.config.StandaloneConfig;
import amberroute.sender.eventloop.SchedulerClock;
import amberroute.sender.lifecycle.LifecycleState;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.peer.HandoffCoordinator;
import amberroute.sender.peer.JournalReplicator;
import amberroute.sender.peer.ReplicationCoordinator;
import amberroute.sender.peer.SwimTransport;
import amberroute.sender.util.LogEvent;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The services by which this sender works with other senders: handoff, replication and the membership protocol of the
 * replication. Each is null if it is not configured. Started once, before the sender serves; event loop only afterwards.
 */
final class PeerServices {
    private final SenderConfig config;
    private final EventLoop loop;
    private final StateFolder folder;
    private final LifecycleState lifecycle;
    private HandoffCoordinator handoff;
    private ReplicationCoordinator replication;
    private SwimTransport membership;
    /** Null except in a sender that continues the replicated journal of another sender. */
    private JournalReplicator failoverReplicator;

    private InetSocketAddress handoffAddress;

    PeerServices(SenderConfig config, EventLoop loop, StateFolder folder, LifecycleState lifecycle) {
        this.config = config;
        this.loop = loop;
        this.folder = folder;
        this.lifecycle = lifecycle;
    }

    HandoffCoordinator handoff() {
        return handoff;
    }

    ReplicationCoordinator replication() {
        return replication;
    }

    JournalReplicator failoverReplicator() {
        return failoverReplicator;
    }

    /** Whether this sender continues the replicated journal of another one. */
    boolean isFailover() {
        return failoverReplicator != null;
    }

    void setFailoverReplicator(JournalReplicator replicator) {
        failoverReplicator = replicator;
    }

    /** The address on which peers hand messages over to this sender, null if they cannot. */
    InetSocketAddress handoffAddress() {
        return handoffAddress;
    }

    /** Whether each change of the journal has to be replicated to other senders before it takes effect. */
    boolean isReplicated() {
        return replication != null || failoverReplicator != null;
    }

    /** The number of messages that are offered to peers and not yet answered. */
    int offeredMessageCount() {
        return handoff == null ? 0 : handoff.unansweredMessages();
    }

    /** Starts the replication of the journal if it is configured and there are enough senders. */
    void startReplication(ReplicationCoordinator.Host host) throws IOException {
        StandaloneConfig.Standalone standalone = config.standalone();
        if (standalone == null || standalone.replication() == null) {
            return;
        }
        Map<String, InetSocketAddress> otherSenders = new LinkedHashMap<>(standalone.peers());
        otherSenders.remove(config.name());
        if (otherSenders.size() + 1 < standalone.replication().copies()) {
            LogEvent.of("replication_disabled")
                    .with("copies_configured", standalone.replication().copies())
                    .with("senders", otherSenders.size() + 1)
                    .warn();
            return;
        }
        membership = new SwimTransport(
                loop,
                config.name(),
                standalone.zone(),
                otherSenders,
                SchedulerClock::micros,
                folder.steadyMillis(),
                lifecycle::membershipPhase);
        replication = new ReplicationCoordinator(loop, config, folder.journal(), membership, host);
    }

    /**
     * Starts the handoff if peers are configured or the journal has records of an earlier handoff. Returns whether it was
     * started.
     */
    boolean startHandoff(HandoffCoordinator.Host host) {
        StandaloneConfig.Standalone standalone = config.standalone();
        if (standalone == null || !isHandoffNeeded(standalone)) {
            return false;
        }
        handoff = new HandoffCoordinator(
                loop,
                config.name(),
                standalone.peers(),
                host,
                folder.journal(),
                folder.journalBegunMillis(),
                folder::steadyMillis);
        handoff.recoverOffers();
        return true;
    }

    private boolean isHandoffNeeded(StandaloneConfig.Standalone standalone) {
        return standalone.handOver() != null
                || !standalone.peers().isEmpty()
                || !folder.journal().handoffBatches().isEmpty()
                || folder.journal().keyHolds().size() > 0;
    }

    /** Listens for peers and starts to communicate with them. Not on the event loop. */
    void listen(FleetCoordination fleet) throws InterruptedException {
        if (replication != null) {
            handoff.handleReplicationWith(replication);
        }
        if (handoff != null && config.standalone().handOver() != null) {
            handoffAddress = handoff.listen(config.standalone().handOver());
        }
        fleet.listen(handoffAddress);
        if (replication != null || fleet.reportsLoad()) {
            Channel socket = fleet.datagramSocket(handoffAddress, packet -> onDatagram(packet, fleet));
            loop.execute(() -> startDatagramServices(socket, fleet));
        }
    }

    private void onDatagram(DatagramPacket packet, FleetCoordination fleet) {
        if (membership != null) {
            membership.onDatagram(packet);
        }
        fleet.onDatagram(packet);
    }

    private void startDatagramServices(Channel socket, FleetCoordination fleet) {
        if (replication != null) {
            membership.start(socket);
            replication.start();
        }
        fleet.startLoadReporting(socket);
    }

    /** Closes the services. Not on the event loop. */
    void close() {
        if (replication != null) {
            loop.submit(replication::close).awaitUninterruptibly(CLOSE_TIMEOUT_MS);
        }
        if (handoff != null) {
            loop.submit(handoff::close).awaitUninterruptibly(CLOSE_TIMEOUT_MS);
        }
    }

    private static final long CLOSE_TIMEOUT_MS = 1_000;
}
