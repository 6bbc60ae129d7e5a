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

    private static FleetSimulation outage(int senders, double limitPerSecond) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = limitPerSecond;
        simulation.outageStartMicros = 6_000_000;
        simulation.outageEndMicros = 11_000_000;
        return simulation;
    }

    /** Half of the limit is offered, which a destination in slow start can take within 5 s of its return. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void destinationAfterOutageRecoversWithoutOverload(int senders) {
        FleetSimulation simulation = outage(senders, 200);
        simulation.run(26_000_000);
        String summary = senders + " senders: push " + simulation.peakOverload + ", rates after the return";
        for (int second = 0; second < 12; second++) {
            summary += " " + (int) simulation.answersPerSecond((11 + second) * 1_000_000L, (12 + second) * 1_000_000L);
        }
        System.out.println(
                summary + "; refused " + simulation.rejectedCalls + " of " + simulation.calls + ", turned away "
                        + simulation.rejectedMessages + " of " + simulation.offeredMessages + ", seed " + SEED);
        assertTrue(simulation.peakOverload < 1, summary);
        assertTrue(simulation.answersPerSecond(11_000_000, 13_000_000) > 0.1 * simulation.limitPerSecond, summary);
        assertTrue(simulation.answersPerSecond(14_000_000, 17_000_000) > 0.4 * simulation.limitPerSecond, summary);
    }

    /** Trials and slow starts of many senders stay within the rule where the limit is small, too. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void smallDestinationAfterOutageIsNotOverloaded(int senders) {
        FleetSimulation simulation = outage(senders, 15);
        simulation.run(30_000_000);
        System.out.println(senders + " senders, small: push " + simulation.peakOverload + ", refused "
                + simulation.rejectedCalls + " of " + simulation.calls + ", seed " + SEED);
        assertTrue(simulation.peakOverload < 1, "push " + simulation.peakOverload);
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
    void totalLoadAfterOutageStaysWithinRandomVariation(
            int senders,
            double limitPerSecond,
            double trafficSkew,
            long detectionSpreadMicros,
            int restartingSenders,
            boolean limitReported) {
        StringBuilder summary = new StringBuilder(senders + " senders, limit " + limitPerSecond + ", uneven "
                + trafficSkew + ", learn within " + detectionSpreadMicros + ", " + restartingSenders
                + " restarts, limit told " + limitReported + ": excess");
        double worstExcess = Double.NEGATIVE_INFINITY;
        for (int seed = 0; seed < 8; seed++) {
            FleetSimulation simulation = new FleetSimulation(senders, SEED + seed);
            simulation.limitPerSecond = limitPerSecond;
            simulation.offeredLoadRatio = 0.8;
            simulation.reportOverride = limitReported ? null : List::of;
            simulation.outageStartMicros = 6_000_000;
            simulation.outageEndMicros = 11_000_000;
            simulation.trafficSkew = trafficSkew;
            simulation.outageDetectionSpreadMicros = detectionSpreadMicros;
            simulation.restartingSenders = restartingSenders;
            simulation.firstRestartMicros = 9_000_000;
            simulation.lastRestartMicros = 20_000_000;
            simulation.run(27_000_000);
            worstExcess = Math.max(worstExcess, simulation.peakExcess);
            summary.append(String.format(
                    " %.2f (push %.2f, answered %.2f)",
                    simulation.peakExcess,
                    simulation.peakOverload,
                    (double) simulation.answeredCalls / simulation.offeredMessages));
        }
        System.out.println(summary + ", seeds from " + SEED);
        assertTrue(worstExcess < 1, summary.toString());
    }

    private static FleetSimulation overloaded(int senders, boolean fixedWindows) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 40;
        simulation.offeredLoadRatio = 1.3;
        simulation.fixedWindows = fixedWindows;
        return simulation;
    }

    /** Rejected calls use up the limit: all that is sent has to stay near the limit, evenly shared. */
    @ParameterizedTest
    @CsvSource({"2,false", "14,false", "50,false", "2,true", "14,true", "50,true"})
    void fleetUnderReportedLimitStaysNearIt(int senders, boolean fixedWindows) {
        FleetSimulation simulation = overloaded(senders, fixedWindows);
        simulation.run(30_000_000);
        int minAnswered = Arrays.stream(simulation.answeredCallsBySender).min().orElse(0);
        int maxAnswered = Arrays.stream(simulation.answeredCallsBySender).max().orElse(0);
        String summary = senders + " senders, windows " + fixedWindows + ": answered "
                + simulation.answersPerSecond(10_000_000, 30_000_000)
                + " a second, sent " + simulation.calls + ", refused " + simulation.rejectedCalls + ", answered by one "
                + minAnswered + " to "
                + maxAnswered + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(
                simulation.answersPerSecond(10_000_000, 30_000_000)
                        > (senders > 14 ? 0.6 : 0.8) * simulation.limitPerSecond,
                summary);
        assertTrue(simulation.rejectedCalls < 0.25 * simulation.calls, summary);
        assertTrue(maxAnswered <= 4 * Math.max(minAnswered, 10), summary);
    }

    /**
     * A limit that has grown with the senders: who is refused makes way for a turn of each at that limit. Turns of 80 ms for each of a
     * hundred kept every sender away for 4 to 8 s, and up to eight times as long at further refusals.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void rejectedSendersAtLargeLimitResumeSoon(boolean fixedWindows) {
        FleetSimulation simulation = overloaded(100, fixedWindows);
        simulation.limitPerSecond = 280;
        simulation.run(30_000_000);
        String summary = "large limit, windows " + fixedWindows + ": answered "
                + simulation.answersPerSecond(10_000_000, 30_000_000) + " a second of 280, refused "
                + simulation.rejectedCalls + " of " + simulation.calls + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answersPerSecond(10_000_000, 30_000_000) > 0.8 * simulation.limitPerSecond, summary);
        assertTrue(simulation.rejectedCalls < 0.25 * simulation.calls, summary);
    }

    /** The limit falls to half for 9 s and comes back. */
    @ParameterizedTest
    @CsvSource({"2,false", "14,false", "50,false", "2,true", "14,true", "50,true"})
    void limitLoweredAndRestoredIsFollowedBothWays(int senders, boolean fixedWindows) {
        FleetSimulation simulation = overloaded(senders, fixedWindows);
        simulation.scheduleSinceStart(8_000_000, () -> simulation.limitPerSecond = 20);
        simulation.scheduleSinceStart(17_000_000, () -> simulation.limitPerSecond = 40);
        simulation.run(30_000_000);
        String summary = senders + " senders, windows " + fixedWindows + ": lowered "
                + simulation.answersPerSecond(10_000_000, 17_000_000)
                + ", back "
                + simulation.answersPerSecond(20_000_000, 30_000_000) + " a second, refused " + simulation.rejectedCalls
                + " of " + simulation.calls
                + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answersPerSecond(10_000_000, 17_000_000) > (senders > 14 ? 0.4 : 0.5) * 20, summary);
        assertTrue(simulation.answersPerSecond(20_000_000, 30_000_000) > (senders > 14 ? 0.55 : 0.75) * 40, summary);
        assertTrue(simulation.rejectedCalls < 0.3 * simulation.calls, summary);
    }

    /** Where half of the senders are gone the others use their share of the limit. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void limitShareOfStoppedSendersIsUsedByOthers(int senders) {
        FleetSimulation simulation = overloaded(senders, false);
        simulation.offeredLoadRatio = 2;
        simulation.stoppingSenders = senders / 2;
        simulation.stopAtMicros = 8_000_000;
        simulation.run(30_000_000);
        System.out.println(senders + " senders, half of them dead: "
                + simulation.answersPerSecond(16_000_000, 30_000_000) + " a second");
        assertTrue(
                simulation.answersPerSecond(16_000_000, 30_000_000)
                        > (senders > 14 ? 0.55 : 0.75) * simulation.limitPerSecond,
                "" + simulation.answersPerSecond(16_000_000, 30_000_000));
    }

    /** Absurd reports neither starve a destination nor overload it behind an outage. */
    @ParameterizedTest
    @CsvSource({"0,0", "-1,-5", "NaN,NaN", "7,1e300", "0,1e-9", "Infinity,Infinity", "0,1e300", "1,1e-300"})
    void implausibleLoadReportsHaveBoundedEffect(double allowanceLeft, double limitPerSecond) {
        FleetSimulation simulation = outage(14, 60);
        simulation.reportOverride = () -> List.of(allowanceLeft, limitPerSecond);
        simulation.run(34_000_000);
        String summary = allowanceLeft + " " + limitPerSecond + ": push " + simulation.peakOverload + ", answered "
                + simulation.answeredCalls + " of " + simulation.offeredMessages + ", at the end "
                + simulation.answersPerSecond(26_000_000, 34_000_000) + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.peakOverload < 1, summary);
        assertTrue(simulation.answersPerSecond(26_000_000, 34_000_000) > 0.25 * simulation.limitPerSecond, summary);
    }

    /** A limit that jumps tenfold between two answers. */
    @Test
    void jumpingReportedLimitNeitherOverloadsNorStarvesDestination() {
        FleetSimulation simulation = outage(14, 60);
        int[] reportCount = new int[1];
        simulation.reportOverride = () -> List.of(0.5, reportCount[0]++ % 2 == 0 ? 6.0 : 600.0);
        simulation.run(34_000_000);
        String summary = "jumping: push " + simulation.peakOverload + ", at the end "
                + simulation.answersPerSecond(26_000_000, 34_000_000);
        System.out.println(summary);
        assertTrue(simulation.peakOverload < 1, summary);
        assertTrue(simulation.answersPerSecond(26_000_000, 34_000_000) > 0.25 * simulation.limitPerSecond, summary);
    }

    /** Reports that are 8 s old are read as current ones: the limit has halved and risen again since. */
    @Test
    void outdatedLoadReportsDoNotStarveDestination() {
        FleetSimulation simulation = overloaded(14, false);
        Deque<List<Double>> delayedReports = new ArrayDeque<>();
        simulation.reportOverride = () -> {
            delayedReports.addLast(List.of(simulation.reportedAllowanceLeft(), simulation.reportedLimit()));
            return delayedReports.size() > 280 ? delayedReports.removeFirst() : delayedReports.peekFirst();
        };
        simulation.scheduleSinceStart(8_000_000, () -> simulation.limitPerSecond = 20);
        simulation.scheduleSinceStart(17_000_000, () -> simulation.limitPerSecond = 40);
        simulation.run(34_000_000);
        String summary = "old reports: at the end " + simulation.answersPerSecond(26_000_000, 34_000_000)
                + " a second, refused " + simulation.rejectedCalls + " of " + simulation.calls + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answersPerSecond(26_000_000, 34_000_000) > 0.4 * 40, summary);
    }

    /**
     * A destination with few places for connections, on average half of them taken: that a place is free only now and then
     * costs messages of some senders time, and must not shut it to all.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void destinationWithFewConnectionsIsStillUsed(int senders) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 100;
        simulation.maxConnectionsInUse = 5;
        simulation.run(30_000_000);
        String summary = senders + " senders, five places: answered " + simulation.answeredCalls + " of "
                + simulation.offeredMessages + ", "
                + simulation.unconnectedCalls + " found no place, in the last ten seconds "
                + simulation.answersPerSecond(20_000_000, 30_000_000)
                + " a second, seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answeredCalls > (senders > 14 ? 0.75 : 0.9) * simulation.offeredMessages, summary);
    }

    /**
     * A receiver that holds few connections turns fresh ones away while idle ones hold its places. That is no refusal of calls:
     * taken for one, each sender made way for all others and cut its pace, and most of what could be done was not asked for.
     */
    @ParameterizedTest
    @CsvSource({"14,6", "50,10", "100,10"})
    void connectionTableFullOfIdleConnectionsIsNotTakenForRateLimit(int senders, int maxConnections) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 40;
        simulation.maxConnections = maxConnections;
        simulation.idleConnectionLifeMicros = 4_000_000;
        simulation.run(40_000_000);
        String summary = senders + " senders, a table of " + maxConnections + ": answered " + simulation.answeredCalls
                + " of " + simulation.offeredMessages
                + ", turned away at the" + " door " + simulation.unconnectedCalls + ", in the last twenty seconds "
                + simulation.answersPerSecond(20_000_000, 40_000_000) + " a second, seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answeredCalls > 0.85 * simulation.offeredMessages, summary);
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
    void unattemptedMessagesAreAttemptedAfterRestart(
            int senders, double offeredLoadRatio, boolean outage, int maxPending) {
        int recovered = 0;
        int abandoned = 0;
        for (int seed = 0; seed < 5; seed++) {
            FleetSimulation simulation = new FleetSimulation(senders, SEED + seed, maxPending);
            restartAll(simulation, senders, offeredLoadRatio, outage);
            recovered += simulation.recoveredUnattempted;
            abandoned += simulation.abandonedUnattempted;
        }
        String summary = senders + " senders, load " + offeredLoadRatio + ", outage " + outage + ", room for "
                + maxPending + ": of " + recovered + " found untried " + abandoned
                + " were given up with no call, seeds from " + SEED;
        System.out.println(summary);
        assertTrue(recovered > 20, summary);
        assertTrue(abandoned < 0.5 * recovered, summary);
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
    void unattemptedMessagesThatAreNotIdempotentAreAttemptedAfterRestart(
            int senders,
            double offeredLoadRatio,
            boolean outage,
            int maxPending,
            DeliveryScheduler.Idempotency idempotency,
            double priorityWeight) {
        int recovered = 0;
        int abandoned = 0;
        for (int seed = 0; seed < 5; seed++) {
            FleetSimulation simulation = new FleetSimulation(
                    senders, SEED + seed, maxPending, FleetSimulation.messageClass(priorityWeight, idempotency));
            simulation.otherClassPeriod = 3;
            restartAll(simulation, senders, offeredLoadRatio, outage);
            recovered += simulation.recoveredUnattemptedOther;
            abandoned += simulation.abandonedUnattemptedOther;
        }
        String summary = senders + " senders, load " + offeredLoadRatio + ", outage " + outage + ", " + idempotency
                + " worth " + priorityWeight
                + ": of " + recovered + " found untried that may not be repeated " + abandoned
                + " were given up with no call, seeds from " + SEED;
        System.out.println(summary);
        assertTrue(recovered > 20, summary);
        assertTrue(abandoned < 0.5 * recovered, summary);
    }

    /** A limit of 40 a second, all senders restarted between 9 and 13 s, an outage up to its middle. */
    private static void restartAll(FleetSimulation simulation, int senders, double offeredLoadRatio, boolean outage) {
        simulation.limitPerSecond = 40;
        simulation.offeredLoadRatio = offeredLoadRatio;
        simulation.outageStartMicros = outage ? 6_000_000 : Long.MAX_VALUE;
        simulation.outageEndMicros = outage ? 11_000_000 : Long.MAX_VALUE;
        simulation.restartingSenders = senders;
        simulation.firstRestartMicros = 9_000_000;
        simulation.lastRestartMicros = 13_000_000;
        simulation.run(30_000_000);
    }

    /** All start in the same millisecond with 300 messages pending in all, 7 s of the limit, and without checkpoints. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void fleetStartingAtOnceSpreadsPendingMessages(int senders) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 40;
        simulation.offeredLoadRatio = 0.3;
        simulation.pendingAtStart = 300 / senders;
        simulation.run(20_000_000);
        String summary = senders + " senders that start together: refused in the first second "
                + simulation.rejectedCalls(0, 1_000_000)
                + ", then " + simulation.rejectedCalls(1_000_000, 20_000_000) + ", answered a second up to 8 s "
                + simulation.answersPerSecond(0, 8_000_000) + ", of all " + simulation.answeredCalls + " of "
                + simulation.offeredMessages + ", seed "
                + SEED;
        System.out.println(summary);
        assertTrue(simulation.rejectedCalls(0, 1_000_000) <= 2 * senders + 20, summary);
        assertTrue(simulation.rejectedCalls(1_000_000, 20_000_000) < 0.3 * simulation.calls, summary);
        assertTrue(
                simulation.answersPerSecond(0, 8_000_000) > (senders > 14 ? 0.4 : 0.75) * simulation.limitPerSecond,
                summary);
    }
}
