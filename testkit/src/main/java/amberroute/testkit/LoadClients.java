package amberroute.testkit;

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
import io.netty.handler.codec.LineBasedFrameDecoder;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in clients: messages come at a rate, some in clumps for one destination, and each is handed to one of the
 * senders as the protocol page says. A key always goes to the same sender, one message after another; all else goes to
 * any that is not known to be away. Clients come again after a refusal for as long as their time lasts, at the time
 * they were told, and hand in anew only what may be repeated where no answer came. Owned by the event loop.
 */
public final class LoadClients {
    /** A class of messages; spans are microseconds. */
    public record Kind(
            String name,
            DeliveryHistory.Effect effect,
            boolean ordered,
            double share,
            long latencyObjectiveMicros,
            long deadlineMicros) {}

    /** How much is asked: messages a second, the share of them in clumps of so many, and how many keys there are. */
    public record Load(double perSecond, double burstShare, int burstSize, int keys, int maxAttempts) {}

    private static final long ANSWER_TIMEOUT_MILLIS = 400;
    private static final long BACKOFF_MILLIS = 150;
    private static final long RETRY_CONNECT_MILLIS = 20;
    private static final int BODY_BYTES = 120;
    private static final int MAX_IDLE_CONNECTIONS = 64;
    private static final long AWAY_MICROS = 200_000;

    private final EventLoop loop;
    private final DeliveryHistory history;
    private final List<InetSocketAddress> senders;
    /** Where each key goes; there are as many as the load has keys. */
    private final Map<Long, Integer> senderByKey = new HashMap<>();

    private int active;
    private final List<Kind> kinds;
    private final int destinations;
    private final Random random;
    private final List<Deque<ClientConnection>> idle = new ArrayList<>();
    private final long[] awayUntil;
    /** Messages of each key that wait for the one before to be answered. */
    private final Map<Long, Deque<Message>> waitingByKey = new HashMap<>();

    private final Map<Integer, Runnable> onNextAccepted = new HashMap<>();
    private final Set<Integer> closedToNewConnections = new HashSet<>();
    private int maxInFlight = 1;
    private int maxConnections = Integer.MAX_VALUE;
    private final int[] connections;
    private Load load;
    private Future<?> timer;
    private long nextId;
    private long submittedCount;
    private int openRequests;

    /** One message as its client sees it, over all its tries. */
    private static final class Message {
        final String origin;
        final Kind kind;
        final long key;
        final String idempotencyKey;
        final int destination;
        final long aim;
        final long deadline;
        int tries;

        Message(String origin, Kind kind, long key, String idempotencyKey, int destination, long now) {
            this.origin = origin;
            this.kind = kind;
            this.key = key;
            this.idempotencyKey = idempotencyKey;
            this.destination = destination;
            aim = now + kind.latencyObjectiveMicros();
            deadline = now + kind.deadlineMicros();
        }
    }

    public LoadClients(
            EventLoop loop,
            DeliveryHistory book,
            List<InetSocketAddress> senders,
            List<Kind> kinds,
            int destinations,
            long seed) {
        this.loop = loop;
        this.history = book;
        this.senders = List.copyOf(senders);
        active = senders.size();
        this.kinds = List.copyOf(kinds);
        this.destinations = destinations;
        random = new Random(seed);
        awayUntil = new long[senders.size()];
        connections = new int[senders.size()];
        senders.forEach(s -> idle.add(new ArrayDeque<>()));
    }

    /** Begins to ask, or goes on with another load. */
    public void run(Load next) {
        load = next;
        if (timer == null) {
            timer = loop.schedule(this::arrive, 0, TimeUnit.MICROSECONDS);
        }
    }

    /** So many requests may be in flight on one connection, and so many connections be open to one sender. */
    public void pipeline(int requests, int connections) {
        maxInFlight = requests;
        maxConnections = connections;
    }

    /** No connection to this sender is opened any more; open ones are used for as long as they last. */
    public void stopConnecting(int sender) {
        closedToNewConnections.add(sender);
    }

    /** Connections to this sender are opened again. */
    public void allowConnecting(int sender) {
        closedToNewConnections.remove(sender);
    }

    /** Does something right behind the next answer with which this sender accepts a message, once. */
    public void onNextAccepted(int sender, Runnable action) {
        onNextAccepted.put(sender, action);
    }

    /** Asks for nothing more; what was asked goes on. */
    public void pause() {
        load = null;
    }

    /** Messages whose clients still wait or will come again. */
    public int openRequests() {
        return openRequests;
    }

    /** All messages that were asked for, each counted once however often it was handed in. */
    public long submittedCount() {
        return submittedCount;
    }

