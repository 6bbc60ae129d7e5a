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

/** Fleets in virtual time: every datagram goes through bytes, a way that delays and loses, and members that stop. */
class SwimMembershipTest {
    private static final long STEP = 20_000;

    private record Flying(long due, long order, String to, ByteBuffer bytes) {}

    private static final class Fleet {
        final List<String> names = new ArrayList<>();
        final List<SwimMembership> members = new ArrayList<>();
        final PriorityQueue<Flying> ways = new PriorityQueue<>(
                (a, b) -> a.due() != b.due() ? Long.compare(a.due(), b.due()) : Long.compare(a.order(), b.order()));
        final Set<String> stopped = new HashSet<>();
        final Set<String> slow = new HashSet<>();
        final Random random;
        double loss;
        long now;
        long sent;
        long bytes;
        long largest;

        Fleet(int size, long seed) {
            random = new Random(seed);
            System.out.println("fleet of " + size + " seed " + seed);
            for (int i = 0; i < size; i++) {
                names.add("m" + i);
            }
            for (int i = 0; i < size; i++) {
                SwimMembership swim =
                        new SwimMembership("m" + i, "z" + i % 3, names, 1_000, new SplittableRandom(seed + i));
                swim.setPhase(MembershipView.Phase.READY);
                members.add(swim);
            }
        }

        void run(long span) {
            long end = now + span;
            while (now < end) {
                now += STEP;
                while (!ways.isEmpty() && ways.peek().due() <= now) {
                    Flying f = ways.poll();
                    if (!stopped.contains(f.to())) {
                        SwimMessage probe = SwimMessage.decode(f.bytes());
                        send(members.get(Integer.parseInt(f.to().substring(1))).onMessage(f.due(), probe));
                    }
                }
                for (int i = 0; i < members.size(); i++) {
                    if (!stopped.contains(names.get(i))) {
                        send(members.get(i).tick(now));
                    }
                }
            }
        }

        private void send(List<SwimMembership.OutgoingMessage> out) {
            for (SwimMembership.OutgoingMessage o : out) {
                ByteBuffer written = o.message().encode();
                sent++;
                bytes += written.remaining();
                largest = Math.max(largest, written.remaining());
                if (random.nextDouble() >= loss) {
                    // What a slow member hears and says comes late.
                    long late = slow.contains(o.recipient())
                                    || slow.contains(o.message().sender())
                            ? 300_000
                            : 0;
                    ways.add(new Flying(now + 1_000 + random.nextInt(10_000) + late, sent, o.recipient(), written));
                }
            }
        }

        long takenForGone(String name) {
            return members.stream().filter(m -> m.hasFailed(name)).count();
        }

        /** Living members that some living member takes for gone. */
        long falselyGone() {
            return names.stream()
                    .filter(n -> !stopped.contains(n))
                    .filter(n -> {
                        for (int i = 0; i < names.size(); i++) {
                            if (!stopped.contains(names.get(i))
                                    && members.get(i).hasFailed(n)) {
                                return true;
                            }
                        }
                        return false;
                    })
                    .count();
        }
    }

    @Test
    void aLossIsKnownToAllAndTheLoadDoesNotGrow() {
        double[] each = new double[2];
        int at = 0;
        for (int size : new int[] {10, 100}) {
            Fleet fleet = new Fleet(size, 7);
            fleet.run(10_000_000);
            assertEquals(0, fleet.falselyGone());
            assertTrue(
                    fleet.members.get(0).members(fleet.now).stream().allMatch(MembershipView.Member::acceptsMessages));
            long before = fleet.sent;
            fleet.run(10_000_000);
            each[at++] = (fleet.sent - before) / 10.0 / size;
            fleet.stopped.add("m3");
            long since = fleet.now;
            while (fleet.takenForGone("m3") < size - 1 && fleet.now - since < 20_000_000) {
                fleet.run(100_000);
            }
            System.out.println("size " + size + ": " + each[at - 1] + " datagrams a member a second, largest "
                    + fleet.largest + ", known to all after ms " + (fleet.now - since) / 1_000);
            assertTrue(fleet.now - since < 6_000_000, "known to all after " + (fleet.now - since));
            assertEquals(0, fleet.falselyGone());
            assertTrue(fleet.largest <= Heartbeat.MAX_DATAGRAM_BYTES);
        }
        assertTrue(each[1] < 1.3 * each[0], each[0] + " to " + each[1]);
    }

