package amberroute.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.membership.Heartbeat;
import amberroute.membership.Heartbeat.Health;
import amberroute.membership.HeartbeatMonitor;
import amberroute.membership.MembershipView;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Whole fleets against one partner that falls over, in simulated time: beats are lost, late and doubled, views are split,
 * daemons die, clocks differ. What is counted is the largest load that the partner had over any window of the rule, as a
 * share of what brings it down.
 */
class SlowStartFleetTest {
    private static final SlowStartLimit.Rules RULES = new SlowStartLimit.Rules(0.15, 14_000_000, 2.5, 1_500_000, 20);
    private static final long LEASE = 500_000;
    private static final long STEP = 2_000;
    private static final int PARTNER = 7;

    /** A partner that is out until it comes back, cold. */
    private static final class Partner {
        final double capacity;
        final Deque<Long> recent = new ArrayDeque<>();
        long backAt;
        double highest;
        int down;
        long answered;
        double room;

        Partner(double capacity, long backAt) {
            this.capacity = capacity;
            this.backAt = backAt;
        }

        double now(long at) {
            return capacity
                    * Math.min(
                            1,
                            RULES.initialFraction()
                                    + (1 - RULES.initialFraction()) * Math.max(0, at - backAt) / RULES.warmUpMicros());
        }

        /** Whether a message that comes now is answered as done; a refused one weighs as much. */
        boolean take(long at) {
            if (at < backAt) {
                return false;
            }
            recent.addLast(at);
            while (recent.peekFirst() < at - RULES.overloadWindowMicros()) {
                recent.removeFirst();
            }
            double stands = RULES.overloadMultiple() * now(at) * RULES.overloadWindowMicros() / 1e6;
            if (at - backAt < RULES.warmUpMicros()) {
                highest = Math.max(highest, recent.size() / stands);
                down += recent.size() > stands ? 1 : 0;
            }
            if (room < 1) {
                return false;
            }
            room--;
            answered++;
            return true;
        }

        void step(long at) {
            room = Math.min(now(at) / 4, room + now(at) * STEP / 1e6);
        }
    }

    private record Packet(long at, long order, int to, Heartbeat beat) {}

    /** How a run is disturbed. */
    private record Trouble(double loss, long delay, boolean split, boolean ceilings, double fastest, int dying) {
        static Trouble none() {
            return new Trouble(0, 2_000, false, true, 1, 0);
        }
    }

    private final class Daemon {
        final int index;
        final String name;
        final double rate;
        final long offset;
        SlowStartLimits limits;
        HeartbeatMonitor beats;
        double ceiling = Double.POSITIVE_INFINITY;
        double saved;
        long savedAt;
        int backlog;
        boolean dead;
        boolean knowsOut;

        Daemon(int index, double rate, long offset) {
            this.index = index;
            this.name = String.format("d%02d", index);
            this.rate = rate;
            this.offset = offset;
        }

        long clock(long at) {
            return (long) (at * rate) + offset;
        }
    }

    private final List<Daemon> fleet = new ArrayList<>();
    private final PriorityQueue<Packet> wire =
            new PriorityQueue<>(Comparator.comparingLong(Packet::at).thenComparingLong(Packet::order));
    private SplittableRandom random;
    private Trouble trouble;
    private long order;

    private Partner partner;

