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
 * answer is asked by {@link #HELPERS} others, then suspected, and taken for gone when it has not refuted that in time. News
 * travels with these datagrams, each item so many times as the fleet's size makes it reach all.
 *
 * <p>A member that is slow itself notices by its own unanswered questions and by refuting suspicions; it then asks more
 * slowly and waits longer, so it does not accuse others. Only those that the settings name count. Times are microseconds on the
 * caller's clock, chance comes from the caller. What was heard of is bounded by the names.
 */
public final class SwimMembership implements MembershipView {
    /** One member is asked in so long; what a member sends a second follows from it and not from the fleet's size. */
    public static final long PERIOD = 200_000;
    /** An answer that has not come by then is asked for through others; the rest of the period is theirs. */
    static final long ANSWER = 80_000;

    static final int HELPERS = 3;
    /** A suspicion lasts so many periods for each tenfold of members, at least one tenfold; SWIM's and Lifeguard's figure is 4 to 5. */
    private static final double SUSPICION = 4;
    /** One that was never heard of is not taken for gone before: it may only be starting. */
    private static final long FIRST = 8_000_000;
    /** Lifeguard's bound on the local health's score. */
    private static final int MOST_UNWELL = 8;
    /** How often each item of news travels, for each tenfold of members. */
    private static final int TELLINGS = 4;
    /** One of so many questions goes to a member that is taken for gone, so that a split that heals is noticed. */
    private static final int GONE_EVERY = 8;

    /** A datagram for a member. */
    public record OutgoingMessage(String to, SwimMessage probe) {}

    private static final class Peer {
        SwimMessage.MemberState state = SwimMessage.MemberState.SUSPECT;
        long incarnation = -1;
        MembershipView.Phase phase = MembershipView.Phase.STARTING;
        String zone = "";
        long heardAt = Long.MIN_VALUE;
        long suspectUntil = Long.MAX_VALUE;
    }

    private static final class DisseminatedUpdate {
        final SwimMessage.MemberUpdate news;
        int times;

        DisseminatedUpdate(SwimMessage.MemberUpdate news) {
            this.news = news;
        }
    }

    /** Asked on behalf of somebody, under the number that the asker gave. */
    private record IndirectProbe(String by, long number, long until) {}

    private final String self;
    private final String zone;
    private final RandomGenerator random;
    private final Map<String, Peer> peers = new LinkedHashMap<>();
    private final Map<String, DisseminatedUpdate> telling = new LinkedHashMap<>();
    private final Map<Long, IndirectProbe> asked = new HashMap<>();
    private final Set<String> nacks = new HashSet<>();
    private final List<String> turn = new ArrayList<>();
    private long incarnation;
    private MembershipView.Phase phase = MembershipView.Phase.STARTING;
    private long number;
    private long questions;
    private int unwell;
    private boolean begun;
    private long begunAt;
    /** Of the question that is out: whom, under which number, since when, and how far it has come. */
    private String target;

    private long targetNumber;
    private long targetSince;
    private int helpers;
    private boolean helped;
    /** Whether it was asked in the period before as well. */
    private boolean second;

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
    public void phase(MembershipView.Phase next) {
        if (next != phase) {
            phase = next;
            tell(new SwimMessage.MemberUpdate(self, SwimMessage.MemberState.ALIVE, incarnation, phase, zone));
        }
    }

    /** 0 for well; higher while this daemon itself is slow or cut off. */
    public int unwell() {
        return unwell;
    }

    /** Whether a member has been taken for gone: it was suspected and has not refuted it. */
    public boolean gone(String name) {
        Peer peer = peers.get(name);
        return peer != null && peer.state == SwimMessage.MemberState.GONE;
    }

    /** What a member last said of where it is, empty where that is not known. */
    public String zone(String name) {
        return name.equals(self) ? zone : peers.containsKey(name) ? peers.get(name).zone : "";
    }

    private double tenfolds() {
        return Math.max(1, Math.log10(peers.size() + 1.0));
    }

    /** To be called some ten times a period: with five a fifth of the datagrams lost make members accuse each other; returns what is to be sent. */
    public List<OutgoingMessage> tick(long now) {
        List<OutgoingMessage> out = new ArrayList<>();
        if (!begun) {
            begun = true;
            begunAt = now;
            targetSince = now - random.nextLong(PERIOD);
        }
        asked.values().removeIf(a -> a.until < now);
        long slow = 1 + unwell;
        if (target != null && !helped && now - targetSince >= ANSWER * slow) {
            helped = true;
            askOthers(out);
        }
        if (now - targetSince >= PERIOD * slow) {
            boolean again = target != null && failed(now);
            next(now, again ? target : null, out);
        }
        peers.forEach((name, peer) -> {
            if (peer.state == SwimMessage.MemberState.SUSPECT && now >= peer.suspectUntil) {
                peer.state = SwimMessage.MemberState.GONE;
                tell(new SwimMessage.MemberUpdate(
                        name, SwimMessage.MemberState.GONE, Math.max(0, peer.incarnation), peer.phase, peer.zone));
            }
        });
        return out;
    }

    /** The one given is asked, else the next in turn; those that are gone seldom. */
    private void next(long now, String given, List<OutgoingMessage> out) {
        targetSince = now;
        helped = false;
        helpers = 0;
        nacks.clear();
        second = given != null;
        target = given;
        boolean gone = ++questions % GONE_EVERY == 0;
        if (gone && target == null) {
            List<String> away = peers.keySet().stream().filter(this::gone).toList();
            target = away.isEmpty() ? null : away.get(random.nextInt(away.size()));
        }
        for (int i = 0; target == null && i <= peers.size(); i++) {
            if (turn.isEmpty()) {
                turn.addAll(peers.keySet());
                Collections.shuffle(turn, new java.util.Random(random.nextLong()));
            }
            String name = turn.isEmpty() ? null : turn.remove(turn.size() - 1);
            if (name != null && !gone(name)) {
                target = name;
            }
        }
        if (target != null) {
            targetNumber = ++number;
            out.add(new OutgoingMessage(target, probe(SwimMessage.Kind.PING, targetNumber, "", target)));
        }
    }

    private void askOthers(List<OutgoingMessage> out) {
        List<String> others = new ArrayList<>(peers.entrySet().stream()
                .filter(e -> e.getValue().state == SwimMessage.MemberState.ALIVE
                        && !e.getKey().equals(target))
                .map(Map.Entry::getKey)
                .toList());
        Collections.shuffle(others, new java.util.Random(random.nextLong()));
        for (String other : others.subList(0, Math.min(HELPERS, others.size()))) {
            helpers++;
            out.add(new OutgoingMessage(other, probe(SwimMessage.Kind.ASK, targetNumber, target, other)));
        }
        // Over a way that loses datagrams the second of two questions may do.
        out.add(new OutgoingMessage(target, probe(SwimMessage.Kind.PING, targetNumber, "", target)));
    }

    /**
     * Nobody had an answer. Where not all helpers said anything either, the fault may be this daemon's own. Returns whether
     * the same member is to be asked once more before it is suspected: over a way that loses a fifth of the datagrams a
     * whole question fails by chance once in forty times, two in a row once in over a thousand.
     */
    private boolean failed(long now) {
        Peer peer = peers.get(target);
        if (peer.state == SwimMessage.MemberState.GONE) {
            return false;
        }
        unwell = Math.min(MOST_UNWELL, unwell + (helpers == 0 || nacks.size() < helpers ? 1 : 0));
        // Of a large fleet not all have been heard of when that time is over, so silence alone tells nothing: only who
        // was asked in vain.
        boolean never = peer.incarnation < 0;
        if (peer.state != SwimMessage.MemberState.ALIVE && !(never && now - begunAt >= FIRST)) {
            return false;
        }
        if (!second) {
            return true;
        }
        if (never) {
            peer.suspectUntil = now;
            return false;
        }
        suspect(now, target, peer, peer.incarnation);
        // It is asked at once, with the accusation.
        return true;
    }

    private void suspect(long now, String name, Peer peer, long of) {
        peer.state = SwimMessage.MemberState.SUSPECT;
        peer.incarnation = of;
        peer.suspectUntil = now + (long) (SUSPICION * tenfolds() * PERIOD * (1 + unwell));
        tell(new SwimMessage.MemberUpdate(name, SwimMessage.MemberState.SUSPECT, of, peer.phase, peer.zone));
    }

    /** A datagram came from a member; returns what is to be sent for it. */
    public List<OutgoingMessage> heard(long now, SwimMessage probe) {
        Peer peer = peers.get(probe.from());
        if (peer == null) {
            return List.of();
        }
        List<OutgoingMessage> out = new ArrayList<>();
        peer.heardAt = now;
        told(
                now,
                new SwimMessage.MemberUpdate(
                        probe.from(), SwimMessage.MemberState.ALIVE, probe.incarnation(), probe.phase(), probe.zone()));
        probe.news().forEach(news -> told(now, news));
        switch (probe.kind()) {
            case PING -> out.add(
                    new OutgoingMessage(probe.from(), probe(SwimMessage.Kind.ACK, probe.number(), "", probe.from())));
            case ASK -> {
                if (peers.containsKey(probe.target())) {
                    long own = ++number;
                    if (asked.size() < peers.size() + HELPERS) {
                        asked.put(
                                own, new IndirectProbe(probe.from(), probe.number(), now + PERIOD * (2 + MOST_UNWELL)));
                    }
                    out.add(new OutgoingMessage(probe.target(), probe(SwimMessage.Kind.PING, own, "", probe.target())));
                    // That this helper is there is told at once; an answer of the target follows if it comes.
                    out.add(new OutgoingMessage(
                            probe.from(), probe(SwimMessage.Kind.NACK, probe.number(), probe.target(), probe.from())));
                }
            }
            case ACK -> {
                IndirectProbe by = asked.remove(probe.number());
                if (by != null) {
                    out.add(new OutgoingMessage(by.by, probe(SwimMessage.Kind.ACK, by.number, probe.from(), by.by)));
                } else if (probe.number() == targetNumber && target != null) {
                    target = null;
                    unwell = Math.max(0, unwell - 1);
                }
            }
            default -> {
                if (probe.number() == targetNumber && target != null) {
                    nacks.add(probe.from());
                }
            }
        }
        return out;
    }

    private void told(long now, SwimMessage.MemberUpdate news) {
        if (news.name().equals(self)) {
            if (news.state() != SwimMessage.MemberState.ALIVE && news.incarnation() >= incarnation) {
                // Not so: said with a higher incarnation, which only this daemon may give itself.
                incarnation = news.incarnation() + 1;
                unwell = Math.min(MOST_UNWELL, unwell + 1);
                tell(new SwimMessage.MemberUpdate(self, SwimMessage.MemberState.ALIVE, incarnation, phase, zone));
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
                tell(news);
            } else if (news.state() == SwimMessage.MemberState.ALIVE
                    && peer.state == SwimMessage.MemberState.GONE
                    && !later) {
                // Whoever still speaks has to hear what is said of it, or it could not refute that.
                tell(new SwimMessage.MemberUpdate(
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
            peer.suspectUntil = Long.MAX_VALUE;
            tell(news);
        }
    }

    private void tell(SwimMessage.MemberUpdate news) {
        telling.put(news.name(), new DisseminatedUpdate(news));
    }

    /** With the news that were told least so far; the one asked first hears what is said of itself. */
    private SwimMessage probe(SwimMessage.Kind kind, long of, String about, String to) {
        List<DisseminatedUpdate> some = new ArrayList<>(telling.values());
        some.sort(Comparator.comparingInt(t -> t.news.name().equals(to) ? -1 : t.times));
        List<SwimMessage.MemberUpdate> news = new ArrayList<>();
        int room = SwimMessage.NEWS_BYTES;
        int most = (int) Math.ceil(TELLINGS * tenfolds());
        Peer peer = peers.get(to);
        if (peer != null
                && peer.state != SwimMessage.MemberState.ALIVE
                && peer.incarnation >= 0
                && !telling.containsKey(to)) {
            // However often it was told already: whoever is accused has to be able to refute it.
            SwimMessage.MemberUpdate accused =
                    new SwimMessage.MemberUpdate(to, peer.state, peer.incarnation, peer.phase, peer.zone);
            news.add(accused);
            room -= accused.bytes();
        }
        for (Iterator<DisseminatedUpdate> each = some.iterator(); each.hasNext() && news.size() < 60; ) {
            DisseminatedUpdate told = each.next();
            if (told.news.bytes() > room) {
                break;
            }
            room -= told.news.bytes();
            news.add(told.news);
            if (++told.times >= most) {
                telling.remove(told.news.name());
            }
        }
        return new SwimMessage(kind, of, self, incarnation, phase, zone, about, List.copyOf(news));
    }

    @Override
    public List<Member> members(long now) {
        List<Member> out = new ArrayList<>();
        peers.forEach((name, peer) -> out.add(new Member(
                name,
                peer.state != SwimMessage.MemberState.GONE && peer.incarnation >= 0,
                peer.phase,
                peer.heardAt == Long.MIN_VALUE ? -1 : now - peer.heardAt,
                peer.incarnation)));
        return out;
    }
}
