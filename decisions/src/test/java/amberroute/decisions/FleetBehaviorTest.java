package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** What each sender does by itself, seen from a destination that many of them share. */
class FleetBehaviorTest {
    private static final long SEED = 20_261;

    private static FleetSimulation outage(int senders, double limit) {
        FleetSimulation play = new FleetSimulation(senders, SEED);
        play.limitPerSecond = limit;
        play.outageFrom = 6_000_000;
        play.outageUntil = 11_000_000;
        return play;
    }

    /** Half of the limit is offered, which a destination in slow start can take within 5 s of its return. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void aFleetIsBackSoonAfterAnOutageWithoutPushingOver(int senders) {
        FleetSimulation play = outage(senders, 200);
        play.run(26_000_000);
        String seen = senders + " senders: push " + play.peakOverload + ", rates after the return";
        for (int s = 0; s < 12; s++) {
            seen += " " + (int) play.answersPerSecond((11 + s) * 1_000_000L, (12 + s) * 1_000_000L);
        }
        System.out.println(seen + "; refused " + play.rejectedCalls + " of " + play.calls + ", turned away "
                + play.rejectedMessages + " of " + play.offered + ", seed " + SEED);
        assertTrue(play.peakOverload < 1, seen);
        assertTrue(play.answersPerSecond(11_000_000, 13_000_000) > 0.1 * play.limitPerSecond, seen);
        assertTrue(play.answersPerSecond(14_000_000, 17_000_000) > 0.4 * play.limitPerSecond, seen);
    }

    /** Trials and slow starts of many senders stay within the rule where the limit is small, too. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void aSmallDestinationIsNotPushedOver(int senders) {
        FleetSimulation play = outage(senders, 15);
        play.run(30_000_000);
        System.out.println(senders + " senders, small: push " + play.peakOverload + ", refused " + play.rejectedCalls
                + " of " + play.calls + ", seed " + SEED);
        assertTrue(play.peakOverload < 1, "push " + play.peakOverload);
    }

    /**
     * The ramp holds for the sum of all: over N calls in a window only 2 x root of N + 2 are put down to chance, also where senders
     * learn of the outage one after another, get uneven parts of the traffic, and some are started anew while it is cold.
     */
    @ParameterizedTest
    @CsvSource({
        "20,200,0,0,0,true",
        "30,200,0,0,0,true",
        "30,15,0,0,0,true",
        "20,60,1,0,0,true",
        "30,200,1,4000000,0,true",
        "30,60,0.7,4000000,15,true",
        "20,200,0.7,0,20,true",
        "30,15,1,4000000,15,true",
        "100,280,0.7,2000000,50,true",
        "20,15,0,0,0,false",
        "30,60,0.7,4000000,15,false",
        "30,200,0,0,30,false",
        "30,15,1,4000000,15,false"
    })
    void theSumOfAllStaysWithinWhatIsPutDownToChance(
            int senders, double limit, double uneven, long learnsWithin, int restarting, boolean told) {
        StringBuilder seen = new StringBuilder(senders + " senders, limit " + limit + ", uneven " + uneven
                + ", learn within " + learnsWithin + ", " + restarting + " restarts, limit told " + told + ": excess");
        double worst = Double.NEGATIVE_INFINITY;
        for (int seed = 0; seed < 8; seed++) {
            FleetSimulation play = new FleetSimulation(senders, SEED + seed);
            play.limitPerSecond = limit;
            play.offeredRatio = 0.8;
            play.reportOverride = told ? null : List::of;
            play.outageFrom = 6_000_000;
            play.outageUntil = 11_000_000;
            play.trafficSkew = uneven;
            play.firstMessagesWithinMicros = learnsWithin;
            play.restartingSenders = restarting;
            play.restartFrom = 9_000_000;
            play.restartUntil = 20_000_000;
            play.run(27_000_000);
            worst = Math.max(worst, play.excess);
            seen.append(String.format(
                    " %.2f (push %.2f, answered %.2f)",
                    play.excess, play.peakOverload, (double) play.answered / play.offered));
        }
        System.out.println(seen + ", seeds from " + SEED);
        assertTrue(worst < 1, seen.toString());
    }

    private static FleetSimulation overloaded(int senders, boolean windows) {
        FleetSimulation play = new FleetSimulation(senders, SEED);
        play.limitPerSecond = 40;
        play.offeredRatio = 1.3;
        play.fixedWindows = windows;
        return play;
    }

