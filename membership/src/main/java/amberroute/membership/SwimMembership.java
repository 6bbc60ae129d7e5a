package amberroute.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Membership whose load for each member does not grow with the fleet, after SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
 * local health (Dadgar, Phillips, Currey 2017). In each period one member is asked, all in turn in an order of chance; one that does not
 * answer is asked by {@link #INDIRECT_PROBES} others, then suspected, and taken for gone when it has not refuted that in time. News
 * travels with these datagrams, each item so many times as the fleet's size makes it reach all.
 *
 * <p>A member that is slow itself notices by its own unanswered questions and by refuting suspicions; it then asks more
 * slowly and waits longer, so it does not accuse others. Only those that the settings name count. Times are microseconds on the
 * caller's clock, chance comes from the caller. What was heard of is bounded by the names.
 */
public final class SwimMembership implements MembershipView {
    /** One member is asked in so long; what a member sends a second follows from it and not from the fleet's size. */
    public static final long PROTOCOL_PERIOD_MICROS = 200_000;
    /** An answer that has not come by then is asked for through others; the rest of the period is theirs. */
    static final long DIRECT_PROBE_TIMEOUT_MICROS = 80_000;

    static final int INDIRECT_PROBES = 3;
    /** A suspicion lasts so many periods for each tenfold of members, at least one tenfold; SWIM's and Lifeguard's figure is 4 to 5. */
    private static final double SUSPICION_PERIODS = 4;
    /** One that was never heard of is not taken for gone before: it may only be starting. */
    private static final long FIRST_CONTACT_TIMEOUT_MICROS = 8_000_000;
    /** Lifeguard's bound on the local health's score. */
    private static final int MAX_LOCAL_HEALTH_SCORE = 8;
    /** How often each item of news travels, for each tenfold of members. */
    private static final int TRANSMISSIONS_PER_UPDATE = 4;
    /** One of so many questions goes to a member that is taken for gone, so that a split that heals is noticed. */
    private static final int FAILED_MEMBER_PROBE_INTERVAL = 8;

    /** A datagram for a member. */
    public record OutgoingMessage(String recipient, SwimMessage message) {}

    private static final class Peer {
        SwimMessage.MemberState state = SwimMessage.MemberState.SUSPECT;
        long incarnation = -1;
        MembershipView.Phase phase = MembershipView.Phase.STARTING;
        String zone = "";
        long heardAtMicros = Long.MIN_VALUE;
        long suspectUntilMicros = Long.MAX_VALUE;
    }

    private static final class DisseminatedUpdate {
        final SwimMessage.MemberUpdate update;
        int transmissions;

        DisseminatedUpdate(SwimMessage.MemberUpdate news) {
            this.update = news;
        }
    }

    /** Asked on behalf of somebody, under the number that the asker gave. */
    private record IndirectProbe(String requester, long sequence, long untilMicros) {}

    private final String self;
    private final String zone;
    private final RandomGenerator random;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, DisseminatedUpdate> pendingUpdates = new LinkedHashMap<>();
    private final Map<Long, IndirectProbe> indirectProbes = new HashMap<>();
    private final Set<String> nackedBy = new HashSet<>();
    private final List<String> probeOrder = new ArrayList<>();
    private long incarnation;
    private MembershipView.Phase phase = MembershipView.Phase.STARTING;
    private long lastSequence;
    private long probeCount;
    private int localHealthScore;
    private boolean started;
    private long startedAtMicros;
    /** Of the question that is out: whom, under which number, since when, and how far it has come. */
    private String target;

    private long targetSequence;
    private long targetSinceMicros;
    private int indirectProbeCount;
    private boolean indirectProbesSent;
    /** Whether it was asked in the period before as well. */
    private boolean targetRetried;

    /** {@code incarnation} is higher than that of earlier processes where it can be; wall time will do, as a lower one is refuted. */
    public SwimMembership(
            String self, String zone, Collection<String> names, long incarnation, RandomGenerator random) {
        this.self = self;
        this.zone = zone;
        this.incarnation = incarnation;
        this.random = random;
        names.stream().filter(name -> !name.equals(self)).forEach(name -> peers.put(name, new Peer()));
    }

    /** What this daemon says of itself from now on. */
    public void setPhase(MembershipView.Phase next) {
        if (next != phase) {
            phase = next;
            disseminate(new SwimMessage.MemberUpdate(self, SwimMessage.MemberState.ALIVE, incarnation, phase, zone));
        }
    }

    /** 0 for well; higher while this daemon itself is slow or cut off. */
    public int localHealthScore() {
        return localHealthScore;
    }

    /** Whether a member has been taken for gone: it was suspected and has not refuted it. */
    public boolean hasFailed(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.state == SwimMessage.MemberState.FAILED;
    }

    /** What a member last said of where it is, empty where that is not known. */
    public String zoneOf(String name) {
        return name.equals(self) ? zone : peers.containsKey(name) ? peers.get(name).zone : "";
    }

    private double fleetSizeFactor() {
        return Math.max(1, Math.log10(peers.size() + 1.0));
    }

    /** To be called some ten times a period: with five a fifth of the datagrams lost make members accuse each other; returns what is to be sent. */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> out = new ArrayList<>();
        if (!started) {
            started = true;
            startedAtMicros = now;
            targetSinceMicros = now - random.nextLong(PROTOCOL_PERIOD_MICROS);
        }
        indirectProbes.values().removeIf(a -> a.untilMicros < now);
        long slow = 1 + localHealthScore;
        if (target != null && !indirectProbesSent && now - targetSinceMicros >= DIRECT_PROBE_TIMEOUT_MICROS * slow) {
            indirectProbesSent = true;
            sendIndirectProbes(out);
        }
        if (now - targetSinceMicros >= PROTOCOL_PERIOD_MICROS * slow) {
            boolean again = target != null && onProbeFailed(now);
            startProbe(now, again ? target : null, out);
        }
        peers.forEach((name, peer) -> {
            if (peer.state == SwimMessage.MemberState.SUSPECT && now >= peer.suspectUntilMicros) {
                peer.state = SwimMessage.MemberState.FAILED;
                disseminate(new SwimMessage.MemberUpdate(
                        name, SwimMessage.MemberState.FAILED, Math.max(0, peer.incarnation), peer.phase, peer.zone));
            }
        });
        return out;
    }

    /** The one given is asked, else the next in turn; those that are gone seldom. */
    private void startProbe(long now, String given, List<OutgoingMessage> out) {
        targetSinceMicros = now;
        indirectProbesSent = false;
        indirectProbeCount = 0;
        nackedBy.clear();
        targetRetried = given != null;
        target = given;
        boolean gone = ++probeCount % FAILED_MEMBER_PROBE_INTERVAL == 0;
        if (gone && target == null) {
            List<String> away = peers.keySet().stream().filter(this::hasFailed).toList();
            target = away.isEmpty() ? null : away.get(random.nextInt(away.size()));
        }
        for (int i = 0; target == null && i <= peers.size(); i++) {
            if (probeOrder.isEmpty()) {
                probeOrder.addAll(peers.keySet());
                Collections.shuffle(probeOrder, new java.util.Random(random.nextLong()));
            }
            String name = probeOrder.isEmpty() ? null : probeOrder.remove(probeOrder.size() - 1);
            if (name != null && !hasFailed(name)) {
                target = name;
            }
        }
        if (target != null) {
            targetSequence = ++lastSequence;
            out.add(new OutgoingMessage(target, buildMessage(SwimMessage.Kind.PING, targetSequence, "", target)));
        }
    }

    private void sendIndirectProbes(List<OutgoingMessage> out) {
        List<String> others = new ArrayList<>(peers.entrySet().stream()
                .filter(e -> e.getValue().state == SwimMessage.MemberState.ALIVE
                        && !e.getKey().equals(target))
                .map(Map.Entry::getKey)
                .toList());
        Collections.shuffle(others, new java.util.Random(random.nextLong()));
        for (String other : others.subList(0, Math.min(INDIRECT_PROBES, others.size()))) {
            indirectProbeCount++;
            out.add(new OutgoingMessage(
                    other, buildMessage(SwimMessage.Kind.PING_REQUEST, targetSequence, target, other)));
        }
        // Over a way that loses datagrams the second of two questions may do.
        out.add(new OutgoingMessage(target, buildMessage(SwimMessage.Kind.PING, targetSequence, "", target)));
    }

    /**
     * Nobody had an answer. Where not all helpers said anything either, the fault may be this daemon's own. Returns whether
     * the same member is to be asked once more before it is suspected: over a way that loses a fifth of the datagrams a
     * whole question fails by chance once in forty times, two in a row once in over a thousand.
     */
    private boolean onProbeFailed(long now) {
        Peer peer = peers.get(target);
        if (peer.state == SwimMessage.MemberState.FAILED) {
            return false;
        }
        localHealthScore = Math.min(
                MAX_LOCAL_HEALTH_SCORE,
                localHealthScore + (indirectProbeCount == 0 || nackedBy.size() < indirectProbeCount ? 1 : 0));
        // Of a large fleet not all have been heard of when that time is over, so silence alone tells nothing: only who
        // was asked in vain.
        boolean never = peer.incarnation < 0;
        if (peer.state != SwimMessage.MemberState.ALIVE
                && !(never && now - startedAtMicros >= FIRST_CONTACT_TIMEOUT_MICROS)) {
            return false;
        }
        if (!targetRetried) {
            return true;
        }
        if (never) {
            peer.suspectUntilMicros = now;
            return false;
        }
        suspect(now, target, peer, peer.incarnation);
        // It is asked at once, with the accusation.
        return true;
    }

    private void suspect(long now, String name, Peer peer, long of) {
        peer.state = SwimMessage.MemberState.SUSPECT;
        peer.incarnation = of;
        peer.suspectUntilMicros =
                now + (long) (SUSPICION_PERIODS * fleetSizeFactor() * PROTOCOL_PERIOD_MICROS * (1 + localHealthScore));
        disseminate(new SwimMessage.MemberUpdate(name, SwimMessage.MemberState.SUSPECT, of, peer.phase, peer.zone));
    }

    /** A datagram came from a member; returns what is to be sent for it. */
    public List<OutgoingMessage> onMessage(long now, SwimMessage probe) {
        Peer peer = peers.get(probe.sender());
        if (peer == null) {
            return List.of();
        }
        List<OutgoingMessage> out = new ArrayList<>();
        peer.heardAtMicros = now;
        applyUpdate(
                now,
                new SwimMessage.MemberUpdate(
                        probe.sender(),
                        SwimMessage.MemberState.ALIVE,
                        probe.incarnation(),
                        probe.phase(),
                        probe.zone()));
        probe.updates().forEach(news -> applyUpdate(now, news));
        switch (probe.kind()) {
            case PING -> out.add(new OutgoingMessage(
                    probe.sender(), buildMessage(SwimMessage.Kind.ACK, probe.sequence(), "", probe.sender())));
            case PING_REQUEST -> {
                if (peers.containsKey(probe.target())) {
                    long own = ++lastSequence;
                    if (indirectProbes.size() < peers.size() + INDIRECT_PROBES) {
                        indirectProbes.put(
                                own,
                                new IndirectProbe(
                                        probe.sender(),
                                        probe.sequence(),
                                        now + PROTOCOL_PERIOD_MICROS * (2 + MAX_LOCAL_HEALTH_SCORE)));
                    }
                    out.add(new OutgoingMessage(
                            probe.target(), buildMessage(SwimMessage.Kind.PING, own, "", probe.target())));
                    // That this helper is there is told at once; an answer of the target follows if it comes.
                    out.add(new OutgoingMessage(
                            probe.sender(),
                            buildMessage(SwimMessage.Kind.NACK, probe.sequence(), probe.target(), probe.sender())));
                }
            }
            case ACK -> {
                IndirectProbe by = indirectProbes.remove(probe.sequence());
                if (by != null) {
                    out.add(new OutgoingMessage(
                            by.requester,
                            buildMessage(SwimMessage.Kind.ACK, by.sequence, probe.sender(), by.requester)));
                } else if (probe.sequence() == targetSequence && target != null) {
                    target = null;
                    localHealthScore = Math.max(0, localHealthScore - 1);
                }
            }
            default -> {
                if (probe.sequence() == targetSequence && target != null) {
                    nackedBy.add(probe.sender());
                }
            }
        }
        return out;
    }

    private void applyUpdate(long now, SwimMessage.MemberUpdate news) {
        if (news.name().equals(self)) {
            if (news.state() != SwimMessage.MemberState.ALIVE && news.incarnation() >= incarnation) {
                // Not so: said with a higher incarnation, which only this daemon may give itself.
                incarnation = news.incarnation() + 1;
                localHealthScore = Math.min(MAX_LOCAL_HEALTH_SCORE, localHealthScore + 1);
                disseminate(
                        new SwimMessage.MemberUpdate(self, SwimMessage.MemberState.ALIVE, incarnation, phase, zone));
            }
            return;
        }
        Peer peer = peers.get(news.name());
        if (peer == null) {
            return;
        }
        boolean later = news.incarnation() > peer.incarnation;
        boolean worse = news.incarnation() == peer.incarnation && news.state().compareTo(peer.state) > 0;
        boolean firstSign = peer.incarnation < 0 && news.state() != SwimMessage.MemberState.ALIVE;
        if (!later && !worse || firstSign && news.state() == SwimMessage.MemberState.SUSPECT) {
            boolean changed = news.incarnation() == peer.incarnation
                    && news.state() == SwimMessage.MemberState.ALIVE
                    && peer.state == SwimMessage.MemberState.ALIVE
                    && news.phase().compareTo(peer.phase) > 0;
            if (changed) {
                peer.phase = news.phase();
                disseminate(news);
            } else if (news.state() == SwimMessage.MemberState.ALIVE
                    && peer.state == SwimMessage.MemberState.FAILED
                    && !later) {
                // Whoever still speaks has to hear what is said of it, or it could not refute that.
                disseminate(new SwimMessage.MemberUpdate(
                        news.name(), peer.state, Math.max(0, peer.incarnation), peer.phase, peer.zone));
            }
            return;
        }
        peer.incarnation = news.incarnation();
        peer.phase = news.phase();
        peer.zone = news.zone();
        if (news.state() == SwimMessage.MemberState.SUSPECT) {
            suspect(now, news.name(), peer, news.incarnation());
        } else {
            peer.state = news.state();
            peer.suspectUntilMicros = Long.MAX_VALUE;
            disseminate(news);
        }
    }

    private void disseminate(SwimMessage.MemberUpdate news) {
        pendingUpdates.put(news.name(), new DisseminatedUpdate(news));
    }

    /** With the news that were told least so far; the one asked first hears what is said of itself. */
    private SwimMessage buildMessage(SwimMessage.Kind kind, long of, String about, String to) {
        List<DisseminatedUpdate> some = new ArrayList<>(pendingUpdates.values());
        some.sort(Comparator.comparingInt(t -> t.update.name().equals(to) ? -1 : t.transmissions));
        List<SwimMessage.MemberUpdate> news = new ArrayList<>();
        int room = SwimMessage.MAX_UPDATE_BYTES;
        int most = (int) Math.ceil(TRANSMISSIONS_PER_UPDATE * fleetSizeFactor());
        Peer peer = peers.get(to);
        if (peer != null
                && peer.state != SwimMessage.MemberState.ALIVE
                && peer.incarnation >= 0
                && !pendingUpdates.containsKey(to)) {
            // However often it was told already: whoever is accused has to be able to refute it.
            SwimMessage.MemberUpdate accused =
                    new SwimMessage.MemberUpdate(to, peer.state, peer.incarnation, peer.phase, peer.zone);
            news.add(accused);
            room -= accused.encodedBytes();
        }
        for (Iterator<DisseminatedUpdate> each = some.iterator(); each.hasNext() && news.size() < 60; ) {
            DisseminatedUpdate told = each.next();
            if (told.update.encodedBytes() > room) {
                break;
            }
            room -= told.update.encodedBytes();
            news.add(told.update);
            if (++told.transmissions >= most) {
                pendingUpdates.remove(told.update.name());
            }
        }
        return new SwimMessage(kind, of, self, incarnation, phase, zone, about, List.copyOf(news));
    }

    @Override
    public List<Member> members(long now) {
        List<Member> out = new ArrayList<>();
        peers.forEach((name, peer) -> out.add(new Member(
                name,
                peer.state != SwimMessage.MemberState.FAILED && peer.incarnation >= 0,
                peer.phase,
                peer.heardAtMicros == Long.MIN_VALUE ? -1 : now - peer.heardAtMicros,
                peer.incarnation)));
        return out;
    }
}