    /** All start in one moment, and whoever was not heard of in the first seconds is not gone for that; later a loss is one. */
    @Test
    void aThousandStartAtOnceAndALossIsKnown() {
        Fleet fleet = new Fleet(1_000, 5);
        fleet.run(9_000_000);
        assertEquals(0, fleet.falselyGone());
        long before = fleet.sent;
        fleet.run(1_000_000);
        double each = (fleet.sent - before) / 1_000.0;
        fleet.stopped.add("m3");
        long since = fleet.now;
        while (fleet.takenForGone("m3") < 999 && fleet.now - since < 30_000_000) {
            fleet.run(200_000);
        }
        System.out.println("size 1000: " + each + " datagrams a member a second, largest " + fleet.largest
                + ", known to all after ms " + (fleet.now - since) / 1_000);
        assertTrue(each < 14, each + " datagrams a member a second");
        assertTrue(fleet.now - since < 30_000_000);
        assertEquals(0, fleet.falselyGone());
        assertTrue(fleet.largest <= Heartbeat.MAX_DATAGRAM_BYTES);
    }

    @Test
    void lostDatagramsAndSlowMembersAccuseNobody() {
        Fleet fleet = new Fleet(60, 11);
        fleet.run(10_000_000);
        fleet.loss = 0.2;
        fleet.slow.addAll(List.of("m1", "m2"));
        long falsely = 0;
        for (int i = 0; i < 60; i++) {
            fleet.run(1_000_000);
            falsely += names(fleet);
        }
        System.out.println("falsely taken for gone, sums of seconds over members that are not slow: " + falsely);
        assertEquals(0, falsely);
        assertTrue(fleet.members.get(1).localHealthScore() > 0
                || fleet.members.get(2).localHealthScore() > 0);
    }

    private static long names(Fleet fleet) {
        return fleet.names.stream()
                .filter(n -> !fleet.slow.contains(n))
                .filter(n -> fleet.members.stream().anyMatch(m -> m.hasFailed(n)))
                .count();
    }

    @Test
    void whoWasTakenForGoneComesBackWithAHigherIncarnation() {
        Fleet fleet = new Fleet(7, 3);
        fleet.run(5_000_000);
        fleet.stopped.add("m2");
        fleet.run(6_000_000);
        assertEquals(6, fleet.takenForGone("m2"));
        fleet.stopped.clear();
        fleet.run(8_000_000);
        assertEquals(0, fleet.falselyGone());
        assertTrue(fleet.members.get(0).members(fleet.now).stream()
                        .filter(m -> m.name().equals("m2"))
                        .findFirst()
                        .orElseThrow()
                        .incarnation()
                > 1_000);
        assertEquals("z2", fleet.members.get(0).zoneOf("m2"));
    }

    @Test
    void whatIsNoProbeIsPassedOver() {
        Random random = new Random(5);
        SwimMessage probe = new SwimMessage(
                SwimMessage.Kind.PING_REQUEST,
                7,
                "m1",
                9,
                MembershipView.Phase.READY,
                "z",
                "m2",
                List.of(new SwimMessage.MemberUpdate(
                        "m3", SwimMessage.MemberState.SUSPECT, 4, MembershipView.Phase.READY, "")));
        assertEquals(probe, SwimMessage.decode(probe.encode()));
        byte[] good = new byte[probe.encode().remaining()];
        probe.encode().get(good);
        for (int i = 0; i < good.length; i++) {
            assertNull(SwimMessage.decode(ByteBuffer.wrap(good, 0, i)));
        }
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = new byte[random.nextInt(100)];
            random.nextBytes(bad);
            read += SwimMessage.decode(ByteBuffer.wrap(bad)) == null ? 0 : 1;
        }
        assertEquals(0, read);
        assertNull(Heartbeat.decode(probe.encode()));
        assertFalse(new SwimMembership("a", "", List.of("a", "b"), 1, new SplittableRandom(1))
                .onMessage(0, probe)
                .iterator()
                .hasNext());
    }
}
