package amberroute.sender.peer;

import amberroute.membership.Heartbeat;
import amberroute.membership.HeartbeatMonitor;
import amberroute.membership.MembershipView;
import amberroute.quota.SlowStartLimits;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntToDoubleFunction;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Carries heartbeats between daemons over UDP: who is alive, how each sees destinations, and quota loans, and passes on the rate limits that
 * follow. What they mean is decided in {@code membership} and {@code quota}. A heartbeat is taken from a configured peer's address only;
 * what cannot be read is dropped. Lives on the event loop.
 */
public final class HeartbeatTransport {
    private static final long TICK_MILLIS = 50;

    private final EventLoop loop;
    private final String name;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clockMicros;
    private final HeartbeatMonitor heartbeats;
    private final SlowStartLimits limits;
    private final Supplier<MembershipView.Phase> phase;
    private final IntToDoubleFunction pendingMessages;
    private final Consumer<SlowStartLimits.RateLimit> rateLimits;
    private Channel channel;
    private boolean announcementDue;
    /** Takes what is no heartbeat; null where nobody wants it. */
    private Consumer<DatagramPacket> otherDatagrams;

    /** {@code clockMicros} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this one. */
    public HeartbeatTransport(
            EventLoop loop,
            String name,
            Map<String, InetSocketAddress> peers,
            LongSupplier clockMicros,
            long incarnation,
            SlowStartLimits limits,
            Supplier<MembershipView.Phase> phase,
            IntToDoubleFunction pendingMessages,
            Consumer<SlowStartLimits.RateLimit> rateLimits) {
        this.loop = loop;
        this.name = name;
        this.peers = Map.copyOf(peers);
        this.clockMicros = clockMicros;
        this.limits = limits;
        this.phase = phase;
        this.pendingMessages = pendingMessages;
        this.rateLimits = rateLimits;
        heartbeats = new HeartbeatMonitor(peers.keySet(), incarnation);
    }

    /** Listens and begins to announce this daemon; binds the socket, which stays its own. */
    public void listen(InetSocketAddress address) throws InterruptedException {
        channel = PeerSocket.bind(loop, address, this::onDatagram);
        loop.scheduleWithFixedDelay(this::tick, 0, TICK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** The socket, whose other datagrams {@code reader} gets from now on; null before it listens. */
    public Channel shareSocket(Consumer<DatagramPacket> reader) {
        otherDatagrams = reader;
        return channel;
    }

    /** Who is alive, as far as this daemon can tell. */
    MembershipView view() {
        return heartbeats;
    }

    /** Sends a heartbeat in this event loop iteration: peers need what was just found at once. */
    public void announceSoon() {
        if (!announcementDue) {
            announcementDue = true;
            loop.execute(this::sendToAll);
        }
    }

    private void tick() {
        long now = clockMicros.getAsLong();
        limits.changedLimits(now, pendingMessages).forEach(rateLimits);
        if (heartbeats.isDue(now)) {
            sendToAll();
        }
        limits.loanRequests(now, heartbeats).forEach(this::sendLoans);
    }

    private void sendToAll() {
        announcementDue = false;
        long now = clockMicros.getAsLong();
        Heartbeat heartbeat = heartbeats.nextHeartbeat(now, name, phase.get(), limits.currentUpdates(now));
        peers.values().forEach(address -> send(heartbeat, address));
    }

    private void sendLoans(String peer, List<Heartbeat.QuotaLoan> loans) {
        for (int from = 0; from < loans.size(); from += Heartbeat.MAX_LOANS) {
            send(
                    heartbeats.nextHeartbeat(
                            name, phase.get(), loans.subList(from, Math.min(loans.size(), from + Heartbeat.MAX_LOANS))),
                    peers.get(peer));
        }
    }

    private void send(Heartbeat heartbeat, InetSocketAddress address) {
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(heartbeat.encode()), address));
        }
    }

    /** Closes the socket. */
    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void onDatagram(DatagramPacket packet) {
        Heartbeat heartbeat = Heartbeat.decode(packet.content().nioBuffer());
        if (heartbeat == null && otherDatagrams != null) {
            otherDatagrams.accept(packet);
        }
        if (heartbeat == null || !packet.sender().equals(peers.get(heartbeat.sender()))) {
            return;
        }
        long now = clockMicros.getAsLong();
        if (!heartbeats.onHeartbeat(now, heartbeat)) {
            return;
        }
        limits.onPeerUpdates(now, heartbeat.sender(), heartbeat.updates()).forEach(rateLimits);
        List<Heartbeat.QuotaLoan> answers = limits.onLoans(now, heartbeat.sender(), heartbeat.loans());
        if (!answers.isEmpty()) {
            sendLoans(heartbeat.sender(), answers);
        }
    }
}
