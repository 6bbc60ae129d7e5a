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

class HeartbeatMonitorTest {
    private static Heartbeat beat(String from, long incarnation, long number, MembershipView.Phase phase) {
        return new Heartbeat(from, incarnation, number, phase, List.of(), List.of());
    }

    private static Heartbeat full() {
        List<Heartbeat.SlowStartUpdate> news = new ArrayList<>();
        for (int i = 0; i < Heartbeat.MOST_NEWS; i++) {
            news.add(new Heartbeat.SlowStartUpdate(
                    i, Heartbeat.Health.values()[i % 4], -1, i, Heartbeat.LONGEST_AGE, i / 3f, 1e9f, 0));
        }
        List<Heartbeat.QuotaLoan> loans = new ArrayList<>();
        for (int i = 0; i < Heartbeat.MOST_LOANS; i++) {
            loans.add(new Heartbeat.QuotaLoan(i % 2 == 0, -i, Long.MIN_VALUE + i, i / 32f));
        }
        return new Heartbeat("n".repeat(64), Long.MAX_VALUE, 0, MembershipView.Phase.DRAINING, news, loans);
    }

    @Test
    void whatIsWrittenIsReadAgain() {
        assertEquals(full(), Heartbeat.read(full().write()));
        assertTrue(full().write().remaining() <= Heartbeat.MOST_BYTES);
        Heartbeat small = beat("a", 0, 1, MembershipView.Phase.STARTING);
        assertEquals(small, Heartbeat.read(small.write()));
    }

    @Test
    void tooMuchIsNotWritten() {
        List<Heartbeat.QuotaLoan> many = new ArrayList<>();
        for (int i = 0; i <= Heartbeat.MOST_LOANS; i++) {
            many.add(new Heartbeat.QuotaLoan(true, 1, 1, 0));
        }
        assertThrows(
                IllegalArgumentException.class,
                () -> new Heartbeat("a", 1, 1, MembershipView.Phase.READY, List.of(), many).write());
        assertThrows(IllegalArgumentException.class, () -> beat("", 1, 1, MembershipView.Phase.READY)
                .write());
    }

    /** Cut anywhere, or with any byte changed, it is read as something in range or not at all; it never throws. */
    @Test
    void nothingThatIsSpoiltIsReadOutOfRange() {
        byte[] good = new byte[full().write().remaining()];
        full().write().get(good);
        for (int length = 0; length < good.length; length++) {
            assertNull(Heartbeat.read(ByteBuffer.wrap(good, 0, length)), "cut to " + length);
        }
        SplittableRandom random = new SplittableRandom(7);
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = good.clone();
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
            }
            Heartbeat beat = Heartbeat.read(ByteBuffer.wrap(bad));
            if (beat != null) {
                read++;
                beat.news().forEach(n -> assertTrue(n.served() >= 0 && n.served() <= 1e9 && n.okAgo() >= -1));
                beat.loans().forEach(l -> assertTrue(l.part() >= 0 && l.part() <= 1));
            }
        }
        assertTrue(read > 100, "hardly any was read, so nothing was shown");
        byte[] longer = java.util.Arrays.copyOf(good, good.length + 1);
        assertNull(Heartbeat.read(ByteBuffer.wrap(longer)));
    }

    @Test
    void aPeerIsThereAsLongAsItIsHeard() {
        HeartbeatMonitor view = new HeartbeatMonitor(List.of("a", "b"), 5);
        assertFalse(view.members(0).get(0).alive());
        assertEquals(-1, view.members(0).get(0).heardAgo());
        assertTrue(view.heard(1_000, beat("a", 3, 1, MembershipView.Phase.READY)));
        assertTrue(view.members(1_000 + HeartbeatMonitor.SILENCE - 1).get(0).serves());
        assertFalse(view.members(1_000 + HeartbeatMonitor.SILENCE).get(0).alive());
        assertTrue(view.heard(2_000_000, beat("a", 3, 2, MembershipView.Phase.DRAINING)));
        assertTrue(view.members(2_000_000).get(0).alive());
        assertFalse(view.members(2_000_000).get(0).serves());
        assertFalse(view.members(2_000_000).get(1).alive());
    }

    @Test
    void whatIsOldDoubledOrFromStrangersChangesNothing() {
        HeartbeatMonitor view = new HeartbeatMonitor(List.of("a"), 5);
        assertTrue(view.heard(0, beat("a", 3, 7, MembershipView.Phase.READY)));
        assertFalse(view.heard(10, beat("a", 3, 7, MembershipView.Phase.DRAINING)));
        assertFalse(view.heard(10, beat("a", 3, 6, MembershipView.Phase.DRAINING)));
        assertFalse(view.heard(10, beat("a", 2, 99, MembershipView.Phase.DRAINING)));
        assertFalse(view.heard(10, beat("c", 9, 9, MembershipView.Phase.READY)));
        assertEquals(MembershipView.Phase.READY, view.members(20).get(0).phase());
        assertTrue(view.heard(30, beat("a", 4, 1, MembershipView.Phase.STARTING)), "a new life begins to count anew");
        assertFalse(view.heard(40, beat("a", 3, 8, MembershipView.Phase.READY)));
    }

    @Test
    void beatsAreDueAtTheirTimeAndNumbersGrow() {
        HeartbeatMonitor view = new HeartbeatMonitor(List.of("a"), 5);
        assertTrue(view.due(0));
        Heartbeat one = view.next(0, "me", MembershipView.Phase.READY, List.of());
        Heartbeat two = view.next("me", MembershipView.Phase.READY, List.of());
        assertTrue(two.number() > one.number());
        assertFalse(view.due(HeartbeatMonitor.EVERY - 1), "a beat beside those for all puts none off, nor brings one");
        assertTrue(view.due(HeartbeatMonitor.EVERY));
    }
}
