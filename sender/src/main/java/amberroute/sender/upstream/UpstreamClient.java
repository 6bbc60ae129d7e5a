package amberroute.sender.upstream;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.sender.eventloop.EventLoopStallDetector;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.util.Log;
import amberroute.sender.util.StrictNumbers;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;
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
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

/** Carries out calls to receivers over kept-alive connections, one call at a time on each. */
public final class UpstreamClient {
    /**
     * An answered connection is watched for this long before it carries another call: what comes behind an answer
     * would else be taken for the next one's, and a connection that is closed after its answer would lose it.
     */
    private static final long QUIET_MS = 20;
    /** A receiver closes idle connections at its limit; one that crosses that would read as a reset. */
    private static final double IDLE_SHARE = 0.8;

    /** One message's part in a call. */
    public record CallMessage(AcceptedMessage message, int attempt) {}

    /** What became of one message's attempt; times in microseconds. */
    public record Result(
            AcceptedMessage message,
            int attempt,
            long endpoint,
            AttemptOutcome ending,
            long took,
            boolean closed,
            long toldWait,
            List<Double> report,
            long idle) {}

    /** Where results go, on the event loop. */
    public interface Listener {
        void ended(Result result);

        /** A call is about to be written, which may be long after it was started; what this throws keeps it back. */
        void writing();

        /** A call with so many messages was written whole. */
        void written(int messages);
    }

    /** A call that is out. */
    public final class Call {
        public final Route route;
        /** Never changed but by {@link #rebind}. */
        public List<CallMessage> items;

        final long sentAt = System.nanoTime();
        final long giveUpAfter;
        /** Milliseconds from its start within which it may be written. */
        final long writeWithin;

        Connection connection;
        boolean written;
        /** How long its connection had lain idle in microseconds, 0 for a fresh one. */
        long idle;

        boolean barred;
        boolean done;
        /** Its messages are not this process's business any more: nothing is told of it. */
        boolean disowned;

        Future<?> timer;

        Call(Route route, List<CallMessage> items, long giveUpAfter, long writeWithin) {
            this.route = route;
            this.items = items;
            this.giveUpAfter = giveUpAfter;
            this.writeWithin = writeWithin;
        }

        /** Written now it would come too late, or against what was told since. */
        private boolean unwanted() {
            return barred || took(this) / 1_000 > writeWithin;
        }
    }

    /** Where calls to an endpoint go; {@code wait group} is what a told wait binds. */
    public record Route(long endpoint, InetSocketAddress address, Object waitGroup) {}

    private final EventLoop loop;
    private final EventLoopStallDetector looks;
    private final Listener listener;
    private long connectMicros;
    private long idleNanos;
    private final int mostOpen;
    private List<String> reportNames;
    private final Map<Long, Deque<Connection>> idle = new HashMap<>();
    private final Set<Connection> idleByAge = new LinkedHashSet<>();
    private int open;
    private final Set<Call> calls = new LinkedHashSet<>();
    private final Map<Long, Call> byMessage = new HashMap<>();

    public UpstreamClient(
            EventLoop loop,
            EventLoopStallDetector looks,
            Listener listener,
            long connectMicros,
            long idleMicros,
            int mostOpen,
            List<String> reportNames) {
        this.loop = loop;
        this.looks = looks;
        this.listener = listener;
        this.mostOpen = mostOpen;
        configure(connectMicros, idleMicros, reportNames);
    }

    /** From now on these count; connections that have been kept for longer than is allowed now carry no call any more. */
    public void configure(long connectMicros, long idleMicros, List<String> reportNames) {
        long longest = (long) (idleMicros * 1_000 * IDLE_SHARE);
        if (longest < idleNanos) {
            closeIdle(endpoint -> true);
        }
        this.connectMicros = connectMicros;
        this.reportNames = reportNames;
        idleNanos = longest;
    }

    /**
     * Starts a call; {@code giveUpAfter} microseconds later its connection is closed. It goes over no connection that
     * has lain idle for longer than {@code longestIdle} microseconds. Where its connection comes up later than
     * {@code writeWithin} milliseconds it is not written: it ends as one that was not sent.
     */
    public void start(Route route, List<CallMessage> items, long giveUpAfter, long longestIdle, long writeWithin) {
        Call call = new Call(route, List.copyOf(items), giveUpAfter, writeWithin);
        calls.add(call);
        items.forEach(item -> byMessage.put(item.message().number, call));
        call.timer = loop.schedule(
                () -> abandon(call, call.written ? AttemptOutcome.TIMEOUT : AttemptOutcome.CONNECT_FAILED),
                Math.max(0, giveUpAfter),
                TimeUnit.MICROSECONDS);
        Connection warm = pollIdle(route, Math.min(idleNanos, longestIdle * 1_000));
        if (warm != null) {
            call.idle = Math.max(1, (System.nanoTime() - warm.idleSince) / 1_000);
            warm.carry(call);
        } else {
            connect(call);
        }
    }

