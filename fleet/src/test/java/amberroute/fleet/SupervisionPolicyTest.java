package amberroute.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.fleet.SupervisionPolicy.Mode;
import amberroute.fleet.SupervisionPolicy.State;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The supervisor's decisions, without processes: each history is played on a clock of the test's own. */
class SupervisionPolicyTest {
    private static final FleetDefinition.Policy POLICY =
            new FleetDefinition.Policy(2, 5_000, 4_000, 1_000, 100, 3_000, 4, 60_000, 1, 200, 10_000, false);

    private long now;
    private Fake hands = new Fake();
    private SupervisionPolicy fleet;

    /** Keeps what was asked for, and which daemons live. */
    private final class Fake implements SupervisionPolicy.DaemonController {
        final List<String> done = new ArrayList<>();
        final boolean[] alive = new boolean[64];
        final boolean[] stopping = new boolean[64];

        @Override
        public void start(int daemon) {
            assertFalse(alive[daemon], "a second process on one folder");
            alive[daemon] = true;
            stopping[daemon] = false;
            done.add("start " + daemon);
        }

        @Override
        public void stop(int daemon, Mode mode, long within) {
            assertTrue(alive[daemon], "a stop for one that is dead");
            stopping[daemon] = true;
            done.add("stop " + daemon + " " + mode);
        }

        @Override
        public void kill(int daemon) {
            assertTrue(alive[daemon]);
            done.add("kill " + daemon);
        }

        @Override
        public void reload(int daemon) {
            done.add("reload " + daemon);
        }

        @Override
        public void markRetired(int daemon) {
            assertFalse(alive[daemon], "left with a living process");
            done.add("left " + daemon);
        }

        @Override
        public void log(String text) {
            assertFalse(text.isBlank());
            done.add("# " + text);
        }

        long count(String what) {
            return done.stream().filter(line -> line.startsWith(what)).count();
        }

        boolean said(String part) {
            return done.stream().anyMatch(line -> line.startsWith("# ") && line.contains(part));
        }
    }

    private void fleet(int size, FleetDefinition.Policy policy) {
        hands = new Fake();
        fleet = new SupervisionPolicy(
                policy, IntStream.range(0, size).mapToObj(i -> "d" + i).toList(), hands);
    }

    private void pass(long millis) {
        for (long end = now + millis; now < end; now += 10) {
            fleet.runDueActions(now);
        }
    }

    private void die(int daemon) {
        hands.alive[daemon] = false;
        fleet.processEnded(now, daemon, false, "exit code 1");
    }

    private void allReady(int size) {
        for (int round = 0; round < size; round++) {
            fleet.runDueActions(now);
            for (int i = 0; i < size; i++) {
                if (hands.alive[i]) {
                    fleet.readyObserved(now, i);
                }
            }
        }
        assertTrue(fleet.allReady());
    }

    @Test
    void startsOnlySoManyAtATime() {
        fleet(5, POLICY);
        pass(1_000);
        assertEquals(2, hands.count("start"));
        fleet.readyObserved(now, 0);
        pass(100);
        assertEquals(3, hands.count("start"));
    }

    @Test
    void startsTheDeadAgainWithGrowingPausesAndLeavesACrashLoopAlone() {
        fleet(1, POLICY);
        long[] expected = {0, 100, 200, 400};
        for (long pause : expected) {
            long starts = hands.count("start");
            if (pause > 0) {
                pass(pause - 10);
                assertEquals(starts, hands.count("start"), "too early");
            }
            pass(30);
            assertEquals(starts + 1, hands.count("start"), "not started again");
            die(0);
        }
        pass(120_000);
        assertEquals(4, hands.count("start"));
        assertEquals(State.GIVEN_UP, fleet.state(0));
        assertTrue(hands.said("left alone"));
    }

