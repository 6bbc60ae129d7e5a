package amberroute.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A view of the fleet from direct heartbeats: a peer is alive as long as it was heard of within {@link #FAILURE_TIMEOUT_MICROS}. Only
 * those that the settings name count. A datagram that is older than one already heard, of an earlier incarnation of its sender, or
 * that claims to be from this daemon itself changes nothing. Times are microseconds on the caller's clock. Not thread-safe.
 */
public final class HeartbeatMonitor implements MembershipView {
    /** How often a daemon sends a heartbeat when it has no updates. */
    public static final long INTERVAL_MICROS = 200_000;
    /** A peer that was not heard of for so long is taken for failed: four heartbeats lost in a row, and some delay. */
    public static final long FAILURE_TIMEOUT_MICROS = 1_000_000;

    private static final long NEVER = Long.MIN_VALUE;

    private static final class Peer {
        long heardAtMicros = NEVER;
        long incarnation = -1;
        long sequence = -1;
        Phase phase = Phase.STARTING;
    }

    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final long incarnation;
    private long lastSequence;
    private long lastSentAtMicros = NEVER;

    /** {@code incarnation} is higher than that of any earlier process of this daemon, such as wall time. */
    public HeartbeatMonitor(Collection<String> peerNames, long incarnation) {
        this.incarnation = incarnation;
        peerNames.forEach(name -> peers.put(name, new Peer()));
    }

    /** Whether a heartbeat is new and its sender known: then it counts, and so does what else it carries. */
    public boolean onHeartbeat(long now, Heartbeat heartbeat) {
        Peer peer = peers.get(heartbeat.sender());
        if (peer == null
                || heartbeat.incarnation() < peer.incarnation
                || heartbeat.incarnation() == peer.incarnation && heartbeat.sequence() <= peer.sequence) {
            return false;
        }
        peer.incarnation = heartbeat.incarnation();
        peer.sequence = heartbeat.sequence();
        peer.phase = heartbeat.phase();
        peer.heardAtMicros = now;
        return true;
    }

    /** Whether it is time for a heartbeat. */
    public boolean isDue(long now) {
        return lastSentAtMicros == NEVER || now - lastSentAtMicros >= INTERVAL_MICROS;
    }

    /** The next heartbeat for all peers. */
    public Heartbeat nextHeartbeat(long now, String self, Phase phase, List<Heartbeat.SlowStartUpdate> updates) {
        lastSentAtMicros = now;
        return new Heartbeat(self, incarnation, ++lastSequence, phase, updates, List.of());
    }

    /** A heartbeat with loans for one peer, beside those for all. */
    public Heartbeat nextHeartbeat(String self, Phase phase, List<Heartbeat.QuotaLoan> loans) {
        return new Heartbeat(self, incarnation, ++lastSequence, phase, List.of(), loans);
    }

    @Override
    public List<Member> members(long now) {
        List<Member> members = new ArrayList<>();
        peers.forEach((name, peer) -> {
            long heardAgoMicros = peer.heardAtMicros == NEVER ? -1 : now - peer.heardAtMicros;
            boolean alive = heardAgoMicros >= 0 && heardAgoMicros < FAILURE_TIMEOUT_MICROS;
            members.add(new Member(name, alive, peer.phase, heardAgoMicros, peer.incarnation));
        });
        return members;
    }
}
