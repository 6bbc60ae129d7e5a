package amberroute.sender.peer;

import amberroute.handoff.HandoffEffect;
import amberroute.handoff.HandoffMessage;
import amberroute.handoff.HandoffPlacement;
import amberroute.handoff.KeyHoldAnnouncement;
import amberroute.handoff.KeyHolds;
import amberroute.handoff.Ownership;
import amberroute.sender.journal.Journal;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.Log;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Carries the words of the hand-over protocol between daemons and its records to the journal; what they mean is decided
 * by {@link Ownership}, who is offered what by {@link HandoffPlacement}, and which clients may go elsewhere by {@link KeyHoldAnnouncement}.
 * One JSON object a line ({@link PeerMessageCodec}), over TCP; answers come back on the connection of what they answer. At most
 * {@value #LEAST_PEERS} connections and {@value #EACH_PEER} for each configured peer are served, lines of at most
 * {@value #MAX_LINE_BYTES} bytes, and {@value #MOST_OUT} lots are offered at a time. Lives on the event loop.
 */
public final class HandoffCoordinator {
    public static final int MAX_LINE_BYTES = 1 << 18;
    /** Peers that are served at a time, and names of which something is kept: so many, and for each configured peer some more. */
    private static final int LEAST_PEERS = 128;

    private static final int EACH_PEER = 4;
    private static final int MOST_OUT = 16;
    private static final int MOST_GROUPS = 4_096;
    private static final long ASK_MS = 250;
    /** On a connection that lives an answer is only late: what is asked again there is asked seldom. */
    private static final long ASK_SAME_MS = 2_000;

    private static final long DONE_MS = 100;
    private static final int CONNECT_MS = 500;
    /** How long clients of ordered keys wait for all peers to hold them; then they are told to wait themselves. */
    private static final long NAMING_MS = 400;

    private static final int MOST_PENDING = 256;
    /** Milliseconds by which the ends of holds are set apart, so that two moves of one key do not have the same. */
    private static final long UNLIKE = 499;
    /** A word that could not leave in time is asked for again. */
    private static final Runnable IGNORED = () -> {};

    /** Understands further words. */
    public interface ReplicationRequests {
        /** False where the line is none of its own. */
        boolean handle(ChannelHandlerContext context, JsonObject line, String from);

        /** Whether this daemon's estate has begun: before, nothing was taken on that a copy could lack. */
        boolean hasStarted();
    }

    /** What the sender does for it. */
    public interface Host {
        /** Messages that may move now, by groups: those of a key together and in order; none with a call out. */
        List<List<AcceptedMessage>> movableGroups();

        /**
         * Writes that a lot is offered, and that what comes of its keys after a restart has to wait until then, wherever
         * the lot is by that time; the sender drops its messages.
         */
        boolean recordOffer(
                String lot, Ownership ownership, List<AcceptedMessage> messages, List<Long> keys, long holdUntil);

        /** Writes what has become of a lot; the sender takes up its messages where they are its own again. */
        boolean recordOwnership(String lot, Ownership ownership, List<AcceptedMessage> messages);

        /** Null where there is room for these messages and time to deliver them, and their classes mean the same here. */
        HandoffPlacement.RejectionReason rejectionReason(List<AcceptedMessage> messages, JsonObject classes);

        /** Writes messages and ownership as one and goes on with them; false where the disk has no room. */
        boolean adoptBatch(String lot, Ownership ownership, List<AcceptedMessage> messages, String origin);

        /** These may be another's now, and their time is up: all that may be said here is that they failed. */
        void failMessages(List<AcceptedMessage> messages);

        /** A number for a message that comes from elsewhere. */
        long nextMessageNumber();

        /** What the classes of these messages mean here. */
        JsonObject classMeanings(List<AcceptedMessage> messages);

        /** Whether a message's key is one of an order. */
        boolean isOrdered(AcceptedMessage message);

        /** Holds back what comes of these keys until they are released or the time is over; false without room. */
        boolean holdKeys(String origin, List<Long> keys, long until);

        /** The origin has nothing of these keys any more. */
        void releaseKeys(String origin, List<Long> keys);
    }

    /** A lot that this daemon has offered and not heard of yet. */
    private static final class Offer {
        final String lot;
        final List<AcceptedMessage> messages;
        final HandoffPlacement.HandoffBatch placed;
        Ownership ownership;
        boolean back;
        /** The end of this daemon's own hold on the keys of the lot, 0 where an earlier process offered it. */
        long until;

        Channel sentOn;
        long sentAt;

        Offer(String lot, Ownership ownership, List<AcceptedMessage> messages, HandoffPlacement.HandoffBatch placed) {
            this.lot = lot;
            this.ownership = ownership;
            this.messages = messages;
            this.placed = placed;
        }
    }

    private final EventLoop loop;
    private final String name;
    private final Map<String, InetSocketAddress> peers;
    private final Host host;
    private final Journal journal;
    /** Milliseconds, as deadlines and holds are told. */
    private final LongSupplier clock;

    private final HandoffPlacement placement;
    private final Map<String, PeerConnection> links = new HashMap<>();
    private final Map<String, Offer> offers = new LinkedHashMap<>();
    /** Where each peer last spoke from, for words to those that no address is known of. */
    private final Map<String, Channel> spoke = new HashMap<>();
    /** Keys that came from elsewhere, with all who may have had them held: to be released when they are over here. */
    private final Map<Long, Set<String>> adopted = new HashMap<>();
    /**
     * Of what was adopted and is over: the last so many keys of each leaver with the end of its hold, which tells one move
     * of a key from another; for those that did not hear of it.
     */
    private final Map<String, Map<Long, Long>> over = new HashMap<>();
    /** Of the keys that are here by adoption: the end of their leaver's own hold. */
    private final Map<Long, Long> heldUntil = new HashMap<>();
    /** Keys of which a message has come while another has them; their origin is told once. */
    private final Set<Long> wanted = new HashSet<>();

    private final Set<String> absent = new HashSet<>();
    private final List<ScheduledFuture<?>> repeating = new ArrayList<>();
    /** Takes lines about estates; null where nothing is copied. */
    private ReplicationRequests estates;

    private KeyHoldAnnouncement naming;
    private Channel server;
    private final int mostPeers;
    private int connections;
    private long counter;
    private long moved;
    private long movedBytes;
    private long lots;

    /** {@code clock} tells milliseconds as the journal's times have them. */
    public HandoffCoordinator(
            EventLoop loop,
            String name,
            Map<String, InetSocketAddress> peers,
            Host host,
            Journal journal,
            LongSupplier clock) {
        this.loop = loop;
        this.name = name;
        this.peers = new LinkedHashMap<>(peers);
        this.peers.remove(name);
        this.host = host;
        this.journal = journal;
        mostPeers = LEAST_PEERS + EACH_PEER * this.peers.size();
        placement = new HandoffPlacement(this.peers.keySet());
        this.clock = clock;
        counter = clock.getAsLong() * 1_000;
    }

    /** Listens for peers; returns the address bound. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.closeFuture().addListener(closed -> connections--);
                        if (++connections > mostPeers) {
                            channel.close();
                            return;
                        }
                        channel.pipeline()
                                .addLast(new LineBasedFrameDecoder(MAX_LINE_BYTES, true, true), new Successor());
                    }
                })
                .bind(address)
                .sync()
                .channel();
        return (InetSocketAddress) server.localAddress();
    }

    /**
     * Takes up what an earlier process had offered: only its heirs can tell whose that is. Until then, and while an heir
     * has messages of a key, later ones of the key wait.
     */
    public void recoverOffers() {
        journal.lots().forEach((lot, kept) -> {
            List<AcceptedMessage> messages = journal.messages(kept.numbers());
            if (kept.ownership().status() == Ownership.Status.OFFERED && !messages.isEmpty()) {
                Offer offer = new Offer(
                        lot,
                        kept.ownership(),
                        messages,
                        new HandoffPlacement.HandoffBatch(
                                kept.ownership().peer(), List.of(group(messages, clock.getAsLong()))));
                offer.back = true;
                offers.put(lot, offer);
            }
        });
        repeating.add(loop.scheduleWithFixedDelay(this::askAgain, ASK_MS, ASK_MS, TimeUnit.MILLISECONDS));
        repeating.add(loop.scheduleWithFixedDelay(this::releaseDone, DONE_MS, DONE_MS, TimeUnit.MILLISECONDS));
    }

    public void handleReplicationWith(ReplicationRequests understands) {
        estates = understands;
    }

    /** Offers what may move; to be called again and again while this daemon leaves. */
    public void offerMovable() {
        if (peers.isEmpty() || offers.size() > MOST_OUT / 2) {
            return;
        }
        long now = clock.getAsLong();
        Map<Long, List<AcceptedMessage>> byFirst = new LinkedHashMap<>();
        List<HandoffPlacement.MessageGroup> groups = new ArrayList<>();
        for (List<AcceptedMessage> messages : host.movableGroups()) {
            HandoffPlacement.MessageGroup group = group(messages, now);
            groups.add(group);
            byFirst.put(group.firstNumber(), messages);
            if (groups.size() >= MOST_GROUPS) {
                break;
            }
        }
        for (HandoffPlacement.HandoffBatch lot : placement.assignBatches(millis(), groups, MOST_OUT - offers.size())) {
            PeerConnection link = link(lot.successor());
            if (!link.ready()) {
                continue;
            }
            List<AcceptedMessage> messages = new ArrayList<>();
            lot.groups().forEach(g -> messages.addAll(byFirst.get(g.firstNumber())));
            String id = name + "-" + Long.toString(counter++, 36);
            Offer offer = new Offer(id, Ownership.initial(), messages, lot);
            offer.until = until(messages) + counter % UNLIKE;
            carryOut(offer, offer.ownership.offer(id, lot.successor()));
        }
    }

    private static HandoffPlacement.MessageGroup group(List<AcceptedMessage> messages, long now) {
        AcceptedMessage first = messages.get(0);
        long bytes = messages.stream().mapToLong(m -> m.body.length + 1_024L).sum();
        long left = messages.stream().mapToLong(m -> m.deadline).min().orElse(now) - now;
        return new HandoffPlacement.MessageGroup(first.number, first.key, messages.size(), bytes, left);
    }

    private List<Long> orderedKeys(List<AcceptedMessage> messages) {
        return messages.stream()
                .filter(host::isOrdered)
                .map(m -> m.key)
                .distinct()
                .toList();
    }

    private static long until(List<AcceptedMessage> messages) {
        return messages.stream().mapToLong(m -> m.deadline).max().orElse(0) + KeyHoldAnnouncement.CLOCK_SKEW_MILLIS;
    }

    /** Messages whose heir has not answered. */
    public int unansweredMessages() {
        return offers.values().stream().mapToInt(o -> o.messages.size()).sum();
    }

    /** Messages that are others' now. */
    long movedMessages() {
        return moved;
    }

    /** What was moved, in words. */
    public String summary() {
        return moved + " messages were handed over in " + lots + " lots, " + movedBytes + " bytes on the wire";
    }

    /** The offers that nobody has answered: all that their leaver may do any more is to say that they failed. */
    public void abandonOffers() {
        List.copyOf(offers.values()).forEach(this::abandonOffers);
    }

    /**
     * Each message's end is written before the lot's: a process that dies between the two finds ended messages under an
     * offer, where the other way round it would find them its own again while the heir may call.
     */
    private void abandonOffers(Offer offer) {
        host.failMessages(offer.messages);
        offers.remove(offer.lot);
        for (HandoffEffect effect : offer.ownership.expire(offer.lot)) {
            if (effect instanceof HandoffEffect.PersistOwnership write) {
                host.recordOwnership(offer.lot, write.ownership(), offer.messages);
            }
        }
    }

    public void close() {
        repeating.forEach(each -> each.cancel(false));
        if (server != null) {
            server.close();
        }
        List.copyOf(links.values()).forEach(PeerConnection::close);
    }

    private static long millis() {
        return System.nanoTime() / 1_000_000;
    }

    // ---- The leaver's clients. ----

    /** Names the ordered keys that are held to all peers; {@code ends} has when the last message of each is over. */
    public void announceKeyHolds(Map<Long, Long> ends) {
        if (naming != null) {
            return;
        }
        naming = new KeyHoldAnnouncement(clock.getAsLong(), peers.keySet(), ends, NAMING_MS);
        naming.excludePeers(absent);
        peers.keySet().forEach(this::nameTo);
    }

    /** Whether this peer holds back what comes of all keys that were named. */
    public boolean isHeldBy(String peer) {
        return naming != null && naming.unacknowledgedBatches(peer).isEmpty();
    }

    /** Those of the peers that nobody runs; told with a stop by whoever would start them. */
    public void excludeAbsentPeers(Collection<String> names) {
        absent.clear();
        absent.addAll(names);
        if (naming != null) {
            naming.excludePeers(absent);
        }
    }

    private void nameTo(String peer) {
        if (naming != null) {
            naming.unacknowledgedBatches(peer).forEach(batch -> link(peer).say(PeerMessageCodec.hold(name, batch)));
        }
    }

    /** Whether a client of this key has to be left without an answer for a moment. */
    public boolean isHoldUndecided(long key) {
        return naming != null && naming.isAnnounced(key) && !naming.isSettled(clock.getAsLong());
    }

    /** How long a client of this key is to stay away from all others, in milliseconds. */
    public long retryElsewhereDelayMillis(long key) {
        return naming == null ? 0 : naming.retryElsewhereDelayMillis(clock.getAsLong(), key);
    }

    /** Keys that are over, here for the leaver that named them, or for what was adopted, are released everywhere. */
    private void releaseDone() {
        if (naming == null && adopted.isEmpty()) {
            return;
        }
        Set<Long> alive = new HashSet<>();
        Set<Long> aliveAdopted = new HashSet<>();
        for (AcceptedMessage m : journal.live()) {
            alive.add(m.key);
            if (m.adopted) {
                aliveAdopted.add(m.key);
            }
        }
        if (naming != null) {
            List<Long> done = naming.openKeys().stream()
                    .filter(key -> !alive.contains(key)
                            && !journal.holds().origins(key).contains(name))
                    .toList();
            if (!done.isEmpty()) {
                naming.keysDone(done);
                tellReleased(name, done);
            }
        }
        Map<String, List<Long>> ended = new LinkedHashMap<>();
        adopted.keySet().removeIf(key -> {
            if (aliveAdopted.contains(key)) {
                return false;
            }
            adopted.get(key).forEach(origin -> ended.computeIfAbsent(origin, o -> new ArrayList<>())
                    .add(key));
            return true;
        });
        ended.forEach((origin, keys) -> {
            if (over.size() < mostPeers || over.containsKey(origin)) {
                Map<Long, Long> known = over.computeIfAbsent(origin, o -> new LinkedHashMap<>());
                keys.forEach(key -> known.put(key, heldUntil.getOrDefault(key, 0L)));
                while (known.size() > KeyHoldAnnouncement.MAX_KEYS_PER_BATCH) {
                    known.remove(known.keySet().iterator().next());
                }
            }
            tellReleased(origin, keys);
        });
        heldUntil.keySet().retainAll(adopted.keySet());
    }

    /** A daemon that gave keys away and was restarted meanwhile has not heard of what came of them: it asks. */
    private void askWhetherOver() {
        List<KeyHolds.KeyHold> given = journal.holds().allHolds().stream()
                .filter(hold -> hold.origin().equals(name))
                .limit(KeyHoldAnnouncement.MAX_KEYS_PER_BATCH)
                .toList();
        if (!given.isEmpty()) {
            JsonObject line = PeerMessageCodec.whether(name, given);
            peers.keySet().forEach(peer -> link(peer).say(line));
        }
    }

    private void tellReleased(String origin, List<Long> keys) {
        for (int from = 0; from < keys.size(); from += KeyHoldAnnouncement.MAX_KEYS_PER_BATCH) {
            JsonObject line = PeerMessageCodec.release(
                    name,
                    origin,
                    keys.subList(from, Math.min(keys.size(), from + KeyHoldAnnouncement.MAX_KEYS_PER_BATCH)));
            peers.keySet().forEach(peer -> link(peer).say(line));
            spoke.forEach((peer, channel) -> {
                if (!peers.containsKey(peer) && channel.isWritable()) {
                    channel.writeAndFlush(PeerMessageCodec.bytes(line));
                }
            });
        }
    }

    /** A message of this key has come here while others have some: they had better give them to this daemon. */
    public void requestKey(long key) {
        if (wanted.size() > KeyHoldAnnouncement.MAX_KEYS_PER_BATCH || !wanted.add(key)) {
            return;
        }
        JsonObject line = PeerMessageCodec.want(name, key);
        for (String origin : journal.holds().origins(key)) {
            Channel channel = spoke.get(origin);
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(PeerMessageCodec.bytes(line));
            } else if (peers.containsKey(origin)) {
                link(origin).say(line);
            }
        }
    }

    /** Nobody holds these any more. */
    public void onKeysReleased(Collection<Long> keys) {
        wanted.removeAll(keys);
    }

    // ---- The leaver. ----

    private void carryOut(Offer offer, List<HandoffEffect> effects) {
        for (HandoffEffect effect : effects) {
            if (effect instanceof HandoffEffect.PersistOwnership write) {
                boolean written = write.ownership().status() == Ownership.Status.OFFERED
                        ? host.recordOffer(
                                offer.lot, write.ownership(), offer.messages, orderedKeys(offer.messages), offer.until)
                        : host.recordOwnership(offer.lot, write.ownership(), offer.messages);
                if (!written) {
                    return;
                }
                offer.ownership = write.ownership();
                switch (offer.ownership.status()) {
                    case OFFERED -> offers.put(offer.lot, offer);
                    case GIVEN -> {
                        offers.remove(offer.lot);
                        placement.forgetGroups(offer.placed.groups());
                        // Whoever has them now tells when they are over.
                        orderedKeys(offer.messages).forEach(adopted::remove);
                        moved += offer.messages.size();
                        lots++;
                    }
                    default -> offers.remove(offer.lot);
                }
            } else if (effect instanceof HandoffEffect.SendMessage send) {
                PeerConnection link = link(send.recipient());
                if (link.ready()) {
                    offer.sentOn = link.channel;
                    offer.sentAt = millis();
                    // One that cannot leave yet, or any more, is asked again.
                    journal.whenSafe(
                            () -> {
                                if (link.ready()) {
                                    link.send(send.message(), offer);
                                }
                            },
                            () -> offer.sentAt = 0);
                }
            }
        }
    }

    private void askAgain() {
        long now = clock.getAsLong();
        for (Offer offer : List.copyOf(offers.values())) {
            if (offer.messages.stream().anyMatch(m -> m.deadline <= now)) {
                abandonOffers(offer);
                continue;
            }
            PeerConnection link = link(offer.ownership.peer());
            if (link.channel != offer.sentOn || millis() - offer.sentAt >= ASK_SAME_MS) {
                carryOut(offer, offer.ownership.requestReply(offer.lot, offer.back));
            }
        }
        if (naming != null) {
            peers.keySet().forEach(this::nameTo);
        } else if (journal.holds().size() > 0) {
            askWhetherOver();
        }
    }

    private void answered(String from, HandoffMessage word, HandoffPlacement.RejectionReason why) {
        Offer offer = offers.get(word.batchId());
        if (offer == null) {
            return;
        }
        List<HandoffEffect> effects = offer.ownership.onReply(word.batchId(), from, word);
        if (!effects.isEmpty() && word.kind() == HandoffMessage.Kind.NO) {
            placement.batchRejected(millis(), offer.placed, why);
        }
        carryOut(offer, effects);
        if (naming != null) {
            offerMovable();
        }
    }

    private PeerConnection link(String peer) {
        PeerConnection link = links.get(peer);
        if (link == null) {
            link = new PeerConnection(peer);
            links.put(peer, link);
            link.connect();
        }
        return link;
    }

    /** The connection to one peer. */
    private final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private final String peer;
        private final Deque<JsonObject> pending = new ArrayDeque<>();
        private Channel channel;

        PeerConnection(String peer) {
            this.peer = peer;
        }

        void connect() {
            InetSocketAddress address = peers.get(peer);
            if (address == null) {
                failed();
                return;
            }
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline()
                                    .addLast(new LineBasedFrameDecoder(1 << 16, true, true), PeerConnection.this);
                        }
                    })
                    .connect(address)
                    .addListener((io.netty.channel.ChannelFuture done) -> {
                        if (done.isSuccess()) {
                            channel = done.channel();
                            while (!pending.isEmpty()) {
                                channel.write(PeerMessageCodec.bytes(pending.poll()));
                            }
                            channel.flush();
                            if (naming != null) {
                                offerMovable();
                            }
                        } else {
                            failed();
                        }
                    });
        }

        private void failed() {
            placement.peerUnreachable(millis(), peer);
            links.remove(peer, this);
        }

        boolean ready() {
            return channel != null && channel.isActive() && channel.isWritable();
        }

        /** What may be lost: it is said when the connection is up, unless too much waits for that. */
        void say(JsonObject line) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(PeerMessageCodec.bytes(line));
            } else if (pending.size() < MOST_PENDING) {
                pending.add(line);
            }
        }

        void send(HandoffMessage word, Offer offer) {
            List<AcceptedMessage> messages = offer.messages;
            JsonObject line = PeerMessageCodec.of(word, name);
            if (word.kind() == HandoffMessage.Kind.OFFER) {
                PeerMessageCodec.add(line, messages, host.classMeanings(messages));
                JsonObject origins = new JsonObject();
                for (long key : orderedKeys(messages)) {
                    Set<String> of = new LinkedHashSet<>(adopted.getOrDefault(key, Set.of()));
                    of.add(name);
                    origins.add(Long.toHexString(key), PeerMessageCodec.names(of));
                }
                line.add("origins", origins);
                line.addProperty("until", offer.until);
            }
            ByteBuf bytes = PeerMessageCodec.bytes(line);
            movedBytes += bytes.readableBytes();
            channel.writeAndFlush(bytes);
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            JsonObject line = JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8))
                    .getAsJsonObject();
            switch (line.get("word").getAsString()) {
                case "HELD" -> {
                    if (naming != null) {
                        naming.acknowledge(peer, line.get("batch").getAsInt());
                    }
                }
                case "WANT" -> placement.preferPeer(
                        PeerMessageCodec.key(line.get("key").getAsString()), peer);
                case "RELEASE" -> released(line);
                default -> {
                    HandoffMessage word = PeerMessageCodec.word(line);
                    if (!word.isForSuccessor()) {
                        answered(
                                peer,
                                word,
                                line.has("why")
                                        ? HandoffPlacement.RejectionReason.valueOf(
                                                line.get("why").getAsString())
                                        : HandoffPlacement.RejectionReason.ROOM);
                    }
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            links.remove(peer, this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Log.warn("hand-over: closed the connection to " + peer + ": "
                    + cause.getClass().getSimpleName());
            context.close();
        }
    }

    private void released(JsonObject line) {
        host.releaseKeys(
                PeerMessageCodec.plain(line.get("origin").getAsString()),
                PeerMessageCodec.keys(line.getAsJsonArray("keys")));
    }

    // ---- The heir. ----

    private final class Successor extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            JsonObject line = JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8))
                    .getAsJsonObject();
            String from = PeerMessageCodec.plain(line.get("from").getAsString());
            if (spoke.size() < mostPeers || spoke.containsKey(from)) {
                spoke.put(from, context.channel());
            }
            switch (line.get("word").getAsString()) {
                case "HOLD" -> {
                    long until = Math.min(
                            line.get("until").getAsLong(), clock.getAsLong() + AcceptedMessage.LONGEST_LIFE_MS);
                    int batch = line.get("batch").getAsInt();
                    if (host.holdKeys(from, PeerMessageCodec.keys(line.getAsJsonArray("keys")), until)) {
                        Runnable held =
                                () -> context.writeAndFlush(PeerMessageCodec.bytes(PeerMessageCodec.held(batch)));
                        if (estates != null && !estates.hasStarted()) {
                            // The whole that the holders get first has it.
                            held.run();
                        } else {
                            journal.whenSafe(held, IGNORED);
                        }
                    }
                }
                case "RELEASE" -> released(line);
                case "WANT" -> placement.preferPeer(
                        PeerMessageCodec.key(line.get("key").getAsString()), from);
                case "OVER" -> {
                    List<Long> known = PeerMessageCodec.holds(line, from).stream()
                            .filter(hold -> over.getOrDefault(from, Map.of()).getOrDefault(hold.key(), -1L)
                                    == hold.untilMillis())
                            .map(KeyHolds.KeyHold::key)
                            .toList();
                    if (!known.isEmpty()) {
                        context.writeAndFlush(PeerMessageCodec.bytes(PeerMessageCodec.release(name, from, known)));
                    }
                }
                default -> {
                    if (estates == null || !estates.handle(context, line, from)) {
                        word(context, line, from);
                    }
                }
            }
        }

        private void word(ChannelHandlerContext context, JsonObject line, String from) {
            HandoffMessage word = PeerMessageCodec.word(line);
            PeerMessageCodec.plain(word.batchId());
            if (!word.isForSuccessor()) {
                throw new IllegalArgumentException("no word for an heir");
            }
            List<AcceptedMessage> messages = word.kind() == HandoffMessage.Kind.OFFER
                    ? PeerMessageCodec.messages(line, host::nextMessageNumber)
                    : List.of();
            Ownership known = journal.lots().containsKey(word.batchId())
                    ? journal.lots().get(word.batchId()).ownership()
                    : Ownership.NONE;
            HandoffPlacement.RejectionReason refusal = messages.isEmpty()
                    ? HandoffPlacement.RejectionReason.UNFIT
                    : host.rejectionReason(
                            messages, line.has("classes") ? line.getAsJsonObject("classes") : new JsonObject());
            if (!decide(
                    context,
                    line,
                    known.onOffer(word.batchId(), from, word, refusal == null),
                    messages,
                    from,
                    refusal)) {
                // The disk has no room for the messages; where it has some for a no, their owner hears it at once.
                decide(
                        context,
                        line,
                        known.onOffer(word.batchId(), from, word, false),
                        messages,
                        from,
                        HandoffPlacement.RejectionReason.ROOM);
            }
        }

        /** False where the decision could not be written: then it is still open, and the leaver asks again. */
        private boolean decide(
                ChannelHandlerContext context,
                JsonObject line,
                List<HandoffEffect> effects,
                List<AcceptedMessage> messages,
                String from,
                HandoffPlacement.RejectionReason refusal) {
            for (HandoffEffect effect : effects) {
                if (effect instanceof HandoffEffect.SendMessage send) {
                    JsonObject answer = PeerMessageCodec.of(send.message(), null);
                    if (send.message().kind() == HandoffMessage.Kind.NO && refusal != null) {
                        answer.addProperty("why", refusal.name());
                    }
                    journal.whenSafe(() -> context.writeAndFlush(PeerMessageCodec.bytes(answer)), IGNORED);
                } else if (effect instanceof HandoffEffect.PersistOwnership write) {
                    boolean mine = write.ownership().isOwned();
                    boolean written = mine
                            ? host.adoptBatch(write.batchId(), write.ownership(), messages, from)
                            : host.recordOwnership(write.batchId(), write.ownership(), List.of());
                    if (!written) {
                        return false;
                    }
                    if (mine) {
                        keepOrigins(line, from, messages);
                    }
                }
            }
            return true;
        }

        private void keepOrigins(JsonObject line, String from, List<AcceptedMessage> messages) {
            JsonObject told = line.has("origins") ? line.getAsJsonObject("origins") : new JsonObject();
            for (long key : orderedKeys(messages)) {
                Set<String> of = adopted.computeIfAbsent(key, k -> new LinkedHashSet<>());
                of.add(from);
                heldUntil.put(key, line.has("until") ? line.get("until").getAsLong() : 0);
                String hex = Long.toHexString(key);
                if (told.has(hex)) {
                    told.getAsJsonArray(hex).forEach(origin -> of.add(PeerMessageCodec.plain(origin.getAsString())));
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Log.warn(
                    "hand-over: closed a peer's connection: " + cause.getClass().getSimpleName());
            context.close();
        }
    }
}
