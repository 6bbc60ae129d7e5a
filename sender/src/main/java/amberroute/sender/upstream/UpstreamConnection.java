package amberroute.sender.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * A connection to one endpoint, which carries one call at a time. Belongs to the event loop; its channel is closed by {@link UpstreamClient}
 * and {@link ConnectionPool}.
 */
final class UpstreamConnection implements ResponseReader.Listener {
    /** Learns of the calls on a connection, on the event loop. */
    interface Listener {
        /** A call is about to be written; what this throws keeps it back. */
        void beforeWrite();

        /** The call's request was written completely. */
        void written(UpstreamCall call);

        /** The call may not be written any more; the connection is free. */
        void notWritten(UpstreamConnection connection, UpstreamCall call);

        /** The call's request could not be written completely; the channel is being closed. */
        void writeFailed(UpstreamCall call);

        /** A response came; {@code call} is null where none is in flight. */
        void responseReceived(UpstreamConnection connection, UpstreamCall call, ResponseReader.Response response);

        /** Bytes came that belong to no call. */
        void unexpectedBytes(UpstreamConnection connection);

        /** The connection has ended; {@code call} is the one in flight, null where there was none. */
        void connectionClosed(UpstreamConnection connection, UpstreamCall call);
    }

    final long endpoint;
    final InetSocketAddress address;
    /** Null until it is registered with the event loop. */
    Channel channel;
    /** Since when it is idle, in monotonic nanoseconds. */
    long idleSinceNanos;

    Future<?> idleTimer;

    private final Listener listener;
    private final ResponseReader reader = new ResponseReader(this);
    private UpstreamCall call;

    /** A connection that is not open yet and will carry this call. */
    UpstreamConnection(UpstreamCall call, Listener listener) {
        this.listener = listener;
        this.call = call;
        endpoint = call.route.endpoint();
        address = call.route.address();
    }

    /**
     * Connects.
     *
     * @param channelClosed runs when a channel that was registered has closed
     * @param connected gets whether the connection is up
     */
    void open(EventLoop loop, int connectTimeoutMillis, Runnable channelClosed, Consumer<Boolean> connected) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        channel = opened;
                        channel.closeFuture().addListener(closed -> channelClosed.run());
                        reader.install(channel.pipeline());
                    }
                })
                .connect(address)
                .addListener(done -> connected.accept(done.isSuccess()));
    }

    /** Writes a call unless it may not be written any more. */
    void send(UpstreamCall next) {
        call = next;
        next.connection = this;
        if (next.mayNotBeWritten()) {
            call = null;
            listener.notWritten(this, next);
            return;
        }
        listener.beforeWrite();
        next.written = true;
        reader.expect();
        channel.writeAndFlush(CallRequest.encode(next)).addListener(sent -> {
            if (sent.isSuccess()) {
                listener.written(next);
            } else if (!next.done) {
                channel.close();
                listener.writeFailed(next);
            }
        });
    }

    /** Whether the status line of the response in progress is that of a delivery. */
    boolean deliveryStatusReceived() {
        return reader.status() == 200;
    }

    private UpstreamCall takeCall() {
        UpstreamCall taken = call;
        call = null;
        return taken;
    }

    @Override
    public void responseReceived(ResponseReader.Response response) {
        listener.responseReceived(this, takeCall(), response);
    }

    @Override
    public void unexpectedBytes() {
        listener.unexpectedBytes(this);
    }

    @Override
    public void connectionClosed() {
        listener.connectionClosed(this, takeCall());
    }
}
