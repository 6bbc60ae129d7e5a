package amberroute.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the fleet-wide load estimate, the capacity estimate and the admission price, alone and in a simulated fleet. */
class FleetAdmissionControlTest {
    private static DestinationLoad load(
            double highPriority, double lowPriority, double served, double rejected, double pending) {
        double[] demand = new double[PriorityBands.COUNT];
        demand[PriorityBands.bandOf(4)] = highPriority;
        demand[PriorityBands.bandOf(1)] = lowPriority;
        return new DestinationLoad(demand, served, rejected, pending);
    }

    private static double[] simulate(
            int senderCount,
            boolean usePrices,
            boolean skewed,
            boolean enforceShares,
            double lossProbability,
            long maxDelayMicros) {
        FleetSimulation simulation = new FleetSimulation(senderCount, 3, usePrices, skewed, enforceShares);
        simulation.lossProbability = lossProbability;
        simulation.maxDelayMicros = maxDelayMicros;
        simulation.run(8_000_000);
        simulation.resetCounters();
        double leastServedPerSecond = Double.MAX_VALUE;
        for (int second = 0; second < 20; second++) {
            long servedBefore = simulation.served;
            simulation.run(1_000_000);
            leastServedPerSecond = Math.min(leastServedPerSecond, simulation.served - servedBefore);
        }
        System.out.printf(
                "%d senders, %s%s, loss %.1f, reports up to %d ms late: %.3f of the ideal value, %.3f rejected calls per served"
                        + " message, least second %.2f of the capacity, %.0f report bytes per sender and second%n",
                senderCount,
                usePrices ? enforceShares ? "prices and shares" : "prices" : "no prices",
                skewed ? ", skewed" : "",
                lossProbability,
                maxDelayMicros / 1_000,
                simulation.value / simulation.idealValue,
                (double) simulation.rejectedCalls / simulation.served,
                leastServedPerSecond / simulation.capacityPerSecond,
                simulation.reportBytes / 20.0 / senderCount);
        assertTrue(
                simulation.highestFractionSum <= 1 + 1e-6,
                "usable fractions add up to " + simulation.highestFractionSum);
        return new double[] {
            simulation.value / simulation.idealValue,
            (double) simulation.rejectedCalls / simulation.served,
            leastServedPerSecond / simulation.capacityPerSecond,
            simulation.reportBytes / 20.0 / senderCount
        };
    }

    @Test
    void overloadedFleetServesTheMostValuableMessagesDespiteLostAndLateReports() {
        double[] withoutPrices = simulate(12, false, false, false, 0, 20_000);
        double[] withPrices = simulate(12, true, false, false, 0, 20_000);
        assertTrue(
                withPrices[0] > 0.95 && withPrices[0] > withoutPrices[0],
                "part of the ideal value: " + withPrices[0] + ", without prices " + withoutPrices[0]);
        assertTrue(
                withPrices[1] < withoutPrices[1],
                "rejected calls per served message: " + withPrices[1] + ", without prices " + withoutPrices[1]);
        // The prices must not oscillate between admitting all and nothing.
        assertTrue(withPrices[2] > 0.85, "part of the capacity served in the least second: " + withPrices[2]);
        for (double[] impaired : List.of(
                simulate(12, true, true, false, 0.2, 200_000), simulate(12, true, true, false, 0.2, 2_000_000))) {
            // One sender has half of the traffic and is rejected as often as those with little.
            assertTrue(
                    impaired[0] > 0.8 && impaired[2] > 0.85,
                    "part of the ideal value: " + impaired[0] + ", of the capacity in the least second: "
                            + impaired[2]);
        }
    }

    /** With even traffic, limiting calls to shares at least halves the rejections; the usable fractions never exceed 1 in total. */
    @Test
    void sharesOfALimitReduceRejections() {
        double[] withoutShares = simulate(12, true, false, false, 0, 20_000);
        double[] withShares = simulate(12, true, false, true, 0, 20_000);
        assertTrue(
                withShares[0] > 0.95 && withShares[1] < 0.5 * withoutShares[1],
                "part of the ideal value: " + withShares[0] + ", rejected calls per served message: " + withShares[1]
                        + ", without shares " + withoutShares[1]);
        simulate(12, true, true, true, 0.2, 200_000);
    }

    @Test
    void reportTrafficPerSenderDoesNotGrowWithTheFleet() {
        double[] smallFleet = simulate(100, true, true, false, 0, 50_000);
        double[] largeFleet = simulate(1_000, true, true, false, 0, 50_000);
        assertTrue(
                smallFleet[0] > 0.93 && largeFleet[0] > 0.87,
                "part of the ideal value: " + smallFleet[0] + ", in the large fleet " + largeFleet[0]);
        assertTrue(
                largeFleet[3] < 1.1 * smallFleet[3],
                "report bytes per sender and second: " + smallFleet[3] + ", in the large fleet " + largeFleet[3]);
    }

