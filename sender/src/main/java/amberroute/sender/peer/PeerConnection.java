package amberroute.sender.peer;

import amberroute.sender.util.LogEvent;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
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
import java.util.Deque;

/**
 * The outgoing connection to one peer and the handler of what comes back on it. Owns its channel. Used for one connection: another
 * takes its place when it is closed. Lives on the event loop.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int MAX_REPLY_BYTES = 1 << 16;
    private static final int MAX_PENDING_MESSAGES = 256;

    private final String peer;
    private final HandoffCodec codec;
    private final PeerConnections owner;
    private final Deque<HandoffProtocolMessage> pending = new ArrayDeque<>();
    /** Null until it is connected. */
    private Channel channel;

    PeerConnection(String peer, HandoffCodec codec, PeerConnections owner) {
        this.peer = peer;
        this.codec = codec;
        this.owner = owner;
    }

    String peer() {
        return peer;
    }

    /** Tells one connection from another; null until it is connected. */
    Channel channel() {
        return channel;
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
                                .addLast(new LineBasedFrameDecoder(MAX_REPLY_BYTES, true, true), PeerConnection.this);
                    }
                })
                .connect(address)
                .addListener((ChannelFuture done) -> {
                    if (done.isSuccess()) {
                        connected(done.channel());
                    } else {
                        owner.failed(this);
                    }
                });
    }

    private void connected(Channel connected) {
        channel = connected;
        while (!pending.isEmpty()) {
            channel.write(codec.encode(pending.poll()));
        }
        channel.flush();
        owner.connected(this);
    }

    /** Whether it is up and takes more at once. */
    boolean isReady() {
        return channel != null && channel.isActive() && channel.isWritable();
    }

    /** Sends what may be lost: once the connection is up, unless too much waits for that. */
    void send(HandoffProtocolMessage message) {
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(codec.encode(message));
        } else if (pending.size() < MAX_PENDING_MESSAGES) {
            pending.add(message);
        }
    }

    /** Sends on a connection that is ready; returns the bytes of the line. */
    int sendNow(HandoffProtocolMessage message) {
        ByteBuf line = codec.encode(message);
        int bytes = line.readableBytes();
        channel.writeAndFlush(line);
        return bytes;
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
        owner.received(this, codec.decode(JsonLine.parse(line)));
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        owner.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        LogEvent.of("peer_connection_closed")
                .with("peer", peer)
                .with("direction", "outgoing")
                .cause(cause)
                .warn();
        context.close();
    }
}
