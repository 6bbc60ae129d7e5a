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

/** Cases that are hard for structures that order by time and sum up, beside the reference scheduler, which visits all messages. */
class HardCasesTest {
    private static final long LONG = 40_000_000;

    /** Both schedulers, the same events to each, and the calls in flight. */
    private static final class SideBySideFixture {
        final ReferenceScheduler reference;
        final AtcDeliveryScheduler scheduler;
        final Map<Long, long[]> inFlight = new LinkedHashMap<>();
        final Map<Long, Integer> attempts = new LinkedHashMap<>();
        final Set<Long> completed = new HashSet<>();
        long now = 1_000_000;
        long ids;
        /** False where the index of the reference underflows and its messages tie. */
        boolean compared = true;

        int sends;
        int rejected;
        int failed;

        SideBySideFixture(DeliveryScheduler.Settings settings) {
            reference = new ReferenceScheduler(settings);
            scheduler = new AtcDeliveryScheduler(settings);
        }

        void step(Event event) {
            RandomScenario.Recorder wanted = new RandomScenario.Recorder();
            RandomScenario.Recorder did = new RandomScenario.Recorder();
            if (compared) {
                reference.step(now, event, wanted);
            }
            scheduler.step(now, event, did);
            assertTrue(
                    !compared || SideBySideRun.same(wanted.actionsWithoutTimers(), did.actionsWithoutTimers()),
                    () -> "at " + now + " " + event + "\nbefore:\n" + String.join("\n", wanted.actionsWithoutTimers())
                            + "\nnow:\n" + String.join("\n", did.actionsWithoutTimers()));
            for (long[] send : did.sends) {
                inFlight.put(send[0], send);
                attempts.merge(send[0], 1, Integer::sum);
                sends++;
            }
            for (String line : did.lines) {
                rejected += line.startsWith("refuse") ? 1 : 0;
                failed += line.startsWith("fail") ? 1 : 0;
            }
            for (long id : did.answered) {
                assertTrue(completed.add(id), "two ends of " + id);
            }
        }

        void decide() {
            step(new Event.Decide());
        }

        void listEndpoints(int destinations, int each, DeliveryScheduler.EndpointState state) {
            List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
            for (int d = 0; d < destinations; d++) {
                for (int i = 0; i < each; i++) {
                    entries.add(new DeliveryScheduler.EndpointEntry(1 + d * (long) each + i, d, state, 0, 0, 0));
                }
            }
            step(new Event.EndpointListUpdated(DeliveryScheduler.EndpointListKind.DELTA, entries));
        }

        long submit(int type, long key, long timeLeft, int destination) {
            step(new Event.MessageSubmitted(++ids, type, -1, key, timeLeft, destination));
            return ids;
        }

        /** Completes the call that has been in flight longest. */
        void complete(AttemptOutcome outcome, long took) {
            long[] call = inFlight.remove(inFlight.keySet().iterator().next());
            boolean closed = outcome == AttemptOutcome.OK;
            if (closed) {
                assertTrue(completed.add(call[0]), "two ends of " + call[0]);
            }
            step(new Event.AttemptCompleted(
                    call[0], attempts.get(call[0]) - 1, call[1], outcome, took, closed, 0, List.of(), 0));
        }

        /** Completes so many calls one after another, with a decision and some time behind each. */
        void completeCalls(int calls, long took, AttemptOutcome outcome) {
            for (int i = 0; i < calls && !inFlight.isEmpty(); i++) {
                now += 1_000;
                complete(outcome, took);
                decide();
            }
        }

