package amberroute.sender.client;

import amberroute.sender.util.Log;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.Future;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** Serves clients: reads what they hand in and gives each request its answer, in order. */
public final class ClientServer {
    /** Share of the connections that those have which have not sent a good request yet. */
    private static final double NEWCOMERS = 0.25;
    /** With so many requests unanswered a connection is not read on; with more, all from one read, it ends. */
    private static final int MANY_WAITING = 64;

    private static final int MOST_WAITING = 4_096;
    /** For the first request of a connection, and from the first byte of each later one. */
    private static final long REQUEST_MS = 2_000;
    /** A connection without a request is closed after this. */
    private static final long IDLE_MS = 60_000;
    /**
     * With more than this share of the places taken, those that have been without a request for longest are closed
     * after a moment: clients may hold only so many, and where each message brings a connection that stays, the next
     * message would wait for a place. It covers clients that leak connections too. Harm: clients that ask seldom
     * connect anew when there are many.
     */
    private static final double COMFORTABLE = 0.33;

    private static final long SPARED_MS = 250;
    private static final long SWEEP_MS = 100;
    /** Connections in use so lately are closed behind their next answer rather than at once: that request may be on its way. */
    private static final long DRAINING_IDLE_MS = 250;
    /** After a request that makes no sense the next is read only after a pause, doubled with each in a row. */
    private static final long PAUSE_MS = 50;
    /** Until accepting is tried again behind a failure: short beside what clients wait, long beside what a try costs. */
    private static final long ACCEPT_PAUSE_MS = 10;

    private static final int MOST_BAD = 16;
    /** A connection that ends is read on, so that what was written to it arrives, but only for so many bytes. */
    private static final long LINGER_BYTES = 1 << 18;
    /** Part of the places that is left to connections which have ended and linger, so that they can while newcomers come. */
    private static final int LINGERING = 8;
    /** So many looks of the loop at most go by until nobody waits to be accepted any more, and the door is shut. */
    private static final int MOST_LOOKS = 64;

    /** A message as handed in; {@code timeLeft} in milliseconds, as of now: what it may have waited unread is off. */
    public record Submission(
            long key, String id, String className, long timeLeft, int destination, String idempotencyKey, byte[] body) {
        /** The same so many milliseconds later. */
        public Submission after(long passed) {
            return new Submission(
                    key, id, className, Math.max(0, timeLeft - passed), destination, idempotencyKey, body);
        }
    }

    /** Takes submissions on; each gets exactly one answer. */
    public interface Acceptor {
        void submitted(Submission submission, Answer answer);
    }

    /** Where the one answer to a request goes. */
    public abstract static class Answer {
        /** Whether anybody still waits: what a client that has left handed in counts for nothing. */
        public abstract boolean wanted();

        /** Gives the answer, a whole line as the protocol has it. */
        public abstract void line(String text);

        public void ok() {
            line("+OK\r\n");
        }

        /** The advice is in milliseconds, 0 for none. */
        public void busy(long after) {
            line(after > 0 ? "-BUSY " + after + "\r\n" : "-BUSY\r\n");
        }

        public void error(String reason) {
            line("-ERR " + reason + "\r\n");
        }
    }

    private final EventLoop loop;
    private final Acceptor acceptor;
    private final int mostOpen;
    private final int mostConnections;
    private final OrderlyClose closing;
    private Set<String> classNames = Set.of();
    private final RespDecoder.Room room;
    private QueueingDelay queueingDelay;
    /** Null where this process listens itself: clients were refused while nobody did. */
    private OutageBacklog backlog;
    /** Those that have sent a good request, in the order of last use, and those that have not, by age. */
    private final Set<Session> usual = new LinkedHashSet<>();

    private final Set<Session> unproven = new LinkedHashSet<>();
    private Channel server;
    /** The socket is another process's too, or will be. */
    private boolean passedDown;
    /** Whether who connects is accepted here, but for moments in which that fails. */
    private boolean accepting = true;

