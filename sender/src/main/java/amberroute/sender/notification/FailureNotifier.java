package amberroute.sender.notification;

import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.Backoff;
import amberroute.sender.util.LogEvent;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
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
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Notifies the platform of messages that end undelivered, and repeats what is not acknowledged. One request is in flight at most; when
 * its connection ends, for whatever reason, the next request has its notifications again. Event loop only.
 */
public final class FailureNotifier {
    private static final int MAX_LINES = 256;
    /** The longest wait for a connection and for an answer, and the longest backoff. */
    private static final long ANSWER_TIMEOUT_MS = 1_000;
    /**
     * A connection without an answer for so long, or for {@link #SILENCE_MULTIPLE} times the last answer's time, counts as lost, and
     * its notifications are repeated on another, which does no harm. The time doubles with each further silent connection.
     */
    private static final long SILENCE_MS = 120;

    private static final int SILENCE_MULTIPLE = 3;
    /** The silence is checked in so many steps of the event loop: a process that was stopped has read nothing meanwhile. */
    private static final int SILENCE_CHECKS = 4;

    private static final int MAX_DOUBLINGS = 4;
    /** The longest time from the deadline of a message to the acknowledgement of its notification. */
    private static final long OVERDUE_MS = 300;

    static {
        if (2 * SILENCE_MS > OVERDUE_MS) {
            throw new AssertionError("two silent connections make a notice overdue");
        }
    }

    private final EventLoop loop;
    private final Consumer<AcceptedMessage> answered;
    private final Map<Long, AcceptedMessage> pending = new LinkedHashMap<>();
    private InetSocketAddress address;
    /** The connection in use or being opened, null where there is none. */
    private NotificationConnection connection;

    private Future<?> retry;
    private boolean postRequested;
    private boolean single;
    private final Backoff backoff;
    /** Successive connections without an answer, and the milliseconds that the last answer took. */
    private int silentConnections;

    private long lastAnswerMillis;

    /** {@code answered} is called with each message whose notification is acknowledged; {@code seed} spreads the backoff. */
    public FailureNotifier(EventLoop loop, InetSocketAddress address, long seed, Consumer<AcceptedMessage> answered) {
        this.loop = loop;
        this.address = address;
        this.answered = answered;
        backoff = new Backoff(25, 50, ANSWER_TIMEOUT_MS, seed);
    }

    /** The number of notifications that are not acknowledged. */
    public int pending() {
        return pending.size();
    }

    /** Sends the notification of a completed message until it is acknowledged. */
    public void send(AcceptedMessage message) {
        pending.put(message.number, message);
        requestPost();
    }

    /** Sends to this address from now on, also what the old one has not acknowledged. */
    public void move(InetSocketAddress newAddress) {
        address = newAddress;
        backoff.good();
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        NotificationConnection old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
        requestPost();
    }

    /** Stops sending: another process owns what is pending. */
    public void stop() {
        pending.clear();
        NotificationConnection old = connection;
        connection = null;
        if (old != null) {
            old.close();
        }
    }

    private void requestPost() {
        if (!postRequested && retry == null) {
            postRequested = true;
            loop.execute(this::post);
        }
    }

    private void post() {
        postRequested = false;
        if (pending.isEmpty() || retry != null) {
            return;
        }
        if (connection == null) {
            connection = new NotificationConnection();
            connection.open();
        } else if (connection.ready && connection.out.isEmpty()) {
            connection.write();
        }
    }

    /** How long a connection may be silent before another is tried. */
    private long silenceTimeoutMillis() {
        long usual = Math.max(SILENCE_MS, SILENCE_MULTIPLE * lastAnswerMillis);
        return Math.min(ANSWER_TIMEOUT_MS, usual << Math.min(MAX_DOUBLINGS, Math.max(0, silentConnections - 1)));
    }

    private void retryLater() {
        if (retry == null) {
            retry = loop.schedule(
                    () -> {
                        retry = null;
                        requestPost();
                    },
                    backoff.next(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void acknowledge(List<AcceptedMessage> sent, int status) {
        if (status == 204 || status == 200 || status == 400 && sent.size() == 1) {
            if (status == 400) {
                LogEvent.of("notification_rejected")
                        .with("notification", sent.get(0).pendingNotification)
                        .warn();
            }
            single = single && pending.size() > sent.size();
            backoff.good();
            for (AcceptedMessage message : sent) {
                pending.remove(message.number);
                answered.accept(message);
            }
            requestPost();
        } else {
            single |= status == 400;
            retryLater();
        }
    }

    /** A connection with at most one request in flight; it counts only while it is the current one. */
    private final class NotificationConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress target = address;
        private Channel channel;
        private boolean ready;
        private boolean silent;
        private long writtenAt;
        private List<AcceptedMessage> out = List.of();
        private Future<?> timer;

        void open() {
            listen(SILENCE_CHECKS);
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel fresh) {
                            channel = fresh;
                            fresh.pipeline()
                                    .addLast(
                                            new HttpClientCodec(),
                                            new HttpObjectAggregator(65_536),
                                            NotificationConnection.this);
                        }
                    })
                    .connect(target)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            ended();
                        } else if (connection != this) {
                            close();
                        } else {
                            ready = true;
                            timer.cancel(false);
                            post();
                        }
                    });
        }

        void write() {
            out = new ArrayList<>();
            StringBuilder lines = new StringBuilder();
            for (AcceptedMessage message : pending.values()) {
                if (out.size() == (single ? 1 : MAX_LINES)) {
                    break;
                }
                out.add(message);
                lines.append(message.pendingNotification).append('\n');
            }
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/status",
                    Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
            request.headers().set(HttpHeaderNames.HOST, target.getAddress().getHostAddress());
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            writtenAt = System.nanoTime();
            listen(SILENCE_CHECKS);
            channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            if (!channel.isActive()) {
                // The connection ended before this write, perhaps after its last event.
                ended();
            }
        }

        /** Closes the connection unless something is read from it in time. */
        private void listen(int checksLeft) {
            timer = loop.schedule(
                    () -> {
                        if (checksLeft > 1) {
                            listen(checksLeft - 1);
                        } else {
                            silent = true;
                            close();
                        }
                    },
                    silenceTimeoutMillis() / SILENCE_CHECKS,
                    TimeUnit.MILLISECONDS);
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        /** The connection has ended; what was in flight is repeated on another. */
        private void ended() {
            ready = false;
            if (timer != null) {
                timer.cancel(false);
            }
            if (connection == this) {
                connection = null;
                if (silent) {
                    silentConnections++;
                    requestPost();
                } else if (!pending.isEmpty()) {
                    retryLater();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (connection != this || out.isEmpty() || !response.decoderResult().isSuccess()) {
                context.close();
                return;
            }
            int status = response.status().code();
            if (status < 200) {
                return;
            }
            timer.cancel(false);
            silentConnections = 0;
            lastAnswerMillis = (System.nanoTime() - writtenAt) / 1_000_000;
            List<AcceptedMessage> sent = out;
            out = List.of();
            if (!HttpUtil.isKeepAlive(response)) {
                connection = null;
                context.close();
            }
            acknowledge(sent, status);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