        /** Lets time pass in steps with a decision behind each. */
        void advance(long span, long step) {
            for (long end = now + span; now < end; ) {
                now += step;
                step(new Event.TimerExpired(0));
                decide();
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

    private static DeliveryScheduler.MessageClass messageClass(
            double priorityWeight,
            double late,
            long latencyObjective,
            long deadline,
            DeliveryScheduler.Idempotency idempotency,
            boolean order) {
        return new DeliveryScheduler.MessageClass(
                priorityWeight,
                late,
                latencyObjective,
                deadline,
                idempotency,
                DeliveryScheduler.KeyScope.DESTINATION,
                deadline,
                order);
    }

    private static final DeliveryScheduler.MessageClass IDEMPOTENT =
            messageClass(2, 0.5, 3_000_000, LONG, DeliveryScheduler.Idempotency.IDEMPOTENT, false);
    private static final DeliveryScheduler.MessageClass ORDERED =
            messageClass(1, 0.2, 2_000_000, LONG, DeliveryScheduler.Idempotency.KEYED, true);
    private static final DeliveryScheduler.MessageClass NON_IDEMPOTENT =
            messageClass(4, 0.7, 1_000_000, LONG, DeliveryScheduler.Idempotency.NON_IDEMPOTENT, false);

    private static SideBySideFixture fixture(int slots, int open) {
        return new SideBySideFixture(
                settings(slots, open, DeliveryScheduler.LateValueDecay.LINEAR, IDEMPOTENT, ORDERED, NON_IDEMPOTENT));
    }

    /** Queues change their order all at once as service times move, an outage makes one explode, and it falls back. */
    @Test
    void serviceTimesMoveWhileMessagesArePending() {
        SideBySideFixture fixture = fixture(6, 5_000);
        fixture.listEndpoints(12, 2, DeliveryScheduler.EndpointState.READY);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 600; i++) {
            fixture.submit(
                    random.nextInt(3), 1 + random.nextInt(40), LONG - random.nextInt(5_000_000), random.nextInt(12));
        }
        fixture.decide();
        for (int i = 0; i < 200; i++) {
            fixture.completeCalls(1, 1_000 + random.nextLong(30_000) * (1 + i % 9), AttemptOutcome.OK);
        }
        fixture.completeCalls(20, 9_000_000, AttemptOutcome.TIMEOUT);
        fixture.advance(4_000_000, 90_000);
        fixture.completeCalls(150, 20_000, AttemptOutcome.OK);
        assertTrue(fixture.sends > 200, fixture.sends + " sends");
    }

    @Test
    void burstForOneDestinationInOneDecision() {
        SideBySideFixture fixture = fixture(4, 4_000);
        fixture.listEndpoints(3, 2, DeliveryScheduler.EndpointState.READY);
        fixture.submit(0, 0, LONG, 0);
        fixture.decide();
        fixture.completeCalls(1, 5_000, AttemptOutcome.OK);
        for (int i = 0; i < 2_000; i++) {
            fixture.submit(i % 3, i, LONG - i, 0);
        }
        fixture.decide();
        fixture.completeCalls(300, 5_000, AttemptOutcome.OK);
        // Near capacity the least are shed.
        for (int i = 0; i < 2_500; i++) {
            fixture.submit(i % 3, i, LONG - i, 1);
        }
        fixture.decide();
        assertTrue(
                fixture.rejected > 500 && fixture.sends > 300,
                fixture.rejected + " refused, " + fixture.sends + " sends");
    }

    @Test
    void manyDestinationsWithOneMessageEach() {
        SideBySideFixture fixture = fixture(10, 2_000);
        fixture.listEndpoints(1_500, 1, DeliveryScheduler.EndpointState.READY);
        for (int d = 0; d < 1_500; d++) {
            fixture.submit(d % 3, 0, LONG, d);
        }
        fixture.decide();
        fixture.completeCalls(1_500, 8_000, AttemptOutcome.OK);
        assertEquals(1_500, fixture.completed.size());
    }

    @Test
    void allAreDueInTheSameInstant() {
        SideBySideFixture fixture = fixture(3, 2_000);
        fixture.listEndpoints(20, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 900; i++) {
            fixture.submit(i % 3, 0, 3_000_000, i % 20);
        }
        fixture.decide();
        fixture.completeCalls(100, 9_000, AttemptOutcome.OK);
        fixture.advance(4_000_000, 300_000);
        assertEquals(900, fixture.completed.size() + fixture.inFlight.size());
    }

    @Test
    void keyWithThousandsBehindOneUnknownOutcome() {
        SideBySideFixture fixture = fixture(4, 5_000);
        fixture.listEndpoints(2, 2, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 1_500; i++) {
            fixture.submit(1, 7, LONG - i, 0);
        }
        fixture.decide();
        assertEquals(1, fixture.sends);
        fixture.completeCalls(1, 2_000_000, AttemptOutcome.TIMEOUT);
        fixture.advance(50_000, 10_000);
        assertTrue(fixture.inFlight.size() <= 1, "one of a key at a time");
        fixture.advance(3_000_000, 100_000);
        fixture.completeCalls(60, 4_000, AttemptOutcome.OK);
        // Messages in the middle of the key's order run out of time as well.
        fixture.advance(LONG, 2_000_000);
        assertTrue(
                fixture.rejected + fixture.failed > 1_000,
                fixture.rejected + " refused, " + fixture.failed + " failed");
    }

    @Test
    void halfOfTheEndpointsAreRemovedWithPendingMessages() {
        SideBySideFixture fixture = fixture(8, 3_000);
        fixture.listEndpoints(40, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 1_200; i++) {
            fixture.submit(i % 3, i % 50, LONG - 1_000L * i, i % 40);
        }
        fixture.decide();
        fixture.completeCalls(60, 7_000, AttemptOutcome.OK);
        fixture.listEndpoints(20, 1, DeliveryScheduler.EndpointState.GONE);
        fixture.decide();
        fixture.completeCalls(120, 7_000, AttemptOutcome.OK);
        fixture.advance(2_000_000, 200_000);
        fixture.listEndpoints(20, 1, DeliveryScheduler.EndpointState.READY);
        fixture.decide();
        fixture.completeCalls(120, 7_000, AttemptOutcome.OK);
        assertTrue(fixture.sends > 250, fixture.sends + " sends");
    }

    @Test
    void everyDestinationIsUnavailableAtOnce() {
        SideBySideFixture fixture = fixture(30, 3_000);
        fixture.listEndpoints(60, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 900; i++) {
            fixture.submit(i % 3, i % 70, LONG, i % 60);
        }
        fixture.decide();
        fixture.completeCalls(200, 6_000, AttemptOutcome.OK);
        fixture.completeCalls(300, 3_000, AttemptOutcome.CONNECT_FAILED);
        fixture.advance(6_000_000, 150_000);
        fixture.completeCalls(120, 3_000, AttemptOutcome.CONNECT_FAILED);
        fixture.advance(5_000_000, 250_000);
        fixture.completeCalls(300, 9_000, AttemptOutcome.OK);
        fixture.advance(1_000_000, 50_000);
        assertTrue(fixture.sends > 400, fixture.sends + " sends");
    }

    @Test
    void restartRecoversThousandsInOneDecision() {
        SideBySideFixture fixture = fixture(8, 4_000);
        fixture.listEndpoints(30, 2, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 2_500; i++) {
            fixture.attempts.put(++fixture.ids, i % 2);
            boolean doubt = i % 2 == 1 && i % 3 != 0;
            fixture.step(new Event.MessageRecovered(
                    fixture.ids,
                    i % 3,
                    1 + i % 90,
                    LONG - 300L * (i * 37 % 2_500),
                    i % 30,
                    i % 2,
                    doubt ? 100_000 : -1,
                    doubt ? 1 + i % 60 : 0,
                    doubt && i % 4 == 1));
        }
        fixture.decide();
        fixture.completeCalls(400, 6_000, AttemptOutcome.OK);
        assertTrue(fixture.failed > 0 && fixture.sends > 350, fixture.failed + " failed, " + fixture.sends + " sends");
    }

    /** Nothing is NaN or overflows, and every message gets its answer; messages without weight still have an order. */
    @Test
    void extremeClassesAndTimes() {
        for (DeliveryScheduler.LateValueDecay late : DeliveryScheduler.LateValueDecay.values()) {
            SideBySideFixture fixture = new SideBySideFixture(settings(
                    3,
                    400,
                    late,
                    messageClass(0, 0, 1, 1, DeliveryScheduler.Idempotency.IDEMPOTENT, false),
                    messageClass(0, 0, 1, 400_000_000_000L, DeliveryScheduler.Idempotency.KEYED, true),
                    messageClass(
                            1e9,
                            1,
                            90_000_000_000L,
                            90_000_000_000L,
                            DeliveryScheduler.Idempotency.NON_IDEMPOTENT,
                            false),
                    messageClass(1e-9, 0.5, 5, 1_000_000, DeliveryScheduler.Idempotency.IDEMPOTENT, false)));
            fixture.compared = false;
            fixture.listEndpoints(5, 1, DeliveryScheduler.EndpointState.READY);
            SplittableRandom random = new SplittableRandom(9);
            for (int round = 0; round < 60; round++) {
                for (int i = 0; i < 6; i++) {
                    fixture.submit(
                            random.nextInt(4),
                            random.nextInt(4),
                            random.nextInt(3) == 0 ? 1 : 500_000_000_000L,
                            random.nextInt(5));
                }
                fixture.decide();
                fixture.completeCalls(2, random.nextBoolean() ? 0 : 1 + random.nextLong(3), AttemptOutcome.OK);
            }
            assertTrue(
                    fixture.sends > 50 && fixture.rejected > 50,
                    late + ": " + fixture.sends + " sends, " + fixture.rejected + " refused");
            // Calls in flight time out, and all other messages expire.
            while (!fixture.inFlight.isEmpty()) {
                fixture.now += 1_000;
                fixture.complete(AttemptOutcome.TIMEOUT, 1_000);
            }
            fixture.advance(600_000_000_000L, 100_000_000_000L);
            assertEquals(
                    fixture.ids,
                    fixture.completed.size() + fixture.inFlight.size(),
                    late + ": all but what is out has its end");
        }
    }
}
