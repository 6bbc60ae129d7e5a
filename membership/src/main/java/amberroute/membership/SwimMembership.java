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
 * Group membership with a constant load per member, independent of the size of the fleet: SWIM (Das, Gupta, Motivala 2002) with the local
 * health awareness of Lifeguard (Dadgar, Phillips, Currey 2017). Each protocol period probes one member, all of them in turn in random
 * order. A member that does not answer the ping is pinged through {@link #INDIRECT_PROBES} other members and probed once more. If these
 * probes fail too it is suspected, and considered failed unless it refutes the suspicion in time. Membership updates are piggybacked on
 * these datagrams, each with as many transmissions as it takes to reach a fleet of this size.
 *
 * <p>A member recognizes from unanswered pings and from suspicions about itself that it is slow. It then probes less often and uses longer
 * timeouts, so that it does not suspect healthy members. Only the members named in the settings are tracked, which bounds the state kept.
 * Times are microseconds on the caller's clock, and the caller supplies the random generator. Not thread-safe.
 */
public final class SwimMembership implements MembershipView {
    /** The time between two probes. It determines the number of datagrams per member and second, independent of the fleet size. */
    public static final long PROTOCOL_PERIOD_MICROS = 200_000;
    /** Without an acknowledgement within this time, indirect probes are sent and have the rest of the protocol period to succeed. */
    static final long DIRECT_PROBE_TIMEOUT_MICROS = 80_000;

    static final int INDIRECT_PROBES = 3;
    /**
     * The suspicion timeout is this number of protocol periods times {@link #fleetSizeFactor()}. The SWIM and Lifeguard papers use 4
     * to 5.
     */
    private static final double SUSPICION_MULTIPLIER = 4;
    /** A member that has never been heard from is not considered failed before this time, because it may still be starting. */
    private static final long FIRST_CONTACT_TIMEOUT_MICROS = 8_000_000;
    /** The upper bound that Lifeguard sets for the local health score. */
    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** The number of transmissions of each update is this number times {@link #fleetSizeFactor()}. */
    private static final int RETRANSMIT_MULTIPLIER = 4;
    /** One in this many probes goes to a failed member, so that the end of a network partition is detected. */
    private static final int FAILED_MEMBER_PROBE_INTERVAL = 8;

    private static final long NEVER = Long.MIN_VALUE;
    private static final long UNKNOWN_INCARNATION = -1;
    private static final String NO_TARGET = "";

    /** A message to be sent to a member. */
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

    /** A ping on behalf of another member, with the sequence number of that member's request. */
    private record IndirectProbe(String requester, long sequence, long expiresAtMicros) {}

    private final String self;
    private final String zone;
    private final RandomGenerator random;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final GossipQueue gossip = new GossipQueue();
    /** Indirect probes by the sequence number of the ping that was sent to the target. */
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();

    private final Set<String> nackedBy = new HashSet<>();
    private final List<String> probeOrder = new ArrayList<>();
    private long incarnation;
    private Phase phase = Phase.STARTING;
    private long lastSequence;
    private long probeCount;
    /** 0 if this sender is healthy, higher while it is slow or disconnected itself. */
    private int localHealthScore;

    private boolean started;
    private long startedAtMicros;
    /** The member being probed, null if there is none. The next fields hold the ping's sequence number and the progress of the probe. */
    private String target;

    private long targetSequence;
    private long probeStartedAtMicros;
    private int indirectProbeCount;
    private boolean indirectProbesSent;
    /** Whether the target was also probed in the previous period. */
    private boolean targetRetried;

    /**
     * Creates the membership of one sender.
     *
     * @param incarnation should be higher than that of earlier processes of this sender, for example the wall-clock time; if it is not,
     *     the sender raises it when it refutes an update about itself
     */
    public SwimMembership(
            String self, String zone, Collection<String> memberNames, long incarnation, RandomGenerator random) {
        this.self = self;
        this.zone = zone;
        this.incarnation = incarnation;
        this.random = random;
        memberNames.stream().filter(name -> !name.equals(self)).forEach(name -> peers.put(name, new Peer()));
    }

    /** Sets the phase that this sender reports to the other members. */
    public void setPhase(Phase newPhase) {
        if (newPhase != phase) {
            phase = newPhase;
            gossip.add(ownUpdate());
        }
    }

    private MemberUpdate ownUpdate() {
        return new MemberUpdate(self, MemberState.ALIVE, incarnation, phase, zone);
    }

    /** Returns 0 if this sender is healthy, a higher value while it is slow or disconnected itself. */
    public int localHealthScore() {
        return localHealthScore;
    }

    private void worsenLocalHealth() {
        localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
    }

    /** Whether a member is considered failed: it was suspected and did not refute the suspicion in time. */
    public boolean hasFailed(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.state == MemberState.FAILED;
    }

    /** Returns the zone that a member last reported, or an empty string if it is not known. */
    public String zoneOf(String name) {
        if (name.equals(self)) {
            return zone;
        }
        return peers.containsKey(name) ? peers.get(name).zone : "";
    }

    /** The decimal logarithm of the fleet size, at least 1. */
    private double fleetSizeFactor() {
        return Math.max(1, Math.log10(peers.size() + 1.0));
    }

    // ---- Probes ----

    /**
     * Advances timeouts and returns the messages to send. Call it about ten times per protocol period: with five calls, a datagram loss
     * of 20% makes members suspect each other falsely.
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

    /**
     * Probes {@code retriedTarget} or, if it is null, the next member in probe order. Failed members are skipped except in every
     * {@value #FAILED_MEMBER_PROBE_INTERVAL}th probe.
     */
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
        // With datagram loss the second ping may arrive even though the first one did not.
        outgoing.add(outgoingMessage(Kind.PING, targetSequence, NO_TARGET, target));
    }

    /**
     * Handles a probe that ended without an acknowledgement. If there were no helpers, or some of them did not send a negative
     * acknowledgement either, this sender itself may be at fault and worsens its local health score. Returns whether to probe the same
     * member again in the next period. A member is only suspected after two failed probes: with a datagram loss of 20%, one probe fails
     * by chance once in forty times, but two consecutive probes less than once in a thousand times.
     */
    private boolean onProbeFailed(long now) {
        Peer peer = peers.get(target);
        if (peer.state == MemberState.FAILED) {
            return false;
        }
        if (indirectProbeCount == 0 || nackedBy.size() < indirectProbeCount) {
            worsenLocalHealth();
        }
        // In a large fleet some members have not been heard from when the first contact timeout ends, so silence alone
        // proves nothing. Such a member only fails after unanswered probes.
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
        // Probing the member at once also delivers the suspicion to it, so that it can refute it.
        return true;
    }

    private void suspect(long now, String name, Peer peer, long suspectedIncarnation) {
        peer.state = MemberState.SUSPECT;
        peer.incarnation = suspectedIncarnation;
        double periods = SUSPICION_MULTIPLIER * fleetSizeFactor();
        peer.suspicionDeadlineMicros = now + (long) (periods * PROTOCOL_PERIOD_MICROS * (1 + localHealthScore));
        gossip.add(new MemberUpdate(name, MemberState.SUSPECT, suspectedIncarnation, peer.phase, peer.zone));
    }

    // ---- Received messages ----

    /** Handles a message from a member and returns the messages to send in response. */
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
        // The NACK tells the requester at once that this helper is alive. The ACK of the target is forwarded if it
        // arrives.
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

    /** Applies an update about a member. The higher incarnation wins and, within an incarnation, the more severe state. */
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

    /** Refutes an update that this sender is suspected or failed with a higher incarnation, which only this sender itself may assign. */
    private void refute(MemberUpdate update) {
        if (update.state() != MemberState.ALIVE && update.incarnation() >= incarnation) {
            incarnation = update.incarnation() + 1;
            worsenLocalHealth();
            gossip.add(ownUpdate());
        }
    }

    /**
     * Handles an update without a newer incarnation or a more severe state: an alive member may have entered a later phase, and a member
     * that is considered failed must be told so.
     */
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
            // The member can only refute the failed state if it hears of it.
            gossip.add(peer.update(update.name()));
        }
    }

    // ---- Sent messages ----

    private OutgoingMessage outgoingMessage(Kind kind, long sequence, String subject, String recipient) {
        int maxTransmissions = (int) Math.ceil(RETRANSMIT_MULTIPLIER * fleetSizeFactor());
        List<MemberUpdate> updates = gossip.nextUpdates(
                recipient, updateToRefute(recipient), SwimMessage.MAX_UPDATE_BYTES, maxTransmissions);
        return new OutgoingMessage(
                recipient, new SwimMessage(kind, sequence, self, incarnation, phase, zone, subject, updates));
    }

    /**
     * Returns the suspected or failed state of the recipient, or null if there is none or if it is in the gossip queue anyway. It is sent
     * regardless of the number of transmissions, because the recipient must be able to refute it.
     */
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
