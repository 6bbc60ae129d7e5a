package amberroute.sender.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.LineBasedFrameDecoder;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * Accepts connections of peers, a bounded number at a time: one more is closed at once. Owns the listening channel. Lives on the
 * event loop.
 */
final class PeerServer {
    private final EventLoop loop;
    private final int maxConnections;
    private final int maxLineBytes;
    private final Supplier<ChannelHandler> requestHandlers;
    private Channel server;
    private int connections;

    /** {@code requestHandlers} makes the handler of each connection, which gets its lines. */
    PeerServer(EventLoop loop, int maxConnections, int maxLineBytes, Supplier<ChannelHandler> requestHandlers) {
        this.loop = loop;
        this.maxConnections = maxConnections;
        this.maxLineBytes = maxLineBytes;
        this.requestHandlers = requestHandlers;
    }

    /** Listens; returns the address bound. */
    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        accept(channel);
                    }
                })
                .bind(address)
                .sync()
                .channel();
        return (InetSocketAddress) server.localAddress();
    }

    private void accept(Channel channel) {
        channel.closeFuture().addListener(closed -> connections--);
        if (++connections > maxConnections) {
            channel.close();
            return;
        }
        channel.pipeline().addLast(new LineBasedFrameDecoder(maxLineBytes, true, true), requestHandlers.get());
    }

    void close() {
        if (server != null) {
            server.close();
        }
    }
}
