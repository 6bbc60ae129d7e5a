package amberroute.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.testkit.StubUpstream.Mode;
import amberroute.testkit.StubUpstream.Verdict.Kind;
import org.junit.jupiter.api.Test;

class StubUpstreamTest {
    private static final StubUpstream.Parameters FIGURES =
            StubUpstream.Parameters.unlimited().sized(2, 1, 100_000);

    private static Kind arrive(StubUpstream partner, long now) {
        return partner.arrive(now, 1).kind();
    }

    @Test
    void servesQueuesAndRefuses() {
        StubUpstream partner = new StubUpstream(FIGURES, 1);
        assertEquals(Kind.RUN, arrive(partner, 0));
        assertEquals(Kind.RUN, arrive(partner, 0));
        assertEquals(Kind.WAIT, arrive(partner, 0));
        assertEquals(Kind.REFUSE_FULL, arrive(partner, 0));
        partner.end();
        assertTrue(partner.mayResume());
        assertEquals(Kind.RUN, partner.resume(1, 1).kind());
        assertFalse(partner.mayResume());
    }

    @Test
    void countsAFixedWindowAndTellsItsEnd() {
        StubUpstream partner = new StubUpstream(FIGURES.sized(100, 100, 1).limited(3, 1_000_000), 1);
        for (int i = 0; i < 3; i++) {
            assertEquals(Kind.RUN, arrive(partner, 5_200_000));
        }
        StubUpstream.Verdict refused = partner.arrive(5_400_000, 1);
        assertEquals(Kind.REFUSE_LIMIT, refused.kind());
        assertEquals(600_000, refused.time());
        assertEquals(Kind.RUN, arrive(partner, 6_000_000));
        assertEquals(1, partner.overLimit());
    }

    @Test
    void aRateRefillsAndItsWaitIsTrue() {
        StubUpstream partner = new StubUpstream(FIGURES.sized(100, 100, 1).limited(10, 0), 1);
        long now = 1_000_000;
        while (arrive(partner, now) == Kind.RUN) {
            now += 1;
        }
        long wait = partner.arrive(now, 1).time();
        assertEquals(Kind.REFUSE_LIMIT, arrive(partner, now + wait - 1_000));
        assertEquals(Kind.RUN, arrive(partner, now + wait));
    }

    @Test
    void isColdAfterAnOutageAndFallsOverWhenRushed() {
        StubUpstream partner = new StubUpstream(FIGURES.sized(10, 1_000, 100_000), 1);
        partner.setMode(Mode.DEAD, 0);
        partner.setMode(Mode.UP, 1_000_000);
        assertEquals(0.15, partner.slowStartProgress(1_000_000), 1e-9);
        assertEquals(1, partner.slowStartProgress(11_000_000), 1e-9);
        // 10 slots of 100 ms are 100 a second; 0.15 of that, 2.5 times, in 1.5 s: 56 messages.
        Kind last = Kind.RUN;
        int sent = 0;
        while (last == Kind.RUN || last == Kind.WAIT) {
            last = arrive(partner, 1_000_000 + sent);
            sent++;
        }
        assertEquals(57, sent);
        assertEquals(1, partner.overloadCount());
        assertTrue(partner.highestSlowStartShare() > 1);
        assertEquals(Kind.REFUSE_FULL, arrive(partner, 2_000_000));
        assertEquals(0.15, partner.slowStartProgress(3_000_000 + sent), 0.01);
    }

    @Test
    void aColdPartnerIsSlower() {
        StubUpstream warm = new StubUpstream(FIGURES, 7);
        StubUpstream cold = new StubUpstream(FIGURES, 7);
        cold.setMode(Mode.REFUSE, 0);
        cold.setMode(Mode.UP, 0);
        assertTrue(cold.arrive(0, 1).time() > 3 * warm.arrive(0, 1).time());
    }

    @Test
    void hangsRefusesAndKnowsKeysForTheirLife() {
        StubUpstream partner = new StubUpstream(FIGURES, 1);
        partner.setMode(Mode.HANG, 0);
        assertEquals(Kind.SILENT, arrive(partner, 0));
        partner.setMode(Mode.REFUSE, 0);
        assertEquals(Kind.REFUSE_FULL, arrive(partner, 0));
        assertTrue(partner.firstUseOfKey(0, "k"));
        assertFalse(partner.firstUseOfKey(59_999_999, "k"));
        assertTrue(partner.firstUseOfKey(60_000_000, "k"));
    }

    @Test
    void theSameSeedGivesTheSameTimes() {
        StubUpstream one = new StubUpstream(FIGURES, 3);
        StubUpstream two = new StubUpstream(FIGURES, 3);
        assertEquals(one.arrive(0, 1), two.arrive(0, 1));
    }
}
