package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.EndpointListKind;
import amberroute.decisions.DeliveryScheduler.EndpointState;
import amberroute.decisions.DeliveryScheduler.Event;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

class AtcDeliverySchedulerTest {
    private static SchedulerScript script() {
        return new SchedulerScript(SchedulerScript.settings(8, false, 1));
    }

    /** Ten quick answers, one after the other, so that the usual pace is known. */
    private static SchedulerScript warmed(int destination, int endpoints) {
        SchedulerScript s = script().list(destination, endpoints);
        for (int i = 0; i < 10; i++) {
            s.arrive(1000 * destination + i, SchedulerScript.SAFE, destination).turn();
            s.pass(200_000).end(1000 * destination + i, AttemptOutcome.OK).turn();
        }
        return s;
    }

    /** Lines that a file of the module may have. */
    private static final int MAX_FILE_LINES = 500;

    @Test
    void filesOfTheModuleAreShortAndDoNoInputOrOutput() throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(Path.of("src/main/java/amberroute"))) {
            files = all.filter(file -> file.toString().endsWith(".java")).toList();
        }
        assertTrue(files.size() > 5, files.toString());
        for (Path file : files) {
            List<String> lines = Files.readAllLines(file);
            assertTrue(lines.size() <= MAX_FILE_LINES, file + " has " + lines.size() + " lines");
            assertTrue(
                    lines.stream()
                            .noneMatch(line -> line.matches("import (static )?(java\\.(io|net|nio)|io\\.netty).*")),
                    file + " does input or output");
        }
    }

    /** Time passes, and each call is answered after 50 ms. */
    private static void answering(SchedulerScript s, long span) {
        int seen = s.sends.size();
        for (long end = s.now + span; s.now < end; ) {
            s.pass(50_000);
            List<SchedulerScript.Send> due = List.copyOf(s.sends.subList(seen, s.sends.size()));
            for (SchedulerScript.Send send : due) {
                if (s.now - send.at() >= 50_000) {
                    s.end(send.id(), AttemptOutcome.OK).turn();
                    seen++;
                }
            }
        }
    }

    /** Worth in the script: 3 safe, 1 keyed, 4 unsafe, 1 ordered. */
    @Test
    void whatIsWorthLessThanACallCostsIsTurnedAwayWithAdvice() {
        SchedulerScript s = script().list(1, 1);
        s.with(new Event.AdmissionPriceChanged(1, 2, 2.4, 1, 500_000)).turn();
        s.arrive(1, SchedulerScript.SAFE, 1)
                .arrive(2, SchedulerScript.KEYED, 1)
                .arrive(3, SchedulerScript.UNSAFE, 1)
                .arrive(4, SchedulerScript.KEYED, 2)
                .turn();
        assertEquals(List.of(2L), s.refused);
        // Of what is worth just the price a share goes on, and all of a key or nothing of it.
        s.with(new Event.AdmissionPriceChanged(1, 0.9, 1.1, 0.5, 500_000)).turn();
        s.refused.clear();
        for (long id = 100; id < 140; id++) {
            s.arrive(id, SchedulerScript.ORDERED, 1, 1 + id % 10);
        }
        s.turn();
        assertTrue(s.refused.size() >= 8 && s.refused.size() <= 32, s.refused.toString());
        assertEquals(0, s.refused.size() % 4);
        assertTrue(s.refused.stream().allMatch(id -> s.refused.contains(100 + (id - 100) % 10)), s.refused.toString());
        // It costs nothing any more.
        s.with(Event.AdmissionPriceChanged.NONE)
                .with(new Event.AdmissionPriceChanged(1, 0, 0, 1, 0))
                .turn();
        s.refused.clear();
        s.arrive(200, SchedulerScript.KEYED, 1).turn();
        assertEquals(List.of(), s.refused);
    }

    /** Under a ceiling messages leave evenly, and at once when it is lifted. */
    @Test
    void aCeilingHoldsTheFlowToItsRate() {
        SchedulerScript s = warmed(1, 1);
        int before = s.sends.size();
        s.with(new Event.FleetRateLimitChanged(1, 2, 0.5, false)).turn();
        for (int i = 1; i <= 6; i++) {
            s.arrive(i, SchedulerScript.SAFE, 1).turn();
        }
        long from = s.now;
        answering(s, 2_000_000);
        List<SchedulerScript.Send> sent = s.sends.subList(before, s.sends.size());
        assertEquals(
                List.of(250_000L, 750_000L, 1_250_000L, 1_750_000L),
                sent.stream().map(x -> x.at() - from).toList());
        s.with(new Event.FleetRateLimitChanged(1, 0, 0, false)).turn();
        answering(s, 1_000_000);
        assertEquals(before + 4, s.sends.size());
        s.with(new Event.FleetRateLimitChanged(1, Double.POSITIVE_INFINITY, 0, false))
                .turn();
        assertEquals(before + 6, s.sends.size());
    }

    /** A call with several messages uses up the ceiling for each of them. */
    @Test
    void aCeilingCountsMessagesAndNotCalls() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(8, false, 5)).list(1, 1);
        s.arrive(100, SchedulerScript.SAFE, 1)
                .turn()
                .pass(50_000)
                .end(100, AttemptOutcome.OK)
                .turn();
        int before = s.sends.size();
        s.with(new Event.FleetRateLimitChanged(1, 1, 1, false)).turn();
        for (int i = 1; i <= 5; i++) {
            s.arrive(i, SchedulerScript.SAFE, 1);
        }
        s.turn();
        answering(s, 3_500_000);
        assertEquals(4, s.sends.size() - before);
    }

    /** Another daemon was answered: the destination is tried now, not when this sender's own turn comes. */
    @Test
    void newsOfAReturnBringsTheNextTrialForward() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.SAFE, 1).turn();
        int ended = 0;
        for (int i = 0; i < 80; i++) {
            int out = s.sends.size();
            if (out > ended + 10) {
                s.end(1, AttemptOutcome.CONNECT_FAILED).turn();
                ended++;
            }
            s.pass(50_000);
        }
        // Its last call is out or over; the next of its own would come later than this.
        if (s.sends.size() > ended + 10) {
            s.end(1, AttemptOutcome.CONNECT_FAILED).turn();
        }
        s.arrive(2, SchedulerScript.SAFE, 1).turn();
        int before = s.sends.size();
        s.turn();
        assertEquals(before, s.sends.size(), "a trial was due anyhow");
        s.with(new Event.FleetRateLimitChanged(1, 100, 1, true)).turn();
        assertEquals(before + 1, s.sends.size());
    }

    @Test
    void higherIndexGoesFirst() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.KEYED, 1)
                .arrive(2, SchedulerScript.UNSAFE, 1)
                .arrive(3, SchedulerScript.SAFE, 1)
                .turn();
        s.pass(100_000)
                .end(2, AttemptOutcome.OK)
                .turn()
                .end(3, AttemptOutcome.OK)
                .turn();
        assertEquals(
                List.of(2L, 3L, 1L),
                s.sends.stream()
                        .map(SchedulerScript.Send::id)
                        .filter(id -> id < 100)
                        .toList());
    }

    @Test
    void refusesAtOnceWhenTheWaitIsLongerThanTheTimeLeft() {
        SchedulerScript s = warmed(1, 1);
        for (int i = 0; i < 40; i++) {
            s.arrive(1 + i, SchedulerScript.SAFE, 1);
        }
        s.turn().pass(12_000_000);
        s.arrive(100, SchedulerScript.KEYED, 1).turn();
        assertTrue(s.refused.contains(100L), "refused at once: the destination has been silent for long");
    }

    @Test
    void messageWithoutEndpointIsHandedBackInTime() {
        SchedulerScript s = script().arrive(1, SchedulerScript.UNSAFE, 9).turn().pass(17_000_000);
        assertEquals(List.of(1L), s.refused);
    }

    @Test
    void toldWaitHoldsTheWholeDestination() {
        SchedulerScript s = warmed(1, 2);
        s.arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.FULL, 900_000)
                .arrive(2, SchedulerScript.SAFE, 1)
                .turn();
        assertFalse(s.isOut(2));
        s.pass(1_500_000);
        assertTrue(s.isOut(1) || s.isOut(2));
    }

    @Test
    void unsafeIsNeverRepeatedAndKeyedOnlyWhileRemembered() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.UNSAFE, 1)
                .turn()
                .end(1, AttemptOutcome.ERROR)
                .turn()
                .pass(100_000);
        s.arrive(2, SchedulerScript.KEYED, 1)
                .turn()
                .end(2, AttemptOutcome.RESET)
                .turn()
                .pass(16_100_000);
        assertEquals(List.of(1L), s.failed);
        assertEquals(1, s.sends.stream().filter(x -> x.id() == 1).count());
        assertTrue(s.sends.stream().filter(x -> x.id() == 2).count() > 1);
    }

    @Test
    void unsafeGoesAgainWhenItNeverRan() {
        SchedulerScript s = warmed(1, 2);
        s.arrive(1, SchedulerScript.UNSAFE, 1).turn();
        long first = s.last(1).endpoint();
        s.end(1, AttemptOutcome.CONNECT_FAILED).turn();
        assertNotEquals(first, s.last(1).endpoint(), "the sibling is tried next");
    }

    @Test
    void keysTakeTurnsAndRestAfterDoubt() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.ORDERED, 1, 77)
                .arrive(2, SchedulerScript.ORDERED, 1, 77)
                .turn();
        assertTrue(s.isOut(1) && !hasSent(s, 2));
        s.with(new Event.MessageCancelled(1)).turn();
        assertFalse(hasSent(s, 2), "the earlier attempt is still out");
        s.end(1, AttemptOutcome.RESET);
        s.with(new Event.MessageCancelled(1)).turn();
        assertFalse(hasSent(s, 2), "the key rests");
    }

    private static boolean hasSent(SchedulerScript s, long id) {
        return s.sends.stream().anyMatch(x -> x.id() == id);
    }

    @Test
    void nothingNewToADrainingEndpoint() {
        SchedulerScript s = warmed(1, 2).change(1, 0, EndpointState.DRAINING);
        for (int i = 1; i < 6; i++) {
            s.arrive(i, SchedulerScript.SAFE, 1).turn();
        }
        s.change(1, 1, EndpointState.GONE).arrive(9, SchedulerScript.SAFE, 1).turn();
        assertFalse(hasSent(s, 9));
    }

    /** Incident of calls that nobody answered: they held all slots until their time-outs. */
    @Test
    void silenceOpensTheBreakerAndGivesSlotsBack() {
        SchedulerScript s = warmed(1, 1);
        for (int i = 1; i <= 6; i++) {
            s.arrive(i, SchedulerScript.SAFE, 1);
        }
        s.turn().pass(2_500_000);
        assertFalse(s.cancelled.isEmpty(), "silent calls are called off");
        long before = s.now;
        s.pass(5_000_000);
        assertTrue(s.sendsTo(1, before) <= 6, "single trials only: " + s.sendsTo(1, before));
    }

    @Test
    void oneSilentEndpointDoesNotShutItsSibling() {
        SchedulerScript s = warmed(1, 2);
        s.arrive(1, SchedulerScript.SAFE, 1).arrive(2, SchedulerScript.SAFE, 1).turn();
        long sick = s.last(1).endpoint();
        s.end(2, AttemptOutcome.OK).turn().pass(3_000_000);
        for (int i = 3; i < 10; i++) {
            s.arrive(i, SchedulerScript.SAFE, 1).turn();
            assertNotEquals(sick, s.last(i).endpoint());
            s.pass(100_000).end(i, AttemptOutcome.OK).turn();
        }
    }

    @Test
    void oneErrorDoesNotShutADestination() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.SAFE, 1).turn().end(1, AttemptOutcome.ERROR).turn();
        s.arrive(2, SchedulerScript.SAFE, 1).arrive(3, SchedulerScript.SAFE, 1).turn();
        assertTrue(s.isOut(2) && s.isOut(3));
    }

    @Test
    void slowStartAfterAnOutage() {
        SchedulerScript s = warmed(1, 1);
        for (int i = 1; i <= 20; i++) {
            s.arrive(i, SchedulerScript.SAFE, 1).turn();
            if (s.sends.stream().anyMatch(x -> x.id() == i0(s)) && s.isOut(i0(s))) {
                s.end(i0(s), AttemptOutcome.CONNECT_FAILED).turn();
            }
            s.pass(300_000);
        }
        s.pass(3_000_000);
        while (s.sends.stream().noneMatch(x -> s.isOut(x.id()))) {
            s.pass(100_000);
        }
        s.end(i0(s), AttemptOutcome.OK).turn();
        long from = s.now;
        for (int i = 0; i < 30; i++) {
            s.pass(100_000);
            while (s.sends.stream().anyMatch(x -> s.isOut(x.id()))) {
                s.end(i0(s), AttemptOutcome.OK).turn();
            }
        }
        assertTrue(s.sendsTo(1, from) <= 6, "sent in the first three seconds: " + s.sendsTo(1, from));
    }

    /** The message of the latest attempt. */
    private static long i0(SchedulerScript s) {
        return s.sends.get(s.sends.size() - 1).id();
    }

    /** Many senders with little traffic knocked at one door until its limit was used up by refusals. */
    @Test
    void pausesGrowWhileADoorStaysShut() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.SAFE, 1).turn();
        for (int i = 0; i < 2_000 && !s.refused.contains(1L); i++) {
            if (s.isOut(1)) {
                s.end(1, AttemptOutcome.FULL).turn();
            }
            s.pass(5_000);
        }
        assertTrue(s.sends.stream().filter(x -> x.id() == 1).count() <= 8);
    }

    @Test
    void oneCallCarriesSeveralMessagesInOneSlot() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(1, false, 3)).list(1, 1);
        s.arrive(1, SchedulerScript.SAFE, 1).arrive(2, SchedulerScript.SAFE, 1).arrive(3, SchedulerScript.SAFE, 1);
        s.arrive(4, SchedulerScript.SAFE, 1).turn();
        assertEquals(3, s.sends.size());
    }

    /** Idle connections of hundreds of senders filled the tables of destinations that each met seldom. */
    @Test
    void connectionsThatWillNotBeReusedAreShutWhereTablesAreFull() {
        SchedulerScript s = warmed(1, 1);
        assertEquals(List.of(), s.closed, "connections are to be had");
        s.arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.CONNECT_FAILED)
                .turn()
                .pass(3_000_000);
        s.end(1, AttemptOutcome.OK).turn().pass(20_000_000);
        s.arrive(2, SchedulerScript.SAFE, 1)
                .turn()
                .pass(200_000)
                .end(2, AttemptOutcome.OK)
                .turn();
        int before = s.closed.size();
        assertTrue(before > 0, "a gap longer than its life shows that it serves nobody");
        s.pass(200_000)
                .arrive(3, SchedulerScript.SAFE, 1)
                .turn()
                .pass(200_000)
                .end(3, AttemptOutcome.OK)
                .turn();
        assertEquals(before, s.closed.size(), "calls close together keep theirs");
    }

    /** Connections were dropped unseen while idle, and what was sent on one was lost. */
    @Test
    void connectionsThatFailAfterIdlingAreNotReused() {
        SchedulerScript s = warmed(1, 1).list(2, 1);
        for (int i = 1; i <= 12; i++) {
            s.pass(1_500_000).arrive(i, SchedulerScript.UNSAFE, 1).turn().pass(100_000);
            if (s.sends.stream().anyMatch(x -> x.id() < 100) && s.isOut(i)) {
                s.end(i, AttemptOutcome.RESET).turn();
            }
            s.arrive(100 + i, SchedulerScript.SAFE, 1).turn();
            for (int k = 0; k < 40; k++) {
                s.pass(100_000);
                for (long id : List.of((long) i, 100L + i)) {
                    if (s.isOut(id)) {
                        s.end(id, AttemptOutcome.OK).turn();
                    }
                }
            }
        }
        s.arrive(50, SchedulerScript.SAFE, 1).turn();
        assertFalse(s.closed.isEmpty(), "shut before it is used");
    }

    /** With three slots, two unsafe calls without an answer stopped a sender until their deadline. */
    @Test
    void silentUnsafeCallsGiveTheirSlotsBackUnderPressure() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(2, false, 1))
                .list(1, 1)
                .list(2, 1);
        s.arrive(1, SchedulerScript.UNSAFE, 1)
                .arrive(2, SchedulerScript.UNSAFE, 1)
                .turn()
                .pass(8_000_000);
        assertTrue(s.cancelled.isEmpty(), "nobody waits");
        s.arrive(3, SchedulerScript.SAFE, 2).turn().pass(100_000);
        assertTrue(s.isOut(3), "a slot was given back");
        assertEquals(1, s.cancelled.size());
    }

    /** A slow start that only an answer could end left a destination shut to senders that met it seldom. */
    @Test
    void slowStartEndsWithoutTraffic() {
        SchedulerScript s = warmed(1, 1);
        s.arrive(1, SchedulerScript.SAFE, 1)
                .arrive(2, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.CONNECT_FAILED)
                .turn();
        s.end(2, AttemptOutcome.CONNECT_FAILED).turn().pass(1_000_000);
        for (int i = 0; i < 120; i++) {
            for (long id : List.of(1L, 2L)) {
                if (s.isOut(id)) {
                    s.end(id, AttemptOutcome.OK).turn();
                }
            }
            s.pass(100_000);
        }
        s.arrive(5, SchedulerScript.SAFE, 1).arrive(6, SchedulerScript.SAFE, 1).turn();
        assertTrue(s.isOut(5) && s.isOut(6));
    }

    /** With one call in tens of seconds an outage was over before a second failure was seen. */
    @Test
    void oneFailureOpensTheBreakerWhereNothingWasAnsweredForLong() {
        SchedulerScript s = warmed(1, 1);
        s.pass(20_000_000)
                .arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.ERROR)
                .turn();
        s.arrive(2, SchedulerScript.SAFE, 1).arrive(3, SchedulerScript.SAFE, 1).turn();
        assertFalse(s.isOut(2) || s.isOut(3));
    }

    /** A message whose attempts all failed made a dozen, and hundreds of senders pushed the destination over. */
    @Test
    void aMessageMakesFewAttemptsAtADeadDestination() {
        SchedulerScript s = new SchedulerScript(crowd(7)).list(1, 1);
        s.arrive(1, SchedulerScript.SAFE, 1).turn();
        while (!s.refused.contains(1L)) {
            if (s.isOut(1)) {
                s.end(1, AttemptOutcome.FULL).turn();
            }
            s.pass(5_000);
        }
        assertTrue(s.sends.size() <= 3, "attempts: " + s.sends.size());
    }

    /** A clump refused at hundreds of senders came back in one wave and pushed the destination over. */
    @Test
    void sendersRefusedTogetherComeBackFarApart() {
        TreeSet<Long> returns = new TreeSet<>();
        for (int seed = 1; seed <= 20; seed++) {
            SchedulerScript s = new SchedulerScript(crowd(seed)).list(1, 1);
            s.arrive(1, SchedulerScript.SAFE, 1)
                    .turn()
                    .end(1, AttemptOutcome.FULL)
                    .turn();
            while (s.sends.size() < 2 && s.refused.isEmpty()) {
                s.pass(50_000);
            }
            returns.add(s.now - SchedulerScript.START);
        }
        assertTrue(returns.first() >= 8_000_000, "none soon: " + returns);
        assertTrue(returns.last() - returns.first() > 4_000_000 && returns.size() > 12, "apart: " + returns);
    }

    /** Settings of one among three hundred senders. */
    private static DeliveryScheduler.Settings crowd(long seed) {
        DeliveryScheduler.Settings few = SchedulerScript.settings(4, false, 1);
        return new DeliveryScheduler.Settings(
                seed,
                300,
                0,
                few.tickMicros(),
                false,
                0.1,
                few.lateValueDecay(),
                few.weightKind(),
                few.classes(),
                few.tenants(),
                few.kinds(),
                few.limits(),
                few.rules(),
                few.prices(),
                few.reportFields());
    }

    @Test
    void subscribesOnRequestAndRenews() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(4, true, 1)).turn();
        assertEquals(1, s.follows);
        s.with(new Event.EndpointListUpdated(EndpointListKind.FAILED, List.of()))
                .turn()
                .pass(1_000_000);
        assertEquals(2, s.follows);
    }

    @Test
    void badSettingsAreNamed() {
        assertThrows(
                IllegalArgumentException.class, () -> new AtcDeliveryScheduler(SchedulerScript.settings(0, false, 1)));
    }

    @Test
    void oddEventsAreHarmless() {
        SchedulerScript s = warmed(1, 1);
        s.with(new Event.AttemptCompleted(999, 0, 5, AttemptOutcome.UNKNOWN, 1, false, 0, List.of()));
        s.with(new Event.MessageCancelled(999)).with(new Event.TimerExpired(4)).with(new Event.StreamStarted(1, 2));
        s.with(new Event.EndpointListUpdated(EndpointListKind.FULL, List.of()))
                .turn()
                .pass(100_000);
        assertTrue(s.failed.isEmpty());
    }

    /** A long random day keeps the rules that the checker asserts, and goes the same way twice. */
    @Test
    void randomDaysKeepTheRules() {
        for (int seed = 1; seed <= 20; seed++) {
            assertEquals(randomDay(seed), randomDay(seed));
        }
    }

    /** Instances share nothing: a step of one between the steps of another changes neither. */
    @Test
    void interleavedInstancesActAsAlone() {
        SchedulerScript alone = script().list(1, 2);
        SchedulerScript first = script().list(1, 2);
        SchedulerScript second = script().list(1, 2);
        for (int i = 0; i < 40; i++) {
            for (SchedulerScript s : List.of(alone, first, second)) {
                s.arrive(i, i % 3, 1).pass(40_000);
                if (s.isOut(i)) {
                    s.end(i, i % 5 == 0 ? AttemptOutcome.FULL : AttemptOutcome.OK)
                            .turn();
                }
            }
        }
        assertFalse(alone.sends.isEmpty());
        assertEquals(alone.sends, first.sends);
        assertEquals(alone.sends, second.sends);
    }

    private static List<SchedulerScript.Send> randomDay(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(4, false, 1 + seed % 3))
                .list(1, 2)
                .list(2, 1)
                .list(3, 3);
        AttemptOutcome[] endings = AttemptOutcome.values();
        for (int i = 0; i < 300; i++) {
            s.arrive(i, random.nextInt(4), 1 + random.nextInt(3), 1 + random.nextInt(5));
            s.pass(5_000L * random.nextInt(1, 40));
            for (SchedulerScript.Send send : List.copyOf(s.sends)) {
                if (s.isOut(send.id()) && s.last(send.id()) == send && random.nextInt(3) > 0) {
                    AttemptOutcome ending = endings[random.nextInt(2) * random.nextInt(endings.length)];
                    s.end(send.id(), ending, ending == AttemptOutcome.FULL ? random.nextInt(1_000_000) : 0);
                }
            }
            s.turn();
        }
        s.pass(20_000_000);
        return s.sends;
    }

    /** One connection carries a call: its messages are given up together, so none outlives its due date. */
    @Test
    void messagesOfOneCallAreGivenUpTogether() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(1, false, 5)).list(1, 1);
        s.arrive(9, SchedulerScript.SAFE, 1)
                .turn()
                .pass(50_000)
                .end(9, AttemptOutcome.OK)
                .turn();
        s.arrive(1, SchedulerScript.SAFE, 1)
                .arrive(2, SchedulerScript.UNSAFE, 1)
                .arrive(3, SchedulerScript.KEYED, 1)
                .turn();
        assertEquals(4, s.sends.size());
        assertEquals(
                1,
                s.sends.stream()
                        .skip(1)
                        .map(SchedulerScript.Send::giveUpAt)
                        .distinct()
                        .count());
        s.pass(16_100_000);
    }

    /** An outcome that would come after the kill loses an unsafe message; a repeatable one resumes. */
    @Test
    void startsNoUnsafeAttemptJustBeforeTheProcessEnds() {
        SchedulerScript s = warmed(1, 1);
        s.with(new DeliveryScheduler.Event.ShutdownStarted(100_000)).turn();
        s.arrive(1, SchedulerScript.UNSAFE, 1)
                .arrive(2, SchedulerScript.SAFE, 1)
                .turn()
                .pass(50_000);
        assertEquals(0, s.sends.stream().filter(send -> send.id() == 1).count());
        assertEquals(1, s.sends.stream().filter(send -> send.id() == 2).count());
    }

    @Test
    void startsUnsafeAttemptsThatEndBeforeTheProcessDoes() {
        SchedulerScript s = warmed(1, 1);
        s.with(new DeliveryScheduler.Event.ShutdownStarted(3_600_000)).turn();
        s.arrive(1, SchedulerScript.UNSAFE, 1).turn();
        assertEquals(1, s.sends.stream().filter(send -> send.id() == 1).count());
    }

    /** Where answers travel, a key's turn passes on only when the answer has been received. */
    @Test
    void holdsTheKeysTurnUntilAnAnswerIsConcluded() {
        List<Long> sent = new ArrayList<>();
        List<Long> answered = new ArrayList<>();
        DeliveryScheduler.Actions actions = recording(sent, answered);
        AtcDeliveryScheduler policy = new AtcDeliveryScheduler(SchedulerScript.settings(4, false, 1), true);
        long now = SchedulerScript.START;
        policy.step(
                now,
                new DeliveryScheduler.Event.EndpointListUpdated(
                        EndpointListKind.FULL,
                        List.of(new DeliveryScheduler.EndpointEntry(10, 1, EndpointState.READY, 1, 0, 0))),
                actions);
        policy.step(
                now,
                new DeliveryScheduler.Event.MessageSubmitted(1, SchedulerScript.ORDERED, 0, 5, 9_000_000, 2),
                actions);
        policy.step(
                now,
                new DeliveryScheduler.Event.MessageSubmitted(2, SchedulerScript.ORDERED, 0, 5, 16_000_000, 1),
                actions);
        policy.step(now, new DeliveryScheduler.Event.Decide(), actions);
        policy.step(now + 8_900_000, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(1L), answered);
        assertEquals(List.of(), sent);
        policy.step(now + 9_000_000, new DeliveryScheduler.Event.CompletionAcknowledged(1), actions);
        policy.step(now + 9_000_000, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(2L), sent);
    }

    /** What was out at a kill may have run: unsafe fails, keyed goes on only while its key is remembered. */
    @Test
    void resumesByClass() {
        List<Long> sent = new ArrayList<>();
        List<Long> answered = new ArrayList<>();
        DeliveryScheduler.Actions actions = recording(sent, answered);
        AtcDeliveryScheduler policy = new AtcDeliveryScheduler(SchedulerScript.settings(8, false, 1), true);
        long now = SchedulerScript.START;
        policy.step(
                now,
                new DeliveryScheduler.Event.EndpointListUpdated(
                        EndpointListKind.CACHED,
                        List.of(new DeliveryScheduler.EndpointEntry(10, 1, EndpointState.READY, 1, 0, 0))),
                actions);
        resume(policy, now, 1, SchedulerScript.UNSAFE, 1, 2_000_000, actions);
        resume(policy, now, 2, SchedulerScript.UNSAFE, 1, -1, actions);
        resume(policy, now, 3, SchedulerScript.KEYED, 1, 2_000_000, actions);
        resume(policy, now, 4, SchedulerScript.KEYED, 1, 6_500_000, actions);
        resume(policy, now, 5, SchedulerScript.SAFE, 1, 9_000_000, actions);
        resume(policy, now, 6, SchedulerScript.SAFE, 8, -1, actions);
        policy.step(now, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(5L), sent, "the safe one tells whether the destination answers");
        policy.step(
                now + 50_000,
                new DeliveryScheduler.Event.AttemptCompleted(5, 1, 10, AttemptOutcome.OK, 50_000, true, 0, List.of()),
                actions);
        policy.step(now + 50_000, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(2L, 3L, 5L), sent.stream().sorted().toList());
        assertEquals(List.of(1L, 4L, 6L), answered.stream().sorted().toList());
    }

    private static void resume(
            AtcDeliveryScheduler policy,
            long now,
            long id,
            int type,
            int attempts,
            long doubtAge,
            DeliveryScheduler.Actions actions) {
        policy.step(
                now,
                new DeliveryScheduler.Event.MessageRecovered(
                        id, type, 0, 10_000_000, 1, attempts, doubtAge, 10, doubtAge >= 0),
                actions);
    }

    private static DeliveryScheduler.Actions recording(List<Long> sent, List<Long> answered) {
        return new DeliveryScheduler.Actions() {
            @Override
            public void send(long id, long endpoint, long giveUpAt) {
                sent.add(id);
            }

            @Override
            public void reject(long id, long retryAfter) {
                answered.add(id);
            }

            @Override
            public void fail(long id) {
                answered.add(id);
            }

            @Override
            public void cancel(long id, int attempt) {}

            @Override
            public void closeIdle(long endpoint) {}

            @Override
            public void scheduleTimer(long delay, long token) {}

            @Override
            public void subscribe() {}

            @Override
            public void log(String text) {}
        };
    }

    // ---- Settings that change. ----

    private static DeliveryScheduler.Settings fewer(
            DeliveryScheduler.Settings s, int attempts, DeliveryScheduler.Idempotency effect) {
        DeliveryScheduler.Limits l = s.limits();
        List<DeliveryScheduler.MessageClass> classes = s.classes().stream()
                .map(c -> new DeliveryScheduler.MessageClass(
                        c.priorityWeight(),
                        c.lateValueShare(),
                        c.latencyObjectiveMicros(),
                        c.deadlineMicros(),
                        effect,
                        c.keyScope(),
                        c.keyLifeMicros(),
                        c.ordered()))
                .toList();
        return new DeliveryScheduler.Settings(
                s.seed(),
                s.senderCount(),
                s.zone(),
                s.tickMicros(),
                s.endpointListPolled(),
                s.overQuotaWeightFactor(),
                s.lateValueDecay(),
                s.weightKind(),
                classes,
                s.tenants(),
                s.kinds(),
                new DeliveryScheduler.Limits(
                        l.maxConcurrentCalls(),
                        l.maxPendingMessages(),
                        attempts,
                        l.parallelAttempts(),
                        l.cancellationAllowed(),
                        l.retryAdviceAllowed(),
                        l.maxRetryAdviceMicros(),
                        l.callsPerConnection(),
                        l.idleConnectionLifeMicros(),
                        l.connectTimeoutMicros()),
                s.rules(),
                s.prices(),
                s.reportFields());
    }

    @Test
    void aMessageUnderWayKeepsItsClassAndNewOnesGetTheNewOne() {
        SchedulerScript s = warmed(1, 2);
        s.arrive(1, SchedulerScript.SAFE, 1).turn();
        s.with(new Event.SettingsChanged(
                        fewer(SchedulerScript.settings(8, false, 1), 12, DeliveryScheduler.Idempotency.NON_IDEMPOTENT)))
                .turn();
        s.pass(100_000).end(1, AttemptOutcome.ERROR).turn().pass(100_000);
        assertTrue(s.isOut(1), "a safe message was not sent again");
        s.end(1, AttemptOutcome.OK)
                .arrive(2, SchedulerScript.SAFE, 1)
                .turn()
                .pass(100_000)
                .end(2, AttemptOutcome.ERROR)
                .turn();
        assertTrue(s.failed.contains(2L), "an unsafe message may not go on");
    }

    @Test
    void fewerAttemptsEndWhatHasHadThem() {
        SchedulerScript s = warmed(1, 2);
        s.arrive(1, SchedulerScript.SAFE, 1).turn().pass(100_000).end(1, AttemptOutcome.ERROR);
        s.with(new Event.SettingsChanged(
                        fewer(SchedulerScript.settings(8, false, 1), 1, DeliveryScheduler.Idempotency.IDEMPOTENT)))
                .turn();
        assertEquals(List.of(1L), s.refused);
    }

    @Test
    void settingsThatCannotBeUsedChangeNothing() {
        SchedulerScript s = warmed(1, 2);
        for (int attempts : new int[] {0, -1}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> s.configure(fewer(
                            SchedulerScript.settings(8, false, 1),
                            attempts,
                            DeliveryScheduler.Idempotency.NON_IDEMPOTENT)));
        }
        s.arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .pass(100_000)
                .end(1, AttemptOutcome.ERROR)
                .turn()
                .pass(100_000);
        assertTrue(s.isOut(1), "the class had changed");
    }

    @Test
    void countsWhomItAvoids() {
        SchedulerScript s = warmed(1, 2);
        assertEquals(0, s.avoided());
        s.arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.CONNECT_FAILED)
                .turn();
        assertEquals(0, s.avoided(), "one failure is chance");
        s.pass(500_000).end(1, AttemptOutcome.CONNECT_FAILED).turn();
        assertEquals(2, s.avoided());
    }

    // ---- Taking over from a process that still runs. ----

    private static Event resumed(long id, int type, long key) {
        return new Event.MessageRecovered(id, type, key, 10_000_000, 1, 0, -1, 0, false);
    }

    private static Event ended(long id, AttemptOutcome ending) {
        return new Event.AttemptCompleted(id, 0, 10, ending, 60_000, ending == AttemptOutcome.OK, 0, List.of());
    }

    @Test
    void aCallOfTheOtherProcessHoldsItsSlotAndIsNotMadeAgain() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(1, false, 1)).list(1, 1);
        s.with(resumed(1, SchedulerScript.UNSAFE, 0))
                .with(new Event.CallInFlight(List.of(1L), 10, 50_000))
                .turn();
        s.arrive(2, SchedulerScript.SAFE, 1).turn().pass(50_000);
        assertEquals(List.of(), s.sends);
        s.with(ended(1, AttemptOutcome.OK)).turn();
        assertTrue(s.isOut(2));
        assertEquals(1, s.sends.size());
    }

    /** Both messages of one call: one slot, and free only when both have been told. */
    @Test
    void severalMessagesOfOneCallShareItsSlot() {
        SchedulerScript s = new SchedulerScript(SchedulerScript.settings(2, false, 2))
                .list(1, 1)
                .list(2, 2);
        s.with(resumed(1, SchedulerScript.UNSAFE, 0))
                .with(resumed(2, SchedulerScript.UNSAFE, 0))
                .with(new Event.CallInFlight(List.of(1L, 2L), 10, 50_000))
                .turn();
        s.arrive(3, SchedulerScript.SAFE, 2).arrive(4, SchedulerScript.SAFE, 2).turn();
        assertEquals(
                1,
                s.sends.stream()
                        .filter(send -> s.isOut(send.id()))
                        .map(SchedulerScript.Send::endpoint)
                        .distinct()
                        .count());
        s.with(ended(1, AttemptOutcome.OK))
                .turn()
                .with(ended(2, AttemptOutcome.OK))
                .turn();
        s.arrive(5, SchedulerScript.SAFE, 1).turn();
        assertTrue(s.isOut(5), "the slot did not come back");
    }

    @Test
    void aCallOfTheOtherProcessHoldsItsKeysTurn() {
        SchedulerScript s = script().list(1, 2);
        s.with(resumed(1, SchedulerScript.ORDERED, 5))
                .with(new Event.CallInFlight(List.of(1L), 10, 0))
                .turn();
        s.arrive(2, SchedulerScript.ORDERED, 1, 5).turn().pass(100_000);
        assertFalse(s.isOut(2));
        s.with(ended(1, AttemptOutcome.OK)).turn();
        assertTrue(s.isOut(2));
    }

    @Test
    void aKeyRestsOnAndWaitsForANoticeThatIsOwed() {
        SchedulerScript s = script().list(1, 2);
        s.with(new Event.KeyPaused(new DeliveryScheduler.KeyPause(5, 80_000, 0)))
                .with(new Event.CompletedMessageRecovered(9, 6))
                .turn();
        assertEquals(List.of(new DeliveryScheduler.KeyPause(5, 80_000, 0)), s.rests());
        s.arrive(1, SchedulerScript.ORDERED, 1, 5)
                .arrive(2, SchedulerScript.ORDERED, 1, 6)
                .turn()
                .pass(70_000);
        assertFalse(s.isOut(1) || s.isOut(2));
        s.pass(20_000);
        assertTrue(s.isOut(1));
        s.end(1, AttemptOutcome.OK).turn();
        assertFalse(s.isOut(2));
        s.with(new Event.CompletionAcknowledged(9)).turn();
        assertTrue(s.isOut(2));
    }

    @Test
    void whatWasLearnedBindsTheNextProcess() {
        SchedulerScript before = warmed(1, 2);
        before.arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.FULL, 900_000)
                .turn();
        List<DeliveryScheduler.UpstreamSnapshot> learned = before.learned();
        SchedulerScript after = script().list(1, 2);
        learned.forEach(l -> after.with(new Event.UpstreamStateTransferred(l)));
        after.arrive(2, SchedulerScript.SAFE, 1).turn().pass(850_000);
        assertFalse(after.isOut(2), "the told wait is not kept");
        after.pass(900_000);
        assertTrue(after.isOut(2));
        List<DeliveryScheduler.UpstreamSnapshot> again = script().list(1, 2)
                .with(new Event.UpstreamStateTransferred(learned.get(0)))
                .turn()
                .learned();
        // How long a place has been well is not kept: nothing depends on it.
        assertEquals(
                learned.stream().map(AtcDeliverySchedulerTest::sinceEver).toList(),
                again.stream().map(AtcDeliverySchedulerTest::sinceEver).toList());
    }

    private static DeliveryScheduler.UpstreamSnapshot sinceEver(DeliveryScheduler.UpstreamSnapshot l) {
        DeliveryScheduler.HealthCheckpoint m = l.checkpoint();
        return new DeliveryScheduler.UpstreamSnapshot(
                new DeliveryScheduler.HealthCheckpoint(
                        m.destination(), m.endpoint(), m.status(), 0, m.callsPerSecond(), m.usualLatencyMicros()),
                l.retryAfterMicros(),
                l.backoffMicros(),
                l.pacePerSecond(),
                l.sinceRejectionMicros(),
                l.sinceSuccessMicros(),
                l.presentLatencyMicros(),
                l.expectedServiceMicros(),
                l.successProbability(),
                l.sentPerSecond(),
                l.servedPerSecond(),
                l.reportedLimit(),
                l.failureRatio());
    }

    @Test
    void anOutagePassesOn() {
        SchedulerScript before = warmed(1, 1);
        before.arrive(1, SchedulerScript.SAFE, 1)
                .turn()
                .end(1, AttemptOutcome.CONNECT_FAILED)
                .turn()
                .pass(600_000);
        while (before.avoided() == 0) {
            before.end(1, AttemptOutcome.CONNECT_FAILED).turn().pass(600_000);
        }
        SchedulerScript after = script().list(1, 1);
        before.learned().forEach(l -> after.with(new Event.UpstreamStateTransferred(l)));
        after.turn();
        assertEquals(1, after.avoided());
        assertEquals(0, script().list(1, 1).turn().avoided());
    }
}
