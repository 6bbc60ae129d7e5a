package sumacferry.net;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;

/** Serves clients: reads what they hand in and gives each request its answer, in order. */
final class ClientServer {
    private static final int LONGEST_NAME = 128;
    private static final int MOST_WAITING = 64;

    /** A message as handed in; {@code timeLeft} in milliseconds. */
    record Submission(long key, String id, String className, long timeLeft, int destination,
            String idempotencyKey, byte[] body) { }

    /** Takes submissions on; each gets exactly one answer. */
    interface Acceptor {
        void submitted(Submission submission, Reply reply);
    }

    private final EventLoop loop;
    private final Acceptor acceptor;
    private final int mostConnections;
    private final Set<String> classNames;
    private final Set<Session> sessions = new LinkedHashSet<>();
    private Channel server;

    ClientServer(EventLoop loop, Acceptor acceptor, int mostConnections, List<String> classNames) {
        this.loop = loop;
        this.acceptor = acceptor;
        this.mostConnections = mostConnections;
        this.classNames = Set.copyOf(classNames);
    }

    /** Binds; from then on the sender is ready. Returns the address bound, as port 0 takes any. */
    InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
        server = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Resp(), new Session());
                    }
                }).bind(address).sync().channel();
        return (InetSocketAddress) server.localAddress();
    }

    /** Takes no new connections. */
    void stopListening() {
        server.close();
    }

    /** Ends connections between requests, so that their clients turn to other senders. */
    void closeIdle() {
        for (Session session : List.copyOf(sessions)) {
            if (session.waiting.isEmpty()) {
                session.channel.close();
            }
        }
    }

    /** The place of one answer in its connection's order. */
    static final class Reply {
        private final Session session;
        private String text;
        private boolean last;

        Reply(Session session) {
            this.session = session;
        }

        /** Whether anybody still waits: what a client that has left handed in counts for nothing. */
        boolean wanted() {
            return session.channel.isActive();
        }

        void ok() {
            give("+OK\r\n");
        }

        /** The advice is in milliseconds, 0 for none. */
        void busy(long after) {
            give(after > 0 ? "-BUSY " + after + "\r\n" : "-BUSY\r\n");
        }

        void error(String reason) {
            give("-ERR " + reason + "\r\n");
        }

        private void give(String answer) {
            text = answer;
            session.flush();
        }
    }

    private final class Session extends SimpleChannelInboundHandler<Resp.Request> {
        private final Deque<Reply> waiting = new ArrayDeque<>();
        private Channel channel;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            sessions.add(this);
            if (sessions.size() > mostConnections) {
                sessions.stream().filter(s -> s.waiting.isEmpty() && s != this).findFirst()
                        .ifPresentOrElse(s -> s.channel.close(), channel::close);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            sessions.remove(this);
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, Resp.Request request) {
            // Order of last use, so that the connection idle for longest goes first when there are too many.
            sessions.remove(this);
            sessions.add(this);
            Reply reply = new Reply(this);
            waiting.add(reply);
            if (waiting.size() > MOST_WAITING) {
                context.channel().config().setAutoRead(false);
            }
            reply.last = request.fatal();
            if (request.error() != null) {
                reply.error(request.error());
                return;
            }
            command(request.values(), reply);
        }

        private void command(List<byte[]> values, Reply reply) {
            String name = values.isEmpty() ? "" : text(values.get(0)).toUpperCase(Locale.ROOT);
            switch (name) {
                case "PING" -> reply.give("+PONG\r\n");
                case "SUBMIT" -> {
                    Submission submission;
                    try {
                        submission = parse(values);
                    } catch (IllegalArgumentException e) {
                        reply.error(e.getMessage());
                        return;
                    }
                    acceptor.submitted(submission, reply);
                }
                default -> reply.error("unknown command");
            }
        }

        private void flush() {
            boolean written = false;
            while (!waiting.isEmpty() && waiting.peek().text != null) {
                Reply reply = waiting.poll();
                var sent = channel.write(Unpooled.copiedBuffer(reply.text, StandardCharsets.ISO_8859_1));
                if (reply.last) {
                    sent.addListener(ChannelFutureListener.CLOSE);
                }
                written = true;
            }
            if (written) {
                channel.flush();
                if (waiting.size() <= MOST_WAITING) {
                    channel.config().setAutoRead(true);
                }
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // ---- SUBMIT. ----

    private Submission parse(List<byte[]> values) {
        require(values.size() == 5, "SUBMIT takes key, id, names and values, body");
        String id = text(values.get(2));
        require(!id.isEmpty() && printable(id), "bad id");
        Map<String, String> options = new HashMap<>();
        for (String pair : text(values.get(3)).split(",")) {
            int eq = pair.indexOf('=');
            require(eq > 0, "bad option " + (printable(pair) ? pair : ""));
            options.put(pair.substring(0, eq), pair.substring(eq + 1));
        }
        String className = options.getOrDefault("c", "");
        require(classNames.contains(className), "unknown class");
        String idempotencyKey = options.getOrDefault("k", "");
        require(printable(idempotencyKey), "bad idempotency key");
        long timeLeft = number(options.get("d"), "d", Integer.MAX_VALUE);
        int destination = (int) number(options.get("dest"), "dest", 0xffff);
        return new Submission(key(text(values.get(1))), id, className, timeLeft, destination, idempotencyKey,
                values.get(4));
    }

    private static String text(byte[] value) {
        require(value.length <= 1_024, "too long a word");
        return new String(value, StandardCharsets.ISO_8859_1);
    }

    private static boolean printable(String word) {
        return word.length() <= LONGEST_NAME && word.chars().allMatch(c -> c > ' ' && c < 127);
    }

    private static long key(String text) {
        try {
            return Long.parseUnsignedLong(text, 16);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("bad key");
        }
    }

    private static long number(String text, String name, long most) {
        try {
            double value = Double.parseDouble(text == null ? "" : text);
            require(value >= 0 && value <= most, "bad number " + name);
            return (long) value;
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("bad number " + name);
        }
    }

    private static void require(boolean holds, String reason) {
        if (!holds) {
            throw new IllegalArgumentException(reason);
        }
    }
}
