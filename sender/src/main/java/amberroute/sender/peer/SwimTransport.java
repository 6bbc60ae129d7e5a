package amberroute.sender.peer;

import amberroute.membership.MembershipView;
import amberroute.membership.SwimMembership;
import amberroute.membership.SwimMessage;
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
 * decided by {@link SwimMembership}. One is taken from a configured peer's address only; what cannot be read is dropped without a
 * word. Lives on the event loop.
 */
public final class SwimTransport {
    private static final long STEP_MS = 20;

    private final EventLoop loop;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clock;
    private final Supplier<MembershipView.Phase> phase;
    private final SwimMembership swim;
    private Channel channel;

    /** {@code clock} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this one. */
    public SwimTransport(
            EventLoop loop,
            String name,
            String zone,
            Map<String, InetSocketAddress> peers,
            LongSupplier clock,
            long incarnation,
            Supplier<MembershipView.Phase> phase) {
        this.loop = loop;
        this.peers = Map.copyOf(peers);
        this.clock = clock;
        this.phase = phase;
        swim = new SwimMembership(name, zone, peers.keySet(), incarnation, new SplittableRandom());
    }

    SwimMembership view() {
        return swim;
    }

    /** Begins, on a socket that passes on what it hears; on the event loop. */
    public void start(Channel shared) {
        channel = shared;
        loop.scheduleWithFixedDelay(
                () -> {
                    swim.setPhase(phase.get());
                    send(swim.tick(clock.getAsLong()));
                },
                0,
                STEP_MS,
                TimeUnit.MILLISECONDS);
    }

    /** A datagram that is no heartbeat. */
    public void onDatagram(DatagramPacket packet) {
        SwimMessage probe = SwimMessage.decode(packet.content().nioBuffer());
        if (probe != null && packet.sender().equals(peers.get(probe.sender()))) {
            send(swim.onMessage(clock.getAsLong(), probe));
        }
    }

    private void send(List<SwimMembership.OutgoingMessage> out) {
        for (SwimMembership.OutgoingMessage o : out) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(
                        new DatagramPacket(Unpooled.wrappedBuffer(o.message().encode()), peers.get(o.recipient())));
            }
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
