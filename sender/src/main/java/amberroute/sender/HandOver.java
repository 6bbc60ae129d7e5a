package amberroute.sender;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;

import amberroute.handover.Effect;
import amberroute.handover.Ownership;
import amberroute.handover.Word;

/**
 * Carries the words of the hand-over protocol between daemons and its records to the journal; what they mean is decided
 * by {@link Ownership}. One JSON object a line, over TCP; answers come back on the connection of the offer. At most
 * {@value #MOST_CONNECTIONS} peers are served, lines of at most {@value #LONGEST_LINE} bytes, and
 * {@value #MOST_OUT} lots are offered at a time. Lives on the event loop.
 */
final class HandOver {
    static final int LONGEST_LINE = 1 << 18;
    private static final int MOST_CONNECTIONS = 16;
    private static final int MOST_OUT = 64;
    private static final long ASK_MS = 250;
    private static final int CONNECT_MS = 500;
    private static final long SHUNNED = 1_000_000_000L;

    /** What the sender does for it. */
    interface Host {
        /** Messages that may move now, by lots: those of a key together and in order; none with a call out. */
        List<List<Held>> movable();

        /** Writes that a lot is offered or that its answer has come; the sender drops or takes up its messages. */
        boolean record(String lot, Ownership ownership, List<Held> messages);

        /** Whether there is room for these messages and time to deliver them. */
        boolean room(List<Held> messages);

        /** Writes messages and ownership as one and goes on with them; false where the disk has no room. */
        boolean adopt(String lot, Ownership ownership, List<Held> messages);

        /** These may be another's now, and their time is up: all that may be said here is that they failed. */
        void failed(List<Held> messages);

        /** A number for a message that comes from elsewhere. */
        long nextNumber();
    }

    /** A lot that this daemon has offered and not heard of yet. */
    private static final class Offer {
        final String lot;
        final List<Held> messages;
        Ownership ownership;
        boolean back;

        Offer(String lot, Ownership ownership, List<Held> messages) {
            this.lot = lot;
            this.ownership = ownership;
            this.messages = messages;
        }
    }

    private final EventLoop loop;
    private final String name;
    private final Map<String, InetSocketAddress> peers;
    private final Host host;
    private final Journal journal;
    private final Map<String, Link> links = new HashMap<>();
    /** When a connection to a peer could not be opened last, in nanoseconds. */
    private final Map<String, Long> unreachable = new HashMap<>();
    private final Map<String, Offer> offers = new LinkedHashMap<>();
    /** How many peers have said no to a message, so that each is asked once. */
    private final Map<Long, Integer> refused = new HashMap<>();
    private Channel server;
    private int connections;
    private long counter;
    private long moved;

    HandOver(EventLoop loop, String name, Map<String, InetSocketAddress> peers, Host host, Journal journal) {
        this.loop = loop;
        this.name = name;
        this.peers = new LinkedHashMap<>(peers);
        this.host = host;
        this.journal = journal;
        counter = System.currentTimeMillis() * 1_000;
    }