    @Test
    void aDaemonThatWasSteadyStartsOverWithShortPauses() {
        fleet(1, POLICY);
        pass(10);
        die(0);
        pass(120);
        die(0);
        pass(220);
        fleet.readyObserved(now, 0);
        pass(10_000);
        die(0);
        pass(120);
        assertEquals(4, hands.count("start"), "waited as after many deaths");
    }

    @Test
    void killsWhatIsNotReadyInTimeAndCountsItAsADeath() {
        fleet(1, POLICY);
        pass(5_000);
        assertEquals(0, hands.count("kill"));
        pass(50);
        assertEquals(1, hands.count("kill"));
        die(0);
        pass(200);
        assertEquals(2, hands.count("start"));
    }

    @Test
    void killsWhatDoesNotStopAndOnce() {
        fleet(1, POLICY);
        allReady(1);
        fleet.stop(now, Mode.RESTART);
        pass(4_990);
        assertEquals(0, hands.count("kill"));
        pass(500);
        assertEquals(1, hands.count("kill"));
        die(0);
        assertTrue(fleet.finished());
        pass(1_000);
        assertEquals(1, hands.count("start"), "started again though the fleet stops");
    }

    @Test
    void restartsOneAfterAnotherWithAPauseBetween() {
        fleet(3, POLICY);
        allReady(3);
        assertNull(fleet.restart(now, List.of()));
        for (int i = 0; i < 3; i++) {
            pass(250);
            assertEquals(i + 1, hands.count("stop"));
            pass(1_000);
            assertEquals(i + 1, hands.count("stop"), "the next was stopped while this one is away");
            hands.alive[i] = false;
            fleet.processEnded(now, i, true, "exit code 0");
            pass(20);
            assertTrue(hands.alive[i]);
            pass(1_000);
            assertEquals(i + 1, hands.count("stop"), "the next was stopped before this one is ready");
            fleet.readyObserved(now, i);
            pass(100);
            assertEquals(i + 1, hands.count("stop"), "no pause was kept");
        }
        pass(200);
        assertEquals("done", fleet.rollingRestartStatus());
    }

    @Test
    void aRollingRestartIsAskedForWhileOneRuns() {
        fleet(2, POLICY);
        allReady(2);
        assertNull(fleet.restart(now, List.of()));
        pass(20);
        String refusal = fleet.restart(now, List.of());
        assertTrue(refusal.contains("0 of 2"), refusal);
        assertEquals(1, hands.count("stop"));
        assertNotNull(fleet.restart(now, List.of("nobody")));
    }

    @Test
    void isHeldWhileAnotherDaemonIsNotReady() {
        fleet(3, POLICY);
        allReady(3);
        die(2);
        fleet.restart(now, List.of("d0", "d1"));
        pass(1_000);
        assertEquals(0, hands.count("stop"), "took one more away from a fleet that lacks one");
        fleet.readyObserved(now, 2);
        pass(300);
        assertEquals(1, hands.count("stop"));
    }

    @Test
    void abortsWhenTheNewProcessFailsAndLeavesTheOthersAlone() {
        fleet(3, POLICY);
        allReady(3);
        fleet.restart(now, List.of());
        pass(20);
        hands.alive[0] = false;
        fleet.processEnded(now, 0, true, "exit code 0");
        pass(20);
        die(0);
        assertTrue(fleet.rollingRestartStatus().startsWith("aborted after 0 of 3"), fleet.rollingRestartStatus());
        pass(300);
        fleet.readyObserved(now, 0);
        pass(5_000);
        assertEquals(1, hands.count("stop"));
    }

    @Test
    void abortsWhenTheNewProcessNeverGetsReady() {
        fleet(2, POLICY);
        allReady(2);
        fleet.restart(now, List.of());
        pass(20);
        hands.alive[0] = false;
        fleet.processEnded(now, 0, true, "exit code 0");
        pass(5_100);
        assertEquals(1, hands.count("kill"));
        die(0);
        assertTrue(fleet.rollingRestartStatus().startsWith("aborted"), fleet.rollingRestartStatus());
    }

