package amberroute.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Stands between a sender and anything it talks to, and spoils connections on the way: delay, resets after so many
 * bytes, halves that fall silent, cuts and slow reads. Bytes keep their order in each direction. A connection takes the
 * fault that holds when it opens, but for {@link #cut}, which ends or silences all that are open. Owned by one event
 * loop; every choice comes from the seed. Each connection holds what waits out its delay, 1 MiB in each direction at
 * most, and then is not read on.
 */
public final class FaultProxy {
    /**
     * {@code delay} is added to each read in microseconds, with as much again at random; the connection is reset by both
     * sides after {@code resetAfter} bytes towards the target, or its answers vanish after {@code deafAfter} bytes
     * towards the client (-1: never); {@code readPause} microseconds pass between two reads from the client.
     */
    public record Fault(long delayMicros, long resetAfterBytes, long deafAfterBytes, long readPauseMicros) {
        public static final Fault NONE = new Fault(0, -1, -1, 0);

        public static Fault delayed(long micros) {
            return new Fault(micros, -1, -1, 0);
        }

        public static Fault resetAfter(long bytes) {
            return new Fault(0, bytes, -1, 0);
        }

        /** Half-open: what is sent arrives, what comes back vanishes. */
        public static Fault deafAfter(long bytes) {
            return new Fault(0, -1, bytes, 0);
        }

        public static Fault slowReads(long micros) {
            return new Fault(0, -1, -1, micros);
        }
    }

    /** What {@link #cut} does to open connections and new ones. */
    public enum Cut {
        NONE,
        RESET,
        SILENT
    }

    private static final long MAX_BUFFERED_BYTES = 1 << 20;

    private final EventLoop loop;
    private final InetSocketAddress target;
    private final Random random;
    private final Set<Pair> pairs = new LinkedHashSet<>();
    private Channel server;
    private Fault fault = Fault.NONE;
    private Cut cut = Cut.NONE;
    /** Whether bytes towards the target, and those back, vanish. */
    private final boolean[] muted = new boolean[2];

    private long accepted;

    public FaultProxy(EventLoop loop, InetSocketAddress target, long seed) {
        this.loop = loop;
        this.target = target;
        random = new Random(seed);
    }

    /** Binds any port of loopback. */
    public FaultProxy listen() throws InterruptedException {
        return listen(0);
    }

    /** Binds this port of loopback. */
    public FaultProxy listen(int port) throws InterruptedException {
        server = new ServerBootstrap()
                .group(loop, loop)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel client) {
                        accepted++;
                        if (cut == Cut.RESET) {
                            reset(client);
                            return;
                        }
                        Pair pair = new Pair(client, fault);
                        pairs.add(pair);
                        client.pipeline().addLast(pair.side(true));
                        pair.open();
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .sync()
                .channel();
        return this;
    }

    public String address() {
        return "127.0.0.1:" + ((InetSocketAddress) server.localAddress()).getPort();
    }

    /** For connections that open from now on; on the event loop. */
    public void fault(Fault next) {
        fault = next;
    }

    /** Ends or silences all that is open and all that will be, until NONE; on the event loop. */
    public void cut(Cut next) {
        cut = next;
        if (next == Cut.RESET) {
            List.copyOf(pairs).forEach(Pair::resetBoth);
        } else if (next == Cut.NONE) {
            // What was silent has lost bytes: nothing sensible can follow on it.
            List.copyOf(pairs).stream().filter(p -> p.lost).forEach(Pair::resetBoth);
        }
    }

    /**
     * Lets all bytes of one direction vanish, on open connections and new ones, or no more; then what has lost some is reset.
     * On the event loop.
     */
    public void mute(boolean towardsTarget, boolean on) {
        muted[towardsTarget ? 0 : 1] = on;
        if (!on) {
            List.copyOf(pairs).stream().filter(p -> p.lost).forEach(Pair::resetBoth);
        }
    }

    /** Connections that were accepted. */
    public long accepted() {
        return accepted;
    }

    void close() {
        server.close();
        List.copyOf(pairs).forEach(Pair::resetBoth);
    }

    private static void reset(Channel channel) {
        if (channel != null && channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }

    /** Bytes that are to be handed on at a moment of the monotonic clock, in nanoseconds. */
    private record Delayed(ByteBuf bytes, long due) {}

    private final class Pair {
        private final Channel client;
        private final Fault fault;
        private Channel server;
        private final long[] passed = new long[2];
        private final long[] waiting = new long[2];
        private final long[] lastDue = new long[2];
        private final List<Deque<Delayed>> delayed = List.of(new ArrayDeque<>(), new ArrayDeque<>());
        private boolean lost;

        Pair(Channel client, Fault fault) {
            this.client = client;
            this.fault = fault;
        }

        void open() {
            new Bootstrap()
                    .group(loop)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.AUTO_READ, false)
                    .handler(new ChannelInitializer<Channel>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            server = channel;
                            channel.pipeline().addLast(side(false));
                        }
                    })
                    .connect(target)
                    .addListener(done -> {
                        if (done.isSuccess()) {
                            client.read();
                            server.read();
                        } else {
                            resetBoth();
                        }
                    });
        }

        void resetBoth() {
            pairs.remove(this);
            reset(client);
            reset(server);
        }

        ChannelInboundHandlerAdapter side(boolean fromClient) {
            return new ChannelInboundHandlerAdapter() {
                @Override
                public void channelRead(ChannelHandlerContext context, Object message) {
                    take(fromClient, (ByteBuf) message);
                }

                @Override
                public void channelReadComplete(ChannelHandlerContext context) {
                    int side = fromClient ? 0 : 1;
                    if (fromClient && fault.readPauseMicros() > 0) {
                        loop.schedule(() -> context.read(), fault.readPauseMicros(), TimeUnit.MICROSECONDS);
                    } else if (waiting[side] < MAX_BUFFERED_BYTES) {
                        context.read();
                    }
                }

                @Override
                public void channelInactive(ChannelHandlerContext context) {
                    // Behind all that still waits in this direction, as on a real way.
                    loop.schedule(
                            () -> {
                                pairs.remove(Pair.this);
                                Channel other = fromClient ? server : client;
                                if (other != null && cut != Cut.SILENT && !lost) {
                                    other.close();
                                }
                            },
                            Math.max(0, lastDue[fromClient ? 0 : 1] - System.nanoTime()),
                            TimeUnit.NANOSECONDS);
                }

                @Override
                public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                    context.close();
                }
            };
        }

        private void take(boolean fromClient, ByteBuf bytes) {
            int side = fromClient ? 0 : 1;
            int size = bytes.readableBytes();
            if (cut == Cut.SILENT
                    || muted[side]
                    || !fromClient && fault.deafAfterBytes() >= 0 && passed[1] + size > fault.deafAfterBytes()) {
                lost = true;
                ReferenceCountUtil.release(bytes);
                return;
            }
            if (fromClient && fault.resetAfterBytes() >= 0 && passed[0] + size > fault.resetAfterBytes()) {
                ByteBuf part =
                        bytes.readRetainedSlice(Math.toIntExact(Math.max(0, fault.resetAfterBytes() - passed[0])));
                ReferenceCountUtil.release(bytes);
                server.writeAndFlush(part).addListener(sent -> resetBoth());
                return;
            }
            passed[side] += size;
            waiting[side] += size;
            long wait = fault.delayMicros() == 0 ? 0 : (long) (fault.delayMicros() * (1 + random.nextDouble())) * 1_000;
            lastDue[side] = Math.max(System.nanoTime() + wait, lastDue[side]);
            delayed.get(side).add(new Delayed(bytes, lastDue[side]));
            if (delayed.get(side).size() == 1) {
                pass(side);
            }
        }

        /** Hands on what is due, in order; one timer at a time waits for the next. */
        private void pass(int side) {
            Deque<Delayed> line = delayed.get(side);
            while (!line.isEmpty()) {
                long left = line.peekFirst().due() - System.nanoTime();
                if (left > 0) {
                    loop.schedule(() -> pass(side), left, TimeUnit.NANOSECONDS);
                    return;
                }
                ByteBuf bytes = line.removeFirst().bytes();
                boolean full = waiting[side] >= MAX_BUFFERED_BYTES;
                waiting[side] -= bytes.readableBytes();
                (side == 0 ? server : client).writeAndFlush(bytes);
                if (full && waiting[side] < MAX_BUFFERED_BYTES) {
                    (side == 0 ? client : server).read();
                }
            }
        }
    }
}
