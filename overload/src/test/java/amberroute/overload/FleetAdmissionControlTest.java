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

/** What senders believe of the whole, what they take a destination to be able to do, and what a call costs. */
class FleetAdmissionControlTest {
    private static DestinationLoad load(double dear, double cheap, double served, double full, double waiting) {
        double[] demand = new double[PriorityBands.COUNT];
        demand[PriorityBands.bandOf(4)] = dear;
        demand[PriorityBands.bandOf(1)] = cheap;
        return new DestinationLoad(demand, served, full, waiting);
    }

    private static double[] played(int size, boolean priced, boolean skewed, boolean parts, double loss, long delay) {
        FleetSimulation play = new FleetSimulation(size, 3, priced, skewed, parts);
        play.loss = loss;
        play.delay = delay;
        play.run(8_000_000);
        play.mark();
        double least = Double.MAX_VALUE;
        for (int second = 0; second < 20; second++) {
            long before = play.served;
            play.run(1_000_000);
            least = Math.min(least, play.served - before);
        }
        System.out.printf(
                "%d senders, %s%s, loss %.1f, news up to %d ms late: %.3f of the worth, %.3f refused a message, least second"
                        + " %.2f of the capacity, %.0f bytes a sender a second%n",
                size,
                priced ? parts ? "prices and parts" : "prices" : "none",
                skewed ? ", skewed" : "",
                loss,
                delay / 1_000,
                play.worth / play.idealWorth,
                (double) play.refused / play.served,
                least / play.capacity,
                play.bytes / 20.0 / size);
        assertTrue(play.mostParts <= 1 + 1e-6, "parts in use add up to " + play.mostParts);
        return new double[] {
            play.worth / play.idealWorth,
            (double) play.refused / play.served,
            least / play.capacity,
            play.bytes / 20.0 / size
        };
    }

    @Test
    void overloadedTheFleetServesWhatIsWorthMostWhateverNewsDo() {
        double[] none = played(12, false, false, false, 0, 20_000);
        double[] with = played(12, true, false, false, 0, 20_000);
        assertTrue(with[0] > 0.95 && with[0] > none[0], with[0] + " after " + none[0]);
        assertTrue(with[1] < none[1], "refused a message: " + with[1] + " after " + none[1]);
        // No swing between all and none.
        assertTrue(with[2] > 0.85, "least second " + with[2]);
        for (double[] hard :
                List.of(played(12, true, true, false, 0.2, 200_000), played(12, true, true, false, 0.2, 2_000_000))) {
            // Half of all is at one sender, which is refused as often as those that have little.
            assertTrue(hard[0] > 0.8 && hard[2] > 0.85, hard[0] + " and " + hard[2]);
        }
    }

    /** Where traffic is even, calls that are held to parts are hardly refused; the parts in use never add up to more than all. */
    @Test
    void partsOfALimitSpareRefusals() {
        double[] free = played(12, true, false, false, 0, 20_000);
        double[] held = played(12, true, false, true, 0, 20_000);
        assertTrue(held[0] > 0.95 && held[1] < 0.5 * free[1], held[0] + ", refused " + held[1] + " after " + free[1]);
        played(12, true, true, true, 0.2, 200_000);
    }

    @Test
    void whatASenderTellsDoesNotGrowWithTheFleet() {
        double[] few = played(100, true, true, false, 0, 50_000);
        double[] many = played(1_000, true, true, false, 0, 50_000);
        assertTrue(few[0] > 0.93 && many[0] > 0.87, few[0] + ", " + many[0]);
        assertTrue(many[3] < 1.1 * few[3], few[3] + " to " + many[3] + " bytes");
    }

    /** Three times the load for ten seconds, then what it can do, with clients that come again all along. */
    @Test
    void behindASpikeItIsBackWithinSeconds() {
        FleetSimulation play = new FleetSimulation(12, 9, true, false, false);
        play.load = 0.9;
        play.run(8_000_000);
        play.load = 3;
        play.run(10_000_000);
        play.load = 0.9;
        play.run(3_000_000);
        play.mark();
        play.run(5_000_000);
        assertTrue(play.dropped < 0.02 * play.served, play.dropped + " taken on and not in time");
        System.out.printf("from 3 to 8 s behind a spike: %.3f of the worth%n", play.worth / play.idealWorth);
        assertTrue(play.worth >= 0.85 * play.idealWorth, play.worth + " of " + play.idealWorth);
    }

