package amberroute.testkit;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Serves one endpoint of a stand-in partner on loopback: {@code POST /receive} and {@code /receive-many}. What happens
 * to a call is decided by its {@link Partner}, what took effect stands in the {@link DeliveryHistory}. A call that has begun runs
 * to its end though its caller has gone.
 */
public final class StubUpstreamServer {
    private static final int MAX_CALL_BYTES = 8 << 20;

    /** Hears of each call that has come whole, on the event loop. */
    public interface CallListener {
        /** {@code ids} are those of the messages in the call. */
        void onCall(StubUpstreamServer server, List<String> ids);
    }

    /** One message of a call. */
    private record Item(String id, String key) {}

    private final EventLoop loop;
    private final DeliveryHistory history;
    private final int destination;
    private final String uid;
    private final StubUpstream upstream;
    private final StubUpstream keyMemory;
    private final Deque<Call> queue = new ArrayDeque<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private CallListener callListener = (server, ids) -> {};
    private Channel server;
    private long calls;

    private static final class Call {
        final ChannelHandlerContext context;
        final List<Item> items;
        final boolean many;

        Call(ChannelHandlerContext context, List<Item> items, boolean many) {
            this.context = context;
            this.items = items;
            this.many = many;
        }
    }

    /**
     * {@code memory} knows the idempotency keys, one for a whole destination; it may be {@code partner} itself.
     */
    public StubUpstreamServer(
            EventLoop loop,
            DeliveryHistory book,
            int destination,
            String uid,
            StubUpstream partner,
            StubUpstream memory) {
        this.loop = loop;
        this.history = book;
        this.destination = destination;
        this.uid = uid;
        this.upstream = partner;
        this.keyMemory = memory;
    }

    /** Binds a port of loopback, 0 for any. */
    public StubUpstreamServer listen(int port) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        if (upstream.mode() == StubUpstream.Mode.DEAD) {
                            channel.close();
                            return;
                        }
                        connections.add(channel);
                        channel.closeFuture().addListener(closed -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(
                                        new HttpServerCodec(), new HttpObjectAggregator(MAX_CALL_BYTES), new Handler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .sync()
                .channel();
        return this;
    }

    public String address() {
        return "127.0.0.1:" + socketAddress().getPort();
    }

    InetSocketAddress socketAddress() {
        return (InetSocketAddress) server.localAddress();
    }

    public String uid() {
        return uid;
    }

    public int destination() {
        return destination;
    }

    public StubUpstream upstream() {
        return upstream;
    }

    /** Replaces the listener to calls. */
    public void listenToCalls(CallListener listener) {
        callListener = listener;
    }

    /** Calls that have come whole. */
    public long calls() {
        return calls;
    }

    /** Goes down or comes back, on the event loop; one that dies resets its connections. */
    public void setMode(StubUpstream.Mode mode) {
        upstream.setMode(mode, TestEnvironment.micros());
        if (mode == StubUpstream.Mode.DEAD) {
            for (Channel channel : List.copyOf(connections)) {
                if (channel.isOpen()) {
                    channel.config().setOption(ChannelOption.SO_LINGER, 0);
                }
                channel.close();
            }
        }
    }

    void close() {
        server.close();
        List.copyOf(connections).forEach(Channel::close);
    }

    private void arrive(Call call) {
        calls++;
        callListener.onCall(this, call.items.stream().map(Item::id).toList());
        StubUpstream.Verdict verdict = upstream.arrive(TestEnvironment.micros(), call.items.size());
        switch (verdict.kind()) {
            case RUN -> run(call, verdict.time());
            case WAIT -> queue.add(call);
            case REFUSE_LIMIT -> answer(call, 429, verdict.time());
            case REFUSE_FULL -> answer(call, 503, 0);
            case REFUSE_AND_CLOSE -> refuseAndClose(call);
            case SILENT -> {}
            case ERROR -> answer(call, 500, 0);
        }
    }

    private void run(Call call, long time) {
        loop.schedule(() -> finish(call), time, TimeUnit.MICROSECONDS);
    }

    /** The effect happens, then the answer leaves: between the two nobody outside can know. */
    private void finish(Call call) {
        long now = TestEnvironment.micros();
        for (Item item : call.items) {
            if (item.key().isEmpty() || keyMemory.firstUseOfKey(now, item.key())) {
                history.executed(now, item.id(), destination);
            }
        }
        if (upstream.mode() != StubUpstream.Mode.HANG) {
            answer(call, 200, 0);
        }
        upstream.end();
        while (upstream.mayResume()) {
            Call next = queue.remove();
            if (next.context.channel().isActive()) {
                run(next, upstream.resume(now, next.items.size()).time());
            } else {
                // Its caller has gone: it is dropped unbegun.
                upstream.leave();
            }
        }
    }

    private static void refuseAndClose(Call call) {
        DefaultFullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, 0)
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        call.context.channel().writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
    }

    private void answer(Call call, int status, long wait) {
        Channel channel = call.context.channel();
        if (!channel.isActive()) {
            return;
        }
        StringBuilder body = new StringBuilder();
        if (status == 200 && call.many) {
            call.items.forEach(item -> body.append(item.id()).append(" delivered\r\n"));
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status),
                Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1));
        response.headers()
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (wait > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", wait / 1e6 + 0.001));
        }
        channel.writeAndFlush(response).addListener(sent -> {
            if (sent.isSuccess() && status == 200) {
                call.items.forEach(item -> history.delivered(TestEnvironment.micros(), item.id()));
            }
        });
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            String id = request.headers().get("X-Request-ID", "");
            if (request.uri().equals("/receive") && !id.isEmpty()) {
                arrive(new Call(context, List.of(new Item(id, request.headers().get("Idempotency-Key", ""))), false));
                return;
            }
            List<Item> items = request.uri().equals("/receive-many")
                    ? items(request.content().toString(StandardCharsets.ISO_8859_1))
                    : List.of();
            Call call = new Call(context, items, true);
            if (items.isEmpty()) {
                answer(call, 400, 0);
            } else {
                arrive(call);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Each message is a line with id, key or -, and length, then its bytes; empty where that cannot be read. */
    private static List<Item> items(String body) {
        List<Item> items = new ArrayList<>();
        int at = 0;
        while (at < body.length()) {
            int end = body.indexOf("\r\n", at);
            String[] words = end < 0 ? new String[0] : body.substring(at, end).split(" ");
            if (words.length != 3 || !words[2].matches("[0-9]{1,6}")) {
                return List.of();
            }
            at = end + 2 + Integer.parseInt(words[2]) + 2;
            if (at > body.length()) {
                return List.of();
            }
            items.add(new Item(words[0], words[1].equals("-") ? "" : words[1]));
        }
        return items;
    }
}
