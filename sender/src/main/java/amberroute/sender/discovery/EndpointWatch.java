package amberroute.sender.discovery;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.sender.config.EndpointListEntry;
import amberroute.sender.config.SenderConfig;
import amberroute.sender.upstream.UpstreamClient;
import amberroute.sender.util.Backoff;
import amberroute.sender.util.Log;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
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
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;

/** Watches the list of receivers and gives each uid the number that the module knows it by. */
public final class EndpointWatch {
    /** What discovery has counts as told so much later, whether or not it arrived, if it could be reached. */
    public static final long TOLD_MS = 6_000;
    /** An empty line comes every 2 s: a watch without a whole line for longer, from its opening on, is taken to be dead. */
    static final long SILENCE_MS = 3_000;

    static final long LOOK_MS = 100;
    static final long CONNECT_MS = 1_000;
    /** The least pause behind a watch that has ended, and by how much it is longer at most. */
    public static final long PAUSE_LEAST_MS = 100;

    public static final long PAUSE_MOST_MS = 1_000;
    /** For the answer itself, and for a loop that is late. */
    public static final long ANSWER_MS = 500;

    static {
        // In the worst phase a watch was opened just before discovery could be reached, and never hears a word; the
        // next one does.
        if (SILENCE_MS + LOOK_MS + PAUSE_LEAST_MS + PAUSE_MOST_MS + CONNECT_MS + ANSWER_MS > TOLD_MS) {
            throw new AssertionError("a change can come later than it counts as told");
        }
    }

    /** Below the time that the drain rule leaves between the news that a receiver drains and the last call to it. */
    private static final long WORD_NANOS = 200_000_000;

    private static final int LONGEST_LINE = 1 << 20;
    /** Of those that have left so many are known at least, else as many as are listed. */
    private static final int MOST_GONE = 1_024;

    /** News for the module. */
    public interface Listener {
        void listed(EndpointListKind kind, List<DeliveryScheduler.EndpointEntry> entries);
    }

    /** A receiver as listed. */
    private record Target(long number, EndpointListEntry parsed) {
        String uid() {
            return parsed.uid();
        }

        InetSocketAddress address() {
            return parsed.address();
        }

        int destination() {
            return parsed.destination();
        }

        int kind() {
            return parsed.kind();
        }

        boolean ready() {
            return parsed.state() == EndpointState.READY;
        }

        /** With the numbers that a fresh configuration has for the names of its kind and zone. */
        Target under(SenderConfig former, SenderConfig fresh) {
            return new Target(
                    number,
                    new EndpointListEntry(
                            parsed.uid(),
                            parsed.state(),
                            parsed.destination(),
                            index(fresh.kinds(), name(former.kinds(), parsed.kind())),
                            index(fresh.zones(), name(former.zones(), parsed.zone())),
                            parsed.weight(),
                            parsed.address()));
        }
    }

    private final EventLoop loop;
    private SenderConfig config;
    private final Listener listener;
    private final Map<String, Long> numbers = new HashMap<>();
    private final Map<Long, Target> targets = new HashMap<>();
    private final Map<Long, Target> gone = new LinkedHashMap<>();
    /** Every destination that was ever listed; there are no more than its numbers. */
    private final Set<Integer> destinations = new HashSet<>();

    private boolean current;
    private long nextNumber = 1;
    private long version;
    private InetSocketAddress address;
    /** The watch in use or being opened, null while a pause lasts. */
    private Watch watch;

    private Future<?> pause;
    private final Backoff pauses;
    private boolean stopped;
    /** Monotonic nanoseconds of the start, and of the first request for the list since, 0 before. */
    private long startedAt = System.nanoTime();

    private long askedAt;
    /** Whether the first request has brought anything, if only its end. */
    private boolean heard;

    public EndpointWatch(EventLoop loop, SenderConfig config, Listener listener) {
        this.loop = loop;
        this.config = config;
        this.listener = listener;
        address = config.discovery();
        pauses = new Backoff(
                PAUSE_LEAST_MS, 200, PAUSE_MOST_MS, config.settings().seed());
    }

    /** Kinds and zones are what this configuration says from now on, also of what is listed already. */
    public void configure(SenderConfig fresh) {
        SenderConfig former = config;
        config = fresh;
        targets.replaceAll((number, target) -> target.under(former, fresh));
        gone.replaceAll((number, target) -> target.under(former, fresh));
    }

