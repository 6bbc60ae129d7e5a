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
 * Simulates whole fleets that send to one destination while it warms up after an outage. Heartbeats are lost, delayed and
 * duplicated, the fleet is partitioned, senders crash and clocks differ. The tests check the highest load of the
 * destination over any overload window, relative to the load that overloads it.
 */
class SlowStartFleetTest {
    private static final SlowStartLimit.Rules RULES = new SlowStartLimit.Rules(0.15, 14_000_000, 2.5, 1_500_000, 20);
    private static final long LEASE_MICROS = 500_000;
    private static final long STEP_MICROS = 2_000;
    private static final int DESTINATION = 7;

    /** A destination that is unavailable until it recovers, and then warms up. */
    private static final class SimulatedDestination {
        final double capacityPerSecond;
        final Deque<Long> recentCalls = new ArrayDeque<>();
        long recoversAtMicros;
        double highestLoadRatio;
        int overloadCount;
        long servedCount;
        double tokens;

        SimulatedDestination(double capacityPerSecond, long recoversAtMicros) {
            this.capacityPerSecond = capacityPerSecond;
            this.recoversAtMicros = recoversAtMicros;
        }

        double currentCapacity(long timeMicros) {
            return capacityPerSecond
                    * Math.min(
                            1,
                            RULES.initialFraction()
                                    + (1 - RULES.initialFraction())
                                            * Math.max(0, timeMicros - recoversAtMicros)
                                            / RULES.warmUpMicros());
        }

        /** Returns whether a message that arrives now is served; a rejected one adds as much load. */
        boolean tryServe(long timeMicros) {
            if (timeMicros < recoversAtMicros) {
                return false;
            }
            recentCalls.addLast(timeMicros);
            while (recentCalls.peekFirst() < timeMicros - RULES.overloadWindowMicros()) {
                recentCalls.removeFirst();
            }
            double overloadCalls =
                    RULES.overloadMultiple() * currentCapacity(timeMicros) * RULES.overloadWindowMicros() / 1e6;
            if (timeMicros - recoversAtMicros < RULES.warmUpMicros()) {
                highestLoadRatio = Math.max(highestLoadRatio, recentCalls.size() / overloadCalls);
                overloadCount += recentCalls.size() > overloadCalls ? 1 : 0;
            }
            if (tokens < 1) {
                return false;
            }
            tokens--;
            servedCount++;
            return true;
        }

        void refillTokens(long timeMicros) {
            tokens =
                    Math.min(currentCapacity(timeMicros) / 4, tokens + currentCapacity(timeMicros) * STEP_MICROS / 1e6);
        }
    }

    private record Packet(long deliverAtMicros, long sequence, int recipient, Heartbeat heartbeat) {}

    /** The faults of a run, and whether the rate limits are enforced. */
    private record Scenario(
            double lossProbability,
            long maxDelayMicros,
            boolean partitioned,
            boolean limitsEnforced,
            double maxClockRate,
            int crashedSenders) {
        static Scenario withoutFaults() {
            return new Scenario(0, 2_000, false, true, 1, 0);
        }
    }

    private final class SimulatedSender {
        final int index;
        final String name;
        final double clockRate;
        final long clockOffset;
        SlowStartLimits limits;
        HeartbeatMonitor heartbeats;
        double ratePerSecond = Double.POSITIVE_INFINITY;
        double credit;
        long creditAtMicros;
        int backlog;
        boolean crashed;
        boolean outageKnown;

        SimulatedSender(int index, double clockRate, long clockOffset) {
            this.index = index;
            this.name = String.format("d%02d", index);
            this.clockRate = clockRate;
            this.clockOffset = clockOffset;
        }

        long localTime(long timeMicros) {
            return (long) (timeMicros * clockRate) + clockOffset;
        }
    }

