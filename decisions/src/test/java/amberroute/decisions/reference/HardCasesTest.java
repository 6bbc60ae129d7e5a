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

/** Edge cases of the indexed data structures, compared with the reference scheduler, which visits all messages. */
class HardCasesTest {
    private static final long DEADLINE_MICROS = 40_000_000;

    /** Passes the same events to both schedulers, compares their actions and tracks the calls in flight. */
    private static final class SideBySideFixture {
        final ReferenceScheduler reference;
        final AtcDeliveryScheduler scheduler;
        final Map<Long, long[]> inFlight = new LinkedHashMap<>();
        final Map<Long, Integer> attempts = new LinkedHashMap<>();
        final Set<Long> completed = new HashSet<>();
        long now = 1_000_000;
        long lastId;
        /** False if the index of the reference underflows, so that its messages tie. */
        boolean comparesWithReference = true;

        int sends;
        int rejected;
        int failed;

        SideBySideFixture(DeliveryScheduler.Settings settings) {
            reference = new ReferenceScheduler(settings);
            scheduler = new AtcDeliveryScheduler(settings);
        }

        void step(Event event) {
            RandomScenario.Recorder expected = new RandomScenario.Recorder();
            RandomScenario.Recorder actual = new RandomScenario.Recorder();
            if (comparesWithReference) {
                reference.step(now, event, expected);
            }
            scheduler.step(now, event, actual);
            assertTrue(
                    !comparesWithReference
                            || SideBySideRun.sameActions(
                                    expected.actionsWithoutTimers(), actual.actionsWithoutTimers()),
                    () -> "at " + now + " " + event + "\nreference:\n"
                            + String.join("\n", expected.actionsWithoutTimers()) + "\nactual:\n"
                            + String.join("\n", actual.actionsWithoutTimers()));
            for (long[] send : actual.sends) {
                inFlight.put(send[0], send);
                attempts.merge(send[0], 1, Integer::sum);
                sends++;
            }
            for (String line : actual.lines) {
                rejected += line.startsWith("refuse") ? 1 : 0;
                failed += line.startsWith("fail") ? 1 : 0;
            }
            for (long id : actual.answered) {
                assertTrue(completed.add(id), "second final answer of message " + id);
            }
        }

        void decide() {
            step(new Event.Decide());
        }

        void listEndpoints(int destinations, int endpointsEach, DeliveryScheduler.EndpointState state) {
            List<DeliveryScheduler.EndpointEntry> entries = new ArrayList<>();
            for (int destination = 0; destination < destinations; destination++) {
                for (int i = 0; i < endpointsEach; i++) {
                    entries.add(new DeliveryScheduler.EndpointEntry(
                            1 + destination * (long) endpointsEach + i, destination, state, 0, 0, 0));
                }
            }
            step(new Event.EndpointListUpdated(DeliveryScheduler.EndpointListKind.DELTA, entries));
        }

        long submit(int messageClass, long key, long timeLeftMicros, int destination) {
            step(new Event.MessageSubmitted(++lastId, messageClass, -1, key, timeLeftMicros, destination));
            return lastId;
        }

        /** Completes the call that has been in flight longest. */
        void complete(AttemptOutcome outcome, long durationMicros) {
            long[] send = inFlight.remove(inFlight.keySet().iterator().next());
            boolean messageCompleted = outcome == AttemptOutcome.OK;
            if (messageCompleted) {
                assertTrue(completed.add(send[0]), "second final answer of message " + send[0]);
            }
            step(new Event.AttemptCompleted(
                    send[0],
                    attempts.get(send[0]) - 1,
                    send[1],
                    outcome,
                    durationMicros,
                    messageCompleted,
                    0,
                    List.of(),
                    0));
        }

        /** Completes up to {@code calls} calls one after another, 1 ms apart, with a decision after each. */
        void completeCalls(int calls, long durationMicros, AttemptOutcome outcome) {
            for (int i = 0; i < calls && !inFlight.isEmpty(); i++) {
                now += 1_000;
                complete(outcome, durationMicros);
                decide();
            }
        }

        /** Advances the time in steps, with a decision after each. */
        void advance(long durationMicros, long stepMicros) {
            for (long end = now + durationMicros; now < end; ) {
                now += stepMicros;
                step(new Event.TimerExpired(0));
                decide();
            }
        }
    }

