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
 * Carries the datagrams of SWIM membership over UDP, on the socket of the heartbeats. What they mean is decided by {@link SwimMembership}. One is
 * taken from a configured peer's address only; what cannot be read is dropped. Lives on the event loop.
 */
public final class SwimTransport {
    private static final long TICK_MILLIS = 20;

    private final EventLoop loop;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clockMicros;
    private final Supplier<MembershipView.Phase> phase;
    private final SwimMembership membership;
    /** The shared socket, null until {@link #start}. */
    private Channel channel;

    /**
     * {@code clockMicros} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this
     * one.
     */
    public SwimTransport(
            EventLoop loop,
            String name,
            String zone,
            Map<String, InetSocketAddress> peers,
            LongSupplier clockMicros,
            long incarnation,
            Supplier<MembershipView.Phase> phase) {
        this.loop = loop;
        this.peers = Map.copyOf(peers);
        this.clockMicros = clockMicros;
        this.phase = phase;
        membership = new SwimMembership(name, zone, peers.keySet(), incarnation, new SplittableRandom());
    }

    /** Who is alive, as far as this daemon can tell. */
    SwimMembership view() {
        return membership;
    }

    /** Begins, on a socket that passes on what it receives; on the event loop. */
    public void start(Channel shared) {
        channel = shared;
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        membership.setPhase(phase.get());
        send(membership.tick(clockMicros.getAsLong()));
    }

    /** A datagram that is no heartbeat; the packet stays the caller's. */
    public void onDatagram(DatagramPacket packet) {
        SwimMessage message = SwimMessage.decode(packet.content().nioBuffer());
        if (message != null && packet.sender().equals(peers.get(message.sender()))) {
            send(membership.onMessage(clockMicros.getAsLong(), message));
        }
    }

    private void send(List<SwimMembership.OutgoingMessage> messages) {
        for (SwimMembership.OutgoingMessage each : messages) {
            if (channel != null && channel.isActive()) {
                channel.writeAndFlush(new DatagramPacket(
                        Unpooled.wrappedBuffer(each.message().encode()), peers.get(each.recipient())));
            }
        }
    }

    void close() {
        if (channel != null) {
            channel.close();
        }
    }
}