    public int callsOut() {
        return calls.size();
    }

    /** All calls whose outcome is still to be told. */
    public List<Call> out() {
        return List.copyOf(calls);
    }

    /** Gives up all calls that are out; each message's result follows when its connection has ended. */
    public void callOff() {
        for (Call call : List.copyOf(calls)) {
            abandon(call, call.written ? AttemptOutcome.CANCELLED : AttemptOutcome.CONNECT_FAILED);
        }
    }

    /** Gives up the call that carries this message; its companions share its fate. False where there is none. */
    public boolean cancel(AcceptedMessage message, int attempt) {
        Call call = byMessage.get(message.number);
        if (call == null || !call.items.contains(new CallMessage(message, attempt))) {
            return false;
        }
        abandon(call, call.written ? AttemptOutcome.CANCELLED : AttemptOutcome.CONNECT_FAILED);
        return true;
    }

    /**
     * The journal was read anew, so that other objects stand for the messages of the calls that are out. {@code owner} gives the part
     * that a message has in its call now, null where this is not its present attempt: then the call is closed, and nothing is
     * told of it.
     */
    public void rebind(UnaryOperator<CallMessage> owner) {
        for (Call call : List.copyOf(calls)) {
            List<CallMessage> owned =
                    call.items.stream().map(owner).filter(Objects::nonNull).toList();
            if (owned.size() == call.items.size()) {
                call.items = owned;
            } else {
                disown(call);
            }
        }
    }

    private void disown(Call call) {
        call.disowned = true;
        release(call);
        if (call.connection != null && call.connection.channel != null) {
            call.connection.channel.close();
        }
    }

    public void closeIdle(LongPredicate endpoints) {
        for (Connection connection : List.copyOf(idleByAge)) {
            if (endpoints.test(connection.endpoint)) {
                drop(connection);
            }
        }
    }

    /**
     * Calls that still wait for their connection when a wait or a drain is told must not follow it: the
     * rules count from a call's bytes, and connecting may take longer than their grace.
     */
    public void bar(Predicate<Route> routes) {
        calls.stream().filter(call -> !call.written && routes.test(call.route)).forEach(call -> call.barred = true);
    }

    public int kept() {
        return idle.values().stream().mapToInt(Deque::size).sum();
    }

    // ---- Connections. ----

    /** The connection that was in use last; one that is too old for this call may do for another. */
    private Connection pollIdle(Route route, long longestNanos) {
        Deque<Connection> pool = idle.getOrDefault(route.endpoint(), new ArrayDeque<>());
        while (!pool.isEmpty()) {
            Connection connection = pool.peekLast();
            if (!connection.channel.isActive() || !connection.address.equals(route.address())) {
                drop(connection);
            } else if (System.nanoTime() - connection.idleSince < longestNanos) {
                forget(connection);
                return connection;
            } else {
                return null;
            }
        }
        return null;
    }

    /** Keeps an answered connection, out of use until it has been quiet for a while. */
    private void keep(Connection connection) {
        connection.idleSince = System.nanoTime();
        idleByAge.add(connection);
        connection.idleTimer = loop.schedule(
                () -> {
                    idle.computeIfAbsent(connection.endpoint, e -> new ArrayDeque<>())
                            .addLast(connection);
                    connection.idleTimer = loop.schedule(() -> drop(connection), idleNanos, TimeUnit.NANOSECONDS);
                },
                QUIET_MS,
                TimeUnit.MILLISECONDS);
    }

    private void drop(Connection connection) {
        forget(connection);
        connection.channel.close();
    }

    private void forget(Connection connection) {
        if (idleByAge.remove(connection)) {
            connection.idleTimer.cancel(false);
            Deque<Connection> pool = idle.getOrDefault(connection.endpoint, new ArrayDeque<>());
            pool.remove(connection);
            if (pool.isEmpty()) {
                idle.remove(connection.endpoint);
            }
        }
    }

