package amberroute.testkit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * Every way between so many processes on loopback, each direction on its own, TCP and UDP: a process knows each other by an
 * address of this net, and what it sends there arrives at the other from the address by which that one knows it. A way can be
 * cut for both kinds; datagrams can be lost, delayed, doubled and so put out of order. Owned by one event loop; every choice
 * comes from the seed.
 */
public final class FaultInjectionNetwork implements AutoCloseable {
    /** What befalls datagrams on all ways: shares that are lost and doubled, and a delay of up to so many microseconds. */
    public record LinkConditions(double loss, double duplicated, long maxDelayMicros) {
        public static final LinkConditions CLEAR = new LinkConditions(0, 0, 0);
    }

    private final class Link {
        final int from;
        final int to;
        final FaultProxy connections;
        Channel datagrams;
        boolean cut;

        Link(int from, int to, int port) throws InterruptedException {
            this.from = from;
            this.to = to;
            connections = new FaultProxy(loop, targets.get(to), seed + 97L * from + to).listen(port);
            datagrams = new Bootstrap()
                    .group(loop)
                    .channel(NioDatagramChannel.class)
                    .handler(new SimpleChannelInboundHandler<DatagramPacket>() {
                        @Override
                        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
                            pass(packet);
                        }

                        /** Whoever is away answers by an error of the network. */
                        @Override
                        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {}
                    })
                    .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                    .sync()
                    .channel();
        }

        private void pass(DatagramPacket packet) {
            passed++;
            if (cut || random.nextDouble() < conditions.loss()) {
                return;
            }
            for (int copies = random.nextDouble() < conditions.duplicated() ? 2 : 1; copies > 0; copies--) {
                packet.retain();
                long delay = conditions.maxDelayMicros() == 0
                        ? 0
                        : (long) (random.nextDouble() * conditions.maxDelayMicros());
                loop.schedule(
                        () -> {
                            Link back = links[to][from];
                            back.datagrams.writeAndFlush(new DatagramPacket(packet.content(), targets.get(to)));
                        },
                        delay,
                        TimeUnit.MICROSECONDS);
            }
        }

        /** Connections of either side lose what goes this way. */
        void cut(boolean on) {
            cut = on;
            connections.mute(true, on);
            links[to][from].connections.mute(false, on);
        }
    }

    private final EventLoop loop;
    private final List<InetSocketAddress> targets;
    private final Link[][] links;
    private final int firstPort;
    private final long seed;
    private final Random random;
    private LinkConditions conditions = LinkConditions.CLEAR;
    private long passed;

    /** {@code firstPort} begins as many free ports as there are ways, that is n times n. */
    FaultInjectionNetwork(EventLoop loop, List<InetSocketAddress> targets, int firstPort, long seed)
            throws InterruptedException {
        this.loop = loop;
        this.targets = List.copyOf(targets);
        this.firstPort = firstPort;
        this.seed = seed;
        random = new Random(seed);
        links = new Link[targets.size()][targets.size()];
        for (int a = 0; a < targets.size(); a++) {
            for (int b = 0; b < targets.size(); b++) {
                if (a != b) {
                    links[a][b] = new Link(a, b, port(a, b));
                }
            }
        }
    }

    private int port(int from, int to) {
        return firstPort + from * targets.size() + to;
    }

    /** By which one process knows another. */
    public String address(int from, int to) {
        return "127.0.0.1:" + port(from, to);
    }

    /** Cuts or heals one direction between two; on the event loop. */
    public void cut(int from, int to, boolean on) {
        links[from][to].cut(on);
    }

    /** Cuts or heals all between two sets of processes, both directions; on the event loop. */
    public void split(List<Integer> some, boolean on) {
        for (int a = 0; a < targets.size(); a++) {
            for (int b = 0; b < targets.size(); b++) {
                if (a != b && some.contains(a) != some.contains(b)) {
                    links[a][b].cut(on);
                }
            }
        }
    }

    /** From now on, on all ways; on the event loop. */
    public void conditions(LinkConditions next) {
        conditions = next;
    }

    /** Heals everything; on the event loop. */
    public void heal() {
        conditions = LinkConditions.CLEAR;
        for (Link[] from : links) {
            for (Link way : from) {
                if (way != null && way.cut) {
                    way.cut(false);
                }
            }
        }
    }

    /** Datagrams that were sent over any way. */
    public long passed() {
        return passed;
    }

    /** On the event loop. */
    @Override
    public void close() {
        List<Link> all = new ArrayList<>();
        for (Link[] from : links) {
            for (Link way : from) {
                if (way != null) {
                    all.add(way);
                }
            }
        }
        all.forEach(way -> {
            way.connections.close();
            way.datagrams.close();
        });
    }
}
