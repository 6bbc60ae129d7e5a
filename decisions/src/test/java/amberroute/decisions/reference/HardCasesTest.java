package amberroute.decisions.reference;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.AtcDeliveryScheduler;
import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What is hard for structures that order by time and sum up: each beside the module of before, which walks all messages. */
class HardCasesTest {
    private static final long LONG = 40_000_000;

    /** Both modules, the same events to each, and what is out. */
    private static final class Arena {
        final ReferenceScheduler old;
        final AtcDeliveryScheduler fresh;
        final Map<Long, long[]> out = new LinkedHashMap<>();
        final Map<Long, Integer> attempts = new LinkedHashMap<>();
        final Set<Long> ended = new HashSet<>();
        long now = 1_000_000;
        long ids;
        /** Not where the old module's index has run out of digits, and messages tied. */
        boolean compared = true;

        int sends;
        int refused;
        int failed;

        Arena(DeliveryScheduler.Settings settings) {
            old = new ReferenceScheduler(settings);
            fresh = new AtcDeliveryScheduler(settings);
        }

        void tell(Event event) {
            RandomScenario.Recorder wanted = new RandomScenario.Recorder();
            RandomScenario.Recorder did = new RandomScenario.Recorder();
            if (compared) {
                old.step(now, event, wanted);
            }
            fresh.step(now, event, did);
            assertTrue(
                    !compared || SideBySideRun.same(wanted.acts(), did.acts()),
                    () -> "at " + now + " " + event + "\nbefore:\n" + String.join("\n", wanted.acts()) + "\nnow:\n"
                            + String.join("\n", did.acts()));
            for (long[] send : did.sends) {
                out.put(send[0], send);
                attempts.merge(send[0], 1, Integer::sum);
                sends++;
            }
            for (String line : did.lines) {
                refused += line.startsWith("refuse") ? 1 : 0;
                failed += line.startsWith("fail") ? 1 : 0;
            }
            for (long id : did.answered) {
                assertTrue(ended.add(id), "two ends of " + id);
            }
        }

        void turn() {
            tell(new Event.Decide());
        }

        void list(int destinations, int each, DeliveryScheduler.EndpointState state) {
            List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
            for (int d = 0; d < destinations; d++) {
                for (int i = 0; i < each; i++) {
                    entries.add(new DeliveryScheduler.EndpointEntry(1 + d * (long) each + i, d, state, 0, 0, 0));
                }
            }
            tell(new Event.EndpointListUpdated(DeliveryScheduler.EndpointListKind.DELTA, entries));
        }

        long arrive(int type, long key, long timeLeft, int destination) {
            tell(new Event.MessageSubmitted(++ids, type, -1, key, timeLeft, destination));
            return ids;
        }

        /** The call that has been out longest ends. */
        void end(AttemptOutcome ending, long took) {
            long[] call = out.remove(out.keySet().iterator().next());
            boolean closed = ending == AttemptOutcome.OK;
            if (closed) {
                assertTrue(ended.add(call[0]), "two ends of " + call[0]);
            }
            tell(new Event.AttemptCompleted(
                    call[0], attempts.get(call[0]) - 1, call[1], ending, took, closed, 0, List.of(), 0));
        }

        /** So many calls end one after another, with a turn and some time behind each. */
        void run(int calls, long took, AttemptOutcome ending) {
            for (int i = 0; i < calls && !out.isEmpty(); i++) {
                now += 1_000;
                end(ending, took);
                turn();
            }
        }

        /** Time passes in steps with a turn behind each. */
        void pass(long span, long step) {
            for (long end = now + span; now < end; ) {
                now += step;
                tell(new Event.TimerExpired(0));
                turn();
            }
        }
    }