    /** Failure: behind a spike too much of what was taken on is not in time; each seed has the bounds of the test before. */
    @Test
    void behindASpikeItIsBackWithinSecondsOnEachOfTenSeeds() {
        List<String> broken = new ArrayList<>();
        for (long seed = 1; seed <= 10; seed++) {
            FleetSimulation play = new FleetSimulation(12, seed, true, false, false);
            play.load = 0.9;
            play.run(8_000_000);
            play.load = 3;
            play.run(10_000_000);
            play.load = 0.9;
            play.run(3_000_000);
            play.mark();
            play.run(5_000_000);
            if (play.dropped >= 0.02 * play.served || play.worth < 0.85 * play.idealWorth) {
                broken.add("seed " + seed + ": " + play.dropped + " of " + play.served + " not in time");
            }
        }
        assertEquals(List.of(), broken);
    }

    @Test
    void oneThatTellsNonsenseIsHeldToWhatAllOthersTell() {
        List<String> names = new ArrayList<>(List.of("liar"));
        for (int i = 0; i < 5; i++) {
            names.add("s" + i);
        }
        FleetAdmissionControl overload =
                new FleetAdmissionControl(0, "s0", names, 6, false, 1, new SplittableRandom(1));
        long now = 1_000_000;
        for (int i = 0; i < 60; i++) {
            overload.onDemand(now, 1, 1);
            overload.onServed(now, 1);
        }
        for (int i = 1; i < 5; i++) {
            overload.onReport(now, new LoadReport("s" + i, 1, 1, Map.of(1, load(0, 60, 50, 10, 0)), List.of()));
        }
        overload.onReport(now, new LoadReport("liar", 1, 1, Map.of(1, load(1e9, 0, 0, 1e9, 1e9)), List.of()));
        overload.runRound(now, d -> 0);
        FleetAdmissionControl.DestinationReport row =
                overload.destinationReports().get(0);
        // Its word at most doubles what is asked: of the cheap messages that all others have about half still go.
        assertTrue(row.demandPerSecond() < 2.2 * 300, row.toString());
        assertTrue(row.price().priorityFloor() <= 4 && row.rejectedPerSecond() < 200, row.toString());
        // Older words, and those of a stranger, change nothing.
        overload.onReport(now, new LoadReport("s1", 1, 1, Map.of(1, load(9_000, 0, 0, 0, 0)), List.of()));
        overload.onReport(now, new LoadReport("who", 1, 9, Map.of(1, load(9_000, 0, 0, 0, 0)), List.of()));
        overload.runRound(now, d -> 0);
        assertEquals(row.demandPerSecond(), overload.destinationReports().get(0).demandPerSecond(), 1e-6);
        // And after a while nobody's.
        overload.runRound(now + FleetLoadEstimate.REPORT_LIFE_MICROS, d -> 0);
        assertTrue(overload.destinationReports().get(0).demandPerSecond() < 60);
    }

