package amberroute.sender.peer;

import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.OfferedKeys;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldReply;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldStatusRequest;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRelease;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRequest;
import io.netty.channel.ChannelHandlerContext;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Announces the ordered keys of this daemon to its peers before its clients are sent away, holds peers' keys back on their request,
 * and releases keys that are finished. {@link KeyHoldAnnouncement} decides which clients may go elsewhere. Times are milliseconds of wall
 * time. Lives on the event loop.
 */
final class KeyHoldCoordinator {
    /** How long clients of ordered keys wait for all peers to hold them; after that they get a retry delay. */
    private static final long ANNOUNCEMENT_PATIENCE_MILLIS = 400;
    /** A lost acknowledgement is asked for again. */
    private static final Runnable REPLY_LOST = () -> {};

    private final HandoffContext context;
    private final PeerConnections connections;
    private final PeerChannels channels;
    private final AdoptedKeys adoptedKeys;
    private final HandoffCodec codec;
    /** Peers that nobody runs. */
    private final Set<String> absentPeers = new HashSet<>();
    /** Keys that were requested of their origins, each once. */
    private final Set<Long> requestedKeys = new HashSet<>();

    private final OfferedKeys offeredKeys;
    /** Null until this daemon leaves. */
    private KeyHoldAnnouncement announcement;
    /** Null where nothing is replicated. */
    private HandoffCoordinator.ReplicationRequests replication;

    KeyHoldCoordinator(
            HandoffContext context,
            PeerConnections connections,
            PeerChannels channels,
            AdoptedKeys adoptedKeys,
            OfferedKeys offeredKeys,
            HandoffCodec codec) {
        this.context = context;
        this.connections = connections;
        this.channels = channels;
        this.adoptedKeys = adoptedKeys;
        this.offeredKeys = offeredKeys;
        this.codec = codec;
    }

    void replicateWith(HandoffCoordinator.ReplicationRequests requests) {
        replication = requests;
    }

    boolean isAnnounced() {
        return announcement != null;
    }

    /** Announces these keys, each with the time at which the last of its messages is over; once only. */
    void announce(Map<Long, Long> endMillisByKey) {
        if (announcement != null) {
            return;
        }
        announcement = new KeyHoldAnnouncement(
                context.wallMillis().getAsLong(),
                context.peers().keySet(),
                endMillisByKey,
                ANNOUNCEMENT_PATIENCE_MILLIS);
        announcement.excludePeers(absentPeers);
        context.peers().keySet().forEach(this::announceTo);
    }

    private void announceTo(String peer) {
        for (KeyHoldAnnouncement.KeyBatch batch : announcement.batchesToSend(peer, offeredKeys)) {
            connections
                    .to(peer)
                    .send(new KeyHoldRequest(context.self(), batch.number(), batch.untilMillis(), batch.keys()));
        }
    }

    /** Says again what was not acknowledged, or asks for what this process did not hear before it was started. */
    void repeat() {
        if (announcement != null) {
            context.peers().keySet().forEach(this::announceTo);
        } else if (context.journal().keyHolds().size() > 0) {
            requestStatus();
        }
    }

    /** A daemon that handed keys off and was restarted has not heard of what became of them. */
    private void requestStatus() {
        List<KeyHolds.KeyHold> ownHolds = context.journal().keyHolds().allHolds().stream()
                .filter(hold -> hold.origin().equals(context.self()))
                .limit(KeyHoldAnnouncement.MAX_KEYS_PER_BATCH)
                .toList();
        if (!ownHolds.isEmpty()) {
            connections.sendToAll(new KeyHoldStatusRequest(context.self(), ownHolds));
        }
    }

    boolean isHeldBy(String peer) {
        return announcement != null && announcement.isAcknowledgedBy(peer);
    }

    void excludeAbsentPeers(Collection<String> names) {
        absentPeers.clear();
        absentPeers.addAll(names);
        if (announcement != null) {
            announcement.excludePeers(absentPeers);
        }
    }

    boolean isUndecided(long key) {
        return announcement != null
                && announcement.isAnnounced(key)
                && !announcement.isSettled(context.wallMillis().getAsLong());
    }

