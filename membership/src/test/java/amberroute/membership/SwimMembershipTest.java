package amberroute.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates fleets in virtual time. Every message is encoded and decoded, the simulated network delays and loses datagrams, and members
 * can be stopped.
 */
class SwimMembershipTest {
    private static final long TICK_MICROS = 20_000;

    private record DatagramInFlight(long arrivesAtMicros, long sendOrder, String recipient, ByteBuffer bytes) {}

    private static final class Fleet {
        final List<String> names = new ArrayList<>();
        final List<SwimMembership> members = new ArrayList<>();
        final PriorityQueue<DatagramInFlight> inFlight =
                new PriorityQueue<>((first, second) -> first.arrivesAtMicros() != second.arrivesAtMicros()
                        ? Long.compare(first.arrivesAtMicros(), second.arrivesAtMicros())
                        : Long.compare(first.sendOrder(), second.sendOrder()));
        final Set<String> stopped = new HashSet<>();
        final Set<String> slow = new HashSet<>();
        final Random random;
        double lossProbability;
        long nowMicros;
        long datagramsSent;
        long bytesSent;
        long largestDatagramBytes;

        Fleet(int size, long seed) {
            random = new Random(seed);
            System.out.println("fleet of " + size + " seed " + seed);
            for (int i = 0; i < size; i++) {
                names.add("m" + i);
            }
            for (int i = 0; i < size; i++) {
                SwimMembership member =
                        new SwimMembership("m" + i, "z" + i % 3, names, 1_000, new SplittableRandom(seed + i));
                member.setPhase(MembershipView.Phase.READY);
                members.add(member);
            }
        }

        void run(long durationMicros) {
            long endMicros = nowMicros + durationMicros;
            while (nowMicros < endMicros) {
                nowMicros += TICK_MICROS;
                while (!inFlight.isEmpty() && inFlight.peek().arrivesAtMicros() <= nowMicros) {
                    DatagramInFlight datagram = inFlight.poll();
                    if (!stopped.contains(datagram.recipient())) {
                        SwimMessage message = SwimMessage.decode(datagram.bytes());
                        send(members.get(Integer.parseInt(datagram.recipient().substring(1)))
                                .onMessage(datagram.arrivesAtMicros(), message));
                    }
                }
                for (int i = 0; i < members.size(); i++) {
                    if (!stopped.contains(names.get(i))) {
                        send(members.get(i).tick(nowMicros));
                    }
                }
            }
        }

        private void send(List<SwimMembership.OutgoingMessage> outgoing) {
            for (SwimMembership.OutgoingMessage outgoingMessage : outgoing) {
                ByteBuffer encoded = outgoingMessage.message().encode();
                datagramsSent++;
                bytesSent += encoded.remaining();
                largestDatagramBytes = Math.max(largestDatagramBytes, encoded.remaining());
                if (random.nextDouble() >= lossProbability) {
                    // Datagrams to and from a slow member are delayed.
                    long delayMicros = slow.contains(outgoingMessage.recipient())
                                    || slow.contains(outgoingMessage.message().sender())
                            ? 300_000
                            : 0;
                    inFlight.add(new DatagramInFlight(
                            nowMicros + 1_000 + random.nextInt(10_000) + delayMicros,
                            datagramsSent,
                            outgoingMessage.recipient(),
                            encoded));
                }
            }
        }

        long countMembersThatSeeFailed(String name) {
            return members.stream().filter(member -> member.hasFailed(name)).count();
        }

        /** Counts the running members that at least one running member considers failed. */
        long countFalselyFailed() {
            return names.stream()
                    .filter(name -> !stopped.contains(name))
                    .filter(name -> {
                        for (int i = 0; i < names.size(); i++) {
                            if (!stopped.contains(names.get(i))
                                    && members.get(i).hasFailed(name)) {
                                return true;
                            }
                        }
                        return false;
                    })
                    .count();
        }
    }

    @Test
    void failureIsKnownToAllAndLoadPerMemberDoesNotGrowWithTheFleet() {
        double[] datagramsPerMemberSecond = new double[2];
        int index = 0;
        for (int size : new int[] {10, 100}) {
            Fleet fleet = new Fleet(size, 7);
            fleet.run(10_000_000);
            assertEquals(0, fleet.countFalselyFailed());
            assertTrue(fleet.members.get(0).members(fleet.nowMicros).stream()
                    .allMatch(MembershipView.Member::acceptsMessages));
            long sentBefore = fleet.datagramsSent;
            fleet.run(10_000_000);
            datagramsPerMemberSecond[index++] = (fleet.datagramsSent - sentBefore) / 10.0 / size;
            fleet.stopped.add("m3");
            long failedAtMicros = fleet.nowMicros;
            while (fleet.countMembersThatSeeFailed("m3") < size - 1 && fleet.nowMicros - failedAtMicros < 20_000_000) {
                fleet.run(100_000);
            }
            System.out.println("size " + size + ": " + datagramsPerMemberSecond[index - 1]
                    + " datagrams per member and second, largest " + fleet.largestDatagramBytes
                    + ", failure known to all after ms: "
                    + (fleet.nowMicros - failedAtMicros) / 1_000);
            assertTrue(
                    fleet.nowMicros - failedAtMicros < 6_000_000,
                    "failure known to all after microseconds: " + (fleet.nowMicros - failedAtMicros));
            assertEquals(0, fleet.countFalselyFailed());
            assertTrue(fleet.largestDatagramBytes <= Heartbeat.MAX_DATAGRAM_BYTES);
        }
        assertTrue(
                datagramsPerMemberSecond[1] < 1.3 * datagramsPerMemberSecond[0],
                "datagrams per member and second: " + datagramsPerMemberSecond[0]
                        + " with 10 members, with 100 members " + datagramsPerMemberSecond[1]);
    }

