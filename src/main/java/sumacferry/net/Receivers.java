package sumacferry.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

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
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

import sumacferry.Relay.Ending;

/** Carries out calls to receivers over kept-alive connections, one call at a time on each. */
final class Receivers {
    private static final int LARGEST_ANSWER = 1 << 17;
    /** A receiver closes idle connections at its limit; one that crosses that would read as a reset. */
    private static final double IDLE_SHARE = 0.8;

    /** One message's part in a call. */
    record Item(Held message, int attempt) { }

    /** What became of one message's attempt; times in microseconds. */
    record Result(Held message, int attempt, long endpoint, Ending ending, long took, boolean closed,
            long toldWait, List<Double> report) { }

    /** Where results go, on the event loop. */
    interface Listener {
        void ended(Result result);
    }

    /** A call that is out. */
    final class Call {
        final Route route;
        final List<Item> items;
        final long sentAt = System.nanoTime();
        final long giveUpAfter;
        Connection connection;
        boolean written;
        boolean barred;
        boolean done;
        Future<?> timer;

        Call(Route route, List<Item> items, long giveUpAfter) {
            this.route = route;
            this.items = items;
            this.giveUpAfter = giveUpAfter;
        }
    }

    /** Where calls to an endpoint go; {@code wait group} is what a told wait binds. */
    record Route(long endpoint, InetSocketAddress address, Object waitGroup) { }

    private final EventLoop loop;
    private final Listener listener;
    private final long connectMicros;
    private final long idleNanos;
    private final int mostIdle;
    private final List<String> reportNames;
    private final Map<Long, Deque<Connection>> idle = new HashMap<>();
    private final Set<Connection> idleByAge = new LinkedHashSet<>();
    private final Set<Call> calls = new LinkedHashSet<>();
    private final Map<Long, Call> byMessage = new HashMap<>();

    Receivers(EventLoop loop, Listener listener, long connectMicros, long idleMicros, int mostIdle,
            List<String> reportNames) {
        this.loop = loop;
        this.listener = listener;
        this.connectMicros = connectMicros;
        this.idleNanos = (long) (idleMicros * 1_000 * IDLE_SHARE);
        this.mostIdle = mostIdle;
        this.reportNames = reportNames;
    }

    /** Starts a call; {@code giveUpAfter} microseconds later its connection is closed. */
    void start(Route route, List<Item> items, long giveUpAfter) {
        Call call = new Call(route, List.copyOf(items), giveUpAfter);
        calls.add(call);
        items.forEach(item -> byMessage.put(item.message().number, call));
        call.timer = loop.schedule(() -> abandon(call, call.written ? Ending.TIMEOUT : Ending.CONNECT_FAILED),
                Math.max(0, giveUpAfter), TimeUnit.MICROSECONDS);
        Connection warm = pollIdle(route);
        if (warm != null) {
            warm.carry(call);
        } else {
            connect(call);
        }
    }

    /** Gives up the call that carries this message; its companions share its fate. */
    void cancel(Held message, int attempt) {
        Call call = byMessage.get(message.number);
        if (call != null && call.items.contains(new Item(message, attempt))) {
            abandon(call, call.written ? Ending.CANCELLED : Ending.CONNECT_FAILED);
        }
    }

    void closeIdle(long endpoint) {
        for (Connection connection : List.copyOf(idle.getOrDefault(endpoint, new ArrayDeque<>()))) {
            connection.channel.close();
            forget(connection);
        }
    }

    /**
     * Calls that still wait for their connection when a wait or a drain is told must not follow it: the
     * rules count from a call's bytes, and connecting may take longer than their grace.
     */
    void bar(Predicate<Route> routes) {
        calls.stream().filter(call -> !call.written && routes.test(call.route))
                .forEach(call -> call.barred = true);
    }

    int out() {
        return calls.size();
    }

    // ---- Connections. ----

    private Connection pollIdle(Route route) {
        Deque<Connection> pool = idle.getOrDefault(route.endpoint(), new ArrayDeque<>());
        while (!pool.isEmpty()) {
            Connection connection = pool.peekLast();
            forget(connection);
            boolean fresh = System.nanoTime() - connection.idleSince < idleNanos;
            if (fresh && connection.channel.isActive() && connection.address.equals(route.address())) {
                return connection;
            }
            connection.channel.close();
        }
        return null;
    }

