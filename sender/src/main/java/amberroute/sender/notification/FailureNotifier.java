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
 * Tells the platform of messages that end without delivery, and repeats what is not answered. What is out
 * belongs to its connection: whatever ends that connection, at any moment, leads to the next post.
 */
public final class FailureNotifier {
    private static final int MOST_LINES = 256;
    /** The longest wait for a connection and for an answer, and the longest pause. */
    private static final long ANSWER_MS = 1_000;
    /**
     * They are answered at once. A connection that has fallen silent says nothing, and a notice that waits for it would be
     * overdue: so what is not answered within this span, or three times what the last answer took, is repeated on
     * another connection, which does no harm. Silent twice in a row, each one after has twice as long.
     */
    private static final long SILENCE_MS = 120;

    private static final int ANSWERS = 3;
    /** The span is waited out in so many parts, each begun by the loop: a process that stood still has heard nothing meanwhile. */
    private static final int LOOKS = 4;

    private static final int MOST_DOUBLINGS = 4;
    /** So long behind its message's time a notice may be answered at the latest. */
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
    private NotificationConnection line;

    private Future<?> pause;
    private boolean due;
    private boolean single;
    private final Backoff pauses;
    /** Connections in a row that said nothing, and milliseconds that the last answer took. */
    private int silences;

    private long lastTook;

    public FailureNotifier(EventLoop loop, InetSocketAddress address, long seed, Consumer<AcceptedMessage> answered) {
        this.loop = loop;
        this.address = address;
        this.answered = answered;
        pauses = new Backoff(25, 50, ANSWER_MS, seed);
    }

    /** How many notices are not answered yet. */
    public int pending() {
        return pending.size();
    }

    /** Sends the notice of an ended message until it is answered. */
    public void send(AcceptedMessage m) {
        pending.put(m.number, m);
        postSoon();
    }

    /** From now on notices go to this address; what the old one has not answered is repeated there. */
    public void move(InetSocketAddress to) {
        address = to;
        pauses.good();
        if (pause != null) {
            pause.cancel(false);
            pause = null;
        }
        NotificationConnection old = line;
        line = null;
        if (old != null) {
            old.close();
        }
        postSoon();
    }

    /** Sends nothing any more: what is pending is another's now. */
    public void stop() {
        pending.clear();
        NotificationConnection old = line;
        line = null;
        if (old != null) {
            old.close();
        }
    }

    private void postSoon() {
        if (!due && pause == null) {
            due = true;
            loop.execute(this::post);
        }
    }

    private void post() {
        due = false;
        if (pending.isEmpty() || pause != null) {
            return;
        }
        if (line == null) {
            line = new NotificationConnection();
            line.open();
        } else if (line.ready && line.out.isEmpty()) {
            line.write();
        }
    }

    /** How long a connection may say nothing before another is tried. */
    private long patience() {
        long usual = Math.max(SILENCE_MS, ANSWERS * lastTook);
        return Math.min(ANSWER_MS, usual << Math.min(MOST_DOUBLINGS, Math.max(0, silences - 1)));
    }

    private void again() {
        if (pause == null) {
            pause = loop.schedule(
                    () -> {
                        pause = null;
                        postSoon();
                    },
                    pauses.next(),
                    TimeUnit.MILLISECONDS);
        }
    }

    private void take(List<AcceptedMessage> told, int status) {
        if (status == 204 || status == 200 || status == 400 && told.size() == 1) {
            if (status == 400) {
                LogEvent.of("notification_rejected")
                        .with("notification", told.get(0).notice)
                        .warn();
            }
            single = single && pending.size() > told.size();
            pauses.good();
            for (AcceptedMessage m : told) {
                pending.remove(m.number);
                answered.accept(m);
            }
            postSoon();
        } else {
            single |= status == 400;
            again();
        }
    }

    /** One connection with at most one request out; it counts only while it is the current one. */
    private final class NotificationConnection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final InetSocketAddress to = address;
        private Channel channel;
        private boolean ready;
        private boolean silent;
        private long writtenAt;
        private List<AcceptedMessage> out = List.of();
        private Future<?> timer;

        void open() {
            listen(LOOKS);
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_MS)
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
                    .connect(to)
                    .addListener(done -> {
                        if (!done.isSuccess()) {
                            ended();
                        } else if (line != this) {
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
            for (AcceptedMessage m : pending.values()) {
                if (out.size() == (single ? 1 : MOST_LINES)) {
                    break;
                }
                out.add(m);
                lines.append(m.notice).append('\n');
            }
            FullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1,
                    HttpMethod.POST,
                    "/status",
                    Unpooled.copiedBuffer(lines, StandardCharsets.UTF_8));
            request.headers().set(HttpHeaderNames.HOST, to.getAddress().getHostAddress());
            request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            request.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, request.content().readableBytes());
            writtenAt = System.nanoTime();
            listen(LOOKS);
            channel.writeAndFlush(request).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            if (!channel.isActive()) {
                // It ended between its opening and this write, perhaps with its last event behind it.
                ended();
            }
        }

        /** Gives the other side its time to say something, if only that the connection is up. */
        private void listen(int looks) {
            timer = loop.schedule(
                    () -> {
                        if (looks > 1) {
                            listen(looks - 1);
                        } else {
                            silent = true;
                            close();
                        }
                    },
                    patience() / LOOKS,
                    TimeUnit.MILLISECONDS);
        }

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        /** The connection is of no further use; what it had out is repeated on another. */
        private void ended() {
            ready = false;
            if (timer != null) {
                timer.cancel(false);
            }
            if (line == this) {
                line = null;
                if (silent) {
                    silences++;
                    postSoon();
                } else if (!pending.isEmpty()) {
                    again();
                }
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            if (line != this || out.isEmpty() || !response.decoderResult().isSuccess()) {
                context.close();
                return;
            }
            int status = response.status().code();
            if (status < 200) {
                return;
            }
            timer.cancel(false);
            silences = 0;
            lastTook = (System.nanoTime() - writtenAt) / 1_000_000;
            List<AcceptedMessage> told = out;
            out = List.of();
            if (!HttpUtil.isKeepAlive(response)) {
                line = null;
                context.close();
            }
            take(told, status);
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
