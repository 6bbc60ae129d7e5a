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

/** Which heartbeats count, and when a peer is taken for failed. */
class HeartbeatMonitorTest {
    private static Heartbeat beat(String from, long incarnation, long number, MembershipView.Phase phase) {
        return new Heartbeat(from, incarnation, number, phase, List.of(), List.of());
    }

    private static Heartbeat full() {
        List<Heartbeat.SlowStartUpdate> news = new ArrayList<>();
        for (int i = 0; i < Heartbeat.MAX_UPDATES; i++) {
            news.add(new Heartbeat.SlowStartUpdate(
                    i, Heartbeat.Health.values()[i % 4], -1, i, Heartbeat.MAX_AGE_MILLIS, i / 3f, 1e9f, 0));
        }
        List<Heartbeat.QuotaLoan> loans = new ArrayList<>();
        for (int i = 0; i < Heartbeat.MAX_LOANS; i++) {
            loans.add(new Heartbeat.QuotaLoan(i % 2 == 0, -i, Long.MIN_VALUE + i, i / 32f));
        }
        return new Heartbeat("n".repeat(64), Long.MAX_VALUE, 0, MembershipView.Phase.DRAINING, news, loans);
    }

    @Test
    void whatIsWrittenIsReadAgain() {
        assertEquals(full(), Heartbeat.decode(full().encode()));
        assertTrue(full().encode().remaining() <= Heartbeat.MAX_DATAGRAM_BYTES);
        Heartbeat small = beat("a", 0, 1, MembershipView.Phase.STARTING);
        assertEquals(small, Heartbeat.decode(small.encode()));
    }

    @Test
    void tooMuchIsNotWritten() {
        List<Heartbeat.QuotaLoan> many = new ArrayList<>();
        for (int i = 0; i <= Heartbeat.MAX_LOANS; i++) {
            many.add(new Heartbeat.QuotaLoan(true, 1, 1, 0));
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new Heartbeat("a", 1, 1, MembershipView.Phase.READY, List.of(), many).encode());
        assertThrows(IllegalArgumentException.class, () -> beat("", 1, 1, MembershipView.Phase.READY)
                .encode());
    }

    /** Cut anywhere, or with any byte changed, it is read as something in range or not at all; it never throws. */
    @Test
    void nothingThatIsSpoiltIsReadOutOfRange() {
        byte[] good = new byte[full().encode().remaining()];
        full().encode().get(good);
        for (int length = 0; length < good.length; length++) {
            assertNull(Heartbeat.decode(ByteBuffer.wrap(good, 0, length)), "cut to " + length);
        }
        SplittableRandom random = new SplittableRandom(7);
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = good.clone();
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
            }
            Heartbeat beat = Heartbeat.decode(ByteBuffer.wrap(bad));
            if (beat != null) {
                read++;
                beat.updates()
                        .forEach(n -> assertTrue(
                                n.servedPerSecond() >= 0 && n.servedPerSecond() <= 1e9 && n.successAgoMillis() >= -1));
                beat.loans().forEach(l -> assertTrue(l.fraction() >= 0 && l.fraction() <= 1));
            }
        }
        assertTrue(read > 100, "hardly any was read, so nothing was shown");
        byte[] longer = java.util.Arrays.copyOf(good, good.length + 1);
        assertNull(Heartbeat.decode(ByteBuffer.wrap(longer)));
    }

    @Test
    void aPeerIsThereAsLongAsItIsHeard() {
        HeartbeatMonitor view = new HeartbeatMonitor(List.of("a", "b"), 5);
        assertFalse(view.members(0).get(0).alive());
        assertEquals(-1, view.members(0).get(0).heardAgoMicros());
        assertTrue(view.onHeartbeat(1_000, beat("a", 3, 1, MembershipView.Phase.READY)));
        assertTrue(view.members(1_000 + HeartbeatMonitor.FAILURE_TIMEOUT_MICROS - 1)
                .get(0)
                .acceptsMessages());
        assertFalse(view.members(1_000 + HeartbeatMonitor.FAILURE_TIMEOUT_MICROS)
                .get(0)
                .alive());
        assertTrue(view.onHeartbeat(2_000_000, beat("a", 3, 2, MembershipView.Phase.DRAINING)));
        assertTrue(view.members(2_000_000).get(0).alive());
        assertFalse(view.members(2_000_000).get(0).acceptsMessages());
        assertFalse(view.members(2_000_000).get(1).alive());
    }

    @Test
    void whatIsOldDoubledOrFromStrangersChangesNothing() {
        HeartbeatMonitor view = new HeartbeatMonitor(List.of("a"), 5);
        assertTrue(view.onHeartbeat(0, beat("a", 3, 7, MembershipView.Phase.READY)));
        assertFalse(view.onHeartbeat(10, beat("a", 3, 7, MembershipView.Phase.DRAINING)));
        assertFalse(view.onHeartbeat(10, beat("a", 3, 6, MembershipView.Phase.DRAINING)));
        assertFalse(view.onHeartbeat(10, beat("a", 2, 99, MembershipView.Phase.DRAINING)));
        assertFalse(view.onHeartbeat(10, beat("c", 9, 9, MembershipView.Phase.READY)));
        assertEquals(MembershipView.Phase.READY, view.members(20).get(0).phase());
        assertTrue(
                view.onHeartbeat(30, beat("a", 4, 1, MembershipView.Phase.STARTING)),
                "a new life begins to count anew");
        assertFalse(view.onHeartbeat(40, beat("a", 3, 8, MembershipView.Phase.READY)));
    }

    @Test
    void beatsAreDueAtTheirTimeAndNumbersGrow() {
        HeartbeatMonitor view = new HeartbeatMonitor(List.of("a"), 5);
        assertTrue(view.isDue(0));
        Heartbeat one = view.nextHeartbeat(0, "me", MembershipView.Phase.READY, List.of());
        Heartbeat two = view.nextHeartbeat("me", MembershipView.Phase.READY, List.of());
        assertTrue(two.sequence() > one.sequence());
        assertFalse(
                view.isDue(HeartbeatMonitor.INTERVAL_MICROS - 1),
                "a beat beside those for all puts none off, nor brings one");
        assertTrue(view.isDue(HeartbeatMonitor.INTERVAL_MICROS));
    }
}
