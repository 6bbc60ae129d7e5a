package amberroute.sender.client;

import amberroute.sender.util.LogEvent;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Accepts the connections of one listening socket.
 *
 * <p>{@link #bind} and {@link #register} wait for the event loop and are called on another thread; all else belongs to the event loop.
 */
final class ClientListener {
    private static final int ACCEPT_QUEUE_LENGTH = 512;
    /** After a failed accept: short beside the time-out of clients, long beside the cost of an attempt. */
    private static final long ACCEPT_RETRY_MILLIS = 10;
    /** The socket closes after at most so many polls of the accept queue that still brought connections. */
    private static final int MAX_CLOSING_POLLS = 64;

    private static final long CLOSING_POLL_INTERVAL_MILLIS = 1;

    private final EventLoop loop;
    private final RequestAge requestAge;
    private final Consumer<Channel> initializer;
    private Channel server;
    private long acceptedConnections;
    /** Whether connections are accepted, apart from the pause after a failure. */
    private boolean accepting = true;

    private boolean closing;

    /** Prepares a listener; {@code initializer} sets up the pipeline of each accepted connection. */
    ClientListener(EventLoop loop, RequestAge requestAge, Consumer<Channel> initializer) {
        this.loop = loop;
        this.requestAge = requestAge;
        this.initializer = initializer;
    }

    /** Listens on a new socket; fails as {@link io.netty.channel.ChannelFuture#sync} does. */
    void bind(InetSocketAddress address) throws InterruptedException {
        server = bootstrap()
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE_LENGTH)
                .bind(address)
                .sync()
                .channel();
    }

    /** Accepts from a socket that listens already. */
    void register(ServerSocketChannel inherited) throws InterruptedException {
        server = bootstrap()
                .channelFactory(() -> new NioServerSocketChannel(inherited))
                .register()
                .sync()
                .channel();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop, loop)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new AcceptHandler())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        initializer.accept(channel);
                    }
                });
    }

    /** The bound address. */
    InetSocketAddress address() {
        return (InetSocketAddress) server.localAddress();
    }

    /** Whether connections are accepted from now on; the socket stays open. */
    void accept(boolean wanted) {
        accepting = wanted;
        server.config().setAutoRead(wanted);
    }

    /** Closes the socket when a poll of its accept queue brings nobody, as connections in the queue would be reset. */
    void closeWhenQueueIsEmpty() {
        if (server != null && !closing) {
            closing = true;
            scheduleClose(acceptedConnections, MAX_CLOSING_POLLS);
        }
    }

    private void scheduleClose(long acceptedBefore, int pollsLeft) {
        loop.schedule(
                () -> {
                    if (acceptedConnections == acceptedBefore || pollsLeft == 0) {
                        server.close();
                    } else {
                        scheduleClose(acceptedConnections, pollsLeft - 1);
                    }
                },
                CLOSING_POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Counts accepted connections and retries a failed accept. */
    private final class AcceptHandler extends ChannelInboundHandlerAdapter {
        /**
         * Netty stops accepting for a second, which is longer than clients wait. An aborted connection concerns no other; without descriptors
         * or buffers the others wait in the queue, and an immediate retry would spin.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LogEvent.of("client_accept_failed")
                    .with("retry_ms", ACCEPT_RETRY_MILLIS)
                    .cause(cause)
                    .warn();
            context.channel().config().setAutoRead(false);
            loop.schedule(
                    () -> context.channel().config().setAutoRead(accepting),
                    ACCEPT_RETRY_MILLIS,
                    TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            acceptedConnections++;
            context.fireChannelRead(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            requestAge.acceptBatchCompleted(context.channel().metadata().defaultMaxMessagesPerRead());
            context.fireChannelReadComplete();
        }
    }
}