    private boolean retiring;
    private boolean drained;
    /** Nobody is accepted any more but those who wait already. */
    private boolean shutting;

    private final long created = System.nanoTime();
    /** Up to when another process served the same socket, where that is known. */
    private OptionalLong servedUntil = OptionalLong.empty();
    /** How many were ever accepted. */
    private long accepted;
    /** Requests that were read and not handed on, as their clients had given up waiting and closed. */
    private long abandoned;

    public ClientServer(EventLoop loop, Acceptor acceptor, int mostConnections, long roomBytes) {
        this.loop = loop;
        this.acceptor = acceptor;
        mostOpen = mostConnections;
        this.mostConnections = Math.max(1, mostConnections - mostConnections / LINGERING);
        closing = new OrderlyClose(loop);
        room = new RespDecoder.Room(roomBytes);
        queueingDelay = new QueueingDelay(System.nanoTime());
    }

    /** Messages of these classes are taken from now on. */
    public void classes(Set<String> names) {
        classNames = names;
    }

    /** Binds; from then on the sender is ready. Returns the address bound, as port 0 takes any. */
    public InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        // Nobody can have waited before there was anywhere to connect to.
        queueingDelay = new QueueingDelay(System.nanoTime());
        server = bootstrap()
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .bind(address)
                .sync()
                .channel();
        return listening();
    }

    /** To be called before {@link #listen(ServerSocketChannel)}: another process served clients up to this monotonic moment, in nanoseconds. */
    public void servedUntil(long moment) {
        servedUntil = OptionalLong.of(moment);
    }

    /**
     * Takes clients from a socket that listens already, perhaps for other processes too. Its queue outlives processes, so those in it
     * may have waited since before this one began.
     */
    public InetSocketAddress listen(ServerSocketChannel inherited) throws InterruptedException {
        passedDown = true;
        long now = System.nanoTime();
        queueingDelay = new QueueingDelay(now - TimeUnit.MILLISECONDS.toNanos(QueueingDelay.CLIENT_TIMEOUT_MS));
        backlog = new OutageBacklog(created, now);
        servedUntil.ifPresent(backlog::servedUntil);
        server = bootstrap()
                .channelFactory(() -> new NioServerSocketChannel(inherited))
                .register()
                .sync()
                .channel();
        return listening();
    }

    private ServerBootstrap bootstrap() {
        return new ServerBootstrap()
                .group(loop, loop)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .handler(new Accepted())
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        RespDecoder resp = new RespDecoder(room);
                        channel.pipeline().addLast(resp, new Session(resp, queueingDelay.accepted()));
                    }
                });
    }

    /** Tells how long connections may have waited to be accepted, and goes on where accepting one fails. */
    private final class Accepted extends ChannelInboundHandlerAdapter {
        /**
         * Netty's own way is to accept nobody for a second, which is longer than clients wait. A connection that was aborted concerns
         * nobody else; with no descriptor or buffer left the others wait in the queue, and looking for them at once would spin.
         */
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            Log.warn("accept: failed, tried again in " + ACCEPT_PAUSE_MS + " ms: " + cause.getMessage());
            context.channel().config().setAutoRead(false);
            loop.schedule(
                    () -> context.channel().config().setAutoRead(accepting), ACCEPT_PAUSE_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            accepted++;
            context.fireChannelRead(message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            queueingDelay.batchDone(context.channel().metadata().defaultMaxMessagesPerRead());
            context.fireChannelReadComplete();
        }
    }

    private InetSocketAddress listening() {
        loop.scheduleWithFixedDelay(
                () -> queueingDelay.tick(System.nanoTime()),
                QueueingDelay.TICK_MS,
                QueueingDelay.TICK_MS,
                TimeUnit.MILLISECONDS);
        loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
        return (InetSocketAddress) server.localAddress();
    }

    /**
     * Another process takes this one's place: it accepts no more, without closing the socket, which is the other's too.
     * Connections close behind their next answer; those on which nobody asks are left to {@link #retireSome}.
     */
    public void retire() {
        retiring = true;
        accept(false);
    }

    private void accept(boolean wanted) {
        accepting = wanted;
        server.config().setAutoRead(wanted);
    }

    /** Serves on after {@link #retire}: connections stay, and new ones are accepted. */
    public void resume() {
        retiring = false;
        accept(true);
    }

    /** Connections close behind their next answer, as this process leaves; new ones are still told so. */
    public void retireAnswered() {
        retiring = true;
    }

    /** Closes so many connections on which nobody waits, the longest idle first. */
    public void retireSome(int most) {
        retireSome(most, 0);
    }

    /** The same, but for those in use within so many milliseconds: a request may be on its way. */
    public void retireSome(int most, long idle) {
        long since = System.nanoTime() - idle * 1_000_000;
        Stream.concat(unproven.stream(), usual.stream())
                .filter(s -> s.resting() && s.lastUse - since <= 0)
                .limit(most)
                .toList()
                .forEach(Session::leave);
    }

    /** To be called again and again while the process ends: lets go of connections as {@code draining} says. */
    public void drain(ConnectionDraining draining, long now) {
        if (!draining.begun(now) || drained) {
            return;
        }
        if (passedDown) {
            // Those who connect now wait for the process that takes this one's place.
            accept(false);
        } else {
            closeDoor();
        }
        retiring = true;
        if (draining.over(now)) {
            // What has come of a next request cannot be answered any more; its client sends it once more.
            Stream.concat(unproven.stream(), usual.stream())
                    .filter(s -> s.waiting.isEmpty())
                    .toList()
                    .forEach(Session::leave);
            drained = connections() == 0;
            if (drained) {
                Log.warn("draining: all connections of clients are closed");
            }
        } else {
            retireSome(draining.surplus(now, connections()), DRAINING_IDLE_MS);
        }
    }

    /**
     * Takes no new connection from now on. Whoever is connected and waits to be accepted would be reset with the socket: they are
     * accepted first.
     */
    public void closeDoor() {
        if (server != null && !shutting) {
            shutting = true;
            closeDoorBehind(accepted, MOST_LOOKS);
        }
    }

    /** Looks once more for who waits; where nobody has come by that, or after so many looks, the socket closes. */
    private void closeDoorBehind(long before, int looks) {
        loop.schedule(
                () -> {
                    if (accepted == before || looks == 0) {
                        server.close();
                    } else {
                        closeDoorBehind(accepted, looks - 1);
                    }
                },
                1,
                TimeUnit.MILLISECONDS);
    }

    /** Closes the connections on which nobody waits; a client whose request crosses that sends it once more. */
    public void closeIdle() {
        Stream.concat(unproven.stream(), usual.stream())
                .filter(s -> s.waiting.isEmpty())
                .toList()
                .forEach(Session::leave);
    }

    private void sweep() {
        long now = System.nanoTime();
        double over = usual.size() - COMFORTABLE * mostConnections;
        for (Session session : List.copyOf(usual)) {
            if (now - session.lastUse < (over > 0 ? SPARED_MS : IDLE_MS) * 1_000_000) {
                return;
            }
            if (session.resting()) {
                session.leave();
                over--;
            }
        }
    }

    /**
     * One too many: first goes who has never sent a good request, then who has sent none for longest; but newcomers
     * have some places that the usual, idle for good, cannot fill, else they would push out each other. Whoever has begun
     * a request goes behind all who rest. It is forgotten here, as its end is told only after this pass of the loop, in
     * which many more may have come.
     */
    private void makeRoom(Session latest) {
        boolean crowd = unproven.size() > mostConnections * NEWCOMERS;
        List<Session> unanswered = Stream.concat(
                        crowd ? unproven.stream() : usual.stream(), crowd ? usual.stream() : unproven.stream())
                .filter(s -> s.waiting.isEmpty() && s != latest)
                .toList();
        unanswered.stream()
                .filter(Session::resting)
                .findFirst()
                .or(() -> unanswered.stream().findFirst())
                .orElse(latest)
                .leave();
    }

    /** Requests so far whose clients had given up before they were read. */
    public long abandoned() {
        return abandoned;
    }

    /** Connections that are served. */
    public int connections() {
        return unproven.size() + usual.size();
    }

    /** Connections that are served, and those that have ended and linger until their clients have read what they were told. */
    public int open() {
        return connections() + closing.lingering();
    }

    /** The place of one answer in its connection's order. */
    private static final class Reply extends Answer {
        private final Session session;
        private String text;
        private boolean last;
        /** Of the message that this answers, 0 for none. */
        private long key;

        Reply(Session session) {
            this.session = session;
        }

        @Override
        public boolean wanted() {
            return session.channel.isActive();
        }

        @Override
        public void line(String answer) {
            text = answer;
            session.answered(key);
            session.flush();
        }
    }

    private final class Session extends SimpleChannelInboundHandler<RespDecoder.Request> {
        private final Deque<Reply> waiting = new ArrayDeque<>();
        private final RespDecoder resp;
        private Channel channel;
        private long lastUse = System.nanoTime();
        private Future<?> deadline;
        private int bad;
        private boolean paused;
        private boolean ending;

        /** Since when what it reads next may have waited, 0 where only the loop's own lag counts. */
        private long unread;

        private long stopped;

        Session(RespDecoder resp, long unread) {
            this.resp = resp;
            this.unread = unread;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            unproven.add(this);
            startDeadline();
            if (connections() > mostConnections) {
                makeRoom(this);
            }
            if (open() > mostOpen) {
                closing.closeOldest();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            forget();
            stopDeadline();
        }

        private void forget() {
            unproven.remove(this);
            usual.remove(this);
        }

        /** Ends the connection behind what was written to it; nothing that still comes is read as a request. */
        private void leave() {
            ending = true;
            stopDeadline();
            resp.stop();
            forget();
            closing.close((SocketChannel) channel);
        }

        /** Between requests: it owes no answer, and nothing of a next one has come. */
        private boolean resting() {
            return waiting.isEmpty() && !resp.unfinished();
        }

        private void leaveIfResting() {
            if (!ending && resting()) {
                leave();
            }
        }

        private void startDeadline() {
            deadline = loop.schedule(this::outOfTime, REQUEST_MS, TimeUnit.MILLISECONDS);
        }

        /** An error is said of a request that has begun; with none, one that crosses the end would take it for its answer. */
        private void outOfTime() {
            if (resp.unfinished()) {
                end("no whole request in time");
            } else {
                leave();
            }
        }

        private void stopDeadline() {
            if (deadline != null) {
                deadline.cancel(false);
                deadline = null;
            }
        }

        /** Ends the connection with an error behind what is still owed on it. */
        private void end(String reason) {
            if (!ending) {
                Reply reply = new Reply(this);
                waiting.add(reply);
                endWith(reply, reason);
            }
        }

        private void endWith(Reply reply, String reason) {
            ending = true;
            stopDeadline();
            resp.stop();
            reply.last = true;
            reply.error(reason);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, RespDecoder.Request request) {
            if (ending || !channel.isActive()) {
                return;
            }
            stopDeadline();
            Reply reply = new Reply(this);
            waiting.add(reply);
            if (request.fatal()) {
                endWith(reply, request.error());
            } else if (waiting.size() > MOST_WAITING) {
                endWith(reply, "too many requests at once");
            } else {
                if (waiting.size() > MANY_WAITING) {
                    unreadFromNow();
                }
                command(request.values(), reply);
            }
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            unread = channel.config().isAutoRead() ? 0 : stopped;
            if (ending && resp.discarded() > LINGER_BYTES) {
                if (waiting.isEmpty()) {
                    context.close();
                } else {
                    channel.config().setAutoRead(false);
                }
            } else if (!ending && deadline == null && resp.unfinished()) {
                startDeadline();
            }
        }

        private void command(List<byte[]> values, Reply reply) {
            try {
                String name = values.isEmpty()
                        ? ""
                        : SubmitCommand.text(values.get(0)).toUpperCase(Locale.ROOT);
                switch (name) {
                    case "PING" -> {
                        good();
                        reply.line("+PONG\r\n");
                    }
                    case "SUBMIT" -> {
                        long waited = queueingDelay.millis(unread, System.nanoTime());
                        Submission told = SubmitCommand.parse(values, classNames);
                        Submission submission = told.after(Math.max(waited, waitedInClient(told.key())));
                        reply.key = submission.key();
                        good();
                        if (waited < QueueingDelay.CLIENT_TIMEOUT_MS) {
                            acceptor.submitted(submission, reply);
                        } else {
                            outageStillFelt();
                            submitIfStillConnected(submission, reply);
                        }
                    }
                    default -> throw new IllegalArgumentException("unknown command");
                }
            } catch (IllegalArgumentException e) {
                bad(reply, e.getMessage());
            }
        }

        /**
         * Hands a request on whose client has probably given up: behind a restart most of the accept queue is such connections, and
         * work on them would keep those behind them waiting until they give up too. The end of a connection is read one pass of the
         * loop behind its last request; the inner task runs in the next pass, behind what that one reads.
         */
        private void submitIfStillConnected(Submission submission, Reply reply) {
            long read = System.nanoTime();
            loop.execute(() -> loop.schedule(
                    () -> {
                        if (reply.wanted()) {
                            long passed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - read);
                            acceptor.submitted(submission.after(passed), reply);
                        } else {
                            abandoned++;
                        }
                    },
                    0,
                    TimeUnit.MILLISECONDS));
        }

        private void good() {
            bad = 0;
            lastUse = System.nanoTime();
            unproven.remove(this);
            usual.remove(this);
            usual.add(this);
        }

        /** A client that sends the same again as soon as it is turned away must not take the others' time. */
        private void bad(Reply reply, String reason) {
            if (++bad >= MOST_BAD) {
                endWith(reply, reason);
                return;
            }
            reply.error(reason);
            if (!paused) {
                paused = true;
                unreadFromNow();
                loop.schedule(
                        () -> {
                            paused = false;
                            channel.config().setAutoRead(true);
                        },
                        PAUSE_MS << Math.min(bad - 1, 4),
                        TimeUnit.MILLISECONDS);
            }
        }

        /** What comes from here on waits until reading goes on. */
        private void unreadFromNow() {
            stopped = channel.config().isAutoRead() ? System.nanoTime() : stopped;
            channel.config().setAutoRead(false);
        }

        private void answered(long key) {
            if (backlog != null) {
                backlog.answered(System.nanoTime(), key);
            }
        }

        private long waitedInClient(long key) {
            return backlog == null ? 0 : backlog.millis(System.nanoTime(), key);
        }

        private void outageStillFelt() {
            if (backlog != null) {
                backlog.stillFelt(System.nanoTime());
            }
        }

        private void flush() {
            boolean wrote = false;
            boolean last = false;
            while (!waiting.isEmpty() && waiting.peek().text != null) {
                Reply reply = waiting.poll();
                wrote = true;
                channel.write(Unpooled.copiedBuffer(reply.text, StandardCharsets.ISO_8859_1));
                last = reply.last;
            }
            if (wrote) {
                channel.flush();
                if (last) {
                    leave();
                } else if (retiring) {
                    // Behind what this pass has read: a request that came with the answered one is owed an answer too.
                    loop.execute(this::leaveIfResting);
                }
                if (!paused && !ending && waiting.size() <= MANY_WAITING && channel.isWritable()) {
                    channel.config().setAutoRead(true);
                }
            }
        }

        /** A client that does not read its answers is not read either. */
        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (!paused && !channel.isWritable()) {
                unreadFromNow();
            } else if (!paused) {
                channel.config().setAutoRead(true);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