    private static DeliveryScheduler.Settings settings(
            int slots, int open, DeliveryScheduler.LateValueDecay late, DeliveryScheduler.MessageClass... classes) {
        return new DeliveryScheduler.Settings(
                3,
                1,
                0,
                5_000,
                false,
                0.3,
                late,
                DeliveryScheduler.WeightKind.NONE,
                List.of(classes),
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, 1)),
                new DeliveryScheduler.Limits(slots, open, 6, false, true, true, 3_000_000, 1, 15_000_000, 1_000_000),
                new DeliveryScheduler.Rules(300_000, 6_000_000, 0.15, 12_000_000, 2.5, 1_500_000, 100_000),
                new DeliveryScheduler.Prices(0, 0, List.of()),
                new DeliveryScheduler.ReportFields(-1, -1));
    }

    private static DeliveryScheduler.MessageClass type(
            double worth, double late, long aim, long deadline, DeliveryScheduler.Idempotency effect, boolean order) {
        return new DeliveryScheduler.MessageClass(
                worth, late, aim, deadline, effect, DeliveryScheduler.KeyScope.DESTINATION, deadline, order);
    }

    private static final DeliveryScheduler.MessageClass SAFE =
            type(2, 0.5, 3_000_000, LONG, DeliveryScheduler.Idempotency.IDEMPOTENT, false);
    private static final DeliveryScheduler.MessageClass ORDERED =
            type(1, 0.2, 2_000_000, LONG, DeliveryScheduler.Idempotency.KEYED, true);
    private static final DeliveryScheduler.MessageClass UNSAFE =
            type(4, 0.7, 1_000_000, LONG, DeliveryScheduler.Idempotency.NON_IDEMPOTENT, false);

    private static Arena arena(int slots, int open) {
        return new Arena(settings(slots, open, DeliveryScheduler.LateValueDecay.LINEAR, SAFE, ORDERED, UNSAFE));
    }

    /** Buckets change their order all at once as service times move, an outage makes one explode, and it falls back. */
    @Test
    void serviceTimesMoveWhileMessagesAreHeld() {
        Arena a = arena(6, 5_000);
        a.list(12, 2, DeliveryScheduler.EndpointState.READY);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 600; i++) {
            a.arrive(random.nextInt(3), 1 + random.nextInt(40), LONG - random.nextInt(5_000_000), random.nextInt(12));
        }
        a.turn();
        for (int i = 0; i < 200; i++) {
            a.run(1, 1_000 + random.nextLong(30_000) * (1 + i % 9), AttemptOutcome.OK);
        }
        a.run(20, 9_000_000, AttemptOutcome.TIMEOUT);
        a.pass(4_000_000, 90_000);
        a.run(150, 20_000, AttemptOutcome.OK);
        assertTrue(a.sends > 200, a.sends + " sends");
    }

    @Test
    void aClumpForOneDestinationInOneTurn() {
        Arena a = arena(4, 4_000);
        a.list(3, 2, DeliveryScheduler.EndpointState.READY);
        a.arrive(0, 0, LONG, 0);
        a.turn();
        a.run(1, 5_000, AttemptOutcome.OK);
        for (int i = 0; i < 2_000; i++) {
            a.arrive(i % 3, i, LONG - i, 0);
        }
        a.turn();
        a.run(300, 5_000, AttemptOutcome.OK);
        // Beyond the room the least are turned away.
        for (int i = 0; i < 2_500; i++) {
            a.arrive(i % 3, i, LONG - i, 1);
        }
        a.turn();
        assertTrue(a.refused > 500 && a.sends > 300, a.refused + " refused, " + a.sends + " sends");
    }

    @Test
    void manyDestinationsWithOneMessageEach() {
        Arena a = arena(10, 2_000);
        a.list(1_500, 1, DeliveryScheduler.EndpointState.READY);
        for (int d = 0; d < 1_500; d++) {
            a.arrive(d % 3, 0, LONG, d);
        }
        a.turn();
        a.run(1_500, 8_000, AttemptOutcome.OK);
        assertEquals(1_500, a.ended.size());
    }

    @Test
    void allAreDueInTheSameInstant() {
        Arena a = arena(3, 2_000);
        a.list(20, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 900; i++) {
            a.arrive(i % 3, 0, 3_000_000, i % 20);
        }
        a.turn();
        a.run(100, 9_000, AttemptOutcome.OK);
        a.pass(4_000_000, 300_000);
        assertEquals(900, a.ended.size() + a.out.size());
    }

    @Test
    void aKeyWithThousandsBehindOneInDoubt() {
        Arena a = arena(4, 5_000);
        a.list(2, 2, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 1_500; i++) {
            a.arrive(1, 7, LONG - i, 0);
        }
        a.turn();
        assertEquals(1, a.sends);
        a.run(1, 2_000_000, AttemptOutcome.TIMEOUT);
        a.pass(50_000, 10_000);
        assertTrue(a.out.size() <= 1, "one of a key at a time");
        a.pass(3_000_000, 100_000);
        a.run(60, 4_000, AttemptOutcome.OK);
        // Those in the middle run out of time, wherever they stand in the key's order.
        a.pass(LONG, 2_000_000);
        assertTrue(a.refused + a.failed > 1_000, a.refused + " refused, " + a.failed + " failed");
    }

    @Test
    void halfOfTheEndpointsLeaveWithAllThatIsHeldForThem() {
        Arena a = arena(8, 3_000);
        a.list(40, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 1_200; i++) {
            a.arrive(i % 3, i % 50, LONG - 1_000L * i, i % 40);
        }
        a.turn();
        a.run(60, 7_000, AttemptOutcome.OK);
        a.list(20, 1, DeliveryScheduler.EndpointState.GONE);
        a.turn();
        a.run(120, 7_000, AttemptOutcome.OK);
        a.pass(2_000_000, 200_000);
        a.list(20, 1, DeliveryScheduler.EndpointState.READY);
        a.turn();
        a.run(120, 7_000, AttemptOutcome.OK);
        assertTrue(a.sends > 250, a.sends + " sends");
    }

    @Test
    void everyDestinationIsOutAtOnce() {
        Arena a = arena(30, 3_000);
        a.list(60, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 900; i++) {
            a.arrive(i % 3, i % 70, LONG, i % 60);
        }
        a.turn();
        a.run(200, 6_000, AttemptOutcome.OK);
        a.run(300, 3_000, AttemptOutcome.CONNECT_FAILED);
        a.pass(6_000_000, 150_000);
        a.run(120, 3_000, AttemptOutcome.CONNECT_FAILED);
        a.pass(5_000_000, 250_000);
        a.run(300, 9_000, AttemptOutcome.OK);
        a.pass(1_000_000, 50_000);
        assertTrue(a.sends > 400, a.sends + " sends");
    }

    @Test
    void aRestartResumesThousandsInOneTurn() {
        Arena a = arena(8, 4_000);
        a.list(30, 2, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 2_500; i++) {
            a.attempts.put(++a.ids, i % 2);
            boolean doubt = i % 2 == 1 && i % 3 != 0;
            a.tell(new Event.MessageRecovered(
                    a.ids,
                    i % 3,
                    1 + i % 90,
                    LONG - 300L * (i * 37 % 2_500),
                    i % 30,
                    i % 2,
                    doubt ? 100_000 : -1,
                    doubt ? 1 + i % 60 : 0,
                    doubt && i % 4 == 1));
        }
        a.turn();
        a.run(400, 6_000, AttemptOutcome.OK);
        assertTrue(a.failed > 0 && a.sends > 350, a.failed + " failed, " + a.sends + " sends");
    }

    /** No figure is not a number, nothing overflows, and every message gets an end; worth of nothing still has an order. */
    @Test
    void extremeClassesAndTimes() {
        for (DeliveryScheduler.LateValueDecay late : DeliveryScheduler.LateValueDecay.values()) {
            Arena a = new Arena(settings(
                    3,
                    400,
                    late,
                    type(0, 0, 1, 1, DeliveryScheduler.Idempotency.IDEMPOTENT, false),
                    type(0, 0, 1, 400_000_000_000L, DeliveryScheduler.Idempotency.KEYED, true),
                    type(1e9, 1, 90_000_000_000L, 90_000_000_000L, DeliveryScheduler.Idempotency.NON_IDEMPOTENT, false),
                    type(1e-9, 0.5, 5, 1_000_000, DeliveryScheduler.Idempotency.IDEMPOTENT, false)));
            a.compared = false;
            a.list(5, 1, DeliveryScheduler.EndpointState.READY);
            SplittableRandom random = new SplittableRandom(9);
            for (int round = 0; round < 60; round++) {
                for (int i = 0; i < 6; i++) {
                    a.arrive(
                            random.nextInt(4),
                            random.nextInt(4),
                            random.nextInt(3) == 0 ? 1 : 500_000_000_000L,
                            random.nextInt(5));
                }
                a.turn();
                a.run(2, random.nextBoolean() ? 0 : 1 + random.nextLong(3), AttemptOutcome.OK);
            }
            assertTrue(a.sends > 50 && a.refused > 50, late + ": " + a.sends + " sends, " + a.refused + " refused");
            // What is out is given up, and all that is left runs out of time.
            while (!a.out.isEmpty()) {
                a.now += 1_000;
                a.end(AttemptOutcome.TIMEOUT, 1_000);
            }
            a.pass(600_000_000_000L, 100_000_000_000L);
            assertEquals(a.ids, a.ended.size() + a.out.size(), late + ": all but what is out has its end");
        }
    }
}