    private void arrive() {
        if (load == null) {
            timer = null;
            return;
        }
        boolean clump = random.nextDouble() * load.burstSize() < load.burstShare();
        int destination = destination();
        for (int i = 0; i < (clump ? load.burstSize() : 1); i++) {
            submit(destination);
        }
        double rate =
                load.perSecond() * (1 - load.burstShare()) + load.perSecond() * load.burstShare() / load.burstSize();
        double mean = 1e6 / Math.max(0.001, clump || load.burstShare() == 0 ? load.perSecond() : rate);
        timer = loop.schedule(this::arrive, (long) (-Math.log(1 - random.nextDouble()) * mean), TimeUnit.MICROSECONDS);
    }

    /** A few destinations have most of the traffic. */
    private int destination() {
        return 1 + (int) (destinations * Math.pow(random.nextDouble(), 1.5));
    }

    private void submit(int destination) {
        double at =
                random.nextDouble() * kinds.stream().mapToDouble(Kind::share).sum();
        Kind kind = kinds.get(kinds.size() - 1);
        for (Kind k : kinds) {
            at -= k.share();
            if (at < 0) {
                kind = k;
                break;
            }
        }
        long key = kind.ordered() ? 1 + random.nextInt(load.keys()) : 0;
        String origin = "m" + Long.toHexString(nextId++);
        // A key stands for one policy: all its messages go to one destination.
        int to = kind.ordered() ? 1 + (int) (key % destinations) : destination;
        Message m = new Message(
                origin,
                kind,
                key,
                kind.effect() == DeliveryHistory.Effect.KEYED ? "k" + origin : "",
                to,
                TestEnvironment.micros());
        submittedCount++;
        openRequests++;
        if (kind.ordered()) {
            Deque<Message> line = waitingByKey.computeIfAbsent(key, k -> new ArrayDeque<>());
            line.add(m);
            if (line.size() > 1) {
                return;
            }
        }
        attempt(m);
    }

    private void attempt(Message m) {
        long now = TestEnvironment.micros();
        if (now >= m.deadline || m.tries >= maxAttempts()) {
            finish(m);
            return;
        }
        int sender = m.key != 0 ? senderOf(m.key) : choose(now);
        if (now < awayUntil[sender]) {
            retryLater(m, AWAY_MICROS / 1_000);
            return;
        }
        ClientConnection link = idle.get(sender).pollLast();
        if (link != null && link.channel.isActive()) {
            link.send(m);
        } else if (link != null) {
            attempt(m);
        } else if (closedToNewConnections.contains(sender)) {
            awayUntil[sender] = now + AWAY_MICROS;
            retryLater(m, RETRY_CONNECT_MILLIS);
        } else if (connections[sender] >= maxConnections) {
            retryLater(m, RETRY_CONNECT_MILLIS);
        } else {
            connect(m, sender);
        }
    }

    private int maxAttempts() {
        return load == null ? 8 : load.maxAttempts();
    }

    private int choose(long now) {
        int sender = random.nextInt(active);
        for (int i = 0; i < active && now < awayUntil[sender]; i++) {
            sender = (sender + 1) % active;
        }
        return sender;
    }

    /** A key moves only when the sender that it went to is gone for good. */
    private int senderOf(long key) {
        int home = senderByKey.computeIfAbsent(key, k -> (int) (k % senders.size()));
        if (home >= active) {
            home = (int) (key % active);
            senderByKey.put(key, home);
        }
        return home;
    }

    /** Only the first so many senders are there from now on; those that have left hold nothing any more. */
    public void useSenders(int count) {
        active = Math.max(1, Math.min(count, senders.size()));
    }