    /** Starts from the list that this sender last had, then watches. */
    public void start() {
        if (address == null) {
            take(config.known(), EndpointListKind.FULL);
            return;
        }
        take(config.known(), EndpointListKind.CACHED);
        open();
        loop.scheduleWithFixedDelay(this::checkSilence, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    /** Watches no more, unless {@link #resume} is called: the list is another's now. */
    public void stop() {
        stopped = true;
        if (pause != null) {
            pause.cancel(false);
        }
        if (watch != null) {
            watch.close();
        }
    }

    /**
     * Watches again after {@link #stop}, from the list that was known then, which may be an old one. Returns those that have
     * left it and are listed for their calls alone, to be given to {@link #release} once the calls are known.
     */
    public JsonArray resume(LongPredicate called) {
        stopped = false;
        heard = false;
        askedAt = 0;
        startedAt = System.nanoTime();
        pause = null;
        JsonObject list = write(called);
        JsonArray leaving = new JsonArray();
        for (JsonElement item : list.getAsJsonArray("targets")) {
            if (item.getAsJsonObject().has("gone")) {
                leaving.add(item);
            }
        }
        take(list, address == null ? EndpointListKind.FULL : EndpointListKind.CACHED);
        if (address != null) {
            open();
        }
        return leaving;
    }

    /**
     * Whether calls may go by the list as it is. Behind a start it is an old one, and what discovery has to say counts as told
     * from when it could be asked: so calls wait for its first word. It answers at once or has nothing to say, as while it is
     * away; what it has not said within {@link #WORD_NANOS} is not waited for, nor a connection that does not come up.
     */
    public boolean settled(long now) {
        return address == null
                || heard
                || askedAt != 0 && now - askedAt > WORD_NANOS
                || now - startedAt > CONNECT_MS * 1_000_000;
    }

    /** Whether the list has come from discovery itself. */
    public boolean current() {
        return current;
    }

    /** In discovery's form, with those that have left and are marked {@code gone} but are still called. */
    public JsonObject write(LongPredicate called) {
        JsonArray items = new JsonArray();
        targets.values().forEach(target -> items.add(write(target, false)));
        gone.values().stream()
                .filter(target -> called.test(target.number()))
                .forEach(target -> items.add(write(target, true)));
        JsonObject list = new JsonObject();
        list.addProperty("rev", version);
        list.addProperty("all", true);
        list.add("targets", items);
        return list;
    }

    private JsonObject write(Target target, boolean left) {
        EndpointListEntry parsed = target.parsed();
        JsonObject item = new JsonObject();
        item.addProperty("uid", parsed.uid());
        item.addProperty(
                "endpoint",
                parsed.address().getAddress().getHostAddress() + ":"
                        + parsed.address().getPort());
        item.addProperty("az", name(config.zones(), parsed.zone()));
        item.addProperty("model", name(config.kinds(), parsed.kind()));
        item.addProperty("pod_group", parsed.destination());
        item.addProperty("state", parsed.state() == EndpointState.READY && !left ? "Ready" : "Terminating");
        item.addProperty("capacity_hint", parsed.weight());
        if (left) {
            item.addProperty("gone", true);
        }
        return item;
    }

    private static String name(List<String> names, int index) {
        return index < names.size() ? names.get(index) : "";
    }

    /**
     * Takes what another process knew: its whole list where discovery has told nothing yet, else only those that it
     * still calls and that are not on the list any more. Returns those that are listed for its calls alone, to be
     * given to {@link #release} once the calls are known.
     */
    public JsonArray takeOver(JsonObject list, Set<String> called) {
        JsonArray leaving = new JsonArray();
        JsonArray missing = new JsonArray();
        for (JsonElement item : list.getAsJsonArray("targets")) {
            JsonObject one = item.getAsJsonObject();
            String uid = one.get("uid").getAsString();
            if (current && called.contains(uid) && !targets.containsKey(number(uid))) {
                one.addProperty("state", "Terminating");
                missing.add(one);
                leaving.add(one);
            } else if (!current && one.has("gone")) {
                leaving.add(one);
            }
        }
        if (!current) {
            take(list, EndpointListKind.CACHED);
        }
        delta(missing);
        return leaving;
    }

    public void release(JsonArray leaving) {
        leaving.forEach(item -> item.getAsJsonObject().addProperty("state", "Gone"));
        delta(leaving);
    }

    private void delta(JsonArray items) {
        if (!items.isEmpty()) {
            List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
            items.forEach(item -> entries.add(entry(item.getAsJsonObject())));
            listener.listed(EndpointListKind.DELTA, entries);
        }
    }

    /** Where to call an endpoint, null if it is no longer known. */
    public UpstreamClient.Route route(long number) {
        Target target = targets.getOrDefault(number, gone.get(number));
        if (target == null) {
            return null;
        }
        List<DeliveryScheduler.DestinationKind> kinds = config.settings().kinds();
        boolean apart = target.kind() < kinds.size() && kinds.get(target.kind()).independentEndpoints();
        return new UpstreamClient.Route(number, target.address(), apart ? "route " + number : target.destination());
    }

    public int messagesPerCall(long number) {
        Target target = targets.getOrDefault(number, gone.get(number));
        List<DeliveryScheduler.DestinationKind> kinds = config.settings().kinds();
        return target == null || target.kind() >= kinds.size()
                ? 1
                : Math.max(1, kinds.get(target.kind()).messagesPerCall());
    }

    public String uid(long number) {
        Target target = targets.getOrDefault(number, gone.get(number));
        return target == null ? "" : target.uid();
    }

    /** How many receivers the list has. */
    public int size() {
        return targets.size();
    }

    public boolean ready(long number) {
        Target target = targets.get(number);
        return target != null && target.ready();
    }

    /** Whether a receiver of this uid is on the list. */
    public boolean listed(String uid) {
        return numbers.containsKey(uid) && targets.containsKey(numbers.get(uid));
    }

    /** Whether it has left the list. */
    public boolean gone(long number) {
        return !targets.containsKey(number);
    }

    /** Whether a destination is or was listed; before the first list has come any may turn out to be. */
    public boolean listed(int destination) {
        return !current || destinations.contains(destination);
    }

    /** The number of a uid; the same for as long as the process lives. */
    public long number(String uid) {
        return numbers.computeIfAbsent(uid, u -> nextNumber++);
    }

    // ---- The list. ----

    private void take(JsonObject news, EndpointListKind kind) {
        JsonElement all = news.get("targets");
        if (all == null || !all.isJsonArray()) {
            return;
        }
        if (news.has("rev")) {
            version = news.get("rev").getAsLong();
        }
        List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
        if (kind != EndpointListKind.DELTA) {
            targets.values().forEach(this::bury);
            targets.clear();
        }
        for (JsonElement item : all.getAsJsonArray()) {
            try {
                entries.add(entry(item.getAsJsonObject()));
            } catch (RuntimeException e) {
                Log.warn("discovery: skipped an entry: " + e.getMessage());
            }
        }
        current |= kind != EndpointListKind.CACHED;
        listener.listed(kind, entries);
    }

    /** Takes a whole list from elsewhere than the watch. */
    public void replace(JsonObject list) {
        take(list, EndpointListKind.FULL);
    }

    private DeliveryScheduler.EndpointEntry entry(JsonObject item) {
        EndpointListEntry parsed = EndpointListEntry.parse(item, config);
        String uid = parsed.uid();
        EndpointState state = parsed.state();
        int destination = parsed.destination();
        destinations.add(destination);
        long number = number(uid);
        Target target = new Target(number, parsed);
        if (state == EndpointState.GONE) {
            targets.remove(number);
            bury(target);
        } else {
            targets.put(number, target);
            gone.remove(number);
        }
        return new DeliveryScheduler.EndpointEntry(
                number, destination, state, parsed.weight(), parsed.zone(), parsed.kind());
    }

    private static int index(List<String> names, String name) {
        return Math.max(0, names.indexOf(name));
    }

    /** What has left the list may still have calls out; the oldest are forgotten. */
    private void bury(Target target) {
        gone.put(target.number(), target);
        if (gone.size() > Math.max(MOST_GONE, targets.size())) {
            Target oldest = gone.remove(gone.keySet().iterator().next());
            numbers.remove(oldest.uid());
        }
    }

    // ---- The watch. ----

    /** Watches another address from now on; the list and its version are kept. */
    public void move(InetSocketAddress to) {
        address = to;
        pauses.good();
        if (pause != null) {
            pause.cancel(false);
            pause = null;
        }
        Watch old = watch;
        open();
        if (old != null) {
            old.close();
        }
    }

    private void open() {
        Watch opened = new Watch();
        watch = opened;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) CONNECT_MS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                        opened.channel = fresh;
                        fresh.pipeline().addLast(new HttpClientCodec(), opened);
                    }
                })
                .connect(address)
                .addListener(done -> {
                    if (!done.isSuccess()) {
                        ended(opened);
                    }
                });
    }

    /** Only the end of the current watch counts: one that was replaced must not open a second. */
    private void ended(Watch ended) {
        if (watch != ended) {
            return;
        }
        heard = true;
        watch = null;
        if (stopped) {
            return;
        }
        pause = loop.schedule(
                () -> {
                    pause = null;
                    open();
                },
                pauses.next(),
                TimeUnit.MILLISECONDS);
    }

    /** A cut network says nothing: the connection stays open, and only the missing lines tell. Part of a line is none. */
    private void checkSilence() {
        if (watch != null && System.nanoTime() - watch.lastLine > SILENCE_MS * 1_000_000) {
            watch.close();
        }
    }

    /** Reads one watch line by line. */
    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final InetSocketAddress to = address;
        private final ByteBuf pending = Unpooled.buffer(1_024);
        private final JsonObjectAssembler list = new JsonObjectAssembler();
        private Channel channel;
        /** When it last brought an empty line or a whole object that could be read; neither bytes nor lines of half of one count. */
        private long lastLine = System.nanoTime();

        private boolean good;

        void close() {
            if (channel != null) {
                channel.close();
            }
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (watch != this) {
                context.close();
                return;
            }
            DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                    HttpVersion.HTTP_1_1, HttpMethod.GET, "/api/targets?follow=1&since=" + version);
            request.headers().set(HttpHeaderNames.HOST, to.getAddress().getHostAddress());
            askedAt = askedAt == 0 ? System.nanoTime() : askedAt;
            context.writeAndFlush(request);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (!part.decoderResult().isSuccess() || watch != this) {
                context.close();
                return;
            }
            if (part instanceof HttpResponse response) {
                good = response.status().code() == 200;
            }
            if (part instanceof HttpContent content && good) {
                pending.discardReadBytes().writeBytes(content.content());
                readLines();
            }
            boolean tooLong = pending.readableBytes() + list.length() > LONGEST_LINE;
            if (tooLong) {
                Log.warn("discovery: a list of over " + LONGEST_LINE + " bytes; the one that is known stays");
            }
            if (part instanceof LastHttpContent || !good || tooLong) {
                context.close();
            }
        }

        private void readLines() {
            int length = pending.bytesBefore((byte) '\n');
            while (length >= 0) {
                String line =
                        pending.readCharSequence(length, StandardCharsets.UTF_8).toString();
                pending.skipBytes(1);
                heard = true;
                if (list.cutBy(line)) {
                    lost("it was cut short");
                    return;
                }
                if (line.isBlank()) {
                    // Nothing has changed: all that a watch of a list that stays has to say.
                    lastLine = System.nanoTime();
                    pauses.good();
                } else {
                    String whole = list.add(line);
                    if (whole != null && !read(whole)) {
                        return;
                    }
                }
                length = pending.bytesBefore((byte) '\n');
            }
        }

        /** Whether a list has an entry that can be read. */
        private boolean readable(JsonObject news) {
            for (JsonElement item : news.getAsJsonArray("targets")) {
                try {
                    EndpointListEntry.parse(item.getAsJsonObject(), config);
                    return true;
                } catch (RuntimeException e) {
                    // The next one may do.
                }
            }
            return false;
        }

        /**
         * News that cannot be read are asked for again, from the version that is known: what comes behind them would else hide
         * that they are missing. What is not even the beginning of an object is no news.
         */
        private void lost(String why) {
            Log.warn("discovery: news that cannot be read, asked for again: " + why);
            close();
        }

        /** False where the watch is closed by it. */
        private boolean read(String text) {
            try {
                JsonObject news = JsonParser.parseString(text).getAsJsonObject();
                boolean all = news.has("all") && news.get("all").getAsBoolean();
                lastLine = System.nanoTime();
                if (all && !targets.isEmpty() && !readable(news)) {
                    // A discovery that has just started knows nothing yet; what is known is served on.
                    Log.warn("discovery: passed over a whole list without a receiver");
                    return true;
                }
                take(news, all ? EndpointListKind.FULL : EndpointListKind.DELTA);
                pauses.good();
                return true;
            } catch (RuntimeException e) {
                if (text.stripLeading().startsWith("{")) {
                    lost(e.getMessage());
                    return false;
                }
                Log.warn("discovery: skipped a line: " + e.getMessage());
                return true;
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ended(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