    @Test
    void aStopInTheMiddleEndsTheRollingRestart() {
        fleet(3, POLICY);
        allReady(3);
        fleet.restart(now, List.of());
        pass(20);
        assertNull(fleet.stop(now, Mode.FINAL));
        assertTrue(fleet.rollingRestartStatus().startsWith("aborted"));
        assertEquals(3, hands.count("stop ") - hands.count("stop 0 RESTART"), "not all were told that it is for good");
        for (int i = 0; i < 3; i++) {
            hands.alive[i] = false;
            fleet.processEnded(now, i, true, "exit code 0");
        }
        pass(1_000);
        assertTrue(fleet.finished());
        assertEquals(3, hands.count("start"));
        assertEquals("the fleet is stopping", fleet.restart(now, List.of()));
    }

    /** Whoever stops for good has to hear of what was left; a stop for now leaves things on purpose. */
    @Test
    void aStopForGoodTellsWhatMayBeLeft() {
        for (Mode mode : Mode.values()) {
            for (boolean clean : new boolean[] {true, false}) {
                fleet(1, POLICY);
                allReady(1);
                fleet.stop(now, mode);
                fleet.processEnded(now, 0, clean, "exit code " + (clean ? 0 : 3));
                assertTrue(fleet.finished());
                assertEquals(mode == Mode.FINAL && !clean, fleet.workLeftBehind());
                assertEquals(fleet.workLeftBehind(), hands.said("may still owe"));
            }
        }
    }

    @Test
    void aStopForGoodTakesOverFromAStop() {
        fleet(1, POLICY);
        allReady(1);
        assertNull(fleet.stop(now, Mode.RESTART));
        assertNotNull(fleet.stop(now, Mode.RESTART));
        assertNull(fleet.stop(now, Mode.FINAL));
        assertEquals(
                List.of("stop 0 RESTART", "stop 0 FINAL"),
                hands.done.stream().filter(l -> l.startsWith("stop")).toList());
    }

    /** Its next process is a new one: a second restart would take it away for nothing. */
    @Test
    void aDaemonThatDiesWhileItWaitsForItsTurnHasHadIt() {
        fleet(3, POLICY);
        allReady(3);
        fleet.restart(now, List.of());
        pass(20);
        die(2);
        pass(500);
        hands.alive[0] = false;
        fleet.processEnded(now, 0, true, "exit code 0");
        pass(50);
        fleet.readyObserved(now, 0);
        pass(500);
        assertEquals(1, hands.count("stop"), "went on while the dead one is not back");
        fleet.readyObserved(now, 2);
        pass(500);
        hands.alive[1] = false;
        fleet.processEnded(now, 1, true, "exit code 0");
        pass(50);
        fleet.readyObserved(now, 1);
        pass(500);
        assertEquals("done", fleet.rollingRestartStatus());
        assertEquals(2, hands.count("stop"));
    }

    @Test
    void takesOverWhatLivesAndStartsNoSecond() {
        fleet(2, POLICY);
        hands.alive[0] = true;
        fleet.processFound(now, 0);
        pass(100);
        assertEquals(1, hands.count("start"));
        fleet.readyObserved(now, 0);
        fleet.readyObserved(now, 1);
        assertTrue(fleet.allReady());
    }

    @Test
    void aRestartGivesACrashLoopAnotherChance() {
        fleet(1, POLICY);
        for (int i = 0; i < 4; i++) {
            pass(3_000);
            die(0);
        }
        assertEquals(State.GIVEN_UP, fleet.state(0));
        assertNull(fleet.restart(now, List.of("d0")));
        pass(50);
        fleet.readyObserved(now, 0);
        pass(300);
        assertEquals("done", fleet.rollingRestartStatus());
        assertTrue(fleet.allReady());
    }