    /** A load of 3 times the capacity for 10 s, then of 0.9 times; clients submit rejected messages again throughout. */
    @Test
    void fleetRecoversWithinSecondsAfterASpike() {
        FleetSimulation simulation = new FleetSimulation(12, 9, true, false, false);
        simulation.loadFactor = 0.9;
        simulation.run(8_000_000);
        simulation.loadFactor = 3;
        simulation.run(10_000_000);
        simulation.loadFactor = 0.9;
        simulation.run(3_000_000);
        simulation.resetCounters();
        simulation.run(5_000_000);
        assertTrue(simulation.expired < 0.02 * simulation.served, simulation.expired + " accepted messages expired");
        System.out.printf(
                "from 3 to 8 s after a spike: %.3f of the ideal value%n", simulation.value / simulation.idealValue);
        assertTrue(
                simulation.value >= 0.85 * simulation.idealValue,
                "value " + simulation.value + " of the ideal " + simulation.idealValue);
    }

    /** Guards against accepting, after a spike, too many messages that then expire. Same bounds as the test above, for each seed. */
    @Test
    void behindASpikeItIsBackWithinSecondsOnEachOfTenSeeds() {
        List<String> failures = new ArrayList<>();
        for (long seed = 1; seed <= 10; seed++) {
            FleetSimulation simulation = new FleetSimulation(12, seed, true, false, false);
            simulation.loadFactor = 0.9;
            simulation.run(8_000_000);
            simulation.loadFactor = 3;
            simulation.run(10_000_000);
            simulation.loadFactor = 0.9;
            simulation.run(3_000_000);
            simulation.resetCounters();
            simulation.run(5_000_000);
            if (simulation.expired >= 0.02 * simulation.served || simulation.value < 0.85 * simulation.idealValue) {
                failures.add("seed " + seed + ": " + simulation.expired + " expired, " + simulation.served + " served");
            }
        }
        assertEquals(List.of(), failures);
    }

    @Test
    void implausibleReportIsCappedAtTheSumOfTheOthers() {
        List<String> names = new ArrayList<>(List.of("liar"));
        for (int i = 0; i < 5; i++) {
            names.add("s" + i);
        }
        FleetAdmissionControl admission =
                new FleetAdmissionControl(0, "s0", names, 6, false, 1, new SplittableRandom(1));
        long now = 1_000_000;
        for (int i = 0; i < 60; i++) {
            admission.onDemand(now, 1, 1);
            admission.onServed(now, 1);
        }
        for (int i = 1; i < 5; i++) {
            admission.onReport(now, new LoadReport("s" + i, 1, 1, Map.of(1, load(0, 60, 50, 10, 0)), List.of()));
        }
        admission.onReport(now, new LoadReport("liar", 1, 1, Map.of(1, load(1e9, 0, 0, 1e9, 1e9)), List.of()));
        admission.runRound(now, d -> 0);
        FleetAdmissionControl.DestinationReport report =
                admission.destinationReports().get(0);
        // Its report at most doubles the estimated demand, so about half of the low-priority messages are still
        // admitted.
        assertTrue(report.demandPerSecond() < 2.2 * 300, report.toString());
        assertTrue(report.price().priorityFloor() <= 4 && report.rejectedPerSecond() < 200, report.toString());
        // Old reports, and those of an unknown sender, change nothing.
        admission.onReport(now, new LoadReport("s1", 1, 1, Map.of(1, load(9_000, 0, 0, 0, 0)), List.of()));
        admission.onReport(now, new LoadReport("who", 1, 9, Map.of(1, load(9_000, 0, 0, 0, 0)), List.of()));
        admission.runRound(now, d -> 0);
        assertEquals(
                report.demandPerSecond(), admission.destinationReports().get(0).demandPerSecond(), 1e-6);
        // All reports have expired.
        admission.runRound(now + FleetLoadEstimate.REPORT_LIFE_MICROS, d -> 0);
        assertTrue(admission.destinationReports().get(0).demandPerSecond() < 60);
    }

