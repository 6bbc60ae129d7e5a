package amberroute.sender.discovery;

import amberroute.sender.util.LogEvent;
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
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;

/**
 * One HTTP request that subscribes to the endpoint list, read line by line until it ends. An empty line is a heartbeat; objects are watch
 * events. Belongs to the event loop.
 */
final class WatchConnection extends SimpleChannelInboundHandler<HttpObject> {
    private static final String PATH = "/api/targets?follow=1&since=";
    private static final int MAX_EVENT_BYTES = 1 << 20;

    /** Learns of the watch, on the event loop. */
    interface Listener {
        /** Whether this watch is still wanted. */
        boolean isCurrent(WatchConnection watch);

        /** The version from which events are wanted, as the request is written now. */
        long requestVersion();

        /** The watch has brought a line, whatever is in it. */
        void lineReceived();

        /** The list has not changed. */
        void heartbeatReceived();

        /** An event came; what this throws makes it malformed. */
        void eventReceived(JsonObject event, boolean complete);

        /** The watch has ended or did not come up. */
        void ended(WatchConnection watch);
    }

    private final InetSocketAddress address;
    private final Listener listener;
    private final ByteBuf pending = Unpooled.buffer(1_024);
    private final JsonObjectAssembler assembler = new JsonObjectAssembler();
    /** Null until it is registered with the event loop. */
    private Channel channel;
    /** When the last heartbeat or readable event came: bytes and lines of an incomplete object do not count. */
    private long lastEventNanos = System.nanoTime();

    private boolean accepted;

    /** A watch that is not open yet. */
    WatchConnection(InetSocketAddress address, Listener listener) {
        this.address = address;
        this.listener = listener;
    }

    /** Connects and subscribes. */
    void open(EventLoop loop, int connectTimeoutMillis) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMillis)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel opened) {
                        channel = opened;
                        channel.pipeline().addLast(new HttpClientCodec(), WatchConnection.this);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        listener.ended(this);
                    }
                });
    }

    /** Closes the connection if there is one. */
    void close() {
        if (channel != null) {
            channel.close();
        }
    }

    /** When the last heartbeat or event came, or the watch was opened; monotonic nanoseconds. */
    long lastEventNanos() {
        return lastEventNanos;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        if (!listener.isCurrent(this)) {
            context.close();
            return;
        }
        DefaultFullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, PATH + listener.requestVersion());
        request.headers().set(HttpHeaderNames.HOST, address.getAddress().getHostAddress());
        context.writeAndFlush(request);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
        if (!part.decoderResult().isSuccess() || !listener.isCurrent(this)) {
            context.close();
            return;
        }
        if (part instanceof HttpResponse response) {
            accepted = response.status().code() == 200;
        }
        if (part instanceof HttpContent content && accepted) {
            pending.discardReadBytes().writeBytes(content.content());
            readLines();
        }
        boolean tooLong = pending.readableBytes() + assembler.length() > MAX_EVENT_BYTES;
        if (tooLong) {
            LogEvent.of("endpoint_list_rejected")
                    .with("reason", "too long")
                    .with("limit_bytes", MAX_EVENT_BYTES)
                    .warn();
        }
        if (part instanceof LastHttpContent || !accepted || tooLong) {
            context.close();
        }
    }

    private void readLines() {
        int length = pending.bytesBefore((byte) '\n');
        while (length >= 0) {
            String line =
                    pending.readCharSequence(length, StandardCharsets.UTF_8).toString();
            pending.skipBytes(1);
            listener.lineReceived();
            if (!readLine(line)) {
                return;
            }
            length = pending.bytesBefore((byte) '\n');
        }
    }

    /** Returns false where the watch was closed by it. */
    private boolean readLine(String line) {
        if (assembler.cutBy(line)) {
            closeForMalformedEvent("incomplete");
            return false;
        }
        if (line.isBlank()) {
            lastEventNanos = System.nanoTime();
            listener.heartbeatReceived();
            return true;
        }
        String object = assembler.add(line);
        return object == null || readEvent(object);
    }

    private boolean readEvent(String text) {
        try {
            JsonObject event = JsonParser.parseString(text).getAsJsonObject();
            boolean complete = EndpointList.isComplete(event);
            lastEventNanos = System.nanoTime();
            listener.eventReceived(event, complete);
            return true;
        } catch (RuntimeException e) {
            if (text.stripLeading().startsWith("{")) {
                closeForMalformedEvent(String.valueOf(e.getMessage()));
                return false;
            }
            LogEvent.of("watch_line_skipped").cause(e).warn();
            return true;
        }
    }

    /**
     * The next watch asks again from the known version: an event after the malformed one would hide that it is missing. A line that does not
     * begin an object is no event.
     */
    private void closeForMalformedEvent(String reason) {
        LogEvent.of("watch_event_rejected").with("reason", reason).warn();
        close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        listener.ended(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