    long retryElsewhereDelayMillis(long key) {
        return announcement == null
                ? 0
                : announcement.retryElsewhereDelayMillis(context.wallMillis().getAsLong(), key);
    }

    /** Releases the keys that are finished here, announced or adopted, everywhere. */
    void releaseFinished() {
        if (announcement == null && adoptedKeys.isEmpty()) {
            return;
        }
        Set<Long> pendingKeys = new HashSet<>();
        Set<Long> pendingAdoptedKeys = new HashSet<>();
        for (AcceptedMessage message : context.journal().pendingMessages()) {
            pendingKeys.add(message.key);
            if (message.adopted) {
                pendingAdoptedKeys.add(message.key);
            }
        }
        if (announcement != null) {
            releaseAnnounced(pendingKeys);
        }
        adoptedKeys.finishAllBut(pendingAdoptedKeys).forEach(this::sendRelease);
    }

    /** A key of which messages were handed off is still held by this daemon itself, so it is not finished. */
    private void releaseAnnounced(Set<Long> pendingKeys) {
        List<Long> finished = announcement.openKeys().stream()
                .filter(key -> !pendingKeys.contains(key)
                        && !context.journal().keyHolds().origins(key).contains(context.self()))
                .toList();
        if (!finished.isEmpty()) {
            announcement.keysDone(finished);
            sendRelease(context.self(), finished);
        }
    }

    private void sendRelease(String origin, List<Long> keys) {
        int batchSize = KeyHoldAnnouncement.MAX_KEYS_PER_BATCH;
        for (int from = 0; from < keys.size(); from += batchSize) {
            List<Long> batch = keys.subList(from, Math.min(keys.size(), from + batchSize));
            KeyRelease release = new KeyRelease(context.self(), origin, batch);
            connections.sendToAll(release);
            channels.sendToOthers(context.peers().keySet(), release);
        }
    }

    /** Requests a key that others hold a message of from its origins, once. */
    void requestKey(long key) {
        if (requestedKeys.size() > KeyHoldAnnouncement.MAX_KEYS_PER_BATCH || !requestedKeys.add(key)) {
            return;
        }
        KeyRequest request = new KeyRequest(context.self(), key);
        for (String origin : context.journal().keyHolds().origins(key)) {
            if (!channels.sendTo(origin, request) && context.peers().containsKey(origin)) {
                connections.to(origin).send(request);
            }
        }
    }

    void onKeysReleased(Collection<Long> keys) {
        requestedKeys.removeAll(keys);
        offeredKeys.forget(keys);
    }

    /** A peer holds a batch of announced keys. */
    void onHoldReply(String peer, KeyHoldReply reply) {
        if (announcement != null) {
            announcement.acknowledge(peer, reply.batchNumber());
        }
    }

    /** Holds the keys of a peer and acknowledges it once that is safe; without room there is no answer. */
    void onHoldRequest(ChannelHandlerContext channel, KeyHoldRequest request) {
        long latestMillis = context.wallMillis().getAsLong() + AcceptedMessage.MAX_LIFETIME_MILLIS;
        long untilMillis = Math.min(request.untilMillis(), latestMillis);
        if (!context.host().holdKeys(request.sender(), request.keys(), untilMillis)) {
            return;
        }
        Runnable acknowledge = () -> channel.writeAndFlush(codec.encode(new KeyHoldReply(request.batchNumber())));
        if (replication != null && !replication.hasStarted()) {
            // The snapshot that replicas get first has it.
            acknowledge.run();
        } else {
            context.journal().whenDurable(acknowledge, REPLY_LOST);
        }
    }

    void onRelease(KeyRelease release) {
        context.host().releaseKeys(release.origin(), release.keys());
    }

    /** Answers which of a peer's keys are finished; where none is known to be there is no answer. */
    void onStatusRequest(ChannelHandlerContext channel, KeyHoldStatusRequest request) {
        List<Long> finished = adoptedKeys.finishedOf(request.sender(), request.holds());
        if (!finished.isEmpty()) {
            channel.writeAndFlush(codec.encode(new KeyRelease(context.self(), request.sender(), finished)));
        }
    }
}
