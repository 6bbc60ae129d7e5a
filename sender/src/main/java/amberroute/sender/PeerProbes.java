package amberroute.sender;

import amberroute.membership.FleetView;
import amberroute.membership.Probe;
import amberroute.membership.Swim;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Carries the membership protocol's datagrams over UDP, on the heartbeats' socket where there is one. What they mean is
 * decided by {@link Swim}. One is taken from a configured peer's address only; what cannot be read is dropped without a
 * word. Lives on the event loop.
 */
final class PeerProbes {
    private static final long STEP_MS = 20;

    private final EventLoop loop;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clock;
    private final Supplier<FleetView.Phase> phase;
    private final Swim swim;
    private Channel channel;

    /** {@code clock} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this one. */
    PeerProbes(
            EventLoop loop,
            String name,
            String zone,
            Map<String, InetSocketAddress> peers,
            LongSupplier clock,
            long incarnation,
            Supplier<FleetView.Phase> phase) {
        this.loop = loop;
        this.peers = Map.copyOf(peers);
        this.clock = clock;
        this.phase = phase;
        swim = new Swim(name, zone, peers.keySet(), incarnation, new SplittableRandom());
    }

    Swim view() {
        return swim;
    }

    /** Begins, on a socket that passes on what it hears; on the event loop. */
    void begin(Channel shared) {
        channel = shared;
        loop.scheduleWithFixedDelay(
                () -> {
                    swim.phase(phase.get());
                    send(swim.tick(clock.getAsLong()));
                },
                0,
                STEP_MS,
                TimeUnit.MILLISECONDS);
    }

    /** A datagram that is no heartbeat. */
    void heard(DatagramPacket packet) {
        Probe probe = Probe.read(packet.content().nioBuffer());
        if (probe != null && packet.sender().equals(peers.get(probe.from()))) {
            send(swim.heard(clock.getAsLong(), probe));
        }
    }

    private void send(List<Swim.Out> out) {
        for (Swim.Out o : out) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(
                        new DatagramPacket(Unpooled.wrappedBuffer(o.probe().write()), peers.get(o.to())));
            }
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
