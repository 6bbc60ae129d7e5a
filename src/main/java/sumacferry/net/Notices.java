package sumacferry.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

/** Tells the platform of messages that end without delivery, and repeats what is not answered. */
final class Notices {
    private static final int MOST_LINES = 256;
    private static final long ANSWER_MS = 1_000;
    private static final long PAUSE_MS = 50;
    private static final long PAUSE_MOST_MS = 1_000;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Consumer<Held> answered;
    private final Map<Long, Held> pending = new LinkedHashMap<>();
    private List<Held> out = List.of();
    private Channel channel;
    private boolean busy;
    private boolean single;
    private int failures;
    private Future<?> timer;

    Notices(EventLoop loop, InetSocketAddress address, Consumer<Held> answered) {
        this.loop = loop;
        this.address = address;
        this.answered = answered;
    }

    /** Sends the notice of an ended message until it is answered. */
    void send(Held m) {
        pending.put(m.number, m);
        if (!busy) {
            busy = true;
            loop.execute(this::post);
        }
    }

    private void post() {
        if (pending.isEmpty()) {
            busy = false;
            return;
        }
        if (channel != null && channel.isActive()) {
            write();
            return;
        }
        channel = new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_MS)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        fresh.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(65_536),
                                new Answers());
                    }
                })
                .connect(address).addListener(done -> {
                    if (done.isSuccess()) {
                        write();
                    } else {
                        again();
                    }
                }).channel();
    }

    private void write() {
        out = new ArrayList<>();
        StringBuilder lines = new StringBuilder();
        for (Held m : pending.values()) {
            if (out.size() < (single ? 1 : MOST_LINES)) {
                out.add(m);
                lines.append(m.notice).append('\n');
            }
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/status",
                Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
        Channel used = channel;
        used.writeAndFlush(request);
        timer = loop.schedule(() -> {
            used.close();
        }, ANSWER_MS, TimeUnit.MILLISECONDS);
    }

    private void again() {
        out = List.of();
        long pause = Math.min(PAUSE_MOST_MS, PAUSE_MS << Math.min(failures++, 8));
        loop.schedule(this::post, pause, TimeUnit.MILLISECONDS);
    }

    private void take(int status) {
        timer.cancel(false);
        List<Held> told = out;
        out = List.of();
        if (status == 204 || status == 200 || status == 400 && told.size() == 1) {
            if (status == 400) {
                Log.warn("notice cannot be read: " + told.get(0).notice);
            }
            single = single && pending.size() > told.size();
            failures = 0;
            for (Held m : told) {
                pending.remove(m.number);
                answered.accept(m);
            }
            post();
        } else {
            single |= status == 400;
            again();
        }
    }

    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (out.isEmpty() || !response.decoderResult().isSuccess()) {
                context.close();
                return;
            }
            if (!HttpUtil.isKeepAlive(response)) {
                channel = null;
                context.close();
            }
            take(response.status().code());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (channel == context.channel() && !out.isEmpty()) {
                timer.cancel(false);
                again();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
