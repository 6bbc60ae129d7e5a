package amberroute.sender.peer;

import amberroute.replication.LeaderTerm;
import amberroute.replication.ReplicaSet;
import amberroute.sender.peer.ReplicationProtocolMessage.AppendReply;
import amberroute.sender.peer.ReplicationProtocolMessage.SnapshotSlice;
import amberroute.sender.peer.ReplicationProtocolMessage.TermSuperseded;
import amberroute.sender.util.Backoff;
import amberroute.sender.util.LogEvent;
import amberroute.storage.Batch;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * The connection of a {@link JournalReplicator} to one replica and the handler of its replies. It begins with a snapshot, a slice at a time,
 * with the records appended meanwhile between. What waits for the replica is bounded by {@value #MAX_PENDING_BYTES} characters: beyond
 * that the connection is closed, and the next one begins with a snapshot again. Owns its channel. Lives on the event loop.
 */
final class ReplicaConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Characters of batches in one line: with a last batch, of a handoff batch at most, it stays within what a peer reads. */
    private static final int LINE_BYTES = 64 << 10;

    private static final int MAX_REPLY_BYTES = 1 << 12;
    private static final long MAX_PENDING_BYTES = 8 << 20;
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** Whoever owes an answer for longer is not the one to wait for. */
    private static final long PROMPT_NANOS = 10_000_000;
    /** How often a replica hears of the journal at least. */
    private static final long HEARTBEAT_NANOS = 100_000_000;

    private final JournalReplicator replicator;
    private final String replica;
    /** Between connections and between snapshots: short again once the replica has said that it has all. */
    private final Backoff pauses;

    private final Deque<EncodedBatch> pending = new ArrayDeque<>();
    private long pendingBytes;
    /** What is left of the snapshot, null once the replica has been sent all of it. */
    private Iterator<Supplier<Batch>> snapshot;

    private boolean firstSlice;
    private long sentIndex;
    /** Version of the replica set that it has from this connection, which each snapshot begins with. */
    private long sentReplicaSetVersion;

    private long sentAtNanos;
    private long heardAtNanos;
    /** Since when an answer is owed, 0 where none is. */
    private long answerDueSinceNanos;

    private boolean caughtUp;
    /** It needs a snapshot and waits for the pause before it. */
    private boolean snapshotDue;
    /** It has lost what it had promised: what it has does not count. */
    private boolean lostState;

    private Channel channel;

    ReplicaConnection(JournalReplicator replicator, String replica, Backoff pauses) {
        this.replicator = replicator;
        this.replica = replica;
        this.pauses = pauses;
    }

    String replica() {
        return replica;
    }

    boolean isCaughtUp() {
        return caughtUp;
    }

    boolean hasLostState() {
        return lostState;
    }

    /** Monotonic nanoseconds of its last answer. */
    long heardAtNanos() {
        return heardAtNanos;
    }

    private LeaderTerm leaderTerm() {
        return replicator.leaderTerm();
    }

    /** Whether it was a member before the change: one that joins has lost nothing. */
    void replicaSetChanged(boolean wasMember) {
        lostState &= wasMember;
    }

    void connect(EventLoop loop, InetSocketAddress address) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline()
                                .addLast(
                                        new LineBasedFrameDecoder(MAX_REPLY_BYTES, true, true), ReplicaConnection.this);
                    }
                })
                .connect(address)
                .addListener((ChannelFuture done) -> {
                    if (!replicator.isCurrent(this)) {
                        done.channel().close();
                    } else if (done.isSuccess()) {
                        channel = done.channel();
                        startSnapshot();
                    } else {
                        scheduleReconnect();
                    }
                });
    }

    private void scheduleReconnect() {
        replicator.loop().schedule(() -> replicator.reconnect(this, pauses), pauses.next(), TimeUnit.MILLISECONDS);
    }

    private boolean isOpen() {
        return channel != null && channel.isActive();
    }

    // ---- What is sent. ----

    /** Drops what waits, as a snapshot will have it. */
    private void reset() {
        leaderTerm().acknowledgementLost(replica);
        caughtUp = false;
        pending.clear();
        pendingBytes = 0;
    }

    private void startSnapshot() {
        reset();
        snapshot = replicator.journal().snapshotBatches().iterator();
        firstSlice = true;
        sendPending();
    }

    /**
     * Its copy does not end where the next record begins, or its disk does not take it: it gets a snapshot, soon the first
     * time and seldom where it goes on refusing.
     */
    private void scheduleSnapshot() {
        if (snapshotDue) {
            return;
        }
        snapshotDue = true;
        reset();
        snapshot = null;
        replicator
                .loop()
                .schedule(
                        () -> {
                            snapshotDue = false;
                            if (replicator.isCurrent(this) && channel.isActive()) {
                                startSnapshot();
                            }
                        },
                        pauses.next(),
                        TimeUnit.MILLISECONDS);
    }

    /** A record was appended; it waits for {@link #sendPending}. */
    void add(EncodedBatch batch) {
        if (channel == null || snapshotDue) {
            // The snapshot will have it.
            return;
        }
        pending.add(batch);
        pendingBytes += batch.length();
        if (pendingBytes > MAX_PENDING_BYTES) {
            LogEvent.of("replica_overflowed")
                    .with("journal", replicator.journalId())
                    .with("replica", replica)
                    .with("pending_bytes", pendingBytes)
                    .warn();
            channel.close();
        }
    }

    /** Sends what waits, and slices of the snapshot, as long as the channel takes them. */
    void sendPending() {
        if (!isOpen() || snapshotDue || leaderTerm().hasEnded()) {
            return;
        }
        while (channel.isWritable() && (snapshot != null || !pending.isEmpty())) {
            sendLine();
        }
    }

    /** Records that were appended before a slice is read go ahead of it. */
    private void sendLine() {
        List<EncodedBatch> batches = new ArrayList<>();
        long bytes = 0;
        while (!pending.isEmpty()
                && (batches.isEmpty() || bytes + pending.peek().length() <= LINE_BYTES)) {
            EncodedBatch next = pending.poll();
            bytes += next.length();
            pendingBytes -= next.length();
            batches.add(next);
        }
        if (snapshot == null) {
            sendAppend(sentIndex + batches.size(), batches);
        } else {
            sendSlice(batches, bytes);
        }
    }

    private void sendSlice(List<EncodedBatch> batches, long appendedBytes) {
        long bytes = appendedBytes;
        while (pending.isEmpty() && snapshot.hasNext() && bytes < LINE_BYTES / 2) {
            Batch next = snapshot.next().get();
            if (!next.isEmpty()) {
                EncodedBatch encoded = EncodedBatch.of(next);
                bytes += encoded.length();
                batches.add(encoded);
            }
        }
        boolean last = pending.isEmpty() && !snapshot.hasNext();
        if (last) {
            sentIndex = leaderTerm().lastIndex();
            batches.add(EncodedBatch.of(replicator.journal().replicationPositionBatch()));
            snapshot = null;
        }
        ReplicaSet replicaSet = leaderTerm().replicaSet();
        SnapshotSlice slice = new SnapshotSlice(
                replicator.self(),
                replicator.journalId(),
                leaderTerm().term(),
                firstSlice,
                last,
                firstSlice ? OptionalLong.of(replicator.acknowledgedIndex(replica)) : OptionalLong.empty(),
                last ? OptionalLong.of(sentIndex) : OptionalLong.empty(),
                batches,
                replicaSet);
        firstSlice = false;
        sentReplicaSetVersion = replicaSet.version();
        sentAtNanos = System.nanoTime();
        channel.writeAndFlush(ReplicationCodec.encode(slice));
    }

    private void sendAppend(long lastIndex, List<EncodedBatch> batches) {
        long version = leaderTerm().replicaSet().version();
        byte[] line = replicator.encodeAppend(sentIndex, lastIndex, batches, sentReplicaSetVersion != version);
        sentReplicaSetVersion = version;
        sentIndex = lastIndex;
        sentAtNanos = System.nanoTime();
        answerDueSinceNanos = answerDueSinceNanos == 0 ? sentAtNanos : answerDueSinceNanos;
        channel.writeAndFlush(Unpooled.wrappedBuffer(line));
    }

    /** Whether it counts, has all that was sent but for the last moment, and so will answer soon. */
    boolean isPrompt(long now) {
        return snapshot == null
                && !snapshotDue
                && !lostState
                && leaderTerm().replicationLag(replica) >= 0
                && (answerDueSinceNanos == 0 || now - answerDueSinceNanos < PROMPT_NANOS);
    }

    /** Says from time to time that the journal has its owner, and is answered what the replica has. */
    void heartbeat(long now) {
        if (isOpen() && !snapshotDue && snapshot == null && pending.isEmpty() && now - sentAtNanos > HEARTBEAT_NANOS) {
            sendAppend(sentIndex, List.of());
        }
    }

    /** Sends what may be lost, where the connection is up. */
    void send(ReplicationProtocolMessage message) {
        if (isOpen()) {
            channel.writeAndFlush(ReplicationCodec.encode(message));
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    // ---- What is answered. ----

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
        ReplicationProtocolMessage reply = ReplicationCodec.decodeReply(JsonLine.parse(line));
        if (!replicator.isCurrent(this) || reply.term() < leaderTerm().term()) {
            return;
        }
        heardAtNanos = System.nanoTime();
        if (reply instanceof AppendReply append) {
            answerDueSinceNanos = append.lastIndex() >= sentIndex ? 0 : heardAtNanos;
            onAppendReply(append);
        } else if (reply instanceof TermSuperseded superseded) {
            answerDueSinceNanos = heardAtNanos;
            replicator.superseded(superseded.term(), superseded.owner());
        } else {
            throw new MalformedPeerMessageException(JsonLine.WORD, "an answer to records or a snapshot");
        }
    }

    private void onAppendReply(AppendReply reply) {
        if (!reply.accepted()) {
            scheduleSnapshot();
            return;
        }
        caughtUp = snapshot == null;
        pauses.good();
        lostState = !reply.voter();
        if (!lostState) {
            replicator.acknowledged(replica, reply.lastIndex());
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        sendPending();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (replicator.isCurrent(this)) {
            leaderTerm().acknowledgementLost(replica);
            scheduleReconnect();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LogEvent.of("replica_connection_closed")
                .with("journal", replicator.journalId())
                .with("replica", replica)
                .cause(cause)
                .warn();
        context.close();
    }
}
