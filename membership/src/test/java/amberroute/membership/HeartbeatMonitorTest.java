package amberroute.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the heartbeat format, which heartbeats are accepted, and when a peer is considered failed. */
class HeartbeatMonitorTest {
    private static Heartbeat heartbeat(String sender, long incarnation, long sequence, MembershipView.Phase phase) {
        return new Heartbeat(sender, incarnation, sequence, phase, List.of(), List.of());
    }

    private static Heartbeat largestHeartbeat() {
        List<Heartbeat.SlowStartUpdate> updates = new ArrayList<>();
        for (int i = 0; i < Heartbeat.MAX_UPDATES; i++) {
            updates.add(new Heartbeat.SlowStartUpdate(
                    i, Heartbeat.Health.values()[i % 4], -1, i, Heartbeat.MAX_AGE_MILLIS, i / 3f, 1e9f, 0));
        }
        List<Heartbeat.QuotaLoan> loans = new ArrayList<>();
        for (int i = 0; i < Heartbeat.MAX_LOANS; i++) {
            loans.add(new Heartbeat.QuotaLoan(i % 2 == 0, -i, Long.MIN_VALUE + i, i / 32f));
        }
        return new Heartbeat("n".repeat(64), Long.MAX_VALUE, 0, MembershipView.Phase.DRAINING, updates, loans);
    }

    @Test
    void encodedHeartbeatDecodesToTheSameValue() {
        assertEquals(largestHeartbeat(), Heartbeat.decode(largestHeartbeat().encode()));
        assertTrue(largestHeartbeat().encode().remaining() <= Heartbeat.MAX_DATAGRAM_BYTES);
        Heartbeat small = heartbeat("a", 0, 1, MembershipView.Phase.STARTING);
        assertEquals(small, Heartbeat.decode(small.encode()));
    }

    @Test
    void heartbeatOutsideItsBoundsIsNotEncoded() {
        List<Heartbeat.QuotaLoan> tooManyLoans = new ArrayList<>();
        for (int i = 0; i <= Heartbeat.MAX_LOANS; i++) {
            tooManyLoans.add(new Heartbeat.QuotaLoan(true, 1, 1, 0));
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new Heartbeat("a", 1, 1, MembershipView.Phase.READY, List.of(), tooManyLoans).encode());
        assertThrows(IllegalArgumentException.class, () -> heartbeat("", 1, 1, MembershipView.Phase.READY)
                .encode());
    }

    /** A truncated heartbeat is rejected, one with changed bytes is rejected or decodes within range; decoding never throws. */
    @Test
    void corruptHeartbeatIsRejectedOrDecodedWithinRange() {
        byte[] validBytes = new byte[largestHeartbeat().encode().remaining()];
        largestHeartbeat().encode().get(validBytes);
        for (int length = 0; length < validBytes.length; length++) {
            assertNull(Heartbeat.decode(ByteBuffer.wrap(validBytes, 0, length)), "truncated to " + length + " bytes");
        }
        SplittableRandom random = new SplittableRandom(7);
        int decodedCount = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] corruptBytes = validBytes.clone();
            for (int changes = 1 + random.nextInt(4); changes > 0; changes--) {
                corruptBytes[random.nextInt(corruptBytes.length)] = (byte) random.nextInt(256);
            }
            Heartbeat decoded = Heartbeat.decode(ByteBuffer.wrap(corruptBytes));
            if (decoded != null) {
                decodedCount++;
                decoded.updates()
                        .forEach(update -> assertTrue(update.servedPerSecond() >= 0
                                && update.servedPerSecond() <= 1e9
                                && update.successAgoMillis() >= -1));
                decoded.loans().forEach(loan -> assertTrue(loan.fraction() >= 0 && loan.fraction() <= 1));
            }
        }
        assertTrue(decodedCount > 100, "too few corrupt heartbeats were decoded to check their ranges");
        byte[] withTrailingByte = java.util.Arrays.copyOf(validBytes, validBytes.length + 1);
        assertNull(Heartbeat.decode(ByteBuffer.wrap(withTrailingByte)));
    }

    @Test
    void peerIsAliveUntilTheFailureTimeoutAfterItsLastHeartbeat() {
        HeartbeatMonitor monitor = new HeartbeatMonitor(List.of("a", "b"), 5);
        assertFalse(monitor.members(0).get(0).alive());
        assertEquals(-1, monitor.members(0).get(0).heardAgoMicros());
        assertTrue(monitor.onHeartbeat(1_000, heartbeat("a", 3, 1, MembershipView.Phase.READY)));
        assertTrue(monitor.members(1_000 + HeartbeatMonitor.FAILURE_TIMEOUT_MICROS - 1)
                .get(0)
                .acceptsMessages());
        assertFalse(monitor.members(1_000 + HeartbeatMonitor.FAILURE_TIMEOUT_MICROS)
                .get(0)
                .alive());
        assertTrue(monitor.onHeartbeat(2_000_000, heartbeat("a", 3, 2, MembershipView.Phase.DRAINING)));
        assertTrue(monitor.members(2_000_000).get(0).alive());
        assertFalse(monitor.members(2_000_000).get(0).acceptsMessages());
        assertFalse(monitor.members(2_000_000).get(1).alive());
    }

    @Test
    void outdatedRepeatedAndUnknownHeartbeatsAreIgnored() {
        HeartbeatMonitor monitor = new HeartbeatMonitor(List.of("a"), 5);
        assertTrue(monitor.onHeartbeat(0, heartbeat("a", 3, 7, MembershipView.Phase.READY)));
        assertFalse(monitor.onHeartbeat(10, heartbeat("a", 3, 7, MembershipView.Phase.DRAINING)));
        assertFalse(monitor.onHeartbeat(10, heartbeat("a", 3, 6, MembershipView.Phase.DRAINING)));
        assertFalse(monitor.onHeartbeat(10, heartbeat("a", 2, 99, MembershipView.Phase.DRAINING)));
        assertFalse(monitor.onHeartbeat(10, heartbeat("c", 9, 9, MembershipView.Phase.READY)));
        assertEquals(MembershipView.Phase.READY, monitor.members(20).get(0).phase());
        assertTrue(
                monitor.onHeartbeat(30, heartbeat("a", 4, 1, MembershipView.Phase.STARTING)),
                "a new incarnation starts a new sequence");
        assertFalse(monitor.onHeartbeat(40, heartbeat("a", 3, 8, MembershipView.Phase.READY)));
    }

    @Test
    void heartbeatIsDueAfterTheIntervalWithAnIncreasingSequence() {
        HeartbeatMonitor monitor = new HeartbeatMonitor(List.of("a"), 5);
        assertTrue(monitor.isDue(0));
        Heartbeat first = monitor.nextHeartbeat(0, "me", MembershipView.Phase.READY, List.of());
        Heartbeat second = monitor.nextHeartbeat("me", MembershipView.Phase.READY, List.of());
        assertTrue(second.sequence() > first.sequence());
        assertFalse(
                monitor.isDue(HeartbeatMonitor.INTERVAL_MICROS - 1),
                "an extra heartbeat to one peer does not change when the next regular one is due");
        assertTrue(monitor.isDue(HeartbeatMonitor.INTERVAL_MICROS));
    }
}