    private void keep(Connection connection) {
        connection.idleSince = System.nanoTime();
        idle.computeIfAbsent(connection.endpoint, e -> new ArrayDeque<>()).addLast(connection);
        idleByAge.add(connection);
        connection.idleTimer = loop.schedule(() -> {
            connection.channel.close();
            forget(connection);
        }, idleNanos, TimeUnit.NANOSECONDS);
        if (idleByAge.size() > mostIdle) {
            Connection oldest = idleByAge.iterator().next();
            oldest.channel.close();
            forget(oldest);
        }
    }

    private void forget(Connection connection) {
        if (idleByAge.remove(connection)) {
            connection.idleTimer.cancel(false);
            Deque<Connection> pool = idle.get(connection.endpoint);
            pool.remove(connection);
            if (pool.isEmpty()) {
                idle.remove(connection.endpoint);
            }
        }
    }

    private void connect(Call call) {
        Connection connection = new Connection(call.route.endpoint(), call.route.address());
        call.connection = connection;
        connection.call = call;
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMicros / 1_000))
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.channel = channel;
                        channel.pipeline().addLast(new HttpClientCodec(4_096, 16_384, 16_384),
                                new HttpObjectAggregator(LARGEST_ANSWER), connection);
                    }
                })
                .connect(call.route.address()).addListener(done -> {
                    if (call.done) {
                        if (connection.channel != null) {
                            connection.channel.close();
                        }
                    } else if (done.isSuccess()) {
                        connection.carry(call);
                    } else {
                        finish(call, Ending.CONNECT_FAILED, 0, List.of());
                    }
                });
    }

    /** A connection to one endpoint. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        final long endpoint;
        final InetSocketAddress address;
        Channel channel;
        Call call;
        long idleSince;
        Future<?> idleTimer;

        Connection(long endpoint, InetSocketAddress address) {
            this.endpoint = endpoint;
            this.address = address;
        }

        void carry(Call next) {
            call = next;
            next.connection = this;
            if (next.barred) {
                call = null;
                finish(next, Ending.MOOT, 0, List.of());
                keep(this);
                return;
            }
            next.written = true;
            channel.writeAndFlush(request(next)).addListener(sent -> {
                if (!sent.isSuccess() && !next.done) {
                    channel.close();
                    finish(next, Ending.CONNECT_FAILED, 0, List.of());
                }
            });
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            boolean readable = response.decoderResult().isSuccess();
            if (readable && response.status().code() < 200) {
                return;
            }
            Call answered = call;
            call = null;
            if (answered == null || answered.done) {
                forget(this);
                context.close();
                return;
            }
            if (!readable) {
                context.close();
                finish(answered, Ending.RESET, 0, List.of());
                return;
            }
            if (HttpUtil.isKeepAlive(response)) {
                keep(this);
            } else {
                context.close();
            }
            answer(answered, response);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            forget(this);
            Call lost = call;
            call = null;
            if (lost != null && !lost.done) {
                finish(lost, lost.written ? Ending.RESET : Ending.CONNECT_FAILED, 0, List.of());
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // ---- The call on the wire. ----

    private FullHttpRequest request(Call call) {
        boolean many = call.items.size() > 1;
        ByteBuf body = Unpooled.buffer();
        if (many) {
            for (Item item : call.items) {
                Held m = item.message();
                String key = m.idempotencyKey.isEmpty() ? "-" : m.idempotencyKey;
                String head = m.id + " " + key + " " + m.body.length + "\r\n";
                body.writeCharSequence(head, StandardCharsets.ISO_8859_1);
                body.writeBytes(m.body);
                body.writeCharSequence("\r\n", StandardCharsets.ISO_8859_1);
            }
        } else {
            body.writeBytes(call.items.get(0).message().body);
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST,
                many ? "/receive-many" : "/receive", body);
        request.headers().set(HttpHeaderNames.HOST, call.route.address().getAddress().getHostAddress());
        if (!many) {
            Held m = call.items.get(0).message();
            request.headers().set("X-Request-ID", m.id);
            if (!m.idempotencyKey.isEmpty()) {
                request.headers().set("Idempotency-Key", m.idempotencyKey);
            }
        }
        long left = call.giveUpAfter - took(call);
        request.headers().set("X-Timeout", Math.max(1, left / 1_000) + "m");
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return request;
    }

    private void answer(Call call, FullHttpResponse response) {
        List<Double> report = report(response.headers().get("X-Server-Load"));
        long wait = wait(response.headers().get(HttpHeaderNames.RETRY_AFTER));
        if (wait > 0) {
            bar(route -> route.waitGroup().equals(call.route.waitGroup()));
        }
        int status = response.status().code();
        if (status == 200 && call.items.size() > 1) {
            release(call);
            Map<String, String> ends = ends(response.content().toString(StandardCharsets.ISO_8859_1));
            for (Item item : call.items) {
                String end = ends.getOrDefault(item.message().id, "");
                tell(call, item, ending(end), end.equals("delivered") || end.equals("over"), wait, report);
            }
            return;
        }
        Ending ending = switch (status) {
            case 200 -> Ending.OK;
            case 429, 413 -> Ending.FULL;
            case 503 -> "1".equals(response.headers().get("Slots-Taken")) ? Ending.MOOT : Ending.FULL;
            case 504, 410 -> Ending.MOOT;
            default -> Ending.ERROR;
        };
        if (status != 200 && status != 429 && status != 503 && status != 500) {
            Log.warn("receiver " + call.route.address() + " answered " + status);
        }
        release(call);
        call.items.forEach(item -> tell(call, item, ending, status == 200 || status == 410, wait, report));
    }

    /** An end that cannot be read may stand for any: the message may have run. */
    private static Ending ending(String end) {
        return switch (end) {
            case "delivered" -> Ending.OK;
            case "failed" -> Ending.ERROR;
            case "refused" -> Ending.FULL;
            case "over", "spent" -> Ending.MOOT;
            default -> Ending.RESET;
        };
    }

    private static Map<String, String> ends(String body) {
        Map<String, String> ends = new HashMap<>();
        for (String line : body.split("\r?\n")) {
            int space = line.indexOf(' ');
            if (space > 0) {
                ends.put(line.substring(0, space), line.substring(space + 1).strip());
            }
        }
        return ends;
    }

    private static long wait(String seconds) {
        try {
            double value = seconds == null ? 0 : Double.parseDouble(seconds.strip());
            return value > 0 && value < 3_600 ? (long) Math.ceil(value * 1e6) : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** The values in the order of the settings; empty where the header is absent or cannot be read. */
    private List<Double> report(String header) {
        if (header == null) {
            return List.of();
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : header.split(",")) {
            int eq = pair.indexOf('=');
            try {
                values.put(pair.substring(0, Math.max(0, eq)).strip(),
                        Double.parseDouble(pair.substring(eq + 1)));
            } catch (NumberFormatException e) {
                return List.of();
            }
        }
        List<Double> report = new ArrayList<>();
        reportNames.forEach(name -> report.add(values.getOrDefault(name, 0.0)));
        return report;
    }

    // ---- Ends. ----

    /** The slot is free, and another attempt allowed, only when the connection has ended. */
    private void abandon(Call call, Ending ending) {
        if (call.done) {
            return;
        }
        call.done = true;
        Channel channel = call.connection == null ? null : call.connection.channel;
        if (channel == null) {
            settle(call, ending);
        } else {
            channel.close().addListener(closed -> settle(call, ending));
        }
    }

    private void settle(Call call, Ending ending) {
        release(call);
        call.items.forEach(item -> tell(call, item, ending, false, 0, List.of()));
    }

    private void finish(Call call, Ending ending, long wait, List<Double> report) {
        release(call);
        call.items.forEach(item -> tell(call, item, ending, false, wait, report));
    }

    private void release(Call call) {
        call.done = true;
        call.timer.cancel(false);
        calls.remove(call);
        Set<Long> numbers = new HashSet<>();
        call.items.forEach(item -> numbers.add(item.message().number));
        byMessage.keySet().removeAll(numbers);
    }

    private void tell(Call call, Item item, Ending ending, boolean closed, long wait, List<Double> report) {
        listener.ended(new Result(item.message(), item.attempt(), call.route.endpoint(), ending, took(call),
                closed, wait, report));
    }

    private static long took(Call call) {
        return (System.nanoTime() - call.sentAt) / 1_000;
    }
}
