package amberroute.sender.peer;

import amberroute.replication.LeaderTerm;
import amberroute.replication.LogPosition;
import amberroute.replication.ReplicaSet;
import amberroute.sender.journal.Journal;
import amberroute.sender.util.Backoff;
import amberroute.sender.util.Log;
import amberroute.storage.Batch;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The owner's side of one estate: takes each change of its journal on to the holders of its group, and lets an effect
 * happen once the change that allows it is at a majority, as {@link LeaderTerm} counts. The changes of one pass of the loop travel
 * together. A holder whose connection is new gets the whole first, a slice at a time, with the changes of meanwhile between.
 *
 * <p>What waits for a holder is bounded by {@value #MOST_PENDING} bytes, beyond which its connection is closed and it gets
 * the whole again; effects that wait are bounded by what is held. Lives on the event loop.
 */
public final class JournalReplicator implements Journal.ChangeListener {
    /** Encoded bytes in one line, so that with a last batch, of a lot at most, it stays within what a peer reads. */
    private static final int LINE_BYTES = 64 << 10;

    private static final long MOST_PENDING = 8 << 20;
    /** Every wake-up costs an idle daemon more than what it does then; a beat may be late by so much. */
    private static final long STEP_MS = 50;
    /** A change that allows no effect yet travels with the next one that does, or after so long: it is behind by no more. */
    private static final long LAZY_MS = 10;
    /**
     * Changes that effects wait for travel at least so far apart: under load they share lines, whose number is what copies cost. A
     * message waits up to three times for its copies, so this is small beside what a call takes.
     */
    private static final long SPACING_NANOS = 2_000_000;

    private static final int CONNECT_MS = 500;
    /** The pause before a holder is connected to again, or gets the whole again: at least, the first span, and the longest. */
    private static final long PAUSE_LEAST_MS = 25;

    private static final long PAUSE_MS = 100;
    private static final long PAUSE_MOST_MS = 3_000;
    /** Whoever owes an answer for longer is not the one to wait for; as long as a change may wait for company. */
    private static final long PROMPT_NANOS = LAZY_MS * 1_000_000;
    /** How often a holder hears of the estate at least. */
    private static final long BEAT_NANOS = 100_000_000;
    /** A holder that has not answered for so long is not counted on for what is taken on now: three beats and some delay. */
    private static final long DEAF_NANOS = 400_000_000;
    /** An effect that has not been allowed for so long is told as not in time; a client waits no longer for its answer. */
    private static final long PATIENCE_NANOS = 200_000_000;

    /** What may happen once a majority has all up to a number. */
    private record DeferredEffect(long number, Runnable effect, Runnable failed, long since) {}

    /** A line with the changes behind one number up to another, and the group in this version, -1 for none. */
    private record EncodedBatch(long behind, long upTo, long version, byte[] bytes) {}

    /** Told when somebody else has a later term. */
    interface LeadershipLostListener {
        void onLeadershipLost(long term, String owner);
    }

    private final EventLoop loop;
    private final String self;
    private final String estate;
    private final Journal journal;
    private final Map<String, InetSocketAddress> peers;
    private final LeadershipLostListener onOver;
    private final Map<String, ReplicaConnection> links = new LinkedHashMap<>();
    private final Deque<DeferredEffect> waiting = new ArrayDeque<>();
    /** What each holder has said that it has, in this term: it is told so, should its folder be an older one by then. */
    private final Map<String, Long> had = new LinkedHashMap<>();

    private final ScheduledFuture<?> steps;
    /** Null until the term is won. */
    private LeaderTerm tenure;

    private long reached = -1;
    private boolean flushDue;
    private long flushedAt = System.nanoTime() - SPACING_NANOS;
    private boolean lazyDue;
    private boolean patienceDue;
    private boolean closed;
    /** The line of changes that was encoded last: holders that are equally far get the same. */
    private EncodedBatch encoded = new EncodedBatch(-1, -1, -1, new byte[0]);

    private long late;

    JournalReplicator(
            EventLoop loop,
            String self,
            String estate,
            Journal journal,
            Map<String, InetSocketAddress> peers,
            LeadershipLostListener onOver) {
        this.loop = loop;
        this.self = self;
        this.estate = estate;
        this.journal = journal;
        this.peers = peers;
        this.onOver = onOver;
        steps = loop.scheduleWithFixedDelay(this::step, STEP_MS, STEP_MS, TimeUnit.MILLISECONDS);
    }

    /** The term is this daemon's; false where that cannot be written. */
    boolean startTerm(long term, LogPosition at, ReplicaSet group) {
        tenure = new LeaderTerm(self, term, at.index(), group);
        if (!journal.holders(ReplicationMessages.group(estate, group))) {
            tenure = null;
            return false;
        }
        group.members().forEach(this::link);
        return true;
    }

    /** A change of the group, one more or one less; not before the last one is agreed on. */
    boolean changeReplicaSet(ReplicaSet next) {
        if (tenure == null
                || !tenure.isReplicaSetCommitted()
                || !journal.holders(ReplicationMessages.group(estate, next))) {
            return false;
        }
        List<String> before = tenure.replicaSet().members();
        tenure.replicaSetChanged(next);
        next.members().forEach(this::link);
        // What a new one has said so far was said by one that learns.
        links.forEach((name, link) -> link.fresh &= before.contains(name));
        List.copyOf(links.keySet()).stream()
                .filter(name -> !next.members().contains(name))
                .forEach(name -> {
                    ReplicaConnection link = links.remove(name);
                    had.remove(name);
                    // It need not keep what will never be whole again.
                    link.say(ReplicationMessages.of("LEAVE", self, estate, tenure.term()));
                    link.close();
                });
        release();
        return true;
    }

    /** Brings somebody up to date who may then become a holder. */
    void startCatchUp(String name) {
        link(name);
    }

    /** Whether it has all, be it a holder or not. */
    boolean isCaughtUp(String name) {
        return links.containsKey(name) && links.get(name).taught;
    }

    /** Whether what it has does not count, as it lost what it had promised. */
    boolean hasLostState(String name) {
        return links.containsKey(name) && links.get(name).fresh;
    }

    private void link(String name) {
        if (!name.equals(self) && peers.containsKey(name) && !links.containsKey(name)) {
            ReplicaConnection link = new ReplicaConnection(
                    name, new Backoff(PAUSE_LEAST_MS, PAUSE_MS, PAUSE_MOST_MS, (estate + name).hashCode()));
            links.put(name, link);
            link.connect();
        }
    }

    /** Null before the term is won. */
    LeaderTerm leaderTerm() {
        return tenure;
    }

    /** How far this daemon's own record has come, null before the term is won. */
    LogPosition logPosition() {
        return tenure == null ? null : new LogPosition(tenure.term(), tenure.lastIndex());
    }

    /** Whether what is taken on now can be copied: a majority has the whole. */
    boolean isReady() {
        if (tenure == null || tenure.hasEnded()) {
            return false;
        }
        long now = System.nanoTime();
        return tenure.replicaSet()
                .hasQuorum(tenure.replicaSet().members().stream()
                        .filter(h -> h.equals(self)
                                || tenure.replicationLag(h) >= 0
                                        && links.containsKey(h)
                                        && now - links.get(h).heardAt < DEAF_NANOS)
                        .toList());
    }

    /** Effects that were not allowed in time, since the start. */
    long lateEffects() {
        return late;
    }

    /** Tells the holders that nothing is owed any more. */
    void announceCompletion() {
        if (tenure != null) {
            links.values().forEach(link -> link.say(ReplicationMessages.of("DONE", self, estate, tenure.term())));
        }
    }

    /** Tells the holders that this process ends, and that the next one is back on its folder within so long. */
    void announceRestart(long millis) {
        if (tenure != null) {
            JsonObject line = ReplicationMessages.of("AWAY", self, estate, tenure.term());
            line.addProperty("back_ms", millis);
            links.values().forEach(link -> link.say(line));
        }
    }

    /** Nothing more is agreed on. */
    void endTerm() {
        if (tenure != null) {
            tenure.end();
        }
    }

    public void close() {
        closed = true;
        steps.cancel(false);
        List.copyOf(links.values()).forEach(ReplicaConnection::close);
        links.clear();
    }

    // ---- The journal's side. ----

    @Override
    public byte[] place() {
        return tenure == null || tenure.hasEnded()
                ? null
                : ReplicationMessages.place(new LogPosition(tenure.term(), tenure.lastIndex() + 1));
    }

    @Override
    public void wrote(Batch batch) {
        tenure.appended();
        if (!links.isEmpty()) {
            String change = ReplicationMessages.encoded(batch);
            links.values().forEach(link -> link.add(change));
            if (!lazyDue) {
                lazyDue = true;
                loop.schedule(this::flushLazily, LAZY_MS, TimeUnit.MILLISECONDS);
            }
        }
    }

    @Override
    public void whenAgreed(Runnable effect, Runnable failed) {
        long number = tenure == null ? 0 : tenure.lastIndex();
        if (waiting.isEmpty() && tenure != null && !tenure.hasEnded() && reached >= number) {
            effect.run();
        } else {
            waiting.add(new DeferredEffect(number, effect, failed, System.nanoTime()));
            if (!flushDue && !links.isEmpty()) {
                flushDue = true;
                long rest = flushedAt + SPACING_NANOS - System.nanoTime();
                if (rest <= 0) {
                    loop.execute(this::flush);
                } else {
                    loop.schedule(this::flush, rest, TimeUnit.NANOSECONDS);
                }
            }
            if (!patienceDue) {
                patienceDue = true;
                loop.schedule(this::impatient, PATIENCE_NANOS, TimeUnit.NANOSECONDS);
            }
        }
    }

    // ---- Steps. ----

    /**
     * An effect waits for a majority, so as many holders as that takes get its change at once, of those that answer promptly;
     * the others get it with what comes within {@value #LAZY_MS} ms.
     */
    private void flush() {
        flushDue = false;
        long now = System.nanoTime();
        flushedAt = now;
        int wanted = tenure == null ? 0 : tenure.replicaSet().members().size() / 2;
        List<ReplicaConnection> prompt = links.values().stream()
                .filter(link -> link.prompt(now))
                .limit(wanted)
                .toList();
        (prompt.size() < wanted ? List.copyOf(links.values()) : prompt).forEach(ReplicaConnection::pump);
    }

    private void flushAll() {
        List.copyOf(links.values()).forEach(ReplicaConnection::pump);
    }

    private void flushLazily() {
        lazyDue = false;
        if (!closed) {
            flushAll();
        }
    }

    private void release() {
        if (tenure == null || tenure.hasEnded()) {
            return;
        }
        reached = Math.max(reached, tenure.commitIndex());
        while (!waiting.isEmpty() && reached >= 0 && waiting.peek().number() <= reached) {
            Log.guarded("an effect", waiting.poll().effect());
        }
    }

    private void step() {
        flushAll();
        long now = System.nanoTime();
        List.copyOf(links.values()).forEach(link -> link.beat(now));
    }

    /** What has waited for too long is told so; looks again when the next one will have. */
    private void impatient() {
        patienceDue = false;
        if (closed) {
            return;
        }
        long now = System.nanoTime();
        long next = Long.MAX_VALUE;
        List<Runnable> failed = new ArrayList<>();
        for (Iterator<DeferredEffect> each = waiting.iterator(); each.hasNext(); ) {
            DeferredEffect w = each.next();
            if (now - w.since() < PATIENCE_NANOS) {
                next = w.since() + PATIENCE_NANOS - now;
                break;
            }
            if (w.failed() != null) {
                each.remove();
                failed.add(w.failed());
            }
        }
        if (next != Long.MAX_VALUE) {
            patienceDue = true;
            loop.schedule(this::impatient, next, TimeUnit.NANOSECONDS);
        }
        late += failed.size();
        failed.forEach(effect -> Log.guarded("an effect", effect));
    }

    /** The connection to one holder. */
    private final class ReplicaConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private final String holder;
        /** Of its connections and of the wholes that it asks for: short again once it has said that it has all. */
        private final Backoff pauses;

        private final Deque<String> pending = new ArrayDeque<>();
        private long pendingBytes;
        /** What is left of the whole, null once the holder has been sent all of it. */
        private Iterator<Supplier<Batch>> whole;

        private boolean first;
        private long sent;
        /** The version of the group that it has from this connection, which each whole begins with. */
        private long told;

        private long spokeAt;
        private long heardAt;
        /** Since when an answer is owed, 0 where none is. */
        private long owedSince;

        private boolean taught;
        private boolean lacking;
        private boolean fresh;
        private Channel channel;

        ReplicaConnection(String holder, Backoff pauses) {
            this.holder = holder;
            this.pauses = pauses;
        }

        void connect() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MS)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            fresh.pipeline()
                                    .addLast(new LineBasedFrameDecoder(1 << 12, true, true), ReplicaConnection.this);
                        }
                    })
                    .connect(peers.get(holder))
                    .addListener((io.netty.channel.ChannelFuture done) -> {
                        if (closed || links.get(holder) != this) {
                            done.channel().close();
                        } else if (done.isSuccess()) {
                            channel = done.channel();
                            again();
                        } else {
                            loop.schedule(this::anew, pauses.next(), TimeUnit.MILLISECONDS);
                        }
                    });
        }

        /** The connection is gone: another takes its place, and begins with the whole. */
        private void anew() {
            if (!closed && links.get(holder) == this) {
                ReplicaConnection next = new ReplicaConnection(holder, pauses);
                links.put(holder, next);
                next.connect();
            }
        }

        /**
         * Its copy does not end where the next change begins, or its disk does not take it: it gets the whole, soon the
         * first time and seldom where it goes on refusing.
         */
        private void lacks() {
            if (lacking) {
                return;
            }
            lacking = true;
            tenure.acknowledgementLost(holder);
            taught = false;
            pending.clear();
            pendingBytes = 0;
            whole = null;
            loop.schedule(
                    () -> {
                        lacking = false;
                        if (!closed && links.get(holder) == this && channel.isActive()) {
                            again();
                        }
                    },
                    pauses.next(),
                    TimeUnit.MILLISECONDS);
        }

        /** The holder gets the whole, from the beginning. */
        private void again() {
            tenure.acknowledgementLost(holder);
            taught = false;
            pending.clear();
            pendingBytes = 0;
            whole = journal.contents().iterator();
            first = true;
            pump();
        }

        void add(String change) {
            if (channel == null || lacking) {
                // The whole will have it.
                return;
            }
            pending.add(change);
            pendingBytes += change.length();
            if (pendingBytes > MOST_PENDING) {
                Log.warn("survival: " + holder + " takes copies too slowly and is begun anew");
                channel.close();
            }
        }

        void pump() {
            if (channel == null || !channel.isActive() || lacking || tenure.hasEnded()) {
                return;
            }
            while (channel.isWritable() && (whole != null || !pending.isEmpty())) {
                // What was written before a content of the whole is read goes ahead of it.
                List<String> some = new ArrayList<>();
                long bytes = 0;
                while (!pending.isEmpty()
                        && (some.isEmpty() || bytes + pending.peek().length() <= LINE_BYTES)) {
                    String next = pending.poll();
                    bytes += next.length();
                    pendingBytes -= next.length();
                    some.add(next);
                }
                long changes = some.size();
                while (whole != null && pending.isEmpty() && whole.hasNext() && bytes < LINE_BYTES / 2) {
                    Batch part = whole.next().get();
                    if (!part.isEmpty()) {
                        String next = ReplicationMessages.encoded(part);
                        bytes += next.length();
                        some.add(next);
                    }
                }
                if (whole == null) {
                    copy(sent + changes, some);
                    continue;
                }
                boolean last = pending.isEmpty() && !whole.hasNext();
                JsonObject line = ReplicationMessages.of("WHOLE", self, estate, tenure.term());
                line.addProperty("first", first);
                line.addProperty("last", last);
                if (first) {
                    line.addProperty("had", had.getOrDefault(holder, 0L));
                }
                if (last) {
                    sent = tenure.lastIndex();
                    line.addProperty("upto", sent);
                    some.add(ReplicationMessages.encoded(journal.placed()));
                    whole = null;
                }
                first = false;
                write(line, some);
            }
        }

        /** The changes behind what was sent. Their numbers say what they are, so what another holder got serves as well. */
        private void copy(long upTo, List<String> some) {
            long version = tenure.replicaSet().version();
            boolean news = told != version;
            if (encoded.behind() != sent || encoded.upTo() != upTo || encoded.version() != (news ? version : -1)) {
                JsonObject line = ReplicationMessages.of("COPY", self, estate, tenure.term());
                line.addProperty("behind", sent);
                line.addProperty("upto", upTo);
                ReplicationMessages.add(line, some);
                if (news) {
                    ReplicationMessages.add(line, tenure.replicaSet());
                }
                encoded = new EncodedBatch(sent, upTo, news ? version : -1, PeerMessageCodec.utf8(line));
            }
            told = version;
            sent = upTo;
            spokeAt = System.nanoTime();
            owedSince = owedSince == 0 ? spokeAt : owedSince;
            channel.writeAndFlush(Unpooled.wrappedBuffer(encoded.bytes()));
        }

        private void write(JsonObject line, List<String> some) {
            ReplicationMessages.add(line, some);
            ReplicationMessages.add(line, tenure.replicaSet());
            told = tenure.replicaSet().version();
            spokeAt = System.nanoTime();
            channel.writeAndFlush(PeerMessageCodec.bytes(line));
        }

        /** Whether it counts, has all that was sent but for the last moment, and so will answer soon. */
        boolean prompt(long now) {
            return whole == null
                    && !lacking
                    && !fresh
                    && tenure.replicationLag(holder) >= 0
                    && (owedSince == 0 || now - owedSince < PROMPT_NANOS);
        }

        /** That the estate has its owner is said again from time to time, as is what the holder has. */
        void beat(long now) {
            if (channel != null
                    && channel.isActive()
                    && !lacking
                    && whole == null
                    && pending.isEmpty()
                    && now - spokeAt > BEAT_NANOS) {
                copy(sent, List.of());
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf bytes) {
            JsonObject line = JsonParser.parseString(bytes.toString(StandardCharsets.UTF_8))
                    .getAsJsonObject();
            if (links.get(holder) != this || line.get("term").getAsLong() < tenure.term()) {
                return;
            }
            heardAt = System.nanoTime();
            owedSince = line.has("number") && line.get("number").getAsLong() >= sent ? 0 : heardAt;
            switch (line.get("word").getAsString()) {
                case "HAVE" -> {
                    taught = whole == null;
                    pauses.good();
                    fresh = !line.get("counts").getAsBoolean();
                    if (!fresh) {
                        had.merge(holder, line.get("number").getAsLong(), Math::max);
                        tenure.acknowledged(holder, line.get("number").getAsLong());
                        release();
                    }
                }
                case "LACKS" -> lacks();
                case "OVER" -> {
                    tenure.end();
                    onOver.onLeadershipLost(
                            line.get("term").getAsLong(), line.get("owner").getAsString());
                }
                default -> throw new IllegalArgumentException("no answer to a copy");
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            pump();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (links.get(holder) == this) {
                tenure.acknowledgementLost(holder);
                loop.schedule(this::anew, pauses.next(), TimeUnit.MILLISECONDS);
            }
        }

        void say(JsonObject line) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(PeerMessageCodec.bytes(line));
            }
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Log.warn("survival: closed the connection to " + holder + ": " + cause);
            context.close();
        }
    }
}