    private void connect(Message m, int sender) {
        ClientConnection link = new ClientConnection(sender);
        connections[sender]++;
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) ANSWER_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        link.channel = channel;
                        channel.closeFuture().addListener(closed -> connections[sender]--);
                        channel.pipeline().addLast(new LineBasedFrameDecoder(1_024), link);
                    }
                })
                .connect(senders.get(sender))
                .addListener(done -> {
                    if (done.isSuccess()) {
                        link.send(m);
                    } else {
                        // Nothing was written: whoever it was for has not seen it.
                        awayUntil[sender] = TestEnvironment.micros() + AWAY_MICROS;
                        retryLater(m, RETRY_CONNECT_MILLIS);
                    }
                });
    }

    private void retryLater(Message m, long millis) {
        loop.schedule(() -> attempt(m), millis, TimeUnit.MILLISECONDS);
    }

    /** Its client is done with it, whether it was taken on or not. */
    private void finish(Message m) {
        openRequests--;
        Deque<Message> line = waitingByKey.get(m.key);
        if (m.key != 0 && line != null && line.peekFirst() == m) {
            line.removeFirst();
            if (line.isEmpty()) {
                waitingByKey.remove(m.key);
            } else {
                attempt(line.peekFirst());
            }
        }
    }

    /** One try of a message on a connection. */
    private record Request(Message message, DeliveryHistory.Entry entry, Future<?> timeout) {}

    /** One connection to a sender, with at most {@link #maxInFlight} requests at a time. */
    private final class ClientConnection extends SimpleChannelInboundHandler<ByteBuf> {
        private final int sender;
        private final Deque<Request> inFlight = new ArrayDeque<>();
        private Channel channel;
        private boolean gaveUp;

        ClientConnection(int sender) {
            this.sender = sender;
        }

        void send(Message m) {
            m.tries++;
            long now = TestEnvironment.micros();
            // Told a little less than is left, as the time on the way is the client's.
            long left = (m.deadline - now) / 1_000;
            String id = m.origin + "." + m.tries;
            DeliveryHistory.Entry entry = history.submitted(
                    id,
                    m.origin,
                    m.kind.name(),
                    m.kind.effect(),
                    m.key,
                    m.kind.ordered(),
                    m.destination,
                    sender,
                    now + left * 1_000,
                    m.aim);
            Future<?> timeout = loop.schedule(this::giveUp, ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            inFlight.addLast(new Request(m, entry, timeout));
            channel.writeAndFlush(encode(m, id, left));
            if (!channel.isActive()) {
                // It ended between its choice and this write, perhaps with its last event behind it.
                channelInactive(null);
            } else if (inFlight.size() < maxInFlight) {
                idle.get(sender).addLast(this);
            }
        }

        private ByteBuf encode(Message m, String id, long leftMillis) {
            StringBuilder options =
                    new StringBuilder("c=" + m.kind.name() + ",d=" + leftMillis + ",dest=" + m.destination);
            if (!m.idempotencyKey.isEmpty()) {
                options.append(",k=").append(m.idempotencyKey);
            }
            if (m.tries > 1) {
                options.append(",r=1");
            }
            String body = String.format(Locale.ROOT, "%-" + BODY_BYTES + "s", "message " + id);
            String key = String.format(Locale.ROOT, "%016x", m.key);
            return Unpooled.wrappedBuffer(RespRequest.of("SUBMIT", key, id, options.toString(), body));
        }

        private void giveUp() {
            gaveUp = true;
            channel.close();
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
            Request request = inFlight.pollFirst();
            if (request == null) {
                context.close();
                return;
            }
            request.timeout().cancel(false);
            Deque<ClientConnection> usable = idle.get(sender);
            if (!usable.contains(this)) {
                if (usable.size() < MAX_IDLE_CONNECTIONS) {
                    usable.addLast(this);
                } else if (inFlight.isEmpty()) {
                    context.close();
                }
            }
            answered(request, line.toString(StandardCharsets.ISO_8859_1));
        }

        private void answered(Request request, String answer) {
            Message m = request.message();
            if (answer.startsWith("+")) {
                history.answered(request.entry(), DeliveryHistory.Answer.TAKEN);
                Runnable action = onNextAccepted.remove(sender);
                if (action != null) {
                    action.run();
                }
                finish(m);
            } else if (answer.startsWith("-BUSY")) {
                history.answered(request.entry(), DeliveryHistory.Answer.REFUSED);
                refused(m, answer);
            } else {
                history.answered(request.entry(), DeliveryHistory.Answer.ERROR);
                finish(m);
            }
        }

        private void refused(Message m, String answer) {
            String[] words = answer.split(" ");
            long told = words.length > 1 ? Long.parseLong(words[1]) : 0;
            if (m.key == 0 && told > 1_000) {
                // This one is away for long; any other will do.
                awayUntil[sender] = TestEnvironment.micros() + Math.min(told, 2_000) * 1_000;
                retryLater(m, BACKOFF_MILLIS);
            } else {
                retryLater(m, told > 0 ? told : BACKOFF_MILLIS);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            idle.get(sender).remove(this);
            while (!inFlight.isEmpty()) {
                Request request = inFlight.pollFirst();
                request.timeout().cancel(false);
                history.answered(
                        request.entry(), gaveUp ? DeliveryHistory.Answer.SILENT : DeliveryHistory.Answer.CLOSED);
                unanswered(request.message());
            }
        }

        /** It may have been taken on: only what may be repeated is handed in anew. */
        private void unanswered(Message m) {
            if (m.kind.effect() == DeliveryHistory.Effect.UNSAFE || m.kind.ordered()) {
                finish(m);
            } else {
                retryLater(m, BACKOFF_MILLIS);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
