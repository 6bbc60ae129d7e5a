package amberroute.sender.peer;

import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.OfferedKeys;
import amberroute.handoff.Ownership;
import amberroute.sender.journal.Journal;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.peer.HandoffProtocolMessage.CancelMessage;
import amberroute.sender.peer.HandoffProtocolMessage.KeyHoldReply;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRelease;
import amberroute.sender.peer.HandoffProtocolMessage.KeyRequest;
import amberroute.sender.peer.HandoffProtocolMessage.OfferMessage;
import amberroute.sender.peer.HandoffProtocolMessage.OfferReply;
import com.google.gson.JsonObject;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Moves messages between daemons and lets peers hold ordered keys back meanwhile. Composes the parts: {@link OutgoingOffers} of the leaving
 * daemon, {@link IncomingOffers} of a successor, {@link KeyHoldCoordinator}, and the connections. What a message means is decided by
 * {@link Ownership}, who is offered what by {@link HandoffPlacement}, which clients may go elsewhere by {@link KeyHoldAnnouncement}.
 * Replies come back on the connection of what they answer. Lives on the event loop.
 */
public final class HandoffCoordinator {
    /** Longer lines close their connection. */
    public static final int MAX_LINE_BYTES = 1 << 18;

    private static final long REPEAT_MILLIS = 250;
    private static final long RELEASE_MILLIS = 100;

    /** Takes the requests of the replication protocol, which come on the same connections. */
    public interface ReplicationRequests {
        /** A request of a peer; replies go to {@code context}. On the event loop. */
        void handle(ChannelHandlerContext context, ReplicationProtocolMessage request);

        /** Whether this daemon's journal is replicated already: before, nothing was accepted that a replica could lack. */
        boolean hasStarted();
    }

    /** What the sender does for the handoff; all on the event loop. */
    public interface Host {
        /** Messages that may move now, by groups: those of a key together and in order; none with a call in flight. */
        List<List<AcceptedMessage>> movableGroups();

        /**
         * Records that a batch is offered, and that later messages of its keys have to wait until a wall time in milliseconds after a
         * restart, wherever the batch is by then; the sender drops its messages. False where it cannot be written.
         */
        boolean recordOffer(
                String batchId,
                Ownership ownership,
                List<AcceptedMessage> messages,
                List<Long> keys,
                long holdUntilMillis);

        /**
         * Records what has become of a batch; the sender takes up its messages where they are its own again. False where it cannot be
         * written.
         */
        boolean recordOwnership(String batchId, Ownership ownership, List<AcceptedMessage> messages);

        /** Null where there is capacity for these messages and time to deliver them, and their classes mean the same here. */
        HandoffPlacement.RejectionReason rejectionReason(List<AcceptedMessage> messages, JsonObject classMeanings);

        /** Records messages and ownership as one and goes on with them; false where the disk has no capacity. */
        boolean adoptBatch(String batchId, Ownership ownership, List<AcceptedMessage> messages, String origin);

        /** The deadline of these messages has passed, and another daemon may own them: reports them as failed, no more. */
        void failMessages(List<AcceptedMessage> messages);

        /** A number for a message that comes from elsewhere. */
        long nextMessageNumber();

        /** What the classes of these messages mean here, by class name. */
        JsonObject classMeanings(List<AcceptedMessage> messages);

        /** Whether the order of a message's key counts. */
        boolean isOrdered(AcceptedMessage message);

        /** Holds back messages of these keys until they are released or the wall time is over; false without capacity. */
        boolean holdKeys(String origin, List<Long> keys, long untilMillis);

        /** The origin has nothing of these keys any more. */
        void releaseKeys(String origin, List<Long> keys);
    }

    private final HandoffContext context;
    private final HandoffPlacement placement;
    private final HandoffCodec codec;
    private final AdoptedKeys adoptedKeys;
    private final PeerChannels channels;
    private final PeerConnections connections;
    private final OutgoingOffers outgoing;
    private final IncomingOffers incoming;
    private final KeyHoldCoordinator keyHolds;
    private final PeerServer server;
    private final List<ScheduledFuture<?>> repeating = new ArrayList<>();
    /** Null where nothing is replicated. */
    private ReplicationRequests replication;

    /** {@code wallMillis} are milliseconds as the journal's times have them, also {@code journalBegunMillis}, 0 if that is not known. */
    public HandoffCoordinator(
            EventLoop loop,
            String name,
            Map<String, InetSocketAddress> peers,
            Host host,
            Journal journal,
            long journalBegunMillis,
            LongSupplier wallMillis) {
        Map<String, InetSocketAddress> others = new LinkedHashMap<>(peers);
        others.remove(name);
        context = new HandoffContext(loop, name, others, host, journal, journalBegunMillis, wallMillis);
        placement = new HandoffPlacement(others.keySet());
        codec = new HandoffCodec(host::nextMessageNumber, System::currentTimeMillis);
        adoptedKeys = new AdoptedKeys(context.maxPeers());
        channels = new PeerChannels(context.maxPeers(), codec);
        connections = new PeerConnections(loop, others, codec, new ConnectionEvents());
        OfferedKeys offeredKeys = new OfferedKeys();
        outgoing = new OutgoingOffers(context, connections, placement, adoptedKeys, offeredKeys);
        incoming = new IncomingOffers(context, adoptedKeys, codec);
        keyHolds = new KeyHoldCoordinator(context, connections, channels, adoptedKeys, offeredKeys, codec);
        server = new PeerServer(loop, context.maxPeers(), MAX_LINE_BYTES, this::requestHandler);
    }