    /** Rejected calls use up the limit: all that is sent has to stay near the limit, evenly shared. */
    @ParameterizedTest
    @CsvSource({"2,false", "14,false", "50,false", "2,true", "14,true", "50,true"})
    void allTogetherStayNearATellingLimit(int senders, boolean windows) {
        FleetSimulation play = overloaded(senders, windows);
        play.run(30_000_000);
        int least = Arrays.stream(play.answeredBy).min().orElse(0);
        int most = Arrays.stream(play.answeredBy).max().orElse(0);
        String seen =
                senders + " senders, windows " + windows + ": answered " + play.answersPerSecond(10_000_000, 30_000_000)
                        + " a second, sent " + play.calls + ", refused " + play.rejectedCalls + ", answered by one "
                        + least + " to "
                        + most + ", seed " + SEED;
        System.out.println(seen);
        assertTrue(
                play.answersPerSecond(10_000_000, 30_000_000) > (senders > 14 ? 0.6 : 0.8) * play.limitPerSecond, seen);
        assertTrue(play.rejectedCalls < 0.25 * play.calls, seen);
        assertTrue(most <= 4 * Math.max(least, 10), seen);
    }

    /**
     * A limit that has grown with the senders: who is refused makes way for a turn of each at that limit. Turns of 80 ms for each of a
     * hundred kept every sender away for 4 to 8 s, and up to eight times as long at further refusals.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void whoIsRefusedAtALargeLimitIsSoonBack(boolean windows) {
        FleetSimulation play = overloaded(100, windows);
        play.limitPerSecond = 280;
        play.run(30_000_000);
        String seen = "large limit, windows " + windows + ": answered " + play.answersPerSecond(10_000_000, 30_000_000)
                + " a second of 280, refused " + play.rejectedCalls + " of " + play.calls + ", seed " + SEED;
        System.out.println(seen);
        assertTrue(play.answersPerSecond(10_000_000, 30_000_000) > 0.8 * play.limitPerSecond, seen);
        assertTrue(play.rejectedCalls < 0.25 * play.calls, seen);
    }

    /** The limit falls to half for 9 s and comes back. */
    @ParameterizedTest
    @CsvSource({"2,false", "14,false", "50,false", "2,true", "14,true", "50,true"})
    void aLimitThatFallsIsBelievedAndLeftWhenItIsBack(int senders, boolean windows) {
        FleetSimulation play = overloaded(senders, windows);
        play.when(8_000_000, () -> play.limitPerSecond = 20);
        play.when(17_000_000, () -> play.limitPerSecond = 40);
        play.run(30_000_000);
        String seen =
                senders + " senders, windows " + windows + ": lowered " + play.answersPerSecond(10_000_000, 17_000_000)
                        + ", back "
                        + play.answersPerSecond(20_000_000, 30_000_000) + " a second, refused " + play.rejectedCalls
                        + " of " + play.calls
                        + ", seed " + SEED;
        System.out.println(seen);
        assertTrue(play.answersPerSecond(10_000_000, 17_000_000) > (senders > 14 ? 0.4 : 0.5) * 20, seen);
        assertTrue(play.answersPerSecond(20_000_000, 30_000_000) > (senders > 14 ? 0.55 : 0.75) * 40, seen);
        assertTrue(play.rejectedCalls < 0.3 * play.calls, seen);
    }

    /** Where half of the senders are gone the others use their share of the limit. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void whatTheDeadLeaveOfALimitIsUsed(int senders) {
        FleetSimulation play = overloaded(senders, false);
        play.offeredRatio = 2;
        play.stoppingSenders = senders / 2;
        play.stopAt = 8_000_000;
        play.run(30_000_000);
        System.out.println(senders + " senders, half of them dead: " + play.answersPerSecond(16_000_000, 30_000_000)
                + " a second");
        assertTrue(
                play.answersPerSecond(16_000_000, 30_000_000) > (senders > 14 ? 0.55 : 0.75) * play.limitPerSecond,
                "" + play.answersPerSecond(16_000_000, 30_000_000));
    }

    /** Absurd reports neither starve a destination nor overload it behind an outage. */
    @ParameterizedTest
    @CsvSource({"0,0", "-1,-5", "NaN,NaN", "7,1e300", "0,1e-9", "Infinity,Infinity", "0,1e300", "1,1e-300"})
    void absurdReportsAreBounded(double left, double limit) {
        FleetSimulation play = outage(14, 60);
        play.reportOverride = () -> List.of(left, limit);
        play.run(34_000_000);
        String seen = left + " " + limit + ": push " + play.peakOverload + ", answered " + play.answered + " of "
                + play.offered + ", at the end " + play.answersPerSecond(26_000_000, 34_000_000) + ", seed " + SEED;
        System.out.println(seen);
        assertTrue(play.peakOverload < 1, seen);
        assertTrue(play.answersPerSecond(26_000_000, 34_000_000) > 0.25 * play.limitPerSecond, seen);
    }

