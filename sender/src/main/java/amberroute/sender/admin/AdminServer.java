package amberroute.sender.admin;

import amberroute.sender.eventloop.MillisecondSelectStrategy;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * The HTTP/1.1 server for operators, with one request a connection. It has a thread of its own and reads what the sender has
 * published, so that it answers however busy the sender is, and nothing that comes in here takes the sender's time.
 * At most {@value #MOST_CONNECTIONS} connections: a further one takes the place of the oldest, so that callers who never
 * finish a call keep nobody out. A call has {@value #CALL_MS} ms and a head of 4 KiB; none has a body.
 */
public final class AdminServer {
    public static final int MOST_CONNECTIONS = 24;
    static final long CALL_MS = 5_000;
    private static final int LONGEST_LINE = 1_024;
    private static final int LONGEST_HEAD = 4_096;

    private final BooleanSupplier ready;
    private final Supplier<String> metrics;
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, MillisecondSelectStrategy.around(NioIoHandler.newFactory()));
    private final Set<Channel> open = new LinkedHashSet<>();
    private InetSocketAddress bound;

    /** Both are asked on this server's own thread. */
    public AdminServer(BooleanSupplier ready, Supplier<String> metrics) {
        this.ready = ready;
        this.metrics = metrics;
    }

    /** Listens; port 0 takes any. */
    public void listen(InetSocketAddress address) throws IOException {
        try {
            bound = (InetSocketAddress) new ServerBootstrap()
                    .group(group)
                    .channel(NioServerSocketChannel.class)
                    .childHandler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            welcome(channel);
                        }
                    })
                    .bind(address)
                    .sync()
                    .channel()
                    .localAddress();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while starting", e);
        } catch (Exception e) {
            close();
            throw new IOException("ops " + address + ": " + e.getMessage(), e);
        }
    }

    public InetSocketAddress address() {
        return bound;
    }

    private void welcome(Channel channel) {
        if (open.size() >= MOST_CONNECTIONS) {
            Channel oldest = open.iterator().next();
            open.remove(oldest);
            oldest.close();
        }
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        channel.eventLoop().schedule(() -> channel.close(), CALL_MS, TimeUnit.MILLISECONDS);
        channel.pipeline()
                .addLast(
                        new HttpServerCodec(LONGEST_LINE, LONGEST_HEAD, LONGEST_HEAD),
                        new HttpObjectAggregator(LONGEST_HEAD, true),
                        new Session());
    }

    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    private final class Session extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (!request.decoderResult().isSuccess()) {
                answer(context, HttpResponseStatus.BAD_REQUEST, "cannot be read\n");
                return;
            }
            String path = request.uri().split("\\?", 2)[0];
            boolean known = path.equals("/-/ready") || path.equals("/-/metrics");
            if (!known) {
                answer(context, HttpResponseStatus.NOT_FOUND, "no such call\n");
            } else if (!request.method().equals(HttpMethod.GET)
                    && !request.method().equals(HttpMethod.HEAD)) {
                answer(context, HttpResponseStatus.METHOD_NOT_ALLOWED, "only GET\n");
            } else if (path.equals("/-/metrics")) {
                answer(context, HttpResponseStatus.OK, metrics.get());
            } else if (ready.getAsBoolean()) {
                answer(context, HttpResponseStatus.OK, "ready\n");
            } else {
                answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "not ready\n");
            }
        }

        private void answer(ChannelHandlerContext context, HttpResponseStatus status, String body) {
            FullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
