package amberroute.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A membership view based on direct heartbeats: a peer is alive if a heartbeat from it arrived within the last
 * {@link #FAILURE_TIMEOUT_MICROS}. Only the peers named in the settings are tracked. A heartbeat is ignored if it is older than one already
 * received, belongs to an earlier incarnation of its sender, or claims to come from this sender. Times are microseconds on the caller's
 * clock. Not thread-safe.
 */
public final class HeartbeatMonitor implements MembershipView {
    /** The interval between heartbeats when there are no updates to send. */
    public static final long INTERVAL_MICROS = 200_000;
    /** A peer is considered failed after this time without a heartbeat: allows for four consecutive lost heartbeats and some delay. */
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

    /**
     * Creates a monitor of the given peers.
     *
     * @param incarnation higher than that of any earlier process of this sender, for example the wall-clock time
     */
    public HeartbeatMonitor(Collection<String> peerNames, long incarnation) {
        this.incarnation = incarnation;
        peerNames.forEach(name -> peers.put(name, new Peer()));
    }

    /**
     * Records a heartbeat. Returns false if it is outdated, a duplicate or from an unknown sender; the caller must then ignore the
     * rest of its content as well.
     */
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

    /** Whether the next heartbeat to all peers is due. */
    public boolean isDue(long now) {
        return lastSentAtMicros == NEVER || now - lastSentAtMicros >= INTERVAL_MICROS;
    }

    /** Returns the next heartbeat for all peers and restarts the heartbeat interval. */
    public Heartbeat nextHeartbeat(long now, String self, Phase phase, List<Heartbeat.SlowStartUpdate> updates) {
        lastSentAtMicros = now;
        return new Heartbeat(self, incarnation, ++lastSequence, phase, updates, List.of());
    }

    /** Returns an extra heartbeat that carries quota loans to one peer. It does not change when the next regular heartbeat is due. */
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