    @Test
    void oneThatIsStoppedFromOutsideIsStartedAgainAtOnce() {
        fleet(1, POLICY);
        allReady(1);
        fleet.drainingObserved(now, 0);
        hands.alive[0] = false;
        fleet.processEnded(now, 0, true, "exit code 0");
        pass(20);
        assertEquals(2, hands.count("start"));
        assertFalse(hands.said("died"));
    }

    /**
     * Random histories of starts, deaths, hangs and commands. Checked all along: never a second process, never more
     * starting or restarting than allowed; and when the world calms down every daemon is ready or given up.
     */
    // ---- Scaling. ----

    private void end(int daemon, boolean clean) {
        hands.alive[daemon] = false;
        fleet.processEnded(now, daemon, clean, clean ? "exit code 0" : "exit code 3");
    }

    @Test
    void scalesInOneAfterAnotherForGoodAndOutAgain() {
        fleet(4, POLICY);
        allReady(4);
        assertNull(fleet.scale(now, 2));
        assertTrue(fleet.allReady());
        assertFalse(fleet.scaleReached());
        pass(1_000);
        assertEquals(1, hands.count("stop"), "more leave at once than the budget has");
        assertTrue(hands.done.contains("stop 3 FINAL"));
        assertEquals("the fleet is being scaled in", fleet.restart(now, List.of()));
        end(3, true);
        pass(100);
        assertTrue(hands.done.containsAll(List.of("left 3", "stop 2 FINAL")));
        end(2, true);
        pass(10_000);
        assertTrue(fleet.scaleReached());
        assertEquals(4, hands.count("start"), "one that has left was started");
        assertNull(fleet.restart(now, List.of()));
        assertNotNull(fleet.scale(now, 4), "scaled in the middle of a rolling restart");
        for (int i = 0; i < 2; i++) {
            pass(300);
            end(i, true);
            pass(20);
            fleet.readyObserved(now, i);
        }
        pass(300);
        assertNull(fleet.scale(now, 4));
        pass(20);
        assertTrue(hands.alive[2] && hands.alive[3]);
        for (int bad : new int[] {0, -1, 5}) {
            assertNotNull(fleet.scale(now, bad));
        }
    }

    /** What it owes nobody else can end: it is started for that alone, and again while something is left. */
    @Test
    void oneThatMayOweSomethingIsNotOut() {
        fleet(2, POLICY);
        allReady(2);
        die(1);
        assertNull(fleet.scale(now, 1));
        pass(200);
        assertTrue(hands.alive[1]);
        fleet.readyObserved(now, 1);
        pass(20);
        end(1, false);
        pass(500);
        assertTrue(hands.alive[1], "it was left with what it owes");
        fleet.readyObserved(now, 1);
        pass(20);
        end(1, true);
        assertEquals(State.OUT, fleet.state(1));
        fleet.stop(now, Mode.RESTART);
        end(0, true);
        assertTrue(fleet.finished());
    }

    /** A new number while one leaves: it is wanted again as soon as it has left. */
    @Test
    void oneThatLeavesIsWantedAgain() {
        fleet(2, POLICY);
        allReady(2);
        fleet.scale(now, 1);
        pass(20);
        assertNull(fleet.scale(now, 2));
        end(1, true);
        pass(20);
        assertTrue(hands.alive[1]);
        assertEquals(0, hands.count("left"));
    }

    @Test
    void aRollingRestartMovesWhereTheDefinitionAsksForIt() {
        fleet(2, new FleetDefinition.Policy(2, 5_000, 4_000, 1_000, 100, 3_000, 4, 60_000, 1, 200, 10_000, true));
        allReady(2);
        assertNull(fleet.restart(now, List.of()));
        pass(50);
        assertEquals(
                List.of("stop 0 MOVE"),
                hands.done.stream().filter(d -> d.startsWith("stop")).toList());
        // What it left is no death, and its next process is started at once.
        hands.alive[0] = false;
        fleet.processEnded(now, 0, true, "exit code 0");
        pass(50);
        assertTrue(hands.alive[0]);
    }

