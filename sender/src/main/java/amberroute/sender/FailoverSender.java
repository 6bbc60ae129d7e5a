package amberroute.sender;

import amberroute.sender.config.SenderConfig;
import amberroute.sender.journal.Journal;
import amberroute.sender.peer.HandoffCoordinator;
import amberroute.sender.peer.JournalReplicator;
import amberroute.sender.peer.ReplicaStore;
import amberroute.sender.peer.ReplicationCoordinator;
import io.netty.channel.EventLoop;
import java.io.IOException;

/**
 * A sender that continues the replicated journal of a failed sender in this process, as a restart of that sender would. It
 * accepts no clients. Created off the event loop, used on it.
 */
final class FailoverSender implements ReplicationCoordinator.Failover {
    private final SenderState state;
    private final DeliveryComponents delivery;
    private final LifecycleComponents lifecycleComponents;
    private final PeerServices peers;

    /**
     * Starts the sender, which owns the journal in this leader term.
     *
     * @throws IOException if the sender cannot start, in which case it has been stopped
     */
    FailoverSender(
            EventLoop loop,
            ReplicationCoordinator replication,
            Sender sender,
            ReplicaStore.StoredReplica replica,
            long term)
            throws IOException {
        state = sender.state();
        delivery = sender.delivery();
        lifecycleComponents = sender.lifecycleComponents();
        peers = delivery.peers;
        try {
            loop.submit(() -> {
                        peers.setFailoverReplicator(replication.startReplication(replica, this, term));
                        return null;
                    })
                    .sync();
            sender.start();
            loop.execute(this::announceOrderedKeys);
        } catch (Exception e) {
            loop.submit(this::stop).awaitUninterruptibly();
            throw new IOException(e.getMessage(), e);
        }
    }

    /** Tells peers for which ordered keys this sender has messages, and offers them the messages that can be handed over. */
    private void announceOrderedKeys() {
        HandoffCoordinator handoff = peers.handoff();
        if (handoff != null && !stopped()) {
            handoff.announceKeyHolds(delivery.keyHolds.latestCompletionByKeyWithHolds());
        }
    }

    /** Applies what a reload of its process has put in force, {@code inForce}. */
    void reconfigure(SenderConfig inForce) {
        if (!stopped()) {
            lifecycleComponents.settingsReload.follow(state.config().reloadedWith(inForce));
        }
    }

    /** Whether it has let go of the journal. */
    boolean stopped() {
        return state.lifecycle().ownershipReleased();
    }

    @Override
    public Journal journal() {
        return state.folder().journal();
    }

    @Override
    public JournalReplicator replicator() {
        return peers.failoverReplicator();
    }

    @Override
    public boolean isIdle() {
        return state.lifecycle().ready()
                && journal().pendingMessages().isEmpty()
                && delivery.upstream.callCount() == 0
                && peers.offeredMessageCount() == 0;
    }

    @Override
    public boolean isHeldBy(String senderName) {
        return peers.handoff() != null && peers.handoff().isHeldBy(senderName);
    }

    @Override
    public void stop() {
        if (stopped()) {
            return;
        }
        state.lifecycle().releaseOwnership();
        if (peers.failoverReplicator() != null) {
            peers.failoverReplicator().close();
        }
        lifecycleComponents.maintenance.stop();
        delivery.scheduler.halt();
        delivery.upstream.cancelAll();
        delivery.upstream.closeIdle(endpoint -> true);
        delivery.endpoints.stop();
        delivery.notifier.stop();
        if (peers.handoff() != null) {
            peers.handoff().close();
        }
        lifecycleComponents.endpointFile.close();
        state.folder().close();
    }
}
