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

class HeartbeatsTest {
    private static Beat beat(String from, long incarnation, long number, FleetView.Phase phase) {
        return new Beat(from, incarnation, number, phase, List.of(), List.of());
    }

    private static Beat full() {
        List<Beat.News> news = new ArrayList<>();
        for (int i = 0; i < Beat.MOST_NEWS; i++) {
            news.add(new Beat.News(i, Beat.Health.values()[i % 4], -1, i, Beat.LONGEST_AGE, i / 3f, 1e9f, 0));
        }
        List<Beat.Loan> loans = new ArrayList<>();
        for (int i = 0; i < Beat.MOST_LOANS; i++) {
            loans.add(new Beat.Loan(i % 2 == 0, -i, Long.MIN_VALUE + i, i / 32f));
        }
        return new Beat("n".repeat(64), Long.MAX_VALUE, 0, FleetView.Phase.DRAINING, news, loans);
    }

    @Test
    void whatIsWrittenIsReadAgain() {
        assertEquals(full(), Beat.read(full().write()));
        assertTrue(full().write().remaining() <= Beat.MOST_BYTES);
        Beat small = beat("a", 0, 1, FleetView.Phase.STARTING);
        assertEquals(small, Beat.read(small.write()));
    }

    @Test
    void tooMuchIsNotWritten() {
        List<Beat.Loan> many = new ArrayList<>();
        for (int i = 0; i <= Beat.MOST_LOANS; i++) {
            many.add(new Beat.Loan(true, 1, 1, 0));
        }
        assertThrows(IllegalArgumentException.class, () -> new Beat("a", 1, 1, FleetView.Phase.READY, List.of(), many)
                .write());
        assertThrows(IllegalArgumentException.class, () -> beat("", 1, 1, FleetView.Phase.READY)
                .write());
    }

    /** Cut anywhere, or with any byte changed, it is read as something in range or not at all; it never throws. */
    @Test
    void nothingThatIsSpoiltIsReadOutOfRange() {
        byte[] good = new byte[full().write().remaining()];
        full().write().get(good);
        for (int length = 0; length < good.length; length++) {
            assertNull(Beat.read(ByteBuffer.wrap(good, 0, length)), "cut to " + length);
        }
        SplittableRandom random = new SplittableRandom(7);
        int read = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] bad = good.clone();
            for (int n = 1 + random.nextInt(4); n > 0; n--) {
                bad[random.nextInt(bad.length)] = (byte) random.nextInt(256);
            }
            Beat beat = Beat.read(ByteBuffer.wrap(bad));
            if (beat != null) {
                read++;
                beat.news().forEach(n -> assertTrue(n.served() >= 0 && n.served() <= 1e9 && n.okAgo() >= -1));
                beat.loans().forEach(l -> assertTrue(l.part() >= 0 && l.part() <= 1));
            }
        }
        assertTrue(read > 100, "hardly any was read, so nothing was shown");
        byte[] longer = java.util.Arrays.copyOf(good, good.length + 1);
        assertNull(Beat.read(ByteBuffer.wrap(longer)));
    }

    @Test
    void aPeerIsThereAsLongAsItIsHeard() {
        Heartbeats view = new Heartbeats(List.of("a", "b"), 5);
        assertFalse(view.members(0).get(0).alive());
        assertEquals(-1, view.members(0).get(0).heardAgo());
        assertTrue(view.heard(1_000, beat("a", 3, 1, FleetView.Phase.READY)));
        assertTrue(view.members(1_000 + Heartbeats.SILENCE - 1).get(0).serves());
        assertFalse(view.members(1_000 + Heartbeats.SILENCE).get(0).alive());
        assertTrue(view.heard(2_000_000, beat("a", 3, 2, FleetView.Phase.DRAINING)));
        assertTrue(view.members(2_000_000).get(0).alive());
        assertFalse(view.members(2_000_000).get(0).serves());
        assertFalse(view.members(2_000_000).get(1).alive());
    }

    @Test
    void whatIsOldDoubledOrFromStrangersChangesNothing() {
        Heartbeats view = new Heartbeats(List.of("a"), 5);
        assertTrue(view.heard(0, beat("a", 3, 7, FleetView.Phase.READY)));
        assertFalse(view.heard(10, beat("a", 3, 7, FleetView.Phase.DRAINING)));
        assertFalse(view.heard(10, beat("a", 3, 6, FleetView.Phase.DRAINING)));
        assertFalse(view.heard(10, beat("a", 2, 99, FleetView.Phase.DRAINING)));
        assertFalse(view.heard(10, beat("c", 9, 9, FleetView.Phase.READY)));
        assertEquals(FleetView.Phase.READY, view.members(20).get(0).phase());
        assertTrue(view.heard(30, beat("a", 4, 1, FleetView.Phase.STARTING)), "a new life begins to count anew");
        assertFalse(view.heard(40, beat("a", 3, 8, FleetView.Phase.READY)));
    }

    @Test
    void beatsAreDueAtTheirTimeAndNumbersGrow() {
        Heartbeats view = new Heartbeats(List.of("a"), 5);
        assertTrue(view.due(0));
        Beat one = view.next(0, "me", FleetView.Phase.READY, List.of());
        Beat two = view.next("me", FleetView.Phase.READY, List.of());
        assertTrue(two.number() > one.number());
        assertFalse(view.due(Heartbeats.EVERY - 1), "a beat beside those for all puts none off, nor brings one");
        assertTrue(view.due(Heartbeats.EVERY));
    }
}