    private final List<SimulatedSender> senders = new ArrayList<>();
    private final PriorityQueue<Packet> packetsInFlight = new PriorityQueue<>(
            Comparator.comparingLong(Packet::deliverAtMicros).thenComparingLong(Packet::sequence));
    private SplittableRandom random;
    private Scenario scenario;
    private long nextSequence;

    private SimulatedDestination destination;

    private void buildFleet(
            int senderCount,
            long seed,
            Scenario newScenario,
            SimulatedDestination newDestination,
            int backlog,
            boolean freshStart) {
        random = new SplittableRandom(seed);
        scenario = newScenario;
        destination = newDestination;
        List<String> names = new ArrayList<>();
        for (int i = 0; i < senderCount; i++) {
            names.add(String.format("d%02d", i));
        }
        for (int i = 0; i < senderCount; i++) {
            SimulatedSender sender = new SimulatedSender(
                    i, 1 + (scenario.maxClockRate() - 1) * random.nextDouble(), 1_000_000_000L * (i + 1));
            long now = sender.localTime(0);
            sender.limits = new SlowStartLimits(
                    now, new SlowStartLimits.FleetParameters(senderCount, i, LEASE_MICROS, RULES), 1);
            List<String> peers = new ArrayList<>(names);
            peers.remove(sender.name);
            sender.heartbeats = new HeartbeatMonitor(peers, 1);
            sender.backlog = backlog / senderCount;
            if (!freshStart) {
                // The sender has observed successes and then the outage.
                sender.limits.onSuccess(now, DESTINATION);
                sender.limits.onHealthChanged(now, DESTINATION, Health.UNAVAILABLE, now);
            }
            applyRateLimit(sender, now, sender.limits.onDestinationListed(now, DESTINATION));
            senders.add(sender);
        }
    }

    private void applyRateLimit(SimulatedSender sender, long now, SlowStartLimits.RateLimit limit) {
        if (limit == null) {
            return;
        }
        if (Double.isInfinite(sender.ratePerSecond)) {
            sender.credit = limit.initialCredit();
        } else {
            updateCredit(sender, now);
        }
        sender.creditAtMicros = now;
        sender.ratePerSecond = limit.perSecond();
    }

    private static void updateCredit(SimulatedSender sender, long now) {
        sender.credit = Math.min(1, sender.credit + sender.ratePerSecond * (now - sender.creditAtMicros) / 1e6);
        sender.creditAtMicros = now;
    }

