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

/** Tests the combined load of many independent senders on a destination that they share. */
class FleetBehaviorTest {
    private static final long SEED = 20_261;

    private static FleetSimulation outage(int senders, double limitPerSecond) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = limitPerSecond;
        simulation.outageStartMicros = 6_000_000;
        simulation.outageEndMicros = 11_000_000;
        return simulation;
    }

    /** The clients offer half of the limit, which a destination in slow start can take within 5 s after the outage. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void destinationAfterOutageRecoversWithoutOverload(int senders) {
        FleetSimulation simulation = outage(senders, 200);
        simulation.run(26_000_000);
        String summary = senders + " senders: peak overload " + simulation.peakOverload
                + ", answered per second after the outage";
        for (int second = 0; second < 12; second++) {
            summary += " " + (int) simulation.answersPerSecond((11 + second) * 1_000_000L, (12 + second) * 1_000_000L);
        }
        System.out.println(summary + "; rejected " + simulation.rejectedCalls + " of " + simulation.calls
                + " calls and " + simulation.rejectedMessages + " of " + simulation.offeredMessages + " messages, seed "
                + SEED);
        assertTrue(simulation.peakOverload < 1, summary);
        assertTrue(simulation.answersPerSecond(11_000_000, 13_000_000) > 0.1 * simulation.limitPerSecond, summary);
        assertTrue(simulation.answersPerSecond(14_000_000, 17_000_000) > 0.4 * simulation.limitPerSecond, summary);
    }

    /** Trials and slow starts of many senders do not overload a destination with a small limit either. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void smallDestinationAfterOutageIsNotOverloaded(int senders) {
        FleetSimulation simulation = outage(senders, 15);
        simulation.run(30_000_000);
        System.out.println(senders + " senders, small limit: peak overload " + simulation.peakOverload + ", rejected "
                + simulation.rejectedCalls + " of " + simulation.calls + ", seed " + SEED);
        assertTrue(simulation.peakOverload < 1, "peak overload " + simulation.peakOverload);
    }

    /**
     * The limit of the slow start holds for all senders together: it may be exceeded by random variation only, 2 x sqrt(N) + 2
     * calls above N in a window. This includes senders that detect the outage one after another, have uneven traffic, or restart
     * during the slow start.
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
        StringBuilder summary = new StringBuilder(senders + " senders, limit " + limitPerSecond + ", traffic skew "
                + trafficSkew + ", outage detected within " + detectionSpreadMicros + " us, "
                + restartingSenders
                + " restarts, limit reported " + limitReported + ": excess");
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
                    " %.2f (peak overload %.2f, answered ratio %.2f)",
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

    /** Rejected calls use up the limit, so the total rate has to stay near the limit, with even shares for the senders. */
    @ParameterizedTest
    @CsvSource({"2,false", "14,false", "50,false", "2,true", "14,true", "50,true"})
    void fleetUnderReportedLimitStaysNearIt(int senders, boolean fixedWindows) {
        FleetSimulation simulation = overloaded(senders, fixedWindows);
        simulation.run(30_000_000);
        int minAnswered = Arrays.stream(simulation.answeredCallsBySender).min().orElse(0);
        int maxAnswered = Arrays.stream(simulation.answeredCallsBySender).max().orElse(0);
        String summary = senders + " senders, fixed windows " + fixedWindows + ": answered "
                + simulation.answersPerSecond(10_000_000, 30_000_000)
                + " per second, sent " + simulation.calls + ", rejected " + simulation.rejectedCalls
                + ", answered per sender "
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
     * The backoff after a rejection must become shorter under a large limit that is reported. With the fixed spacing of 80 ms for
     * each of 100 senders, every rejected sender paused for 4 to 8 s, and for up to eight times as long after more rejections.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void rejectedSendersAtLargeLimitResumeSoon(boolean fixedWindows) {
        FleetSimulation simulation = overloaded(100, fixedWindows);
        simulation.limitPerSecond = 280;
        simulation.run(30_000_000);
        String summary = "large limit, fixed windows " + fixedWindows + ": answered "
                + simulation.answersPerSecond(10_000_000, 30_000_000) + " per second of a limit of 280, rejected "
                + simulation.rejectedCalls + " of " + simulation.calls + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answersPerSecond(10_000_000, 30_000_000) > 0.8 * simulation.limitPerSecond, summary);
        assertTrue(simulation.rejectedCalls < 0.25 * simulation.calls, summary);
    }

    /** The limit falls to half for 9 s and is then restored. */
    @ParameterizedTest
    @CsvSource({"2,false", "14,false", "50,false", "2,true", "14,true", "50,true"})
    void limitLoweredAndRestoredIsFollowedBothWays(int senders, boolean fixedWindows) {
        FleetSimulation simulation = overloaded(senders, fixedWindows);
        simulation.scheduleSinceStart(8_000_000, () -> simulation.limitPerSecond = 20);
        simulation.scheduleSinceStart(17_000_000, () -> simulation.limitPerSecond = 40);
        simulation.run(30_000_000);
        String summary = senders + " senders, fixed windows " + fixedWindows + ": answered under the lowered limit "
                + simulation.answersPerSecond(10_000_000, 17_000_000)
                + ", after its end "
                + simulation.answersPerSecond(20_000_000, 30_000_000) + " per second, rejected "
                + simulation.rejectedCalls
                + " of " + simulation.calls
                + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answersPerSecond(10_000_000, 17_000_000) > (senders > 14 ? 0.4 : 0.5) * 20, summary);
        assertTrue(simulation.answersPerSecond(20_000_000, 30_000_000) > (senders > 14 ? 0.55 : 0.75) * 40, summary);
        assertTrue(simulation.rejectedCalls < 0.3 * simulation.calls, summary);
    }

    /** After half of the senders have stopped, the others use the whole limit. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void limitShareOfStoppedSendersIsUsedByOthers(int senders) {
        FleetSimulation simulation = overloaded(senders, false);
        simulation.offeredLoadRatio = 2;
        simulation.stoppingSenders = senders / 2;
        simulation.stopAtMicros = 8_000_000;
        simulation.run(30_000_000);
        System.out.println(senders + " senders, half of them stopped: answered "
                + simulation.answersPerSecond(16_000_000, 30_000_000) + " per second");
        assertTrue(
                simulation.answersPerSecond(16_000_000, 30_000_000)
                        > (senders > 14 ? 0.55 : 0.75) * simulation.limitPerSecond,
                "" + simulation.answersPerSecond(16_000_000, 30_000_000));
    }

    /** Implausible load reports neither starve a destination nor overload it after an outage. */
    @ParameterizedTest
    @CsvSource({"0,0", "-1,-5", "NaN,NaN", "7,1e300", "0,1e-9", "Infinity,Infinity", "0,1e300", "1,1e-300"})
    void implausibleLoadReportsHaveBoundedEffect(double allowanceLeft, double limitPerSecond) {
        FleetSimulation simulation = outage(14, 60);
        simulation.reportOverride = () -> List.of(allowanceLeft, limitPerSecond);
        simulation.run(34_000_000);
        String summary = allowanceLeft + " " + limitPerSecond + ": peak overload " + simulation.peakOverload
                + ", answered "
                + simulation.answeredCalls + " of " + simulation.offeredMessages + ", at the end "
                + simulation.answersPerSecond(26_000_000, 34_000_000) + " per second, seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.peakOverload < 1, summary);
        assertTrue(simulation.answersPerSecond(26_000_000, 34_000_000) > 0.25 * simulation.limitPerSecond, summary);
    }

    /** The reported limit alternates between a tenth of the true one and ten times as much. */
    @Test
    void jumpingReportedLimitNeitherOverloadsNorStarvesDestination() {
        FleetSimulation simulation = outage(14, 60);
        int[] reportCount = new int[1];
        simulation.reportOverride = () -> List.of(0.5, reportCount[0]++ % 2 == 0 ? 6.0 : 600.0);
        simulation.run(34_000_000);
        String summary = "jumping limit: peak overload " + simulation.peakOverload + ", answered per second at the end "
                + simulation.answersPerSecond(26_000_000, 34_000_000);
        System.out.println(summary);
        assertTrue(simulation.peakOverload < 1, summary);
        assertTrue(simulation.answersPerSecond(26_000_000, 34_000_000) > 0.25 * simulation.limitPerSecond, summary);
    }

    /** Load reports arrive about 8 s late, while the limit falls to half and is restored. */
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
        String summary = "delayed reports: answered at the end " + simulation.answersPerSecond(26_000_000, 34_000_000)
                + " per second, rejected " + simulation.rejectedCalls + " of " + simulation.calls + ", seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answersPerSecond(26_000_000, 34_000_000) > 0.4 * 40, summary);
    }

    /**
     * A destination accepts five connections, half of which are in use on average. Calls that cannot connect may delay some
     * messages, but must not open the breaker of all senders.
     */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void destinationWithFewConnectionsIsStillUsed(int senders) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 100;
        simulation.maxConnectionsInUse = 5;
        simulation.run(30_000_000);
        String summary = senders + " senders, five connections: answered " + simulation.answeredCalls + " of "
                + simulation.offeredMessages + ", "
                + simulation.unconnectedCalls + " calls without a connection, in the last 10 s "
                + simulation.answersPerSecond(20_000_000, 30_000_000)
                + " per second, seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answeredCalls > (senders > 14 ? 0.75 : 0.9) * simulation.offeredMessages, summary);
    }

    /**
     * A destination with a small connection table rejects fresh connections while idle ones occupy the table. This is no rejection
     * of calls: when it was treated as one, all senders backed off and cut their pace, and most of the capacity was unused.
     */
    @ParameterizedTest
    @CsvSource({"14,6", "50,10", "100,10"})
    void connectionTableFullOfIdleConnectionsIsNotTakenForRateLimit(int senders, int maxConnections) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 40;
        simulation.maxConnections = maxConnections;
        simulation.idleConnectionLifeMicros = 4_000_000;
        simulation.run(40_000_000);
        String summary =
                senders + " senders, connection limit " + maxConnections + ": answered " + simulation.answeredCalls
                        + " of " + simulation.offeredMessages
                        + ", rejected connections " + simulation.unconnectedCalls + ", in the last 20 s "
                        + simulation.answersPerSecond(20_000_000, 40_000_000) + " per second, seed " + SEED;
        System.out.println(summary);
        assertTrue(simulation.answeredCalls > 0.85 * simulation.offeredMessages, summary);
    }

    /**
     * Messages that a restart recovers without an earlier attempt, with two thirds of their time left, are attempted: under
     * overload, in an outage, and if recovered messages fill the capacity, so that new arrivals compete with them.
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
        String summary = senders + " senders, load " + offeredLoadRatio + ", outage " + outage + ", capacity "
                + maxPending + ": of " + recovered + " recovered without an attempt " + abandoned
                + " got no attempt, seeds from " + SEED;
        System.out.println(summary);
        assertTrue(recovered > 20, summary);
        assertTrue(abandoned < 0.5 * recovered, summary);
    }

    /**
     * The same holds for non-idempotent and keyed messages alone, with a higher or lower priority weight than the others: under
     * overload and in an outage, where they are not used as trials.
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
                + ", weight " + priorityWeight
                + ": of " + recovered + " recovered without an attempt " + abandoned
                + " got no attempt, seeds from " + SEED;
        System.out.println(summary);
        assertTrue(recovered > 20, summary);
        assertTrue(abandoned < 0.5 * recovered, summary);
    }

    /** Runs with a limit of 40 calls per second, restarts of all senders from 9 to 13 s, and optionally an outage until 11 s. */
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

    /** All senders start at once without checkpoints and with 300 pending messages in total, which the limit takes 7.5 s to serve. */
    @ParameterizedTest
    @ValueSource(ints = {2, 14, 50})
    void fleetStartingAtOnceSpreadsPendingMessages(int senders) {
        FleetSimulation simulation = new FleetSimulation(senders, SEED);
        simulation.limitPerSecond = 40;
        simulation.offeredLoadRatio = 0.3;
        simulation.pendingAtStart = 300 / senders;
        simulation.run(20_000_000);
        String summary = senders + " senders started at once: rejected in the first second "
                + simulation.rejectedCalls(0, 1_000_000)
                + ", then " + simulation.rejectedCalls(1_000_000, 20_000_000)
                + ", answered per second in the first 8 s "
                + simulation.answersPerSecond(0, 8_000_000) + ", in total " + simulation.answeredCalls + " of "
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