    /** A limit that jumps tenfold between two answers. */
    @Test
    void aLimitThatJumpsIsSurvived() {
        FleetSimulation play = outage(14, 60);
        int[] count = new int[1];
        play.reportOverride = () -> List.of(0.5, count[0]++ % 2 == 0 ? 6.0 : 600.0);
        play.run(34_000_000);
        String seen =
                "jumping: push " + play.peakOverload + ", at the end " + play.answersPerSecond(26_000_000, 34_000_000);
        System.out.println(seen);
        assertTrue(play.peakOverload < 1, seen);
        assertTrue(play.answersPerSecond(26_000_000, 34_000_000) > 0.25 * play.limitPerSecond, seen);
    }

    /** Reports that are 8 s old are read as current ones: the limit has halved and risen again since. */
    @Test
    void oldReportsDoNotStarveADestination() {
        FleetSimulation play = overloaded(14, false);
        Deque<List<Double>> old = new ArrayDeque<>();
        play.reportOverride = () -> {
            old.addLast(List.of(play.reportedAllowanceLeft(), play.reportedLimit()));
            return old.size() > 280 ? old.removeFirst() : old.peekFirst();
        };
        play.when(8_000_000, () -> play.limitPerSecond = 20);
        play.when(17_000_000, () -> play.limitPerSecond = 40);
        play.run(34_000_000);
        String seen = "old reports: at the end " + play.answersPerSecond(26_000_000, 34_000_000) + " a second, refused "
                + play.rejectedCalls + " of " + play.calls + ", seed " + SEED;
        System.out.println(seen);
        assertTrue(play.answersPerSecond(26_000_000, 34_000_000) > 0.4 * 40, seen);
    }

    /**
     * A destination with few places for connections, on average half of them taken: that a place is free only now and then
     * costs messages of some senders time, and must not shut it to all.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void aFullHouseIsNotLeftAlone(int senders) {
        FleetSimulation play = new FleetSimulation(senders, SEED);
        play.limitPerSecond = 100;
        play.maxConnectionsInUse = 5;
        play.run(30_000_000);
        String seen = senders + " senders, five places: answered " + play.answered + " of " + play.offered + ", "
                + play.unconnectedCalls + " found no place, in the last ten seconds "
                + play.answersPerSecond(20_000_000, 30_000_000)
                + " a second, seed " + SEED;
        System.out.println(seen);
        assertTrue(play.answered > (senders > 14 ? 0.75 : 0.9) * play.offered, seen);
    }

    /**
     * A receiver that holds few connections turns fresh ones away while idle ones hold its places. That is no refusal of calls:
     * taken for one, each sender made way for all others and cut its pace, and most of what could be done was not asked for.
     */
    @ParameterizedTest
    @CsvSource({"14,6", "50,10", "100,10"})
    void aTableFullOfIdleConnectionsIsNoLimit(int senders, int table) {
        FleetSimulation play = new FleetSimulation(senders, SEED);
        play.limitPerSecond = 40;
        play.maxConnections = table;
        play.idleLifeMicros = 4_000_000;
        play.run(40_000_000);
        String seen = senders + " senders, a table of " + table + ": answered " + play.answered + " of " + play.offered
                + ", turned away at the" + " door " + play.unconnectedCalls + ", in the last twenty seconds "
                + play.answersPerSecond(20_000_000, 40_000_000) + " a second, seed " + SEED;
        System.out.println(seen);
        assertTrue(play.answered > 0.85 * play.offered, seen);
    }

