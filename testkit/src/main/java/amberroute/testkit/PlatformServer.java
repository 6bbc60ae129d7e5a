package amberroute.testkit;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Stands in for discovery and for whoever is told of messages that end undelivered: the list of endpoints with its
 * watch, and {@code POST /status}, on one loopback address. Owned by the event loop.
 */
public final class PlatformServer {
    private static final long WATCH_INTERVAL_MILLIS = 2_000;

    /** A listed endpoint. */
    private record Target(String uid, String address, int destination, String model, String state) {
        JsonObject json() {
            JsonObject json = new JsonObject();
            json.addProperty("uid", uid);
            json.addProperty("endpoint", address);
            json.addProperty("az", "a");
            json.addProperty("model", model);
            json.addProperty("pod_group", destination);
            json.addProperty("state", state);
            json.addProperty("capacity_hint", 1.0);
            json.addProperty("boot_ms", 0);
            return json;
        }
    }

    private final EventLoop loop;
    private final DeliveryHistory history;
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Set<ChannelHandlerContext> watches = new LinkedHashSet<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private Channel server;
    private long version = 1;
    private boolean silent;
    private long notificationLines;

    public PlatformServer(EventLoop loop, DeliveryHistory book) {
        this.loop = loop;
        this.history = book;
    }

    /** Binds a port of loopback, 0 for any. */
    public PlatformServer listen(int port) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.closeFuture().addListener(closed -> connections.remove(channel));
                        channel.pipeline()
                                .addLast(new HttpServerCodec(), new HttpObjectAggregator(1 << 20), new Handler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .sync()
                .channel();
        loop.scheduleWithFixedDelay(
                () -> send("\n"), WATCH_INTERVAL_MILLIS, WATCH_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
        return this;
    }

    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** Lists an endpoint or changes what the list says of it: Ready, Terminating or Gone. */
    public void listEndpoint(String uid, String address, int destination, String model, String state) {
        Target target = new Target(uid, address, destination, model, state);
        if (state.equals("Gone")) {
            targets.remove(uid);
        } else {
            targets.put(uid, target);
        }
        version++;
        JsonArray changes = new JsonArray();
        changes.add(target.json());
        send(watchEvent(false, changes) + "\n");
    }

    /** From now on the watch says nothing, or speaks again; notices are answered all the same. */
    public void silent(boolean now) {
        silent = now;
        if (!now) {
            List.copyOf(watches).forEach(ChannelHandlerContext::close);
        }
    }

    /** The whole list in discovery's form. */
    public String fullList() {
        JsonArray all = new JsonArray();
        targets.values().forEach(t -> all.add(t.json()));
        return watchEvent(true, all).toString();
    }

    /** Lines of notices that have come, repeats included. */
    public long notificationLines() {
        return notificationLines;
    }

    /** Goes away for good: its connections end and new ones are refused; on the event loop. */
    public void shutDown() {
        server.close();
        List.copyOf(connections).forEach(Channel::close);
    }

    private JsonObject watchEvent(boolean whole, JsonArray entries) {
        JsonObject news = new JsonObject();
        news.addProperty("rev", version);
        news.addProperty("all", whole);
        news.add("targets", entries);
        return news;
    }

    private void send(String line) {
        if (!silent) {
            watches.forEach(watch ->
                    watch.writeAndFlush(new DefaultHttpContent(Unpooled.copiedBuffer(line, StandardCharsets.UTF_8))));
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.method().equals(HttpMethod.POST) && request.uri().equals("/status")) {
                reply(context, notices(request.content().toString(StandardCharsets.UTF_8)) ? 204 : 400, "");
            } else if (request.uri().startsWith("/api/targets?follow=1")) {
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                context.write(head);
                context.writeAndFlush(new DefaultHttpContent(
                        Unpooled.copiedBuffer(silent ? "" : fullList() + "\n", StandardCharsets.UTF_8)));
                watches.add(context);
                context.channel().closeFuture().addListener(closed -> watches.remove(context));
            } else if (request.uri().equals("/api/targets")) {
                reply(context, 200, fullList());
            } else {
                reply(context, 404, "");
            }
        }

        private boolean notices(String body) {
            try {
                long now = TestEnvironment.micros();
                for (String line : body.split("\n")) {
                    JsonObject notice = JsonParser.parseString(line).getAsJsonObject();
                    notificationLines++;
                    history.notified(
                            now,
                            notice.get("id").getAsString(),
                            notice.get("state").getAsString().equals("returned"));
                }
                return true;
            } catch (RuntimeException e) {
                return false;
            }
        }

        private void reply(ChannelHandlerContext context, int status, String body) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1,
                    HttpResponseStatus.valueOf(status),
                    Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            if (status != 204) {
                response.headers()
                        .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            }
            context.writeAndFlush(response);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
