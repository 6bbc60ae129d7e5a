package amberroute.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A view of the fleet from direct heartbeats: a peer is there as long as it was heard of within {@link #FAILURE_TIMEOUT_MICROS}. Only
 * those that the settings name count. A datagram that is older than one already heard, of an earlier life of its sender, or
 * that claims to be from this daemon itself changes nothing. Times are microseconds on the caller's clock.
 */
public final class HeartbeatMonitor implements MembershipView {
    /** How often a daemon tells of itself when it has no news. */
    public static final long INTERVAL_MICROS = 200_000;
    /** Who was not heard of for so long is taken to be away: four beats lost in a row, and some delay. */
    public static final long FAILURE_TIMEOUT_MICROS = 1_000_000;

    private static final class Peer {
        long heardAtMicros = Long.MIN_VALUE;
        long incarnation = -1;
        long sequence = -1;
        Phase phase = Phase.STARTING;
    }

    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final long incarnation;
    private long lastSequence;
    private long lastSentAtMicros = Long.MIN_VALUE;

    /** {@code incarnation} is higher than that of any earlier process of this daemon; wall time will do. */
    public HeartbeatMonitor(Collection<String> names, long incarnation) {
        this.incarnation = incarnation;
        names.forEach(name -> peers.put(name, new Peer()));
    }

    /** Whether a beat is new and its sender known: then it counts, and so does what else it tells. */
    public boolean onHeartbeat(long now, Heartbeat beat) {
        Peer peer = peers.get(beat.sender());
        if (peer == null
                || beat.incarnation() < peer.incarnation
                || beat.incarnation() == peer.incarnation && beat.sequence() <= peer.sequence) {
            return false;
        }
        peer.incarnation = beat.incarnation();
        peer.sequence = beat.sequence();
        peer.phase = beat.phase();
        peer.heardAtMicros = now;
        return true;
    }

    /** Whether it is time to tell of oneself again. */
    public boolean isDue(long now) {
        return lastSentAtMicros == Long.MIN_VALUE || now - lastSentAtMicros >= INTERVAL_MICROS;
    }

    /** The next beat for all peers. */
    public Heartbeat nextHeartbeat(long now, String self, Phase phase, List<Heartbeat.SlowStartUpdate> news) {
        lastSentAtMicros = now;
        return new Heartbeat(self, incarnation, ++lastSequence, phase, news, List.of());
    }

    /** A beat for one peer, beside those for all. */
    public Heartbeat nextHeartbeat(String self, Phase phase, List<Heartbeat.QuotaLoan> loans) {
        return new Heartbeat(self, incarnation, ++lastSequence, phase, List.of(), loans);
    }

    @Override
    public List<Member> members(long now) {
        List<Member> out = new ArrayList<>();
        peers.forEach((name, peer) -> {
            long ago = peer.heardAtMicros == Long.MIN_VALUE ? -1 : now - peer.heardAtMicros;
            out.add(new Member(name, ago >= 0 && ago < FAILURE_TIMEOUT_MICROS, peer.phase, ago, peer.incarnation));
        });
        return out;
    }
}
