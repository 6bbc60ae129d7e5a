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
 * Carries beats between daemons over UDP: who is there, what each sees of partners, and the lending of shares, and passes
 * the ceilings that follow on. What they mean is decided in {@code membership} and {@code shares}. A beat is taken from a
 * configured peer's address only; one that cannot be read is dropped without a word. Lives on the event loop.
 */
public final class HeartbeatTransport {
    private static final long STEP_MS = 50;

    private final EventLoop loop;
    private final String name;
    private final Map<String, InetSocketAddress> peers;
    private final LongSupplier clock;
    private final HeartbeatMonitor heartbeats;
    private final SlowStartLimits limits;
    private final Supplier<MembershipView.Phase> phase;
    private final IntToDoubleFunction waiting;
    private final Consumer<SlowStartLimits.RateLimit> ceilings;
    private Channel channel;
    private boolean newsDue;
    /** Takes what is no beat; null where nobody wants it. */
    private Consumer<DatagramPacket> others;

    /** {@code clock} is monotonic, in microseconds; {@code incarnation} is larger than that of each process before this one. */
    public HeartbeatTransport(
            EventLoop loop,
            String name,
            Map<String, InetSocketAddress> peers,
            LongSupplier clock,
            long incarnation,
            SlowStartLimits limits,
            Supplier<MembershipView.Phase> phase,
            IntToDoubleFunction waiting,
            Consumer<SlowStartLimits.RateLimit> ceilings) {
        this.loop = loop;
        this.name = name;
        this.peers = Map.copyOf(peers);
        this.clock = clock;
        this.limits = limits;
        this.phase = phase;
        this.waiting = waiting;
        this.ceilings = ceilings;
        heartbeats = new HeartbeatMonitor(peers.keySet(), incarnation);
    }

    /** Listens and begins to tell of this daemon. */
    public void listen(InetSocketAddress address) throws InterruptedException {
        channel = PeerSocket.bind(loop, address, this::heard);
        loop.scheduleWithFixedDelay(this::step, 0, STEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Shares the socket with whoever understands other datagrams; null before it listens. */
    public Channel shareSocket(Consumer<DatagramPacket> with) {
        others = with;
        return channel;
    }

    /** Who is there, as far as this daemon can tell. */
    MembershipView view() {
        return heartbeats;
    }

    /** Others had better hear at once of what was just found. */
    public void announceSoon() {
        if (!newsDue) {
            newsDue = true;
            loop.execute(this::tellAll);
        }
    }

    private void step() {
        long now = clock.getAsLong();
        limits.changedLimits(now, waiting).forEach(ceilings);
        if (heartbeats.isDue(now)) {
            tellAll();
        }
        limits.loanRequests(now, heartbeats).forEach(this::tell);
    }

    private void tellAll() {
        newsDue = false;
        long now = clock.getAsLong();
        Heartbeat beat = heartbeats.nextHeartbeat(now, name, phase.get(), limits.currentUpdates(now));
        peers.values().forEach(address -> send(beat, address));
    }

    private void tell(String peer, List<Heartbeat.QuotaLoan> loans) {
        for (int from = 0; from < loans.size(); from += Heartbeat.MAX_LOANS) {
            send(
                    heartbeats.nextHeartbeat(
                            name, phase.get(), loans.subList(from, Math.min(loans.size(), from + Heartbeat.MAX_LOANS))),
                    peers.get(peer));
        }
    }

    private void send(Heartbeat beat, InetSocketAddress address) {
        if (channel != null && channel.isActive()) {
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(beat.encode()), address));
        }
    }

    public void close() {
        if (channel != null) {
            channel.close();
        }
    }

    private void heard(DatagramPacket packet) {
        Heartbeat beat = Heartbeat.decode(packet.content().nioBuffer());
        if (beat == null && others != null) {
            others.accept(packet);
        }
        if (beat == null || !packet.sender().equals(peers.get(beat.sender()))) {
            return;
        }
        long now = clock.getAsLong();
        if (!heartbeats.onHeartbeat(now, beat)) {
            return;
        }
        limits.onPeerUpdates(now, beat.sender(), beat.updates()).forEach(ceilings);
        List<Heartbeat.QuotaLoan> answers = limits.onLoans(now, beat.sender(), beat.loans());
        if (!answers.isEmpty()) {
            tell(beat.sender(), answers);
        }
    }
}