    /** Listens for peers; returns the address bound. */
    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        server = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.closeFuture().addListener(closed -> connections--);
                        if (++connections > MOST_CONNECTIONS) {
                            channel.close();
                            return;
                        }
                        channel.pipeline().addLast(new LineBasedFrameDecoder(LONGEST_LINE, true, true), new Heir());
                    }
                }).bind(address).sync().channel();
        return (InetSocketAddress) server.localAddress();
    }

    /** Takes up what an earlier process had offered: only its heirs can tell whose that is. */
    void recover() {
        journal.lots().forEach((lot, kept) -> {
            List<Held> messages = journal.messages(kept.numbers());
            if (kept.ownership().status() == Ownership.Status.OFFERED && !messages.isEmpty()) {
                Offer offer = new Offer(lot, kept.ownership(), messages);
                offer.back = true;
                offers.put(lot, offer);
            }
        });
        loop.scheduleWithFixedDelay(this::askAgain, ASK_MS, ASK_MS, TimeUnit.MILLISECONDS);
    }

    /** Offers what may move; to be called again and again while this daemon leaves. */
    void offerAll() {
        if (peers.isEmpty() || offers.size() >= MOST_OUT) {
            return;
        }
        for (List<Held> messages : host.movable()) {
            if (offers.size() >= MOST_OUT) {
                return;
            }
            int tried = refused.getOrDefault(messages.get(0).number, 0);
            if (tried < peers.size()) {
                offer(messages, tried);
            }
        }
    }

    /** Messages whose heir has not answered. */
    int waiting() {
        return offers.values().stream().mapToInt(o -> o.messages.size()).sum();
    }

    /** Messages that are others' now. */
    long moved() {
        return moved;
    }

    /** The offers that nobody has answered: all that their leaver may do any more is to say that they failed. */
    void giveUp() {
        List.copyOf(offers.values()).forEach(this::giveUp);
    }

    /**
     * Each message's end is written before the lot's: a process that dies between the two finds ended messages under an
     * offer, where the other way round it would find them its own again while the heir may call.
     */
    private void giveUp(Offer offer) {
        host.failed(offer.messages);
        offers.remove(offer.lot);
        for (Effect effect : offer.ownership.end(offer.lot)) {
            if (effect instanceof Effect.Write write) {
                host.record(offer.lot, write.ownership(), offer.messages);
            }
        }
    }

    void close() {
        if (server != null) {
            server.close();
        }
        links.values().forEach(Link::close);
    }

    // ---- The leaver. ----

    /** A key's messages go where its clients will: by its number among the peers; others by turns. */
    private void offer(List<Held> messages, int tried) {
        Held first = messages.get(0);
        List<String> names = List.copyOf(peers.keySet());
        String heir = names.get((int) Math.floorMod((first.key != 0 ? first.key : first.number) + tried, (long) names.size()));
        Long failed = unreachable.get(heir);
        if (failed != null && System.nanoTime() - failed < SHUNNED) {
            // Nothing has left for this one: another may be asked at once.
            refused.merge(first.number, 1, Integer::sum);
            return;
        }
        if (!links.computeIfAbsent(heir, Link::new).ready()) {
            return;
        }
        String lot = name + "-" + Long.toString(counter++, 36);
        Offer offer = new Offer(lot, Ownership.taken(), messages);
        carryOut(offer, offer.ownership.offer(lot, heir));
    }

    private void carryOut(Offer offer, List<Effect> effects) {
        for (Effect effect : effects) {
            if (effect instanceof Effect.Write write) {
                if (!host.record(offer.lot, write.ownership(), offer.messages)) {
                    return;
                }
                offer.ownership = write.ownership();
                switch (offer.ownership.status()) {
                    case OFFERED -> offers.put(offer.lot, offer);
                    case GIVEN -> {
                        offers.remove(offer.lot);
                        moved += offer.messages.size();
                    }
                    default -> offers.remove(offer.lot);
                }
            } else if (effect instanceof Effect.Send send) {
                Link link = links.computeIfAbsent(send.to(), Link::new);
                if (link.ready()) {
                    link.send(send.word(), offer.messages);
                }
            }
        }
    }

    private void askAgain() {
        long wall = System.currentTimeMillis();
        for (Offer offer : List.copyOf(offers.values())) {
            if (offer.messages.stream().anyMatch(m -> m.deadline <= wall)) {
                giveUp(offer);
                continue;
            }
            carryOut(offer, offer.ownership.ask(offer.lot, offer.back));
        }
    }

    private void answered(String from, Word word) {
        Offer offer = offers.get(word.lot());
        if (offer != null) {
            List<Effect> effects = offer.ownership.answered(word.lot(), from, word);
            if (!effects.isEmpty() && word.kind() == Word.Kind.NO) {
                refused.merge(offer.messages.get(0).number, 1, Integer::sum);
            }
            carryOut(offer, effects);
        }
    }

    /** The connection to one peer. */
    private final class Link extends SimpleChannelInboundHandler<ByteBuf> {
        private final String peer;
        private Channel channel;

        Link(String peer) {
            this.peer = peer;
            InetSocketAddress address = peers.get(peer);
            if (address == null) {
                unreachable.put(peer, System.nanoTime());
                return;
            }
            new Bootstrap().group(loop).channel(NioSocketChannel.class).option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline().addLast(new LineBasedFrameDecoder(4_096, true, true), Link.this);
                        }
                    }).connect(address).addListener((io.netty.channel.ChannelFuture done) -> {
                        if (done.isSuccess()) {
                            channel = done.channel();
                        } else {
                            unreachable.put(peer, System.nanoTime());
                            links.remove(peer, this);
                        }
                    });
        }

        boolean ready() {
            return channel != null && channel.isActive() && channel.isWritable();
        }

        void send(Word word, List<Held> messages) {
            JsonObject line = line(word);
            line.addProperty("from", name);
            if (word.kind() == Word.Kind.OFFER) {
                JsonArray list = new JsonArray();
                messages.forEach(m -> list.add(write(m)));
                line.add("messages", list);
            }
            channel.writeAndFlush(Unpooled.copiedBuffer(line + "\n", StandardCharsets.UTF_8));
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            Word word = word(JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8)).getAsJsonObject());
            if (!word.forHeir()) {
                answered(peer, word);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            links.remove(peer, this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // ---- The heir. ----

    private final class Heir extends SimpleChannelInboundHandler<ByteBuf> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            JsonObject line = JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8)).getAsJsonObject();
            Word word = word(line);
            String from = line.get("from").getAsString();
            if (!word.forHeir() || !from.matches("[A-Za-z0-9._-]{1,64}") || !word.lot().matches("[A-Za-z0-9._-]{1,128}")) {
                context.close();
                return;
            }
            List<Held> messages = new ArrayList<>();
            if (word.kind() == Word.Kind.OFFER) {
                for (JsonElement item : line.getAsJsonArray("messages")) {
                    messages.add(read(item.getAsJsonObject(), host.nextNumber()));
                }
            }
            Ownership known = journal.lots().containsKey(word.lot()) ? journal.lots().get(word.lot()).ownership()
                    : Ownership.NONE;
            boolean room = !messages.isEmpty() && host.room(messages);
            for (Effect effect : known.offered(word.lot(), from, word, room)) {
                if (effect instanceof Effect.Send send) {
                    context.writeAndFlush(Unpooled.copiedBuffer(line(send.word()) + "\n", StandardCharsets.UTF_8));
                } else if (effect instanceof Effect.Write write) {
                    boolean written = write.ownership().mine() ? host.adopt(word.lot(), write.ownership(), messages)
                            : host.record(word.lot(), write.ownership(), List.of());
                    if (!written) {
                        // The disk has no room for the decision: it is still open, and the leaver asks again.
                        return;
                    }
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Log.warn("hand-over: closed a peer's connection: " + cause.getClass().getSimpleName());
            context.close();
        }
    }

    // ---- On the wire. ----

    private static JsonObject line(Word word) {
        JsonObject line = new JsonObject();
        line.addProperty("word", word.kind().name());
        line.addProperty("lot", word.lot());
        line.addProperty("generation", word.generation());
        return line;
    }

    private static Word word(JsonObject line) {
        return new Word(Word.Kind.valueOf(line.get("word").getAsString()), line.get("lot").getAsString(),
                line.get("generation").getAsLong());
    }

    /** All that the rules need; times as wall time, as in the journal. */
    private static JsonObject write(Held m) {
        JsonObject json = new JsonObject();
        json.addProperty("id", m.id);
        json.addProperty("idempotency_key", m.idempotencyKey);
        json.addProperty("class", m.className);
        json.addProperty("key", Long.toHexString(m.key));
        json.addProperty("destination", m.destination);
        json.addProperty("deadline", m.deadline);
        json.addProperty("attempts", m.attempts);
        json.addProperty("doubt_since", m.doubtSince);
        json.addProperty("doubt_at", m.doubtAt);
        json.addProperty("body", Base64.getEncoder().encodeToString(m.body));
        return json;
    }

    private static Held read(JsonObject json, long number) {
        Held m = new Held(number, json.get("id").getAsString(), json.get("idempotency_key").getAsString(),
                json.get("class").getAsString(), Long.parseUnsignedLong(json.get("key").getAsString(), 16),
                json.get("destination").getAsInt(), json.get("deadline").getAsLong(),
                Base64.getDecoder().decode(json.get("body").getAsString()));
        m.attempts = json.get("attempts").getAsInt();
        m.doubtSince = json.get("doubt_since").getAsLong();
        m.doubtAt = json.get("doubt_at").getAsString();
        boolean good = !m.id.isEmpty() && ClientServer.printable(m.id) && ClientServer.printable(m.idempotencyKey)
                && m.doubtAt.length() <= 128 && m.body.length <= Resp.LARGEST_VALUE && m.attempts >= 0 && m.doubtSince >= 0
                && m.deadline >= 0 && m.deadline <= System.currentTimeMillis() + Sender.LONGEST_LIFE_MS;
        if (!good) {
            throw new IllegalArgumentException("a message that no client can have handed in");
        }
        return m;
    }
}
