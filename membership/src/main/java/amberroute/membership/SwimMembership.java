package amberroute.membership;

import amberroute.membership.SwimMessage.Kind;
import amberroute.membership.SwimMessage.MemberState;
import amberroute.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Membership whose load for each member does not grow with the fleet, after SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
 * local health (Dadgar, Phillips, Currey 2017). In each protocol period one member is pinged, all in turn in a random order; one that does not
 * answer is pinged by {@link #INDIRECT_PROBES} others, then suspected, and taken for failed when it has not refuted that in time. Updates
 * travel with these datagrams, each so many times as the fleet's size makes it reach all.
 *
 * <p>A member that is slow itself notices by its own unanswered pings and by refuting suspicions; it then probes more
 * slowly and waits longer, so it does not accuse others. Only those that the settings name count, which bounds what is kept. Times are
 * microseconds on the caller's clock, randomness comes from the caller. Not thread-safe.
 */
public final class SwimMembership implements MembershipView {
    /** One member is probed in so long; what a member sends a second follows from it and not from the fleet's size. */
    public static final long PROTOCOL_PERIOD_MICROS = 200_000;
    /** An acknowledgement that has not come by then is asked for through others, for the rest of the period. */
    static final long DIRECT_PROBE_TIMEOUT_MICROS = 80_000;

    static final int INDIRECT_PROBES = 3;
    /** A suspicion lasts so many periods for each tenfold of members, at least one tenfold; SWIM and Lifeguard use 4 to 5. */
    private static final double SUSPICION_MULTIPLIER = 4;
    /** A member that was never heard of is not taken for failed before: it may only be starting. */
    private static final long FIRST_CONTACT_TIMEOUT_MICROS = 8_000_000;
    /** Lifeguard's bound on the score of the local health. */
    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** How often each update travels, for each tenfold of members. */
    private static final int RETRANSMIT_MULTIPLIER = 4;
    /** One of so many probes goes to a failed member, so that a network split that heals is noticed. */
    private static final int FAILED_MEMBER_PROBE_INTERVAL = 8;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long UNKNOWN_INCARNATION = -1;
    private static final String NO_TARGET = "";

    /** A datagram for a member. */
    public record OutgoingMessage(String recipient, SwimMessage message) {}

    private static final class Peer {
        MemberState state = MemberState.SUSPECT;
        long incarnation = UNKNOWN_INCARNATION;
        Phase phase = Phase.STARTING;
        String zone = "";
        long heardAtMicros = NEVER;
        long suspicionDeadlineMicros = Long.MAX_VALUE;

        boolean isUnknown() {
            return incarnation < 0;
        }

        MemberUpdate update(String name) {
            return new MemberUpdate(name, state, Math.max(0, incarnation), phase, zone);
        }
    }

    /** A ping on behalf of another member, under the sequence number that it gave. */
    private record IndirectProbe(String requester, long sequence, long expiresAtMicros) {}

    private final String self;
    private final String zone;
    private final RandomGenerator random;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final GossipQueue gossip = new GossipQueue();
    /** By the sequence number of the ping that was sent for it. */
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();

    private final Set<String> nackedBy = new HashSet<>();
    private final List<String> probeOrder = new ArrayList<>();
    private long incarnation;
    private Phase phase = Phase.STARTING;
    private long lastSequence;
    private long probeCount;
    /** 0 for healthy; higher while this daemon itself is slow or cut off. */
    private int localHealthScore;

    private boolean started;
    private long startedAtMicros;
    /** The member that is probed, null for none, with the sequence number of the ping and how far the probe has come. */
    private String target;

    private long targetSequence;
    private long probeStartedAtMicros;
    private int indirectProbeCount;
    private boolean indirectProbesSent;
    /** Whether the target was probed in the period before as well. */
    private boolean targetRetried;

    /** {@code incarnation} is higher than that of earlier processes where it can be, such as wall time; a lower one is refuted. */
    public SwimMembership(
            String self, String zone, Collection<String> memberNames, long incarnation, RandomGenerator random) {
        this.self = self;
        this.zone = zone;
        this.incarnation = incarnation;
        this.random = random;
        memberNames.stream().filter(name -> !name.equals(self)).forEach(name -> peers.put(name, new Peer()));
    }

    /** What this daemon says of itself from now on. */
    public void setPhase(Phase newPhase) {
        if (newPhase != phase) {
            phase = newPhase;
            gossip.add(ownUpdate());
        }
    }

    private MemberUpdate ownUpdate() {
        return new MemberUpdate(self, MemberState.ALIVE, incarnation, phase, zone);
    }

    /** 0 for healthy; higher while this daemon itself is slow or cut off. */
    public int localHealthScore() {
        return localHealthScore;
    }

    private void worsenLocalHealth() {
        localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
    }

    /** Whether a member is taken for failed: it was suspected and has not refuted it. */
    public boolean hasFailed(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.state == MemberState.FAILED;
    }

    /** What a member last said of where it is, empty where that is not known. */
    public String zoneOf(String name) {
        if (name.equals(self)) {
            return zone;
        }
        return peers.containsKey(name) ? peers.get(name).zone : "";
    }

    /** Tenfolds of members, at least one. */
    private double fleetSizeFactor() {
        return Math.max(1, Math.log10(peers.size() + 1.0));
    }

    // ---- Probes. ----

    /**
     * Returns what is to be sent. To be called some ten times a period: with five a fifth of the datagrams lost makes members accuse
     * each other.
     */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> outgoing = new ArrayList<>();
        if (!started) {
            started = true;
            startedAtMicros = now;
            probeStartedAtMicros = now - random.nextLong(PROTOCOL_PERIOD_MICROS);
        }
        indirectProbes.values().removeIf(probe -> probe.expiresAtMicros < now);
        long localHealthMultiplier = 1 + localHealthScore;
        if (target != null
                && !indirectProbesSent
                && now - probeStartedAtMicros >= DIRECT_PROBE_TIMEOUT_MICROS * localHealthMultiplier) {
            indirectProbesSent = true;
            sendIndirectProbes(outgoing);
        }
        if (now - probeStartedAtMicros >= PROTOCOL_PERIOD_MICROS * localHealthMultiplier) {
            boolean retryTarget = target != null && onProbeFailed(now);
            startProbe(now, retryTarget ? target : null, outgoing);
        }
        expireSuspicions(now);
        return outgoing;
    }

    private void expireSuspicions(long now) {
        peers.forEach((name, peer) -> {
            if (peer.state == MemberState.SUSPECT && now >= peer.suspicionDeadlineMicros) {
                peer.state = MemberState.FAILED;
                gossip.add(peer.update(name));
            }
        });
    }

    /** Probes the member given, else the next in turn; failed members seldom. */
    private void startProbe(long now, String retriedTarget, List<OutgoingMessage> outgoing) {
        probeStartedAtMicros = now;
        indirectProbesSent = false;
        indirectProbeCount = 0;
        nackedBy.clear();
        targetRetried = retriedTarget != null;
        target = retriedTarget;
        boolean probeFailedMember = ++probeCount % FAILED_MEMBER_PROBE_INTERVAL == 0;
        if (probeFailedMember && target == null) {
            List<String> failed =
                    peers.keySet().stream().filter(this::hasFailed).toList();
            target = failed.isEmpty() ? null : failed.get(random.nextInt(failed.size()));
        }
        for (int tries = 0; target == null && tries <= peers.size(); tries++) {
            String name = nextProbeCandidate();
            if (name != null && !hasFailed(name)) {
                target = name;
            }
        }
        if (target != null) {
            targetSequence = ++lastSequence;
            outgoing.add(outgoingMessage(Kind.PING, targetSequence, NO_TARGET, target));
        }
    }

    private String nextProbeCandidate() {
        if (probeOrder.isEmpty()) {
            probeOrder.addAll(peers.keySet());
            Collections.shuffle(probeOrder, new Random(random.nextLong()));
        }
        return probeOrder.isEmpty() ? null : probeOrder.remove(probeOrder.size() - 1);
    }

    private void sendIndirectProbes(List<OutgoingMessage> outgoing) {
        List<String> helpers = new ArrayList<>(peers.entrySet().stream()
                .filter(entry -> entry.getValue().state == MemberState.ALIVE
                        && !entry.getKey().equals(target))
                .map(Map.Entry::getKey)
                .toList());
        Collections.shuffle(helpers, new Random(random.nextLong()));
        for (String helper : helpers.subList(0, Math.min(INDIRECT_PROBES, helpers.size()))) {
            indirectProbeCount++;
            outgoing.add(outgoingMessage(Kind.PING_REQUEST, targetSequence, target, helper));
        }
        // Where datagrams are lost the second of two pings may arrive.
        outgoing.add(outgoingMessage(Kind.PING, targetSequence, NO_TARGET, target));
    }

    /**
     * Nobody had an acknowledgement. Where not all helpers said anything either, the fault may be this daemon's own. Returns whether
     * the same member is to be probed once more before it is suspected: where a fifth of the datagrams is lost, a
     * whole probe fails by chance once in forty times, two in a row once in over a thousand.
     */
    private boolean onProbeFailed(long now) {
        Peer peer = peers.get(target);
        if (peer.state == MemberState.FAILED) {
            return false;
        }
        if (indirectProbeCount == 0 || nackedBy.size() < indirectProbeCount) {
            worsenLocalHealth();
        }
        // Of a large fleet not all have been heard of when that time is over, so silence alone tells nothing: only a
        // member that
        // was probed in vain counts.
        boolean unknown = peer.isUnknown();
        boolean firstContactTimedOut = unknown && now - startedAtMicros >= FIRST_CONTACT_TIMEOUT_MICROS;
        if (peer.state != MemberState.ALIVE && !firstContactTimedOut) {
            return false;
        }
        if (!targetRetried) {
            return true;
        }
        if (unknown) {
            peer.suspicionDeadlineMicros = now;
            return false;
        }
        suspect(now, target, peer, peer.incarnation);
        // It is probed at once, with the accusation.
        return true;
    }

    private void suspect(long now, String name, Peer peer, long suspectedIncarnation) {
        peer.state = MemberState.SUSPECT;
        peer.incarnation = suspectedIncarnation;
        double periods = SUSPICION_MULTIPLIER * fleetSizeFactor();
        peer.suspicionDeadlineMicros = now + (long) (periods * PROTOCOL_PERIOD_MICROS * (1 + localHealthScore));
        gossip.add(new MemberUpdate(name, MemberState.SUSPECT, suspectedIncarnation, peer.phase, peer.zone));
    }

    // ---- What members say. ----

    /** A datagram came from a member; returns what is to be sent for it. */
    public List<OutgoingMessage> onMessage(long now, SwimMessage message) {
        Peer peer = peers.get(message.sender());
        if (peer == null) {
            return List.of();
        }
        peer.heardAtMicros = now;
        applyUpdate(
                now,
                new MemberUpdate(
                        message.sender(), MemberState.ALIVE, message.incarnation(), message.phase(), message.zone()));
        message.updates().forEach(update -> applyUpdate(now, update));
        return switch (message.kind()) {
            case PING -> List.of(outgoingMessage(Kind.ACK, message.sequence(), NO_TARGET, message.sender()));
            case PING_REQUEST -> onPingRequest(now, message);
            case ACK -> onAck(message);
            case NACK -> onNack(message);
        };
    }

    private List<OutgoingMessage> onPingRequest(long now, SwimMessage request) {
        if (!peers.containsKey(request.target())) {
            return List.of();
        }
        long sequence = ++lastSequence;
        if (indirectProbes.size() < peers.size() + INDIRECT_PROBES) {
            long expiresAtMicros = now + PROTOCOL_PERIOD_MICROS * (2 + MAX_LOCAL_HEALTH_SCORE);
            indirectProbes.put(sequence, new IndirectProbe(request.sender(), request.sequence(), expiresAtMicros));
        }
        // That this helper is alive is said at once; the target's acknowledgement follows if it comes.
        return List.of(
                outgoingMessage(Kind.PING, sequence, NO_TARGET, request.target()),
                outgoingMessage(Kind.NACK, request.sequence(), request.target(), request.sender()));
    }

    private List<OutgoingMessage> onAck(SwimMessage ack) {
        IndirectProbe probe = indirectProbes.remove(ack.sequence());
        if (probe != null) {
            return List.of(outgoingMessage(Kind.ACK, probe.sequence, ack.sender(), probe.requester));
        }
        if (ack.sequence() == targetSequence && target != null) {
            target = null;
            localHealthScore = Math.max(0, localHealthScore - 1);
        }
        return List.of();
    }

    private List<OutgoingMessage> onNack(SwimMessage nack) {
        if (nack.sequence() == targetSequence && target != null) {
            nackedBy.add(nack.sender());
        }
        return List.of();
    }

    /** What is said of a member; the higher incarnation counts, and of the same one the worse state. */
    private void applyUpdate(long now, MemberUpdate update) {
        if (update.name().equals(self)) {
            refute(update);
            return;
        }
        Peer peer = peers.get(update.name());
        if (peer == null) {
            return;
        }
        boolean newerIncarnation = update.incarnation() > peer.incarnation;
        boolean worseState =
                update.incarnation() == peer.incarnation && update.state().compareTo(peer.state) > 0;
        boolean suspicionOfUnknownPeer = peer.isUnknown() && update.state() == MemberState.SUSPECT;
        if (!newerIncarnation && !worseState || suspicionOfUnknownPeer) {
            applySameIncarnation(peer, update, newerIncarnation);
            return;
        }
        peer.incarnation = update.incarnation();
        peer.phase = update.phase();
        peer.zone = update.zone();
        if (update.state() == MemberState.SUSPECT) {
            suspect(now, update.name(), peer, update.incarnation());
        } else {
            peer.state = update.state();
            peer.suspicionDeadlineMicros = Long.MAX_VALUE;
            gossip.add(update);
        }
    }

    /** An accusation of this daemon is refuted with a higher incarnation, which only this daemon may give itself. */
    private void refute(MemberUpdate update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= incarnation) {
            incarnation = update.incarnation() + 1;
            worsenLocalHealth();
            gossip.add(ownUpdate());
        }
    }

    /** A member that is alive has gone on to a later phase, or has to hear that it is taken for failed. */
    private void applySameIncarnation(Peer peer, MemberUpdate update, boolean newerIncarnation) {
        if (update.state() != MemberState.ALIVE) {
            return;
        }
        boolean laterPhase = update.incarnation() == peer.incarnation
                && peer.state == MemberState.ALIVE
                && update.phase().compareTo(peer.phase) > 0;
        if (laterPhase) {
            peer.phase = update.phase();
            gossip.add(update);
        } else if (peer.state == MemberState.FAILED && !newerIncarnation) {
            // Otherwise it could not refute that.
            gossip.add(peer.update(update.name()));
        }
    }

    // ---- What is sent. ----

    private OutgoingMessage outgoingMessage(Kind kind, long sequence, String subject, String recipient) {
        int maxTransmissions = (int) Math.ceil(RETRANSMIT_MULTIPLIER * fleetSizeFactor());
        List<MemberUpdate> updates = gossip.nextUpdates(
                recipient, updateToRefute(recipient), SwimMessage.MAX_UPDATE_BYTES, maxTransmissions);
        return new OutgoingMessage(
                recipient, new SwimMessage(kind, sequence, self, incarnation, phase, zone, subject, updates));
    }

    /** However often it was sent already, an accused member has to be able to refute it; null where there is nothing to say. */
    private MemberUpdate updateToRefute(String recipient) {
        Peer peer = peers.get(recipient);
        return peer == null || peer.state == MemberState.ALIVE || peer.isUnknown() || gossip.contains(recipient)
                ? null
                : peer.update(recipient);
    }

    @Override
    public List<Member> members(long now) {
        List<Member> members = new ArrayList<>();
        peers.forEach((name, peer) -> members.add(new Member(
                name,
                peer.state != MemberState.FAILED && !peer.isUnknown(),
                peer.phase,
                peer.heardAtMicros == NEVER ? -1 : now - peer.heardAtMicros,
                peer.incarnation)));
        return members;
    }
}