    private void build(int daemons, long seed, Trouble how, Partner against, int backlog, boolean fresh) {
        random = new SplittableRandom(seed);
        trouble = how;
        partner = against;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < daemons; i++) {
            names.add(String.format("d%02d", i));
        }
        for (int i = 0; i < daemons; i++) {
            Daemon d = new Daemon(i, 1 + (trouble.fastest() - 1) * random.nextDouble(), 1_000_000_000L * (i + 1));
            long now = d.clock(0);
            d.limits = new SlowStartLimits(now, new SlowStartLimits.FleetParameters(daemons, i, LEASE, RULES), 1);
            List<String> peers = new ArrayList<>(names);
            peers.remove(d.name);
            d.beats = new HeartbeatMonitor(peers, 1);
            d.backlog = backlog / daemons;
            if (!fresh) {
                // It has seen the outage, and what the partner did before.
                d.limits.onSuccess(now, PARTNER);
                d.limits.onHealthChanged(now, PARTNER, Health.UNAVAILABLE, now);
            }
            set(d, now, d.limits.onDestinationListed(now, PARTNER));
            fleet.add(d);
        }
    }

    private void set(Daemon d, long now, SlowStartLimits.RateLimit c) {
        if (c == null) {
            return;
        }
        if (Double.isInfinite(d.ceiling)) {
            d.saved = c.initialCredit();
        } else {
            save(d, now);
        }
        d.savedAt = now;
        d.ceiling = c.perSecond();
    }

    private static void save(Daemon d, long now) {
        d.saved = Math.min(1, d.saved + d.ceiling * (now - d.savedAt) / 1e6);
        d.savedAt = now;
    }

    private void send(long at, Daemon from, int to, Heartbeat beat) {
        boolean apart = trouble.split() && from.index % 2 != to % 2;
        int copies = random.nextDouble() < trouble.loss() || apart ? 0 : random.nextDouble() < trouble.loss() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            wire.add(new Packet(
                    at + 200 + random.nextLong(Math.max(1, trouble.delay())),
                    order++,
                    to,
                    Heartbeat.decode(beat.encode())));
        }
    }

    private void tell(long at, Daemon d) {
        Heartbeat beat = d.beats.nextHeartbeat(
                d.clock(at), d.name, MembershipView.Phase.READY, d.limits.currentUpdates(d.clock(at)));
        for (Daemon other : fleet) {
            if (other != d) {
                send(at, d, other.index, beat);
            }
        }
    }

    /** Returns how long after its return the partner first answered so many messages within a second. */
    private long play(long span, double usual) {
        Deque<Long> answers = new ArrayDeque<>();
        long usualAt = -1;
        for (long at = 0; at < span; at += STEP) {
            partner.step(at);
            while (!wire.isEmpty() && wire.peek().at() <= at) {
                deliver(at, wire.poll());
            }
            for (Daemon d : fleet) {
                if (!d.dead) {
                    turn(at, d, answers);
                }
            }
            if (trouble.dying() > 0 && at == 6_000_000) {
                fleet.subList(0, trouble.dying()).forEach(d -> d.dead = true);
            }
            while (!answers.isEmpty() && answers.peekFirst() < at - 1_000_000) {
                answers.removeFirst();
            }
            if (usualAt < 0 && answers.size() >= usual) {
                usualAt = at - partner.backAt;
            }
        }
        return usualAt;
    }

    private void deliver(long at, Packet packet) {
        Daemon d = fleet.get(packet.to());
        long now = d.clock(at);
        if (d.dead || packet.beat() == null || !d.beats.onHeartbeat(now, packet.beat())) {
            return;
        }
        d.limits
                .onPeerUpdates(now, packet.beat().sender(), packet.beat().updates())
                .forEach(c -> set(d, now, c));
        List<Heartbeat.QuotaLoan> answers =
                d.limits.onLoans(now, packet.beat().sender(), packet.beat().loans());
        if (!answers.isEmpty()) {
            send(
                    at,
                    d,
                    Integer.parseInt(packet.beat().sender().substring(1)),
                    d.beats.nextHeartbeat(d.name, MembershipView.Phase.READY, answers));
        }
    }

    private void turn(long at, Daemon d, Deque<Long> answers) {
        long now = d.clock(at);
        if (at % 50_000 == 0) {
            d.limits.changedLimits(now, destination -> d.backlog).forEach(c -> set(d, now, c));
            d.limits
                    .loanRequests(now, d.beats)
                    .forEach((peer, loans) -> send(
                            at,
                            d,
                            Integer.parseInt(peer.substring(1)),
                            d.beats.nextHeartbeat(d.name, MembershipView.Phase.READY, loans)));
        }
        if (d.beats.isDue(now)) {
            tell(at, d);
        }
        // What the sender's own slots allow, 16 calls of 20 ms.
        for (int i = 0; i < 2 && d.backlog > 0; i++) {
            if (trouble.ceilings() && !Double.isInfinite(d.ceiling)) {
                save(d, now);
                if (d.saved < 1) {
                    return;
                }
                d.saved--;
            }
            if (partner.take(at)) {
                d.backlog--;
                answers.addLast(at);
                if (d.limits.onSuccess(now, PARTNER)) {
                    tell(at, d);
                }
                if (d.knowsOut) {
                    d.knowsOut = false;
                    d.limits.onHealthChanged(now, PARTNER, Health.SLOW_START, now);
                    tell(at, d);
                }
            }
        }
    }

    private void fresh(int daemons, long seed, Trouble how, double capacity) {
        fleet.clear();
        wire.clear();
        build(daemons, seed, how, new Partner(capacity, 0), (int) (capacity * 20), true);
    }

    /** Forty daemons that know nothing start in one second before a partner that is cold, with a full backlog. */
    @Test
    void fortyThatKnowNothingDoNotPushAColdPartnerOver() {
        for (long seed = 1; seed <= 5; seed++) {
            fresh(40, seed, Trouble.none(), 400);
            long usual = play(20_000_000, 400 * 0.5);
            System.out.println("40 fresh, seed " + seed + ": highest " + partner.highest + ", half its usual after "
                    + usual / 1e6 + " s");
            assertTrue(partner.highest <= 1, "seed " + seed + ": " + partner.highest);
            assertTrue(usual > 0, "seed " + seed + ": it never carried half of its usual load");
        }
    }

    /** The same without the ceilings pushes it over, or the test would show nothing. */
    @Test
    void withoutCeilingsTheSameFleetPushesItOver() {
        fresh(40, 1, new Trouble(0, 2_000, false, false, 1, 0), 400);
        play(2_000_000, 200);
        assertTrue(partner.highest > 1, "highest " + partner.highest);
        assertTrue(partner.down > 0);
    }

    @Test
    void halfThatThinkTheOthersDeadKeepTheLimit() {
        for (long seed = 1; seed <= 5; seed++) {
            fresh(40, seed, new Trouble(0.1, 50_000, true, true, 1, 0), 400);
            play(20_000_000, 200);
            assertTrue(partner.highest <= 1, "seed " + seed + ": " + partner.highest);
            assertTrue(partner.answered > 400, "seed " + seed + ": only " + partner.answered);
        }
    }

    @Test
    void fastClocksLossAndDeathsKeepTheLimit() {
        for (long seed = 1; seed <= 5; seed++) {
            fresh(20, seed, new Trouble(0.2, 300_000, false, true, 1.02, 8), 400);
            play(20_000_000, 200);
            assertTrue(partner.highest <= 1, "seed " + seed + ": " + partner.highest);
            assertTrue(partner.answered > 400, "seed " + seed + ": only " + partner.answered);
        }
    }

    /** Where one daemon has all the messages, it gets more than its own part, lent by the others. */
    @Test
    void partsGoWhereTheMessagesAre() {
        fresh(20, 1, Trouble.none(), 200);
        for (Daemon d : fleet) {
            d.backlog = d.index == 3 ? 4_000 : 0;
        }
        play(13_500_000, 1e9);
        long with = partner.answered;
        assertTrue(partner.highest <= 1, "" + partner.highest);
        fresh(20, 1, new Trouble(1, 2_000, false, true, 1, 0), 200);
        for (Daemon d : fleet) {
            d.backlog = d.index == 3 ? 4_000 : 0;
        }
        play(13_500_000, 1e9);
        System.out.println("one of 20 has all: " + with + " answered with lending, " + partner.answered + " without");
        assertTrue(with > 2 * partner.answered, with + " with lending, " + partner.answered + " without");
    }

    private static Heartbeat.SlowStartUpdate well(int okAgo) {
        return new Heartbeat.SlowStartUpdate(PARTNER, Health.HEALTHY, -1, -1, okAgo, 100, 100, 0);
    }

    private static SlowStartLimit limit(int daemons) {
        return new SlowStartLimit(PARTNER, RULES, new QuotaShare(0, 1, daemons, LEASE, false), LEASE);
    }

    @Test
    void aPartnerThatIsWellForAPeerIsWellForOneThatHasJustStarted() {
        SlowStartLimit limit = limit(10);
        assertTrue(limit.isLimited(1_000));
        limit.onPeerUpdate(2_000, "b", well(100));
        assertTrue(Double.isInfinite(limit.ownPerSecond(3_000)));
        limit.onSuccess(4_000);
        assertEquals(Health.HEALTHY, limit.localHealth());
        // A word that is old or of an answer long ago says nothing.
        SlowStartLimit other = limit(10);
        other.onPeerUpdate(2_000, "b", well(6_000));
        assertTrue(other.isLimited(3_000));
        other.onPeerUpdate(3_000, "b", well(100));
        assertTrue(other.isLimited(3_000 + SlowStartLimit.REPORT_LIFE_MICROS));
    }

    /** An outage that only a peer has seen, while this daemon was answered all along, is that peer's own. */
    @Test
    void aPeersOwnTroubleSlowsNobodyElse() {
        SlowStartLimit limit = limit(10);
        limit.onPeerUpdate(0, "c", well(100));
        for (long now = 0; now < 20_000_000; now += 50_000) {
            limit.onSuccess(now);
        }
        Heartbeat.SlowStartUpdate claims =
                new Heartbeat.SlowStartUpdate(PARTNER, Health.SLOW_START, 8_000, 500, 100, 5, 100, 0);
        limit.onPeerUpdate(20_000_000, "b", claims);
        assertTrue(Double.isInfinite(limit.ownPerSecond(20_000_000)));
        // One that was answered by nobody here meanwhile is believed.
        SlowStartLimit silent = limit(10);
        silent.onPeerUpdate(0, "c", well(100));
        for (long now = 0; now < 11_000_000; now += 50_000) {
            silent.onSuccess(now);
        }
        silent.onPeerUpdate(20_000_000, "b", claims);
        assertTrue(silent.isLimited(20_000_000));
    }

    @Test
    void theNewsOfAReturnIsPassedOnOnce() {
        SlowStartLimit limit = limit(10);
        limit.onPeerUpdate(0, "c", well(100));
        limit.onSuccess(1_000);
        limit.onHealthChanged(2_000_000, Health.UNAVAILABLE, 2_000_000);
        assertTrue(!limit.onPeerUpdate(2_100_000, "b", well(3_000)), "its answer is older than the outage");
        Heartbeat.SlowStartUpdate back =
                new Heartbeat.SlowStartUpdate(PARTNER, Health.SLOW_START, 4_000, 10, 10, 5, 100, 0);
        assertTrue(limit.onPeerUpdate(8_000_000, "b", back));
        assertTrue(!limit.onPeerUpdate(8_200_000, "b", back));
        assertTrue(limit.isLimited(8_200_000));
    }

    /** The cold span over, nothing is limited any more, and what is told of it is the same. */
    @Test
    void aLimitEndsWithTheColdSpan() {
        SlowStartLimit limit = limit(4);
        limit.onHealthChanged(1_000_000, Health.UNAVAILABLE, 1_000_000);
        limit.onHealthChanged(5_000_000, Health.SLOW_START, 5_000_000);
        double before = 0;
        Map<Long, Double> rates = new HashMap<>();
        for (long now = 5_000_000; now < 5_000_000 + RULES.warmUpMicros(); now += 500_000) {
            rates.put(now, limit.fleetPerSecond(now));
            assertTrue(limit.fleetPerSecond(now) >= before);
            before = limit.fleetPerSecond(now);
        }
        assertTrue(Double.isInfinite(limit.fleetPerSecond(5_000_000 + RULES.warmUpMicros())));
        assertEquals(
                Health.HEALTHY,
                limit.currentUpdate(5_000_000 + RULES.warmUpMicros()).health());
    }
}
