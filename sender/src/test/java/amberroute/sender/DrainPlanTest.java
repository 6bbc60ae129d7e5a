package amberroute.sender;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.sender.DrainPlan.Load;
import amberroute.sender.DrainPlan.Mode;
import amberroute.sender.DrainPlan.Step;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DrainPlanTest {
    private static final Load EMPTY = new Load(0, 0, 0, 0);

    @Test
    void aRestartDeliversUntilNothingIsHeld() {
        DrainPlan plan = new DrainPlan(Mode.RESTART, 0, 8_000, 3_000);
        assertEquals(Step.DELIVER, plan.next(0, new Load(5, 2, 0, 0)));
        assertEquals(Step.DELIVER, plan.next(7_999, new Load(5, 2, 0, 0)));
        assertEquals(Step.AWAIT_NOTICES, plan.next(2_000, new Load(0, 0, 3, 0)));
        assertEquals(Step.CLOSE, plan.next(2_100, EMPTY));
        assertEquals(Step.DONE, plan.next(2_100 + DrainPlan.LINGER, EMPTY));
    }

    @Test
    void aRestartLeavesTheRestWhenItsTimeIsUp() {
        DrainPlan plan = new DrainPlan(Mode.RESTART, 100, 8_000, 3_000);
        assertEquals(Step.CLOSE, plan.next(8_100, new Load(5, 2, 1, 0)));
        assertEquals(Step.DONE, plan.next(8_100 + DrainPlan.LINGER, new Load(5, 2, 1, 0)));
    }

    @Test
    void aStopForGoodCallsOffAndEndsAllWithTimeLeftForNotices() {
        DrainPlan plan = new DrainPlan(Mode.FINAL, 0, 8_000, 3_000);
        assertEquals(Step.DELIVER, plan.next(5_599, new Load(5, 2, 0, 0)));
        assertEquals(Step.CALL_OFF, plan.next(5_601, new Load(5, 2, 0, 0)));
        assertEquals(Step.END_ALL, plan.next(5_650, new Load(5, 0, 0, 0)));
        assertEquals(Step.AWAIT_NOTICES, plan.next(5_660, new Load(0, 0, 5, 0)));
        assertEquals(Step.AWAIT_NOTICES, plan.next(7_999, new Load(0, 0, 5, 0)));
        assertEquals(Step.CLOSE, plan.next(8_000, new Load(0, 0, 5, 0)));
        assertEquals(Step.DONE, plan.next(8_060, new Load(0, 0, 5, 0)));
    }

    @Test
    void aLongStopForGoodKeepsOnlySoMuchForItsEnd() {
        DrainPlan plan = new DrainPlan(Mode.FINAL, 0, 600_000, 0);
        assertEquals(Step.DELIVER, plan.next(596_999, new Load(1, 0, 0, 0)));
        assertEquals(Step.END_ALL, plan.next(597_000, new Load(1, 0, 0, 0)));
    }

    @Test
    void tellsWhenToComeAgain() {
        DrainPlan restart = new DrainPlan(Mode.RESTART, 0, 8_000, 3_000);
        assertEquals(11_000, restart.advice(0, 100, 0.9));
        assertEquals(5_000, restart.advice(6_000, 100, 0.9));
        assertEquals(3_000, restart.advice(9_000, 100, 0.9));
        DrainPlan last = new DrainPlan(Mode.FINAL, 0, 8_000, 3_000);
        assertEquals(0, last.advice(0, 0, 0.9));
        assertEquals(50, last.advice(0, 20, 0.5));
        assertEquals(DrainPlan.SPREAD_LONGEST / 2, last.advice(0, 100_000, 0.5));
    }

    @Test
    void promisesARetryOnlyWhereItDoesNoHarm() {
        assertTrue(DrainPlan.mayReturn(false, false, false));
        assertFalse(DrainPlan.mayReturn(true, false, false));
        assertTrue(DrainPlan.mayReturn(true, true, false));
        assertTrue(DrainPlan.mayReturn(true, false, true));
    }

    /** Whatever the loads, a stop is over soon after its deadline, and nothing is delivered after a call-off. */
    @Test
    void isAlwaysOverInTime() {
        for (long seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            Mode mode = random.nextBoolean() ? Mode.FINAL : Mode.RESTART;
            long span = random.nextInt(10_000);
            DrainPlan plan = new DrainPlan(mode, 0, span, 0);
            boolean cut = false;
            long now = 0;
            Step step = Step.DELIVER;
            while (step != Step.DONE) {
                Load load = random.nextInt(4) == 0
                        ? EMPTY
                        : new Load(random.nextInt(3), random.nextInt(3), random.nextInt(3), random.nextInt(3));
                step = plan.next(now, load);
                assertFalse(cut && step == Step.DELIVER, "seed " + seed + ": delivers after a call-off");
                cut |= step == Step.CALL_OFF || step == Step.END_ALL;
                assertTrue(
                        now <= span + DrainPlan.LINGER + 20, "seed " + seed + ": not over at " + now + " of " + span);
                now += 10;
            }
        }
    }

    /** Connections that close still carry answers: they have a while, but not beyond the deadline. */
    @Test
    void whoIsSlowToReadTheLastAnswersHasAWhile() {
        DrainPlan plan = new DrainPlan(Mode.FINAL, 0, 8_000, 0);
        assertEquals(Step.CLOSE, plan.next(1_000, new Load(0, 0, 0, 2)));
        assertEquals(Step.CLOSE, plan.next(1_000 + DrainPlan.LINGER, new Load(0, 0, 0, 1)));
        assertEquals(Step.DONE, plan.next(1_001 + DrainPlan.LINGER, EMPTY));
        assertEquals(Step.CLOSE, plan.next(999 + DrainPlan.LINGER_LONGEST, new Load(0, 0, 0, 1)));
        assertEquals(Step.DONE, plan.next(1_000 + DrainPlan.LINGER_LONGEST, new Load(0, 0, 0, 1)));
        DrainPlan late = new DrainPlan(Mode.FINAL, 0, 500, 0);
        assertEquals(Step.CLOSE, late.next(500, new Load(0, 0, 0, 1)));
        assertEquals(Step.DONE, late.next(500 + DrainPlan.LINGER, new Load(0, 0, 0, 1)));
    }
}