    private void connect(Call call) {
        if (open >= mostOpen && !idleByAge.isEmpty()) {
            drop(idleByAge.iterator().next());
        }
        if (open >= mostOpen) {
            // Later, as the caller is in the middle of starting calls.
            loop.execute(() -> abandon(call, AttemptOutcome.MOOT));
            return;
        }
        Connection connection = new Connection(call.route.endpoint(), call.route.address());
        call.connection = connection;
        connection.call = call;
        open++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) Math.max(1, connectMicros / 1_000))
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connection.channel = channel;
                        channel.closeFuture().addListener(closed -> open--);
                        connection.reader.install(channel.pipeline());
                    }
                })
                .connect(call.route.address())
                .addListener(done -> {
                    if (connection.channel == null) {
                        open--;
                    }
                    if (call.done) {
                        if (connection.channel != null) {
                            connection.channel.close();
                        }
                    } else if (done.isSuccess()) {
                        // What bars this call may lie unread beside the news that its connection is up.
                        looks.behindReads(loop, () -> carry(connection, call));
                    } else {
                        finish(call, AttemptOutcome.CONNECT_FAILED, 0, List.of());
                    }
                });
    }

    private static void carry(Connection connection, Call call) {
        if (call.done) {
            connection.channel.close();
        } else {
            connection.carry(call);
        }
    }

    /** A connection to one endpoint. */
    private final class Connection implements ResponseReader.Listener {
        final long endpoint;
        final InetSocketAddress address;
        final ResponseReader reader = new ResponseReader(this);
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
            if (next.unwanted()) {
                call = null;
                finish(next, AttemptOutcome.MOOT, 0, List.of());
                keep(this);
                return;
            }
            listener.writing();
            next.written = true;
            reader.expect();
            channel.writeAndFlush(request(next)).addListener(sent -> {
                if (sent.isSuccess()) {
                    listener.written(next.items.size());
                } else if (!next.done) {
                    channel.close();
                    finish(next, AttemptOutcome.CONNECT_FAILED, 0, List.of());
                }
            });
        }

        /** A call may go out anew at once: a connection that is of no more use has to be closed before. */
        @Override
        public void answered(ResponseReader.Response answer) {
            Call done = call;
            call = null;
            if (done == null || done.done) {
                channel.close();
            } else if (answer.reusable()) {
                keep(this);
                answer(done, answer);
            } else {
                done.done = true;
                channel.close().addListener(closed -> answer(done, answer));
            }
        }

        @Override
        public void strayed() {
            drop(this);
        }

        @Override
        public void ended() {
            forget(this);
            Call lost = call;
            call = null;
            if (lost != null && !lost.done) {
                finish(lost, lost.written ? AttemptOutcome.RESET : AttemptOutcome.CONNECT_FAILED, 0, List.of());
            }
        }
    }

    // ---- The call on the wire. ----

    private FullHttpRequest request(Call call) {
        boolean many = call.items.size() > 1;
        ByteBuf body = Unpooled.buffer();
        if (many) {
            for (CallMessage item : call.items) {
                AcceptedMessage m = item.message();
                String key = m.idempotencyKey.isEmpty() ? "-" : m.idempotencyKey;
                String head = m.id + " " + key + " " + m.body.length + "\r\n";
                body.writeCharSequence(head, StandardCharsets.ISO_8859_1);
                body.writeBytes(m.body);
                body.writeCharSequence("\r\n", StandardCharsets.ISO_8859_1);
            }
        } else {
            body.writeBytes(call.items.get(0).message().body);
        }
        FullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.POST, many ? "/receive-many" : "/receive", body);
        request.headers()
                .set(HttpHeaderNames.HOST, call.route.address().getAddress().getHostAddress());
        if (!many) {
            AcceptedMessage m = call.items.get(0).message();
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

    /**
     * Where an answer is spoilt the call may have run, and that is all that can be known, unless its first line
     * delivers the one message that it carried.
     */
    private void answer(Call call, ResponseReader.Response answer) {
        boolean many = call.items.size() > 1;
        int status = answer.status();
        if (!answer.whole()) {
            boolean delivered = status == 200 && !many;
            release(call);
            call.items.forEach(item ->
                    tell(call, item, delivered ? AttemptOutcome.OK : AttemptOutcome.RESET, delivered, 0, List.of()));
            return;
        }
        List<Double> report = report(answer.headers().get("X-Server-Load"));
        long wait = wait(answer.headers().get(HttpHeaderNames.RETRY_AFTER));
        if (wait > 0) {
            bar(route -> route.waitGroup().equals(call.route.waitGroup()));
        }
        release(call);
        if (status == 200 && many) {
            Map<String, String> ends = ends(answer.body(), call);
            for (CallMessage item : call.items) {
                String end = ends.getOrDefault(item.message().id, "");
                tell(call, item, ending(end), end.equals("delivered") || end.equals("over"), wait, report);
            }
            return;
        }
        AttemptOutcome ending =
                switch (status) {
                    case 200 -> AttemptOutcome.OK;
                    case 429, 413 -> AttemptOutcome.FULL;
                    case 503 -> "1".equals(answer.headers().get("Slots-Taken"))
                            ? AttemptOutcome.MOOT
                            : AttemptOutcome.FULL;
                    case 504, 410 -> AttemptOutcome.MOOT;
                    default -> AttemptOutcome.ERROR;
                };
        if (ending == AttemptOutcome.ERROR && status != 500 || status == 413) {
            Log.warn("receiver " + call.route.address() + " answered " + status);
        }
        call.items.forEach(item -> tell(call, item, ending, status == 200 || status == 410, wait, report));
    }

    /** An end that cannot be read may stand for any: the message may have run. */
    private static AttemptOutcome ending(String end) {
        return switch (end) {
            case "delivered" -> AttemptOutcome.OK;
            case "failed" -> AttemptOutcome.ERROR;
            case "refused" -> AttemptOutcome.FULL;
            case "over", "spent" -> AttemptOutcome.MOOT;
            default -> AttemptOutcome.RESET;
        };
    }

    /** The end of each message, none at all where an answer does not name each just once: it is cut or spoilt. */
    private static Map<String, String> ends(String body, Call call) {
        Map<String, String> ends = new HashMap<>();
        for (String line : body.split("\r?\n")) {
            int space = line.indexOf(' ');
            if (space > 0
                    && ends.put(
                                    line.substring(0, space),
                                    line.substring(space + 1).strip())
                            != null) {
                return Map.of();
            }
        }
        boolean all = call.items.stream()
                .allMatch(item -> ending(ends.getOrDefault(item.message().id, "")) != AttemptOutcome.RESET);
        return all ? ends : Map.of();
    }

    private static long wait(String seconds) {
        double value = seconds == null ? 0 : StrictNumbers.parse(seconds.strip());
        return value > 0 && value < 3_600 ? (long) Math.ceil(value * 1e6) : 0;
    }

    /** The values in the order of the settings; empty where the header is absent or cannot be read. */
    private List<Double> report(String header) {
        if (header == null) {
            return List.of();
        }
        Map<String, Double> values = new HashMap<>();
        for (String pair : header.split(",")) {
            int eq = pair.indexOf('=');
            double value = StrictNumbers.parse(pair.substring(eq + 1).strip());
            if (eq < 0 || value < 0) {
                return List.of();
            }
            values.put(pair.substring(0, eq).strip(), value);
        }
        List<Double> report = new ArrayList<>();
        reportNames.forEach(name -> report.add(values.getOrDefault(name, 0.0)));
        return report;
    }

    // ---- Ends. ----

    /** The slot is free, and another attempt allowed, only when the connection has ended. */
    private void abandon(Call call, AttemptOutcome ending) {
        if (call.done) {
            return;
        }
        call.done = true;
        boolean delivered = call.written && call.items.size() == 1 && call.connection.reader.firstLine() == 200;
        if (delivered) {
            call.connection.channel.close().addListener(closed -> {
                release(call);
                call.items.forEach(item -> tell(call, item, AttemptOutcome.OK, true, 0, List.of()));
            });
            return;
        }
        Channel channel = call.connection == null ? null : call.connection.channel;
        if (channel == null) {
            settle(call, ending);
        } else {
            channel.close().addListener(closed -> settle(call, ending));
        }
    }

    private void settle(Call call, AttemptOutcome ending) {
        release(call);
        call.items.forEach(item -> tell(call, item, ending, false, 0, List.of()));
    }

    private void finish(Call call, AttemptOutcome ending, long wait, List<Double> report) {
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

    private void tell(
            Call call, CallMessage item, AttemptOutcome ending, boolean closed, long wait, List<Double> report) {
        if (call.disowned) {
            return;
        }
        listener.ended(new Result(
                item.message(),
                item.attempt(),
                call.route.endpoint(),
                ending,
                took(call),
                closed,
                wait,
                report,
                call.idle));
    }

    public static long took(Call call) {
        return (System.nanoTime() - call.sentAt) / 1_000;
    }
}