    private static DeliveryScheduler.Settings settings(
            int maxConcurrentCalls,
            int maxPendingMessages,
            DeliveryScheduler.LateValueDecay lateValueDecay,
            DeliveryScheduler.MessageClass... classes) {
        return new DeliveryScheduler.Settings(
                3,
                1,
                0,
                5_000,
                false,
                0.3,
                lateValueDecay,
                DeliveryScheduler.WeightKind.NONE,
                List.of(classes),
                List.of(),
                List.of(new DeliveryScheduler.DestinationKind(false, 1)),
                new DeliveryScheduler.Limits(
                        maxConcurrentCalls,
                        maxPendingMessages,
                        6,
                        false,
                        true,
                        true,
                        3_000_000,
                        1,
                        15_000_000,
                        1_000_000),
                new DeliveryScheduler.Rules(300_000, 6_000_000, 0.15, 12_000_000, 2.5, 1_500_000, 100_000),
                new DeliveryScheduler.Prices(0, 0, List.of()),
                new DeliveryScheduler.ReportFields(-1, -1));
    }

    private static DeliveryScheduler.MessageClass messageClass(
            double priorityWeight,
            double lateValueShare,
            long latencyObjectiveMicros,
            long deadlineMicros,
            DeliveryScheduler.Idempotency idempotency,
            boolean ordered) {
        return new DeliveryScheduler.MessageClass(
                priorityWeight,
                lateValueShare,
                latencyObjectiveMicros,
                deadlineMicros,
                idempotency,
                DeliveryScheduler.KeyScope.DESTINATION,
                deadlineMicros,
                ordered);
    }

    private static final DeliveryScheduler.MessageClass IDEMPOTENT =
            messageClass(2, 0.5, 3_000_000, DEADLINE_MICROS, DeliveryScheduler.Idempotency.IDEMPOTENT, false);
    private static final DeliveryScheduler.MessageClass ORDERED =
            messageClass(1, 0.2, 2_000_000, DEADLINE_MICROS, DeliveryScheduler.Idempotency.KEYED, true);
    private static final DeliveryScheduler.MessageClass NON_IDEMPOTENT =
            messageClass(4, 0.7, 1_000_000, DEADLINE_MICROS, DeliveryScheduler.Idempotency.NON_IDEMPOTENT, false);

    private static SideBySideFixture fixture(int maxConcurrentCalls, int maxPendingMessages) {
        return new SideBySideFixture(settings(
                maxConcurrentCalls,
                maxPendingMessages,
                DeliveryScheduler.LateValueDecay.LINEAR,
                IDEMPOTENT,
                ORDERED,
                NON_IDEMPOTENT));
    }