    private void send(long timeMicros, SimulatedSender from, int to, Heartbeat heartbeat) {
        boolean separated = scenario.partitioned() && from.index % 2 != to % 2;
        int copies = random.nextDouble() < scenario.lossProbability() || separated
                ? 0
                : random.nextDouble() < scenario.lossProbability() ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            packetsInFlight.add(new Packet(
                    timeMicros + 200 + random.nextLong(Math.max(1, scenario.maxDelayMicros())),
                    nextSequence++,
                    to,
                    Heartbeat.decode(heartbeat.encode())));
        }
    }

    private void broadcastHeartbeat(long timeMicros, SimulatedSender sender) {
        Heartbeat heartbeat = sender.heartbeats.nextHeartbeat(
                sender.localTime(timeMicros),
                sender.name,
                MembershipView.Phase.READY,
                sender.limits.currentUpdates(sender.localTime(timeMicros)));
        for (SimulatedSender other : senders) {
            if (other != sender) {
                send(timeMicros, sender, other.index, heartbeat);
            }
        }
    }

    /** Returns the time from the recovery until the destination first served the target rate for a second, -1 if it never did. */
    private long run(long durationMicros, double targetPerSecond) {
        Deque<Long> recentlyServed = new ArrayDeque<>();
        long targetReachedMicros = -1;
        for (long timeMicros = 0; timeMicros < durationMicros; timeMicros += STEP_MICROS) {
            destination.refillTokens(timeMicros);
            while (!packetsInFlight.isEmpty() && packetsInFlight.peek().deliverAtMicros() <= timeMicros) {
                deliver(timeMicros, packetsInFlight.poll());
            }
            for (SimulatedSender sender : senders) {
                if (!sender.crashed) {
                    stepSender(timeMicros, sender, recentlyServed);
                }
            }
            if (scenario.crashedSenders() > 0 && timeMicros == 6_000_000) {
                senders.subList(0, scenario.crashedSenders()).forEach(sender -> sender.crashed = true);
            }
            while (!recentlyServed.isEmpty() && recentlyServed.peekFirst() < timeMicros - 1_000_000) {
                recentlyServed.removeFirst();
            }
            if (targetReachedMicros < 0 && recentlyServed.size() >= targetPerSecond) {
                targetReachedMicros = timeMicros - destination.recoversAtMicros;
            }
        }
        return targetReachedMicros;
    }

    private void deliver(long timeMicros, Packet packet) {
        SimulatedSender sender = senders.get(packet.recipient());
        long now = sender.localTime(timeMicros);
        if (sender.crashed || packet.heartbeat() == null || !sender.heartbeats.onHeartbeat(now, packet.heartbeat())) {
            return;
        }
        sender.limits
                .onPeerUpdates(
                        now, packet.heartbeat().sender(), packet.heartbeat().updates())
                .forEach(limit -> applyRateLimit(sender, now, limit));
        List<Heartbeat.QuotaLoan> replies = sender.limits.onLoans(
                now, packet.heartbeat().sender(), packet.heartbeat().loans());
        if (!replies.isEmpty()) {
            send(
                    timeMicros,
                    sender,
                    Integer.parseInt(packet.heartbeat().sender().substring(1)),
                    sender.heartbeats.nextHeartbeat(sender.name, MembershipView.Phase.READY, replies));
        }
    }

    private void stepSender(long timeMicros, SimulatedSender sender, Deque<Long> recentlyServed) {
        long now = sender.localTime(timeMicros);
        if (timeMicros % 50_000 == 0) {
            sender.limits
                    .changedLimits(now, destination -> sender.backlog)
                    .forEach(limit -> applyRateLimit(sender, now, limit));
            sender.limits
                    .loanRequests(now, sender.heartbeats)
                    .forEach((peer, loans) -> send(
                            timeMicros,
                            sender,
                            Integer.parseInt(peer.substring(1)),
                            sender.heartbeats.nextHeartbeat(sender.name, MembershipView.Phase.READY, loans)));
        }
        if (sender.heartbeats.isDue(now)) {
            broadcastHeartbeat(timeMicros, sender);
        }
        // At most 2 calls in a step, roughly what 16 slots allow with calls of 20 ms.
        for (int i = 0; i < 2 && sender.backlog > 0; i++) {
            if (scenario.limitsEnforced() && !Double.isInfinite(sender.ratePerSecond)) {
                updateCredit(sender, now);
                if (sender.credit < 1) {
                    return;
                }
                sender.credit--;
            }
            if (destination.tryServe(timeMicros)) {
                sender.backlog--;
                recentlyServed.addLast(timeMicros);
                if (sender.limits.onSuccess(now, DESTINATION)) {
                    broadcastHeartbeat(timeMicros, sender);
                }
                if (sender.outageKnown) {
                    sender.outageKnown = false;
                    sender.limits.onHealthChanged(now, DESTINATION, Health.SLOW_START, now);
                    broadcastHeartbeat(timeMicros, sender);
                }
            }
        }
    }

    private void startFreshFleet(int senderCount, long seed, Scenario newScenario, double capacityPerSecond) {
        senders.clear();
        packetsInFlight.clear();
        buildFleet(
                senderCount,
                seed,
                newScenario,
                new SimulatedDestination(capacityPerSecond, 0),
                (int) (capacityPerSecond * 20),
                true);
    }

    /** Forty senders with no knowledge of the destination and a large backlog start together while it is cold. */
    @Test
    void fortyFreshSendersDoNotOverloadAColdDestination() {
        for (long seed = 1; seed <= 5; seed++) {
            startFreshFleet(40, seed, Scenario.withoutFaults(), 400);
            long recoveryMicros = run(20_000_000, 400 * 0.5);
            System.out.println("40 fresh senders, seed " + seed + ": highest load ratio " + destination.highestLoadRatio
                    + ", half of the capacity served after " + recoveryMicros / 1e6 + " s");
            assertTrue(
                    destination.highestLoadRatio <= 1,
                    "seed " + seed + ": highest load ratio " + destination.highestLoadRatio);
            assertTrue(recoveryMicros > 0, "seed " + seed + ": never served half of its capacity");
        }
    }

    /** Control run: without limits, the same load overloads the destination. */
    @Test
    void sameFleetWithoutLimitsOverloadsTheDestination() {
        startFreshFleet(40, 1, new Scenario(0, 2_000, false, false, 1, 0), 400);
        run(2_000_000, 200);
        assertTrue(destination.highestLoadRatio > 1, "highest load ratio " + destination.highestLoadRatio);
        assertTrue(destination.overloadCount > 0);
    }

    @Test
    void partitionedHalvesKeepTheLimit() {
        for (long seed = 1; seed <= 5; seed++) {
            startFreshFleet(40, seed, new Scenario(0.1, 50_000, true, true, 1, 0), 400);
            run(20_000_000, 200);
            assertTrue(
                    destination.highestLoadRatio <= 1,
                    "seed " + seed + ": highest load ratio " + destination.highestLoadRatio);
            assertTrue(destination.servedCount > 400, "seed " + seed + ": messages served: " + destination.servedCount);
        }
    }

    @Test
    void fastClocksLossAndCrashesKeepTheLimit() {
        for (long seed = 1; seed <= 5; seed++) {
            startFreshFleet(20, seed, new Scenario(0.2, 300_000, false, true, 1.02, 8), 400);
            run(20_000_000, 200);
            assertTrue(
                    destination.highestLoadRatio <= 1,
                    "seed " + seed + ": highest load ratio " + destination.highestLoadRatio);
            assertTrue(destination.servedCount > 400, "seed " + seed + ": messages served: " + destination.servedCount);
        }
    }

    /** A sender that has all the messages borrows quota from the others and so uses more than its own fraction. */
    @Test
    void quotaIsLentToTheSenderWithTheMessages() {
        startFreshFleet(20, 1, Scenario.withoutFaults(), 200);
        for (SimulatedSender sender : senders) {
            sender.backlog = sender.index == 3 ? 4_000 : 0;
        }
        run(13_500_000, 1e9);
        long servedWithLending = destination.servedCount;
        assertTrue(destination.highestLoadRatio <= 1, "highest load ratio " + destination.highestLoadRatio);
        startFreshFleet(20, 1, new Scenario(1, 2_000, false, true, 1, 0), 200);
        for (SimulatedSender sender : senders) {
            sender.backlog = sender.index == 3 ? 4_000 : 0;
        }
        run(13_500_000, 1e9);
        System.out.println("one of 20 senders has all messages: " + servedWithLending + " served with lending, "
                + destination.servedCount + " without");
        assertTrue(
                servedWithLending > 2 * destination.servedCount,
                servedWithLending + " with lending, " + destination.servedCount + " without");
    }

    private static Heartbeat.SlowStartUpdate healthyUpdate(int successAgoMillis) {
        return new Heartbeat.SlowStartUpdate(DESTINATION, Health.HEALTHY, -1, -1, successAgoMillis, 100, 100, 0);
    }

    private static SlowStartLimit limit(int senderCount) {
        return new SlowStartLimit(
                DESTINATION, RULES, new QuotaShare(0, 1, senderCount, LEASE_MICROS, false), LEASE_MICROS);
    }

    @Test
    void destinationHealthyForAPeerIsUnlimitedForAStartingSender() {
        SlowStartLimit limit = limit(10);
        assertTrue(limit.isLimited(1_000));
        limit.onPeerUpdate(2_000, "b", healthyUpdate(100));
        assertTrue(Double.isInfinite(limit.ownPerSecond(3_000)));
        limit.onSuccess(4_000);
        assertEquals(Health.HEALTHY, limit.localHealth());
        // An expired report, or one whose last success is long ago, has no effect.
        SlowStartLimit other = limit(10);
        other.onPeerUpdate(2_000, "b", healthyUpdate(6_000));
        assertTrue(other.isLimited(3_000));
        other.onPeerUpdate(3_000, "b", healthyUpdate(100));
        assertTrue(other.isLimited(3_000 + SlowStartLimit.REPORT_LIFE_MICROS));
    }

    /** A peer reports an outage during which this sender had successes, so only the path from that peer failed. */
    @Test
    void outageSeenByOnePeerOnlyLimitsNobodyElse() {
        SlowStartLimit limit = limit(10);
        limit.onPeerUpdate(0, "c", healthyUpdate(100));
        for (long now = 0; now < 20_000_000; now += 50_000) {
            limit.onSuccess(now);
        }
        Heartbeat.SlowStartUpdate slowStartUpdate =
                new Heartbeat.SlowStartUpdate(DESTINATION, Health.SLOW_START, 8_000, 500, 100, 5, 100, 0);
        limit.onPeerUpdate(20_000_000, "b", slowStartUpdate);
        assertTrue(Double.isInfinite(limit.ownPerSecond(20_000_000)));
        // Without local successes during the outage, the report counts.
        SlowStartLimit withoutSuccesses = limit(10);
        withoutSuccesses.onPeerUpdate(0, "c", healthyUpdate(100));
        for (long now = 0; now < 11_000_000; now += 50_000) {
            withoutSuccesses.onSuccess(now);
        }
        withoutSuccesses.onPeerUpdate(20_000_000, "b", slowStartUpdate);
        assertTrue(withoutSuccesses.isLimited(20_000_000));
    }

    @Test
    void recoverySeenByAPeerIsReportedOnce() {
        SlowStartLimit limit = limit(10);
        limit.onPeerUpdate(0, "c", healthyUpdate(100));
        limit.onSuccess(1_000);
        limit.onHealthChanged(2_000_000, Health.UNAVAILABLE, 2_000_000);
        assertTrue(
                !limit.onPeerUpdate(2_100_000, "b", healthyUpdate(3_000)),
                "the success of the peer is older than the outage");
        Heartbeat.SlowStartUpdate recovered =
                new Heartbeat.SlowStartUpdate(DESTINATION, Health.SLOW_START, 4_000, 10, 10, 5, 100, 0);
        assertTrue(limit.onPeerUpdate(8_000_000, "b", recovered));
        assertTrue(!limit.onPeerUpdate(8_200_000, "b", recovered));
        assertTrue(limit.isLimited(8_200_000));
    }

    /** After the warm-up there is no limit, and the update to peers reports the destination as healthy. */
    @Test
    void limitEndsWithTheWarmUp() {
        SlowStartLimit limit = limit(4);
        limit.onHealthChanged(1_000_000, Health.UNAVAILABLE, 1_000_000);
        limit.onHealthChanged(5_000_000, Health.SLOW_START, 5_000_000);
        double previousRate = 0;
        Map<Long, Double> rates = new HashMap<>();
        for (long now = 5_000_000; now < 5_000_000 + RULES.warmUpMicros(); now += 500_000) {
            rates.put(now, limit.fleetPerSecond(now));
            assertTrue(limit.fleetPerSecond(now) >= previousRate);
            previousRate = limit.fleetPerSecond(now);
        }
        assertTrue(Double.isInfinite(limit.fleetPerSecond(5_000_000 + RULES.warmUpMicros())));
        assertEquals(
                Health.HEALTHY,
                limit.currentUpdate(5_000_000 + RULES.warmUpMicros()).health());
    }
}