    private PeerRequestHandler requestHandler() {
        return new PeerRequestHandler(
                new PeerRequestHandler.Services(codec, channels, incoming, keyHolds, placement, replication));
    }

    /** Listens for peers; returns the address bound. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        return server.listen(address);
    }

    /**
     * Takes up what an earlier process had offered: only its successors can tell whose that is. Until then, and while a successor
     * has messages of a key, later ones of the key wait.
     */
    public void recoverOffers() {
        outgoing.recover();
        repeating.add(context.loop()
                .scheduleWithFixedDelay(this::repeat, REPEAT_MILLIS, REPEAT_MILLIS, TimeUnit.MILLISECONDS));
        repeating.add(context.loop()
                .scheduleWithFixedDelay(
                        keyHolds::releaseFinished, RELEASE_MILLIS, RELEASE_MILLIS, TimeUnit.MILLISECONDS));
    }

    private void repeat() {
        outgoing.repeatUnanswered();
        keyHolds.repeat();
    }

    /** Passes the requests of the replication protocol on; to be called before {@link #listen}. */
    public void handleReplicationWith(ReplicationRequests requests) {
        replication = requests;
        keyHolds.replicateWith(requests);
    }

    /** Offers what may move; to be called again and again while this daemon leaves. */
    public void offerMovable() {
        outgoing.offerMovable();
    }

    /** Messages whose successor has not answered. */
    public int unansweredMessages() {
        return outgoing.unansweredMessages();
    }

    /** Messages that are others' now. */
    long movedMessages() {
        return outgoing.movedMessages();
    }

    /** What was moved, in words. */
    public String summary() {
        return outgoing.summary();
    }

    /** Ends the offers that nobody has answered: all that this daemon may say any more is that they failed. */
    public void abandonOffers() {
        outgoing.abandonAll();
    }

    /** Stops listening and closes the connections to peers. */
    public void close() {
        repeating.forEach(each -> each.cancel(false));
        server.close();
        connections.close();
    }

    /** Announces the ordered keys that are pending here to all peers, each with the time of the steady clock at which its last message is over. */
    public void announceKeyHolds(Map<Long, Long> endMillisByKey) {
        keyHolds.announce(endMillisByKey);
    }

    /** Whether this peer holds back what comes of all announced keys. */
    public boolean isHeldBy(String peer) {
        return keyHolds.isHeldBy(peer);
    }

    /** Those of the peers that nobody runs; whoever would start them says so with a stop. */
    public void excludeAbsentPeers(Collection<String> names) {
        keyHolds.excludeAbsentPeers(names);
    }

    /** Whether a client of this key has to be left without an answer for a moment. */
    public boolean isHoldUndecided(long key) {
        return keyHolds.isUndecided(key);
    }

    /** How long a client of this key has to wait before it goes elsewhere, in milliseconds. */
    public long retryElsewhereDelayMillis(long key) {
        return keyHolds.retryElsewhereDelayMillis(key);
    }

    /** A message of this key has come here while others have some: they are asked to hand them to this daemon. */
    public void requestKey(long key) {
        keyHolds.requestKey(key);
    }

    /** Nobody holds these keys any more. */
    public void onKeysReleased(Collection<Long> keys) {
        keyHolds.onKeysReleased(keys);
    }

    /** What happens on the outgoing connections. */
    private final class ConnectionEvents implements PeerConnections.Listener {
        @Override
        public void onConnected(String peer) {
            offerWhileLeaving();
        }

        @Override
        public void onUnreachable(String peer) {
            placement.peerUnreachable(HandoffContext.monotonicMillis(), peer);
        }

        @Override
        public void onMessage(String peer, HandoffProtocolMessage message) {
            if (message instanceof OfferReply reply) {
                boolean known = outgoing.onReply(peer, reply);
                if (known) {
                    offerWhileLeaving();
                }
            } else if (message instanceof KeyHoldReply reply) {
                keyHolds.onHoldReply(peer, reply);
            } else if (message instanceof KeyRequest request) {
                placement.preferPeer(request.key(), peer);
            } else if (message instanceof KeyRelease release) {
                keyHolds.onRelease(release);
            } else if (!(message instanceof OfferMessage) && !(message instanceof CancelMessage)) {
                throw new MalformedPeerMessageException(JsonLine.WORD, "a reply");
            }
        }

        private void offerWhileLeaving() {
            if (keyHolds.isAnnounced()) {
                outgoing.offerMovable();
            }
        }
    }
}
