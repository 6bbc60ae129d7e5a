package amberroute.sender.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.admin.ShutdownMode;
import amberroute.sender.lifecycle.ShutdownSequence.Load;
import amberroute.sender.lifecycle.ShutdownSequence.Step;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ShutdownSequenceTest {
    private static final Load EMPTY = new Load(0, 0, 0, 0);

    @Test
    void aRestartDeliversUntilNothingIsHeld() {
        ShutdownSequence plan = new ShutdownSequence(ShutdownMode.RESTART, 0, 8_000, 3_000);
        assertEquals(Step.DELIVER, plan.next(0, new Load(5, 2, 0, 0)));
        assertEquals(Step.DELIVER, plan.next(7_999, new Load(5, 2, 0, 0)));
        assertEquals(Step.AWAIT_NOTIFICATIONS, plan.next(2_000, new Load(0, 0, 3, 0)));
        assertEquals(Step.CLOSE, plan.next(2_100, EMPTY));
        assertEquals(Step.DONE, plan.next(2_100 + ShutdownSequence.LINGER_MS, EMPTY));
    }

    @Test
    void aRestartLeavesTheRestWhenItsTimeIsUp() {
        ShutdownSequence plan = new ShutdownSequence(ShutdownMode.RESTART, 100, 8_000, 3_000);
        assertEquals(Step.CLOSE, plan.next(8_100, new Load(5, 2, 1, 0)));
        assertEquals(Step.DONE, plan.next(8_100 + ShutdownSequence.LINGER_MS, new Load(5, 2, 1, 0)));
    }

    @Test
    void aStopForGoodCallsOffAndEndsAllWithTimeLeftForNotices() {
        ShutdownSequence plan = new ShutdownSequence(ShutdownMode.FINAL, 0, 8_000, 3_000);
        assertEquals(Step.DELIVER, plan.next(5_599, new Load(5, 2, 0, 0)));
        assertEquals(Step.CANCEL_CALLS, plan.next(5_601, new Load(5, 2, 0, 0)));
        assertEquals(Step.COMPLETE_ALL, plan.next(5_650, new Load(5, 0, 0, 0)));
        assertEquals(Step.AWAIT_NOTIFICATIONS, plan.next(5_660, new Load(0, 0, 5, 0)));
        assertEquals(Step.AWAIT_NOTIFICATIONS, plan.next(7_999, new Load(0, 0, 5, 0)));
        assertEquals(Step.CLOSE, plan.next(8_000, new Load(0, 0, 5, 0)));
        assertEquals(Step.DONE, plan.next(8_060, new Load(0, 0, 5, 0)));
    }

    @Test
    void aLongStopForGoodKeepsOnlySoMuchForItsEnd() {
        ShutdownSequence plan = new ShutdownSequence(ShutdownMode.FINAL, 0, 600_000, 0);
        assertEquals(Step.DELIVER, plan.next(596_999, new Load(1, 0, 0, 0)));
        assertEquals(Step.COMPLETE_ALL, plan.next(597_000, new Load(1, 0, 0, 0)));
    }

    @Test
    void tellsWhenToComeAgain() {
        ShutdownSequence restart = new ShutdownSequence(ShutdownMode.RESTART, 0, 8_000, 3_000);
        assertEquals(11_000, restart.retryAdviceMillis(0, 100, 0.9));
        assertEquals(5_000, restart.retryAdviceMillis(6_000, 100, 0.9));
        assertEquals(3_000, restart.retryAdviceMillis(9_000, 100, 0.9));
        ShutdownSequence last = new ShutdownSequence(ShutdownMode.FINAL, 0, 8_000, 3_000);
        assertEquals(0, last.retryAdviceMillis(0, 0, 0.9));
        assertEquals(50, last.retryAdviceMillis(0, 20, 0.5));
        assertEquals(ShutdownSequence.MAX_RETRY_SPREAD_MS / 2, last.retryAdviceMillis(0, 100_000, 0.5));
    }

    @Test
    void promisesARetryOnlyWhereItDoesNoHarm() {
        assertTrue(ShutdownSequence.mayReject(false, false, false));
        assertFalse(ShutdownSequence.mayReject(true, false, false));
        assertTrue(ShutdownSequence.mayReject(true, true, false));
        assertTrue(ShutdownSequence.mayReject(true, false, true));
    }

    /** Whatever the loads, a stop is over soon after its deadline, and nothing is delivered after a call-off. */
    @Test
    void isAlwaysOverInTime() {
        for (long seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            ShutdownMode mode = random.nextBoolean() ? ShutdownMode.FINAL : ShutdownMode.RESTART;
            long span = random.nextInt(10_000);
            ShutdownSequence plan = new ShutdownSequence(mode, 0, span, 0);
            boolean cut = false;
            long now = 0;
            Step step = Step.DELIVER;
            while (step != Step.DONE) {
                Load load = random.nextInt(4) == 0
                        ? EMPTY
                        : new Load(random.nextInt(3), random.nextInt(3), random.nextInt(3), random.nextInt(3));
                step = plan.next(now, load);
                assertFalse(cut && step == Step.DELIVER, "seed " + seed + ": delivers after a call-off");
                cut |= step == Step.CANCEL_CALLS || step == Step.COMPLETE_ALL;
                assertTrue(
                        now <= span + ShutdownSequence.LINGER_MS + 20,
                        "seed " + seed + ": not over at " + now + " of " + span);
                now += 10;
            }
        }
    }

    /** Connections that close still carry answers: they have a while, but not beyond the deadline. */
    @Test
    void whoIsSlowToReadTheLastAnswersHasAWhile() {
        ShutdownSequence plan = new ShutdownSequence(ShutdownMode.FINAL, 0, 8_000, 0);
        assertEquals(Step.CLOSE, plan.next(1_000, new Load(0, 0, 0, 2)));
        assertEquals(Step.CLOSE, plan.next(1_000 + ShutdownSequence.LINGER_MS, new Load(0, 0, 0, 1)));
        assertEquals(Step.DONE, plan.next(1_001 + ShutdownSequence.LINGER_MS, EMPTY));
        assertEquals(Step.CLOSE, plan.next(999 + ShutdownSequence.MAX_LINGER_MS, new Load(0, 0, 0, 1)));
        assertEquals(Step.DONE, plan.next(1_000 + ShutdownSequence.MAX_LINGER_MS, new Load(0, 0, 0, 1)));
        ShutdownSequence late = new ShutdownSequence(ShutdownMode.FINAL, 0, 500, 0);
        assertEquals(Step.CLOSE, late.next(500, new Load(0, 0, 0, 1)));
        assertEquals(Step.DONE, late.next(500 + ShutdownSequence.LINGER_MS, new Load(0, 0, 0, 1)));
    }
}