    /**
     * What a restart finds taken on and untried, with two thirds of its time left, gets its call: under overload, in an outage, and with
     * no more room than what is held takes, so that what comes anew presses on it.
     */
    @ParameterizedTest
    @CsvSource({
        "20,1.3,false,200",
        "20,0.8,true,200",
        "20,1.3,false,12",
        "20,1.3,true,12",
        "2,1.5,false,60",
        "2,1.5,true,60"
    })
    void whatARestartFindsUntriedIsTried(int senders, double load, boolean outage, int mostHeld) {
        int untried = 0;
        int givenUp = 0;
        for (int seed = 0; seed < 5; seed++) {
            FleetSimulation play = new FleetSimulation(senders, SEED + seed, mostHeld);
            restartAll(play, senders, load, outage);
            untried += play.recoveredUntried;
            givenUp += play.abandonedUntried;
        }
        String seen = senders + " senders, load " + load + ", outage " + outage + ", room for " + mostHeld + ": of "
                + untried + " found untried " + givenUp + " were given up with no call, seeds from " + SEED;
        System.out.println(seen);
        assertTrue(untried > 20, seen);
        assertTrue(givenUp < 0.5 * untried, seen);
    }

    /**
     * The same holds for those alone that may not simply be repeated, whether they are worth more than the others or less: under overload
     * and in an outage, in which they are no trials.
     */
    @ParameterizedTest
    @CsvSource({
        "20,1.3,false,200,NON_IDEMPOTENT,5",
        "20,1.3,false,200,NON_IDEMPOTENT,1",
        "20,0.8,true,200,NON_IDEMPOTENT,5",
        "20,0.8,true,200,NON_IDEMPOTENT,1",
        "20,1.3,true,12,NON_IDEMPOTENT,1",
        "2,1.5,true,60,NON_IDEMPOTENT,5",
        "2,1.5,true,60,NON_IDEMPOTENT,1",
        "20,1.3,false,200,KEYED,1",
        "20,0.8,true,200,KEYED,5",
        "20,0.8,true,200,KEYED,1",
        "20,1.3,true,12,KEYED,1",
        "2,1.5,true,60,KEYED,1"
    })
    void whatARestartFindsUntriedAndMayNotRepeatIsTried(
            int senders,
            double load,
            boolean outage,
            int mostHeld,
            DeliveryScheduler.Idempotency effect,
            double worth) {
        int untried = 0;
        int givenUp = 0;
        for (int seed = 0; seed < 5; seed++) {
            FleetSimulation play =
                    new FleetSimulation(senders, SEED + seed, mostHeld, FleetSimulation.messageClass(worth, effect));
            play.otherClassPeriod = 3;
            restartAll(play, senders, load, outage);
            untried += play.recoveredUntriedOther;
            givenUp += play.abandonedUntriedOther;
        }
        String seen = senders + " senders, load " + load + ", outage " + outage + ", " + effect + " worth " + worth
                + ": of " + untried + " found untried that may not be repeated " + givenUp
                + " were given up with no call, seeds from " + SEED;
        System.out.println(seen);
        assertTrue(untried > 20, seen);
        assertTrue(givenUp < 0.5 * untried, seen);
    }

    /** A limit of 40 a second, all senders restarted between 9 and 13 s, an outage up to its middle. */
    private static void restartAll(FleetSimulation play, int senders, double load, boolean outage) {
        play.limitPerSecond = 40;
        play.offeredRatio = load;
        play.outageFrom = outage ? 6_000_000 : Long.MAX_VALUE;
        play.outageUntil = outage ? 11_000_000 : Long.MAX_VALUE;
        play.restartingSenders = senders;
        play.restartFrom = 9_000_000;
        play.restartUntil = 13_000_000;
        play.run(30_000_000);
    }

    /** All start in the same millisecond with 300 messages pending in all, 7 s of the limit, and without checkpoints. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void aFleetThatStartsTogetherSpreadsWhatItHolds(int senders) {
        FleetSimulation play = new FleetSimulation(senders, SEED);
        play.limitPerSecond = 40;
        play.offeredRatio = 0.3;
        play.pendingAtStart = 300 / senders;
        play.run(20_000_000);
        String seen = senders + " senders that start together: refused in the first second "
                + play.rejectedCalls(0, 1_000_000)
                + ", then " + play.rejectedCalls(1_000_000, 20_000_000) + ", answered a second up to 8 s "
                + play.answersPerSecond(0, 8_000_000) + ", of all " + play.answered + " of " + play.offered + ", seed "
                + SEED;
        System.out.println(seen);
        assertTrue(play.rejectedCalls(0, 1_000_000) <= 2 * senders + 20, seen);
        assertTrue(play.rejectedCalls(1_000_000, 20_000_000) < 0.3 * play.calls, seen);
        assertTrue(play.answersPerSecond(0, 8_000_000) > (senders > 14 ? 0.4 : 0.75) * play.limitPerSecond, seen);
    }
}