    /** Service times change the order of whole queues; an outage raises one service time steeply, and it decays again. */
    @Test
    void pendingMessagesWithChangingServiceTimesAreHandledAsByReference() {
        SideBySideFixture fixture = fixture(6, 5_000);
        fixture.listEndpoints(12, 2, DeliveryScheduler.EndpointState.READY);
        SplittableRandom random = new SplittableRandom(1);
        for (int i = 0; i < 600; i++) {
            fixture.submit(
                    random.nextInt(3),
                    1 + random.nextInt(40),
                    DEADLINE_MICROS - random.nextInt(5_000_000),
                    random.nextInt(12));
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
    void burstForOneDestinationIsHandledAsByReference() {
        SideBySideFixture fixture = fixture(4, 4_000);
        fixture.listEndpoints(3, 2, DeliveryScheduler.EndpointState.READY);
        fixture.submit(0, 0, DEADLINE_MICROS, 0);
        fixture.decide();
        fixture.completeCalls(1, 5_000, AttemptOutcome.OK);
        for (int i = 0; i < 2_000; i++) {
            fixture.submit(i % 3, i, DEADLINE_MICROS - i, 0);
        }
        fixture.decide();
        fixture.completeCalls(300, 5_000, AttemptOutcome.OK);
        // Near capacity, messages are shed.
        for (int i = 0; i < 2_500; i++) {
            fixture.submit(i % 3, i, DEADLINE_MICROS - i, 1);
        }
        fixture.decide();
        assertTrue(
                fixture.rejected > 500 && fixture.sends > 300,
                fixture.rejected + " rejected, " + fixture.sends + " sends");
    }

    @Test
    void manyDestinationsWithOneMessageEachAreAllServed() {
        SideBySideFixture fixture = fixture(10, 2_000);
        fixture.listEndpoints(1_500, 1, DeliveryScheduler.EndpointState.READY);
        for (int destination = 0; destination < 1_500; destination++) {
            fixture.submit(destination % 3, 0, DEADLINE_MICROS, destination);
        }
        fixture.decide();
        fixture.completeCalls(1_500, 8_000, AttemptOutcome.OK);
        assertEquals(1_500, fixture.completed.size());
    }

    @Test
    void messagesDueAtTheSameInstantAreAllHandled() {
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
    void keyWithUnknownOutcomeSendsOneMessageAtATime() {
        SideBySideFixture fixture = fixture(4, 5_000);
        fixture.listEndpoints(2, 2, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 1_500; i++) {
            fixture.submit(1, 7, DEADLINE_MICROS - i, 0);
        }
        fixture.decide();
        assertEquals(1, fixture.sends);
        fixture.completeCalls(1, 2_000_000, AttemptOutcome.TIMEOUT);
        fixture.advance(50_000, 10_000);
        assertTrue(fixture.inFlight.size() <= 1, "more than one message of the key in flight");
        fixture.advance(3_000_000, 100_000);
        fixture.completeCalls(60, 4_000, AttemptOutcome.OK);
        // Messages in the middle of the key queue expire as well.
        fixture.advance(DEADLINE_MICROS, 2_000_000);
        assertTrue(
                fixture.rejected + fixture.failed > 1_000,
                fixture.rejected + " rejected, " + fixture.failed + " failed");
    }

    @Test
    void endpointsRemovedWithPendingMessagesAreHandledAsByReference() {
        SideBySideFixture fixture = fixture(8, 3_000);
        fixture.listEndpoints(40, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 1_200; i++) {
            fixture.submit(i % 3, i % 50, DEADLINE_MICROS - 1_000L * i, i % 40);
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
    void outageOfAllDestinationsIsHandledAsByReference() {
        SideBySideFixture fixture = fixture(30, 3_000);
        fixture.listEndpoints(60, 1, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 900; i++) {
            fixture.submit(i % 3, i % 70, DEADLINE_MICROS, i % 60);
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
    void thousandsOfRecoveredMessagesAreHandledAsByReference() {
        SideBySideFixture fixture = fixture(8, 4_000);
        fixture.listEndpoints(30, 2, DeliveryScheduler.EndpointState.READY);
        for (int i = 0; i < 2_500; i++) {
            fixture.attempts.put(++fixture.lastId, i % 2);
            boolean outcomeUnknown = i % 2 == 1 && i % 3 != 0;
            fixture.step(new Event.MessageRecovered(
                    fixture.lastId,
                    i % 3,
                    1 + i % 90,
                    DEADLINE_MICROS - 300L * (i * 37 % 2_500),
                    i % 30,
                    i % 2,
                    outcomeUnknown ? 100_000 : -1,
                    outcomeUnknown ? 1 + i % 60 : 0,
                    outcomeUnknown && i % 4 == 1));
        }
        fixture.decide();
        fixture.completeCalls(400, 6_000, AttemptOutcome.OK);
        assertTrue(fixture.failed > 0 && fixture.sends > 350, fixture.failed + " failed, " + fixture.sends + " sends");
    }

    /** No value becomes NaN or overflows, and every message gets an answer; messages without weight are still ordered. */
    @Test
    void extremeClassesAndTimesGiveEveryMessageAnAnswer() {
        for (DeliveryScheduler.LateValueDecay lateValueDecay : DeliveryScheduler.LateValueDecay.values()) {
            SideBySideFixture fixture = new SideBySideFixture(settings(
                    3,
                    400,
                    lateValueDecay,
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
            fixture.comparesWithReference = false;
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
                    lateValueDecay + ": " + fixture.sends + " sends, " + fixture.rejected + " rejected");
            // All calls in flight time out, and all other messages expire.
            while (!fixture.inFlight.isEmpty()) {
                fixture.now += 1_000;
                fixture.complete(AttemptOutcome.TIMEOUT, 1_000);
            }
            fixture.advance(600_000_000_000L, 100_000_000_000L);
            assertEquals(
                    fixture.lastId,
                    fixture.completed.size() + fixture.inFlight.size(),
                    lateValueDecay + ": every message is completed or in flight");
        }
    }
}