    /**
     * In a large fleet that starts at once, some members are not heard from within the first contact timeout. They must not be considered
     * failed for that alone, while a member that stops later must be.
     */
    @Test
    void thousandMembersStartedAtOnceDetectOnlyTheRealFailure() {
        Fleet fleet = new Fleet(1_000, 5);
        fleet.run(9_000_000);
        assertEquals(0, fleet.countFalselyFailed());
        long sentBefore = fleet.datagramsSent;
        fleet.run(1_000_000);
        double datagramsPerMemberSecond = (fleet.datagramsSent - sentBefore) / 1_000.0;
        fleet.stopped.add("m3");
        long failedAtMicros = fleet.nowMicros;
        while (fleet.countMembersThatSeeFailed("m3") < 999 && fleet.nowMicros - failedAtMicros < 30_000_000) {
            fleet.run(200_000);
        }
        System.out.println("size 1000: " + datagramsPerMemberSecond + " datagrams per member and second, largest "
                + fleet.largestDatagramBytes + ", failure known to all after ms: "
                + (fleet.nowMicros - failedAtMicros) / 1_000);
        assertTrue(datagramsPerMemberSecond < 14, datagramsPerMemberSecond + " datagrams per member and second");
        assertTrue(fleet.nowMicros - failedAtMicros < 30_000_000);
        assertEquals(0, fleet.countFalselyFailed());
        assertTrue(fleet.largestDatagramBytes <= Heartbeat.MAX_DATAGRAM_BYTES);
    }

    @Test
    void lostDatagramsAndSlowMembersCauseNoFalseFailure() {
        Fleet fleet = new Fleet(60, 11);
        fleet.run(10_000_000);
        fleet.lossProbability = 0.2;
        fleet.slow.addAll(List.of("m1", "m2"));
        long falselyFailedMemberSeconds = 0;
        for (int i = 0; i < 60; i++) {
            fleet.run(1_000_000);
            falselyFailedMemberSeconds += countFalselyFailedFastMembers(fleet);
        }
        System.out.println(
                "false failures of members that are not slow, in member seconds: " + falselyFailedMemberSeconds);
        assertEquals(0, falselyFailedMemberSeconds);
        assertTrue(fleet.members.get(1).localHealthScore() > 0
                || fleet.members.get(2).localHealthScore() > 0);
    }

    private static long countFalselyFailedFastMembers(Fleet fleet) {
        return fleet.names.stream()
                .filter(name -> !fleet.slow.contains(name))
                .filter(name -> fleet.members.stream().anyMatch(member -> member.hasFailed(name)))
                .count();
    }

    @Test
    void failedMemberThatReturnsIsAliveWithAHigherIncarnation() {
        Fleet fleet = new Fleet(7, 3);
        fleet.run(5_000_000);
        fleet.stopped.add("m2");
        fleet.run(6_000_000);
        assertEquals(6, fleet.countMembersThatSeeFailed("m2"));
        fleet.stopped.clear();
        fleet.run(8_000_000);
        assertEquals(0, fleet.countFalselyFailed());
        assertTrue(fleet.members.get(0).members(fleet.nowMicros).stream()
                        .filter(member -> member.name().equals("m2"))
                        .findFirst()
                        .orElseThrow()
                        .incarnation()
                > 1_000);
        assertEquals("z2", fleet.members.get(0).zoneOf("m2"));
    }

    @Test
    void malformedSwimMessageIsNotDecoded() {
        Random random = new Random(5);
        SwimMessage pingRequest = new SwimMessage(
                SwimMessage.Kind.PING_REQUEST,
                7,
                "m1",
                9,
                MembershipView.Phase.READY,
                "z",
                "m2",
                List.of(new SwimMessage.MemberUpdate(
                        "m3", SwimMessage.MemberState.SUSPECT, 4, MembershipView.Phase.READY, "")));
        assertEquals(pingRequest, SwimMessage.decode(pingRequest.encode()));
        byte[] validBytes = new byte[pingRequest.encode().remaining()];
        pingRequest.encode().get(validBytes);
        for (int i = 0; i < validBytes.length; i++) {
            assertNull(SwimMessage.decode(ByteBuffer.wrap(validBytes, 0, i)));
        }
        int decodedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] randomBytes = new byte[random.nextInt(100)];
            random.nextBytes(randomBytes);
            decodedCount += SwimMessage.decode(ByteBuffer.wrap(randomBytes)) == null ? 0 : 1;
        }
        assertEquals(0, decodedCount);
        assertNull(Heartbeat.decode(pingRequest.encode()));
        assertFalse(new SwimMembership("a", "", List.of("a", "b"), 1, new SplittableRandom(1))
                .onMessage(0, pingRequest)
                .iterator()
                .hasNext());
    }
}