    /** One that was out comes back only when nobody leaves who may count on its absence. */
    @Test
    void whoWasOutWaitsForThoseThatLeave() {
        fleet(3, POLICY);
        allReady(3);
        assertNull(fleet.scale(now, 1));
        pass(20);
        hands.alive[2] = false;
        fleet.processEnded(now, 2, true, "exit code 0");
        assertEquals(State.OUT, fleet.state(2));
        pass(20);
        assertEquals(State.STOPPING, fleet.state(1));
        long starts = hands.count("start 2");
        assertNull(fleet.scale(now, 3));
        pass(500);
        assertEquals(starts, hands.count("start 2"));
        hands.alive[1] = false;
        fleet.processEnded(now, 1, true, "exit code 0");
        pass(50);
        assertEquals(starts + 1, hands.count("start 2"));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void keepsItsInvariantsInRandomHistories(long seed) {
        Random random = new Random(seed);
        int size = 1 + random.nextInt(12);
        FleetDefinition.Policy policy = new FleetDefinition.Policy(
                1 + random.nextInt(3),
                5_000,
                4_000,
                1_000,
                100,
                3_000,
                6,
                30_000,
                1 + random.nextInt(3),
                200,
                10_000,
                random.nextBoolean());
        fleet(size, policy);
        for (int step = 0; step < 20_000; step++) {
            boolean calm = step > 15_000;
            now += 10;
            fleet.runDueActions(now);
            int starting = 0;
            int away = 0;
            for (int i = 0; i < size; i++) {
                starting += fleet.state(i) == State.STARTING ? 1 : 0;
                away += hands.alive[i] && hands.stopping[i] ? 1 : 0;
                assertEquals(
                        hands.alive[i],
                        fleet.state(i) != State.DOWN && fleet.state(i) != State.GIVEN_UP && fleet.state(i) != State.OUT,
                        "seed " + seed + " step " + step + ": thinks otherwise of daemon " + i);
            }
            assertTrue(starting <= policy.maxStarting(), "seed " + seed + " step " + step);
            assertTrue(away <= policy.maxRestarting(), "seed " + seed + " step " + step + ": " + away + " are away");
            int one = random.nextInt(size);
            if (hands.alive[one]) {
                double chance = random.nextDouble();
                if (hands.stopping[one] ? chance < 0.05 : !calm && chance < 0.0005) {
                    hands.alive[one] = false;
                    fleet.processEnded(now, one, hands.stopping[one] && random.nextInt(3) > 0, "an end");
                } else if (hands.done.contains("kill " + one)
                        && hands.done.lastIndexOf("kill " + one) > hands.done.lastIndexOf("start " + one)) {
                    hands.alive[one] = false;
                    fleet.processEnded(now, one, false, "signal 9");
                } else if (chance > (calm ? 0.5 : 0.95) && !hands.stopping[one]) {
                    fleet.readyObserved(now, one);
                }
            }
            if (!calm && random.nextInt(500) == 0) {
                fleet.restart(now, random.nextBoolean() ? List.of() : List.of("d" + one));
            }
            if (!calm && random.nextInt(700) == 0) {
                fleet.scale(now, 1 + random.nextInt(size));
            }
        }
        assertFalse(
                fleet.rollingRestartStatus().contains(" of ")
                        && !fleet.rollingRestartStatus().startsWith("aborted"),
                "seed " + seed + ": a rolling restart that never ends: " + fleet.rollingRestartStatus());
        for (int i = 0; i < size; i++) {
            assertTrue(
                    fleet.state(i) == (i < fleet.wanted() ? State.READY : State.OUT)
                            || fleet.state(i) == State.GIVEN_UP,
                    "seed " + seed + ": daemon " + i + " is " + fleet.state(i));
        }
    }
}