    @Test
    void outageChangesNoCapacityEstimate() {
        CapacityEstimate capacity = new CapacityEstimate(false);
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(1, load(0, 500, 0, 0, 3_000)));
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(3_200_000, load(0, 500, 100, 0, 0)));
        // The averages have not settled; after that, rejections set the estimate.
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(3_400_000, load(0, 500, 100, 50, 0)));
        double limited = capacity.update(6_400_000, load(0, 500, 100, 50, 0));
        assertEquals(100, limited, 1);
        // In an outage the estimate stays, however many messages are pending.
        assertEquals(limited, capacity.update(6_600_000, load(0, 500, 5, 0, 5_000)), 1e-6);
        // A backlog is to be sent, so fewer messages are admitted.
        assertTrue(capacity.update(6_800_000, load(0, 500, 100, 50, 300)) < 60);
        // With little demand there is no limit.
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(7_000_000, load(0, 20, 20, 0, 0)));
    }

    /** A long idle time without a limit must not raise the admitted rate once there is a limit. */
    @Test
    void idleTimeBeforeALimitDoesNotRaiseIt() {
        CapacityEstimate capacity = new CapacityEstimate(false);
        for (long now = 1; now < 20_000_000; now += 200_000) {
            assertEquals(Double.POSITIVE_INFINITY, capacity.update(now, load(0, 20, 20, 0, 0)));
        }
        assertEquals(100, capacity.update(20_200_000, load(0, 500, 100, 50, 50)), 1);
    }

    @Test
    void priceIsThePriorityWeightAboveWhichDemandFits() {
        AdmissionPrice price =
                AdmissionPrice.fromDemand(1, load(50, 200, 0, 0, 0).demandByBand(), 150);
        assertTrue(
                price.priorityFloor() <= 1 && price.priorityCeiling() > 1 && price.priorityCeiling() < 1.3,
                price.toString());
        assertEquals(0.5, price.admittedFraction(), 1e-6);
        AdmissionPrice highDemandPrice =
                AdmissionPrice.fromDemand(1, load(200, 200, 0, 0, 0).demandByBand(), 150);
        assertTrue(
                highDemandPrice.priorityFloor() > 1
                        && highDemandPrice.priorityFloor() <= 4
                        && highDemandPrice.priorityCeiling() > 4,
                highDemandPrice.toString());
        assertTrue(highDemandPrice.retryAfterMicros() > price.retryAfterMicros());
        assertEquals(
                AdmissionPrice.none(1),
                AdmissionPrice.fromDemand(1, load(50, 50, 0, 0, 0).demandByBand(), 150));
        // Every weight is at or above the lower bound of its band and below that of the next one.
        Random random = new Random(4);
        for (int i = 0; i < 10_000; i++) {
            double priorityWeight = Math.exp(random.nextDouble() * 10 - 5);
            assertTrue(
                    priorityWeight >= PriorityBands.lowerBound(PriorityBands.bandOf(priorityWeight))
                            && priorityWeight < PriorityBands.lowerBound(PriorityBands.bandOf(priorityWeight) + 1),
                    "priority weight " + priorityWeight);
        }
    }

    @Test
    void malformedLoadReportIsDropped() {
        LoadReport report = new LoadReport("s1", 7, 8, Map.of(3, load(1, 2, 3, 4, 5)), List.of());
        ByteBuffer bytes = report.encode();
        LoadReport decoded = LoadReport.decode(bytes.duplicate());
        assertEquals(3.0, decoded.loads().get(3).servedPerSecond());
        assertEquals(2.0, decoded.loads().get(3).demandByBand()[PriorityBands.bandOf(1)]);
        Random random = new Random(2);
        int undecodable = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] corrupted = new byte[random.nextInt(bytes.limit() + 4)];
            ByteBuffer.wrap(corrupted).put(bytes.array(), 0, Math.min(corrupted.length, bytes.limit()));
            for (int flips = random.nextInt(3); corrupted.length > 0 && flips > 0; flips--) {
                corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 << random.nextInt(8));
            }
            LoadReport result = LoadReport.decode(ByteBuffer.wrap(corrupted));
            undecodable += result == null ? 1 : 0;
            assertTrue(result == null
                    || result.loads().values().stream()
                            .allMatch(
                                    decodedLoad -> decodedLoad.totalDemand() >= 0 && decodedLoad.totalDemand() < 1e12));
        }
        assertTrue(undecodable > 10_000, "datagrams that were not decoded: " + undecodable);
        assertNull(LoadReport.decode(ByteBuffer.allocate(0)));
        // Destinations that do not fit into one report are in the next ones.
        FleetAdmissionControl admission =
                new FleetAdmissionControl(0, "a", List.of("a", "b"), 2, false, 1, new SplittableRandom(1));
        for (int destination = 0; destination < 200; destination++) {
            admission.onDemand(1, destination, 1);
        }
        List<Integer> reportedDestinations = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            LoadReport next = admission.nextReports(1).get(0).report();
            assertTrue(next.encode().remaining() <= LoadReport.MAX_DATAGRAM_BYTES);
            reportedDestinations.addAll(next.loads().keySet());
        }
        assertEquals(200, reportedDestinations.stream().distinct().count());
        assertFalse(reportedDestinations.isEmpty());
    }
}