    @Test
    void whatIsOutTellsNothingOfWhatItCanDo() {
        CapacityEstimate capacity = new CapacityEstimate(false);
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(1, load(0, 500, 0, 0, 3_000)));
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(3_200_000, load(0, 500, 100, 0, 0)));
        // Averages have not settled; then what it refuses shows.
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(3_400_000, load(0, 500, 100, 50, 0)));
        double limited = capacity.update(6_400_000, load(0, 500, 100, 50, 0));
        assertEquals(100, limited, 1);
        // Out: as it was known before, however much waits.
        assertEquals(limited, capacity.update(6_600_000, load(0, 500, 5, 0, 5_000)), 1e-6);
        // What waits is worked off: less is taken on.
        assertTrue(capacity.update(6_800_000, load(0, 500, 100, 50, 300)) < 60);
        // Asked for little, it has no limit.
        assertEquals(Double.POSITIVE_INFINITY, capacity.update(7_000_000, load(0, 20, 20, 0, 0)));
    }

    /** What was idle without a limit for long takes on no more than others once there is one. */
    @Test
    void anEasyTimeLiftsNothing() {
        CapacityEstimate capacity = new CapacityEstimate(false);
        for (long at = 1; at < 20_000_000; at += 200_000) {
            assertEquals(Double.POSITIVE_INFINITY, capacity.update(at, load(0, 20, 20, 0, 0)));
        }
        assertEquals(100, capacity.update(20_200_000, load(0, 500, 100, 50, 50)), 1);
    }

    @Test
    void thePriceIsTheWorthAboveWhichDemandFits() {
        AdmissionPrice price =
                AdmissionPrice.fromDemand(1, load(50, 200, 0, 0, 0).demandByBand(), 150);
        assertTrue(
                price.priorityFloor() <= 1 && price.priorityCeiling() > 1 && price.priorityCeiling() < 1.3,
                price.toString());
        assertEquals(0.5, price.admittedFraction(), 1e-6);
        AdmissionPrice dear =
                AdmissionPrice.fromDemand(1, load(200, 200, 0, 0, 0).demandByBand(), 150);
        assertTrue(
                dear.priorityFloor() > 1 && dear.priorityFloor() <= 4 && dear.priorityCeiling() > 4, dear.toString());
        assertTrue(dear.retryAfterMicros() > price.retryAfterMicros());
        assertEquals(
                AdmissionPrice.none(1),
                AdmissionPrice.fromDemand(1, load(50, 50, 0, 0, 0).demandByBand(), 150));
        // Every worth is at or above the floor of its step and below the next.
        Random random = new Random(4);
        for (int i = 0; i < 10_000; i++) {
            double worth = Math.exp(random.nextDouble() * 10 - 5);
            assertTrue(
                    worth >= PriorityBands.lowerBound(PriorityBands.bandOf(worth))
                            && worth < PriorityBands.lowerBound(PriorityBands.bandOf(worth) + 1),
                    "worth " + worth);
        }
    }

    @Test
    void whatIsNoDigestIsDropped() {
        LoadReport digest = new LoadReport("s1", 7, 8, Map.of(3, load(1, 2, 3, 4, 5)), List.of());
        ByteBuffer bytes = digest.encode();
        LoadReport read = LoadReport.decode(bytes.duplicate());
        assertEquals(3.0, read.loads().get(3).servedPerSecond());
        assertEquals(2.0, read.loads().get(3).demandByBand()[PriorityBands.bandOf(1)]);
        Random random = new Random(2);
        int none = 0;
        for (int i = 0; i < 20_000; i++) {
            byte[] spoilt = new byte[random.nextInt(bytes.limit() + 4)];
            ByteBuffer.wrap(spoilt).put(bytes.array(), 0, Math.min(spoilt.length, bytes.limit()));
            for (int flips = random.nextInt(3); spoilt.length > 0 && flips > 0; flips--) {
                spoilt[random.nextInt(spoilt.length)] ^= (byte) (1 << random.nextInt(8));
            }
            LoadReport other = LoadReport.decode(ByteBuffer.wrap(spoilt));
            none += other == null ? 1 : 0;
            assertTrue(other == null
                    || other.loads().values().stream().allMatch(l -> l.totalDemand() >= 0 && l.totalDemand() < 1e12));
        }
        assertTrue(none > 10_000, "only " + none);
        assertNull(LoadReport.decode(ByteBuffer.allocate(0)));
        // Of more destinations than fit in one the others are told next.
        FleetAdmissionControl overload =
                new FleetAdmissionControl(0, "a", List.of("a", "b"), 2, false, 1, new SplittableRandom(1));
        for (int d = 0; d < 200; d++) {
            overload.onDemand(1, d, 1);
        }
        List<Integer> told = new ArrayList<>();
        for (int round = 0; round < 5; round++) {
            LoadReport next = overload.nextReports(1).get(0).report();
            assertTrue(next.encode().remaining() <= LoadReport.MAX_DATAGRAM_BYTES);
            told.addAll(next.loads().keySet());
        }
        assertEquals(200, told.stream().distinct().count());
        assertFalse(told.isEmpty());
    }
}
