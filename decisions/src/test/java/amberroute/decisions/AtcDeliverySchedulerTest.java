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

/** Tests each rule of the scheduler in a scripted situation. */
class AtcDeliverySchedulerTest {
    private static SchedulerScript script() {
        return new SchedulerScript(SchedulerScript.settings(8, false, 1));
    }

    /** Returns a script with ten quick answers, one after the other, so that the usual latency is known. */
    private static SchedulerScript scriptWithMeasuredLatency(int destination, int endpoints) {
        SchedulerScript script = script().listEndpoints(destination, endpoints);
        for (int i = 0; i < 10; i++) {
            script.submit(1000 * destination + i, SchedulerScript.IDEMPOTENT, destination)
                    .decide();
            script.advance(200_000)
                    .complete(1000 * destination + i, AttemptOutcome.OK)
                    .decide();
        }
        return script;
    }

    /** Maximum number of lines in a source file of the module. */
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
                    file + " imports classes for input or output");
        }
    }

    /** Advances the time and answers each call after 50 ms. */
    private static void advanceAnsweringCalls(SchedulerScript script, long spanMicros) {
        int answeredCount = script.sends.size();
        for (long end = script.now + spanMicros; script.now < end; ) {
            script.advance(50_000);
            List<SchedulerScript.Send> unanswered =
                    List.copyOf(script.sends.subList(answeredCount, script.sends.size()));
            for (SchedulerScript.Send send : unanswered) {
                if (script.now - send.at() >= 50_000) {
                    script.complete(send.id(), AttemptOutcome.OK).decide();
                    answeredCount++;
                }
            }
        }
    }

    /** Priority weights of the message classes: 3 idempotent, 1 keyed, 4 non-idempotent, 1 ordered. */
    @Test
    void messageBelowTheAdmissionPriceIsRejected() {
        SchedulerScript script = script().listEndpoints(1, 1);
        script.add(new Event.AdmissionPriceChanged(1, 2, 2.4, 1, 500_000)).decide();
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .submit(2, SchedulerScript.KEYED, 1)
                .submit(3, SchedulerScript.NON_IDEMPOTENT, 1)
                .submit(4, SchedulerScript.KEYED, 2)
                .decide();
        assertEquals(List.of(2L), script.rejected);
        // Of the messages at the price a share is admitted: all messages of a key or none of them.
        script.add(new Event.AdmissionPriceChanged(1, 0.9, 1.1, 0.5, 500_000)).decide();
        script.rejected.clear();
        for (long id = 100; id < 140; id++) {
            script.submit(id, SchedulerScript.ORDERED, 1, 1 + id % 10);
        }
        script.decide();
        assertTrue(script.rejected.size() >= 8 && script.rejected.size() <= 32, script.rejected.toString());
        assertEquals(0, script.rejected.size() % 4);
        assertTrue(
                script.rejected.stream().allMatch(id -> script.rejected.contains(100 + (id - 100) % 10)),
                script.rejected.toString());
        // The price is withdrawn.
        script.add(Event.AdmissionPriceChanged.NONE)
                .add(new Event.AdmissionPriceChanged(1, 0, 0, 1, 0))
                .decide();
        script.rejected.clear();
        script.submit(200, SchedulerScript.KEYED, 1).decide();
        assertEquals(List.of(), script.rejected);
    }

    /** Under a fleet rate limit messages are sent at even intervals; once it is lifted, they are sent at once. */
    @Test
    void messagesUnderAFleetRateLimitLeaveEvenly() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        int sendsBefore = script.sends.size();
        script.add(new Event.FleetRateLimitChanged(1, 2, 0.5, false)).decide();
        for (int i = 1; i <= 6; i++) {
            script.submit(i, SchedulerScript.IDEMPOTENT, 1).decide();
        }
        long from = script.now;
        advanceAnsweringCalls(script, 2_000_000);
        List<SchedulerScript.Send> sent = script.sends.subList(sendsBefore, script.sends.size());
        assertEquals(
                List.of(250_000L, 750_000L, 1_250_000L, 1_750_000L),
                sent.stream().map(send -> send.at() - from).toList());
        script.add(new Event.FleetRateLimitChanged(1, 0, 0, false)).decide();
        advanceAnsweringCalls(script, 1_000_000);
        assertEquals(sendsBefore + 4, script.sends.size());
        script.add(new Event.FleetRateLimitChanged(1, Double.POSITIVE_INFINITY, 0, false))
                .decide();
        assertEquals(sendsBefore + 6, script.sends.size());
    }

    /** A call with several messages is charged for each of them. */
    @Test
    void fleetRateLimitChargesEachMessageOfACall() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(8, false, 5)).listEndpoints(1, 1);
        script.submit(100, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(50_000)
                .complete(100, AttemptOutcome.OK)
                .decide();
        int sendsBefore = script.sends.size();
        script.add(new Event.FleetRateLimitChanged(1, 1, 1, false)).decide();
        for (int i = 1; i <= 5; i++) {
            script.submit(i, SchedulerScript.IDEMPOTENT, 1);
        }
        script.decide();
        advanceAnsweringCalls(script, 3_500_000);
        assertEquals(4, script.sends.size() - sendsBefore);
    }

    /** If another sender was answered, the destination is tried at once, not when this sender's own trial is due. */
    @Test
    void recoverySeenByAnotherSenderBringsTheNextTrialForward() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1).decide();
        int failedAttempts = 0;
        for (int i = 0; i < 80; i++) {
            int sendCount = script.sends.size();
            if (sendCount > failedAttempts + 10) {
                script.complete(1, AttemptOutcome.CONNECT_FAILED).decide();
                failedAttempts++;
            }
            script.advance(50_000);
        }
        // The last call is in flight or completed; this sender's own next trial would come later.
        if (script.sends.size() > failedAttempts + 10) {
            script.complete(1, AttemptOutcome.CONNECT_FAILED).decide();
        }
        script.submit(2, SchedulerScript.IDEMPOTENT, 1).decide();
        if (script.isInFlight(2)) {
            script.complete(2, AttemptOutcome.CONNECT_FAILED).decide();
        }
        int sendsBefore = script.sends.size();
        script.decide();
        assertEquals(sendsBefore, script.sends.size(), "a trial was due without the other sender's recovery");
        script.add(new Event.FleetRateLimitChanged(1, 100, 1, true)).decide();
        assertEquals(sendsBefore + 1, script.sends.size());
    }

    @Test
    void messageWithTheHigherIndexIsSentFirst() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.KEYED, 1)
                .submit(2, SchedulerScript.NON_IDEMPOTENT, 1)
                .submit(3, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        script.advance(100_000)
                .complete(2, AttemptOutcome.OK)
                .decide()
                .complete(3, AttemptOutcome.OK)
                .decide();
        assertEquals(
                List.of(2L, 3L, 1L),
                script.sends.stream()
                        .map(SchedulerScript.Send::id)
                        .filter(id -> id < 100)
                        .toList());
    }

    @Test
    void messageWithALongerWaitThanTimeLeftIsRejectedAtOnce() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        for (int i = 0; i < 40; i++) {
            script.submit(1 + i, SchedulerScript.IDEMPOTENT, 1);
        }
        script.decide().advance(12_000_000);
        script.submit(100, SchedulerScript.KEYED, 1).decide();
        assertTrue(
                script.rejected.contains(100L), "not rejected at once, although the destination has long been silent");
    }

    @Test
    void messageWithoutEndpointIsRejectedInTime() {
        SchedulerScript script =
                script().submit(1, SchedulerScript.NON_IDEMPOTENT, 9).decide().advance(17_000_000);
        assertEquals(List.of(1L), script.rejected);
    }

    @Test
    void retryAfterOfOneEndpointHoldsBackTheWholeDestination() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.FULL, 900_000)
                .submit(2, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        assertFalse(script.isInFlight(2));
        script.advance(1_500_000);
        assertTrue(script.isInFlight(1) || script.isInFlight(2));
    }

    @Test
    void nonIdempotentMessageIsNotRetriedAndKeyedOneOnlyWithinItsKeyLife() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.NON_IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.ERROR)
                .decide()
                .advance(100_000);
        script.submit(2, SchedulerScript.KEYED, 1)
                .decide()
                .complete(2, AttemptOutcome.RESET)
                .decide()
                .advance(16_100_000);
        assertEquals(List.of(1L), script.failed);
        assertEquals(1, script.sends.stream().filter(send -> send.id() == 1).count());
        assertTrue(script.sends.stream().filter(send -> send.id() == 2).count() > 1);
    }

    @Test
    void nonIdempotentMessageThatDidNotRunIsRetriedAtAnotherEndpoint() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        script.submit(1, SchedulerScript.NON_IDEMPOTENT, 1).decide();
        long firstEndpoint = script.lastSend(1).endpoint();
        script.complete(1, AttemptOutcome.CONNECT_FAILED).decide();
        assertNotEquals(firstEndpoint, script.lastSend(1).endpoint(), "the retry went to the same endpoint");
    }

    @Test
    void messagesOfAKeyAreSentInOrderAndPauseAfterAnUnknownOutcome() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.ORDERED, 1, 77)
                .submit(2, SchedulerScript.ORDERED, 1, 77)
                .decide();
        assertTrue(script.isInFlight(1) && !hasSent(script, 2));
        script.add(new Event.MessageCancelled(1)).decide();
        assertFalse(hasSent(script, 2), "sent while the earlier attempt was in flight");
        script.complete(1, AttemptOutcome.RESET);
        script.add(new Event.MessageCancelled(1)).decide();
        assertFalse(hasSent(script, 2), "sent while the key was paused");
    }

    private static boolean hasSent(SchedulerScript script, long id) {
        return script.sends.stream().anyMatch(send -> send.id() == id);
    }

    @Test
    void drainingOrGoneEndpointGetsNoNewCalls() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2).changeEndpoint(1, 0, EndpointState.DRAINING);
        for (int i = 1; i < 6; i++) {
            script.submit(i, SchedulerScript.IDEMPOTENT, 1).decide();
        }
        script.changeEndpoint(1, 1, EndpointState.GONE)
                .submit(9, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        assertFalse(hasSent(script, 9));
    }

    /** Regression: calls without an answer held all slots until they timed out. */
    @Test
    void silentCallsOpenTheBreakerAndFreeTheirSlots() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        for (int i = 1; i <= 6; i++) {
            script.submit(i, SchedulerScript.IDEMPOTENT, 1);
        }
        script.decide().advance(2_500_000);
        assertFalse(script.cancelled.isEmpty(), "no silent call was cancelled");
        long before = script.now;
        script.advance(5_000_000);
        assertTrue(script.sendsTo(1, before) <= 6, "more calls than single trials: " + script.sendsTo(1, before));
    }

    @Test
    void oneSilentEndpointDoesNotBlockItsSibling() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .submit(2, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        long silentEndpoint = script.lastSend(1).endpoint();
        script.complete(2, AttemptOutcome.OK).decide().advance(3_000_000);
        for (int i = 3; i < 10; i++) {
            script.submit(i, SchedulerScript.IDEMPOTENT, 1).decide();
            assertNotEquals(silentEndpoint, script.lastSend(i).endpoint());
            script.advance(100_000).complete(i, AttemptOutcome.OK).decide();
        }
    }

    @Test
    void oneErrorDoesNotOpenTheBreaker() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.ERROR)
                .decide();
        script.submit(2, SchedulerScript.IDEMPOTENT, 1)
                .submit(3, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        assertTrue(script.isInFlight(2) && script.isInFlight(3));
    }

    @Test
    void destinationGetsFewCallsInTheSlowStartAfterAnOutage() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        for (int i = 1; i <= 20; i++) {
            script.submit(i, SchedulerScript.IDEMPOTENT, 1).decide();
            if (script.sends.stream().anyMatch(send -> send.id() == lastSentMessage(script))
                    && script.isInFlight(lastSentMessage(script))) {
                script.complete(lastSentMessage(script), AttemptOutcome.CONNECT_FAILED)
                        .decide();
            }
            script.advance(300_000);
        }
        script.advance(3_000_000);
        while (script.sends.stream().noneMatch(send -> script.isInFlight(send.id()))) {
            script.advance(100_000);
        }
        script.complete(lastSentMessage(script), AttemptOutcome.OK).decide();
        long from = script.now;
        for (int i = 0; i < 30; i++) {
            script.advance(100_000);
            while (script.sends.stream().anyMatch(send -> script.isInFlight(send.id()))) {
                script.complete(lastSentMessage(script), AttemptOutcome.OK).decide();
            }
        }
        assertTrue(script.sendsTo(1, from) <= 6, "calls in the first three seconds: " + script.sendsTo(1, from));
    }

    /** Returns the message of the latest attempt. */
    private static long lastSentMessage(SchedulerScript script) {
        return script.sends.get(script.sends.size() - 1).id();
    }

    /** Regression: many senders with little traffic used up a destination's limit with rejected calls. */
    @Test
    void backoffGrowsWhileADestinationRejects() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1).decide();
        for (int i = 0; i < 2_000 && !script.rejected.contains(1L); i++) {
            if (script.isInFlight(1)) {
                script.complete(1, AttemptOutcome.FULL).decide();
            }
            script.advance(5_000);
        }
        assertTrue(script.sends.stream().filter(send -> send.id() == 1).count() <= 8);
    }

    @Test
    void oneCallCarriesSeveralMessagesInOneSlot() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(1, false, 3)).listEndpoints(1, 1);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .submit(2, SchedulerScript.IDEMPOTENT, 1)
                .submit(3, SchedulerScript.IDEMPOTENT, 1);
        script.submit(4, SchedulerScript.IDEMPOTENT, 1).decide();
        assertEquals(3, script.sends.size());
    }

    /**
     * Regression: idle connections of hundreds of senders filled the connection tables of destinations that each sender rarely
     * called.
     */
    @Test
    void idleConnectionsAreClosedWhereConnectionTablesAreFull() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        assertEquals(List.of(), script.closedEndpoints, "closed although connections were available");
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.CONNECT_FAILED)
                .decide()
                .advance(3_000_000);
        script.complete(1, AttemptOutcome.OK).decide().advance(20_000_000);
        script.submit(2, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(200_000)
                .complete(2, AttemptOutcome.OK)
                .decide();
        int closedBefore = script.closedEndpoints.size();
        assertTrue(closedBefore > 0, "a connection stayed open that was idle longer than its life");
        script.advance(200_000)
                .submit(3, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(200_000)
                .complete(3, AttemptOutcome.OK)
                .decide();
        assertEquals(closedBefore, script.closedEndpoints.size(), "closed between calls in quick succession");
    }

    /** Regression: connections were dropped unnoticed while idle, and calls on them were lost. */
    @Test
    void connectionsThatFailAfterIdlingAreNotReused() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1).listEndpoints(2, 1);
        for (int i = 1; i <= 12; i++) {
            script.advance(1_500_000)
                    .submit(i, SchedulerScript.NON_IDEMPOTENT, 1)
                    .decide()
                    .advance(100_000);
            if (script.sends.stream().anyMatch(send -> send.id() < 100) && script.isInFlight(i)) {
                script.complete(i, AttemptOutcome.RESET).decide();
            }
            script.submit(100 + i, SchedulerScript.IDEMPOTENT, 1).decide();
            for (int tick = 0; tick < 40; tick++) {
                script.advance(100_000);
                for (long id : List.of((long) i, 100L + i)) {
                    if (script.isInFlight(id)) {
                        script.complete(id, AttemptOutcome.OK).decide();
                    }
                }
            }
        }
        script.submit(50, SchedulerScript.IDEMPOTENT, 1).decide();
        assertFalse(script.closedEndpoints.isEmpty(), "the idle connection was not closed before its next use");
    }

    /** Regression: with three slots, two silent non-idempotent calls blocked a sender until their deadline. */
    @Test
    void silentNonIdempotentCallIsCancelledWhenAnotherMessageNeedsItsSlot() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(2, false, 1))
                .listEndpoints(1, 1)
                .listEndpoints(2, 1);
        script.submit(1, SchedulerScript.NON_IDEMPOTENT, 1)
                .submit(2, SchedulerScript.NON_IDEMPOTENT, 1)
                .decide()
                .advance(8_000_000);
        assertTrue(script.cancelled.isEmpty(), "cancelled although no message waited");
        script.submit(3, SchedulerScript.IDEMPOTENT, 2).decide().advance(100_000);
        assertTrue(script.isInFlight(3), "no slot was freed");
        assertEquals(1, script.cancelled.size());
    }

    /** Regression: a slow start that only an answer could end blocked a destination for senders that rarely called it. */
    @Test
    void slowStartEndsWithoutTraffic() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .submit(2, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.CONNECT_FAILED)
                .decide();
        script.complete(2, AttemptOutcome.CONNECT_FAILED).decide().advance(1_000_000);
        for (int i = 0; i < 120; i++) {
            for (long id : List.of(1L, 2L)) {
                if (script.isInFlight(id)) {
                    script.complete(id, AttemptOutcome.OK).decide();
                }
            }
            script.advance(100_000);
        }
        script.submit(5, SchedulerScript.IDEMPOTENT, 1)
                .submit(6, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        assertTrue(script.isInFlight(5) && script.isInFlight(6));
    }

    /** Regression: with one call in tens of seconds, an outage was over before a second failure was seen. */
    @Test
    void oneFailureOpensTheBreakerWhereNoSuccessIsRecent() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.advance(20_000_000)
                .submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.ERROR)
                .decide();
        script.submit(2, SchedulerScript.IDEMPOTENT, 1)
                .submit(3, SchedulerScript.IDEMPOTENT, 1)
                .decide();
        assertFalse(script.isInFlight(2) || script.isInFlight(3));
    }

    /** Regression: messages made a dozen attempts each, and hundreds of senders overloaded the destination. */
    @Test
    void messageMakesFewAttemptsAtADestinationThatRejects() {
        SchedulerScript script = new SchedulerScript(settingsOfThreeHundredSenders(7)).listEndpoints(1, 1);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1).decide();
        while (!script.rejected.contains(1L)) {
            if (script.isInFlight(1)) {
                script.complete(1, AttemptOutcome.FULL).decide();
            }
            script.advance(5_000);
        }
        assertTrue(script.sends.size() <= 3, "attempts: " + script.sends.size());
    }

    /** Regression: a burst that was rejected at hundreds of senders was retried at once and overloaded the destination. */
    @Test
    void rejectedSendersRetryFarApart() {
        TreeSet<Long> retryDelaysMicros = new TreeSet<>();
        for (int seed = 1; seed <= 20; seed++) {
            SchedulerScript script = new SchedulerScript(settingsOfThreeHundredSenders(seed)).listEndpoints(1, 1);
            script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                    .decide()
                    .complete(1, AttemptOutcome.OK)
                    .decide();
            script.submit(2, SchedulerScript.IDEMPOTENT, 1)
                    .decide()
                    .complete(2, AttemptOutcome.FULL)
                    .decide();
            while (script.sends.size() < 3 && script.rejected.isEmpty()) {
                script.advance(50_000);
            }
            retryDelaysMicros.add(script.now - SchedulerScript.START);
        }
        assertTrue(retryDelaysMicros.first() >= 8_000_000, "retried too soon: " + retryDelaysMicros);
        assertTrue(
                retryDelaysMicros.last() - retryDelaysMicros.first() > 4_000_000 && retryDelaysMicros.size() > 12,
                "retried too close together: " + retryDelaysMicros);
    }

    /** Returns the settings of one of three hundred senders. */
    private static DeliveryScheduler.Settings settingsOfThreeHundredSenders(long seed) {
        return SchedulerScript.settings(seed, 300, 4, new DeliveryScheduler.ReportFields(-1, -1));
    }

    @Test
    void failedSubscriptionIsRenewed() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(4, true, 1)).decide();
        assertEquals(1, script.subscriptions);
        script.add(new Event.EndpointListUpdated(EndpointListKind.FAILED, List.of()))
                .decide()
                .advance(1_000_000);
        assertEquals(2, script.subscriptions);
    }

    @Test
    void settingsOutOfRangeAreRejected() {
        assertThrows(
                IllegalArgumentException.class, () -> new AtcDeliveryScheduler(SchedulerScript.settings(0, false, 1)));
    }

    @Test
    void eventsOfUnknownMessagesAreIgnored() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.add(new Event.AttemptCompleted(999, 0, 5, AttemptOutcome.UNKNOWN, 1, false, 0, List.of()));
        script.add(new Event.MessageCancelled(999))
                .add(new Event.TimerExpired(4))
                .add(new Event.StreamStarted(1, 2));
        script.add(new Event.EndpointListUpdated(EndpointListKind.FULL, List.of()))
                .decide()
                .advance(100_000);
        assertTrue(script.failed.isEmpty());
    }

    /** Long random scenarios keep the rules that the script asserts, and a repetition gives the same actions. */
    @Test
    void randomScenariosKeepTheRulesAndAreReproducible() {
        for (int seed = 1; seed <= 20; seed++) {
            assertEquals(runRandomScenario(seed), runRandomScenario(seed));
        }
    }

    /** Schedulers share no state: a step of one between the steps of another changes neither. */
    @Test
    void interleavedSchedulersDoNotAffectEachOther() {
        SchedulerScript alone = script().listEndpoints(1, 2);
        SchedulerScript first = script().listEndpoints(1, 2);
        SchedulerScript second = script().listEndpoints(1, 2);
        for (int i = 0; i < 40; i++) {
            for (SchedulerScript script : List.of(alone, first, second)) {
                script.submit(i, i % 3, 1).advance(40_000);
                if (script.isInFlight(i)) {
                    script.complete(i, i % 5 == 0 ? AttemptOutcome.FULL : AttemptOutcome.OK)
                            .decide();
                }
            }
        }
        assertFalse(alone.sends.isEmpty());
        assertEquals(alone.sends, first.sends);
        assertEquals(alone.sends, second.sends);
    }

    private static List<SchedulerScript.Send> runRandomScenario(int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(4, false, 1 + seed % 3))
                .listEndpoints(1, 2)
                .listEndpoints(2, 1)
                .listEndpoints(3, 3);
        AttemptOutcome[] outcomes = AttemptOutcome.values();
        for (int i = 0; i < 300; i++) {
            script.submit(i, random.nextInt(4), 1 + random.nextInt(3), 1 + random.nextInt(5));
            script.advance(5_000L * random.nextInt(1, 40));
            for (SchedulerScript.Send send : List.copyOf(script.sends)) {
                if (script.isInFlight(send.id()) && script.lastSend(send.id()) == send && random.nextInt(3) > 0) {
                    AttemptOutcome outcome = outcomes[random.nextInt(2) * random.nextInt(outcomes.length)];
                    script.complete(send.id(), outcome, outcome == AttemptOutcome.FULL ? random.nextInt(1_000_000) : 0);
                }
            }
            script.decide();
        }
        script.advance(20_000_000);
        return script.sends;
    }

    /** A call has one connection, so its messages time out together and none outlives its due date. */
    @Test
    void messagesOfOneCallTimeOutTogether() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(1, false, 5)).listEndpoints(1, 1);
        script.submit(9, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(50_000)
                .complete(9, AttemptOutcome.OK)
                .decide();
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .submit(2, SchedulerScript.NON_IDEMPOTENT, 1)
                .submit(3, SchedulerScript.KEYED, 1)
                .decide();
        assertEquals(4, script.sends.size());
        assertEquals(
                1,
                script.sends.stream()
                        .skip(1)
                        .map(SchedulerScript.Send::timeoutAt)
                        .distinct()
                        .count());
        script.advance(16_100_000);
    }

    /** A non-idempotent message is lost if its outcome comes after the end of the process; other messages are recovered. */
    @Test
    void nonIdempotentMessageIsNotSentJustBeforeTheProcessEnds() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.add(new DeliveryScheduler.Event.ShutdownStarted(100_000)).decide();
        script.submit(1, SchedulerScript.NON_IDEMPOTENT, 1)
                .submit(2, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(50_000);
        assertEquals(0, script.sends.stream().filter(send -> send.id() == 1).count());
        assertEquals(1, script.sends.stream().filter(send -> send.id() == 2).count());
    }

    @Test
    void nonIdempotentMessageIsSentLongBeforeTheProcessEnds() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 1);
        script.add(new DeliveryScheduler.Event.ShutdownStarted(3_600_000)).decide();
        script.submit(1, SchedulerScript.NON_IDEMPOTENT, 1).decide();
        assertEquals(1, script.sends.stream().filter(send -> send.id() == 1).count());
    }

    /** If answers are acknowledged, the next message of a key is sent only after the acknowledgement. */
    @Test
    void nextMessageOfAKeyWaitsForTheAcknowledgement() {
        List<Long> sent = new ArrayList<>();
        List<Long> answered = new ArrayList<>();
        DeliveryScheduler.Actions actions = recordingActions(sent, answered);
        AtcDeliveryScheduler scheduler = new AtcDeliveryScheduler(SchedulerScript.settings(4, false, 1), true);
        long now = SchedulerScript.START;
        scheduler.step(
                now,
                new DeliveryScheduler.Event.EndpointListUpdated(
                        EndpointListKind.FULL,
                        List.of(new DeliveryScheduler.EndpointEntry(10, 1, EndpointState.READY, 1, 0, 0))),
                actions);
        scheduler.step(
                now,
                new DeliveryScheduler.Event.MessageSubmitted(1, SchedulerScript.ORDERED, 0, 5, 9_000_000, 2),
                actions);
        scheduler.step(
                now,
                new DeliveryScheduler.Event.MessageSubmitted(2, SchedulerScript.ORDERED, 0, 5, 16_000_000, 1),
                actions);
        scheduler.step(now, new DeliveryScheduler.Event.Decide(), actions);
        scheduler.step(now + 8_900_000, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(1L), answered);
        assertEquals(List.of(), sent);
        scheduler.step(now + 9_000_000, new DeliveryScheduler.Event.CompletionAcknowledged(1), actions);
        scheduler.step(now + 9_000_000, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(2L), sent);
    }

    /**
     * An attempt that was in flight when the process was killed may have run: a non-idempotent message fails, and a keyed
     * message is retried only while its key is remembered.
     */
    @Test
    void recoveredMessagesAreRetriedAsTheirIdempotencyAllows() {
        List<Long> sent = new ArrayList<>();
        List<Long> answered = new ArrayList<>();
        DeliveryScheduler.Actions actions = recordingActions(sent, answered);
        AtcDeliveryScheduler scheduler = new AtcDeliveryScheduler(SchedulerScript.settings(8, false, 1), true);
        long now = SchedulerScript.START;
        scheduler.step(
                now,
                new DeliveryScheduler.Event.EndpointListUpdated(
                        EndpointListKind.CACHED,
                        List.of(new DeliveryScheduler.EndpointEntry(10, 1, EndpointState.READY, 1, 0, 0))),
                actions);
        recover(scheduler, now, 1, SchedulerScript.NON_IDEMPOTENT, 1, 2_000_000, actions);
        recover(scheduler, now, 2, SchedulerScript.NON_IDEMPOTENT, 1, -1, actions);
        recover(scheduler, now, 3, SchedulerScript.KEYED, 1, 2_000_000, actions);
        recover(scheduler, now, 4, SchedulerScript.KEYED, 1, 6_500_000, actions);
        recover(scheduler, now, 5, SchedulerScript.IDEMPOTENT, 1, 9_000_000, actions);
        recover(scheduler, now, 6, SchedulerScript.IDEMPOTENT, 8, -1, actions);
        scheduler.step(now, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(5L), sent, "only the idempotent message serves as the trial");
        scheduler.step(
                now + 50_000,
                new DeliveryScheduler.Event.AttemptCompleted(5, 1, 10, AttemptOutcome.OK, 50_000, true, 0, List.of()),
                actions);
        scheduler.step(now + 50_000, new DeliveryScheduler.Event.Decide(), actions);
        assertEquals(List.of(2L, 3L, 5L), sent.stream().sorted().toList());
        assertEquals(List.of(1L, 4L, 6L), answered.stream().sorted().toList());
    }

    private static void recover(
            AtcDeliveryScheduler scheduler,
            long now,
            long id,
            int messageClass,
            int attempts,
            long unknownOutcomeAgeMicros,
            DeliveryScheduler.Actions actions) {
        scheduler.step(
                now,
                new DeliveryScheduler.Event.MessageRecovered(
                        id,
                        messageClass,
                        0,
                        10_000_000,
                        1,
                        attempts,
                        unknownOutcomeAgeMicros,
                        10,
                        unknownOutcomeAgeMicros >= 0),
                actions);
    }

    private static DeliveryScheduler.Actions recordingActions(List<Long> sent, List<Long> answered) {
        return new DeliveryScheduler.Actions() {
            @Override
            public void send(long id, long endpoint, long timeoutAt) {
                sent.add(id);
            }

            @Override
            public void reject(long id, long retryAfterMicros) {
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
            public void scheduleTimer(long delayMicros, long token) {}

            @Override
            public void subscribe() {}
        };
    }

    // ---- Changes of the settings. ----

    private static DeliveryScheduler.Settings withAttemptsAndIdempotency(
            DeliveryScheduler.Settings settings, int maxAttempts, DeliveryScheduler.Idempotency idempotency) {
        DeliveryScheduler.Limits limits = settings.limits();
        List<DeliveryScheduler.MessageClass> classes = settings.classes().stream()
                .map(messageClass -> new DeliveryScheduler.MessageClass(
                        messageClass.priorityWeight(),
                        messageClass.lateValueShare(),
                        messageClass.latencyObjectiveMicros(),
                        messageClass.deadlineMicros(),
                        idempotency,
                        messageClass.keyScope(),
                        messageClass.keyLifeMicros(),
                        messageClass.ordered()))
                .toList();
        return new DeliveryScheduler.Settings(
                settings.seed(),
                settings.senderCount(),
                settings.zone(),
                settings.tickMicros(),
                settings.endpointListPolled(),
                settings.overQuotaWeightFactor(),
                settings.lateValueDecay(),
                settings.weightKind(),
                classes,
                settings.tenants(),
                settings.kinds(),
                new DeliveryScheduler.Limits(
                        limits.maxConcurrentCalls(),
                        limits.maxPendingMessages(),
                        maxAttempts,
                        limits.parallelAttempts(),
                        limits.cancellationAllowed(),
                        limits.retryAdviceAllowed(),
                        limits.maxRetryAdviceMicros(),
                        limits.callsPerConnection(),
                        limits.idleConnectionLifeMicros(),
                        limits.connectTimeoutMicros()),
                settings.rules(),
                settings.prices(),
                settings.reportFields());
    }

    @Test
    void pendingMessageKeepsItsClassAfterASettingsChange() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1).decide();
        script.add(new Event.SettingsChanged(withAttemptsAndIdempotency(
                        SchedulerScript.settings(8, false, 1), 12, DeliveryScheduler.Idempotency.NON_IDEMPOTENT)))
                .decide();
        script.advance(100_000).complete(1, AttemptOutcome.ERROR).decide().advance(100_000);
        assertTrue(script.isInFlight(1), "the idempotent message was not retried");
        script.complete(1, AttemptOutcome.OK)
                .submit(2, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(100_000)
                .complete(2, AttemptOutcome.ERROR)
                .decide();
        assertTrue(script.failed.contains(2L), "the non-idempotent message was not failed");
    }

    @Test
    void messageAtALoweredAttemptLimitIsRejected() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(100_000)
                .complete(1, AttemptOutcome.ERROR);
        script.add(new Event.SettingsChanged(withAttemptsAndIdempotency(
                        SchedulerScript.settings(8, false, 1), 1, DeliveryScheduler.Idempotency.IDEMPOTENT)))
                .decide();
        assertEquals(List.of(1L), script.rejected);
    }

    @Test
    void settingsOutOfRangeChangeNothing() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        for (int maxAttempts : new int[] {0, -1}) {
            assertThrows(
                    IllegalArgumentException.class,
                    () -> script.configure(withAttemptsAndIdempotency(
                            SchedulerScript.settings(8, false, 1),
                            maxAttempts,
                            DeliveryScheduler.Idempotency.NON_IDEMPOTENT)));
        }
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .advance(100_000)
                .complete(1, AttemptOutcome.ERROR)
                .decide()
                .advance(100_000);
        assertTrue(script.isInFlight(1), "the message class had changed");
    }

    @Test
    void failedEndpointsAreCountedAsAvoided() {
        SchedulerScript script = scriptWithMeasuredLatency(1, 2);
        assertEquals(0, script.avoidedEndpoints());
        script.submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.CONNECT_FAILED)
                .decide();
        assertEquals(0, script.avoidedEndpoints(), "avoided after a single failure");
        script.advance(500_000).complete(1, AttemptOutcome.CONNECT_FAILED).decide();
        assertEquals(2, script.avoidedEndpoints());
    }

    // ---- Transfer from a process that is still running. ----

    private static Event messageRecovered(long id, int messageClass, long key) {
        return new Event.MessageRecovered(id, messageClass, key, 10_000_000, 1, 0, -1, 0, false);
    }

    private static Event attemptCompleted(long id, AttemptOutcome outcome) {
        return new Event.AttemptCompleted(id, 0, 10, outcome, 60_000, outcome == AttemptOutcome.OK, 0, List.of());
    }

    @Test
    void transferredCallKeepsItsSlotAndIsNotRetried() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(1, false, 1)).listEndpoints(1, 1);
        script.add(messageRecovered(1, SchedulerScript.NON_IDEMPOTENT, 0))
                .add(new Event.CallInFlight(List.of(1L), 10, 50_000))
                .decide();
        script.submit(2, SchedulerScript.IDEMPOTENT, 1).decide().advance(50_000);
        assertEquals(List.of(), script.sends);
        script.add(attemptCompleted(1, AttemptOutcome.OK)).decide();
        assertTrue(script.isInFlight(2));
        assertEquals(1, script.sends.size());
    }

    /** Two messages of one call use one slot, which is free only when both have their outcomes. */
    @Test
    void messagesOfATransferredCallShareItsSlot() {
        SchedulerScript script = new SchedulerScript(SchedulerScript.settings(2, false, 2))
                .listEndpoints(1, 1)
                .listEndpoints(2, 2);
        script.add(messageRecovered(1, SchedulerScript.NON_IDEMPOTENT, 0))
                .add(messageRecovered(2, SchedulerScript.NON_IDEMPOTENT, 0))
                .add(new Event.CallInFlight(List.of(1L, 2L), 10, 50_000))
                .decide();
        script.submit(3, SchedulerScript.IDEMPOTENT, 2)
                .submit(4, SchedulerScript.IDEMPOTENT, 2)
                .decide();
        assertEquals(
                1,
                script.sends.stream()
                        .filter(send -> script.isInFlight(send.id()))
                        .map(SchedulerScript.Send::endpoint)
                        .distinct()
                        .count());
        script.add(attemptCompleted(1, AttemptOutcome.OK))
                .decide()
                .add(attemptCompleted(2, AttemptOutcome.OK))
                .decide();
        script.submit(5, SchedulerScript.IDEMPOTENT, 1).decide();
        assertTrue(script.isInFlight(5), "the slot was not freed");
    }

    @Test
    void transferredCallBlocksItsKey() {
        SchedulerScript script = script().listEndpoints(1, 2);
        script.add(messageRecovered(1, SchedulerScript.ORDERED, 5))
                .add(new Event.CallInFlight(List.of(1L), 10, 0))
                .decide();
        script.submit(2, SchedulerScript.ORDERED, 1, 5).decide().advance(100_000);
        assertFalse(script.isInFlight(2));
        script.add(attemptCompleted(1, AttemptOutcome.OK)).decide();
        assertTrue(script.isInFlight(2));
    }

    @Test
    void transferredPauseAndMissingAcknowledgementBlockTheirKeys() {
        SchedulerScript script = script().listEndpoints(1, 2);
        script.add(new Event.KeyPaused(new DeliveryScheduler.KeyPause(5, 80_000, 0)))
                .add(new Event.CompletedMessageRecovered(9, 6))
                .decide();
        assertEquals(List.of(new DeliveryScheduler.KeyPause(5, 80_000, 0)), script.pausedKeys());
        script.submit(1, SchedulerScript.ORDERED, 1, 5)
                .submit(2, SchedulerScript.ORDERED, 1, 6)
                .decide()
                .advance(70_000);
        assertFalse(script.isInFlight(1) || script.isInFlight(2));
        script.advance(20_000);
        assertTrue(script.isInFlight(1));
        script.complete(1, AttemptOutcome.OK).decide();
        assertFalse(script.isInFlight(2));
        script.add(new Event.CompletionAcknowledged(9)).decide();
        assertTrue(script.isInFlight(2));
    }

    @Test
    void transferredRetryAfterIsObeyedByTheNextProcess() {
        SchedulerScript previousProcess = scriptWithMeasuredLatency(1, 2);
        previousProcess
                .submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.FULL, 900_000)
                .decide();
        List<DeliveryScheduler.UpstreamSnapshot> snapshots = previousProcess.snapshots();
        SchedulerScript nextProcess = script().listEndpoints(1, 2);
        snapshots.forEach(snapshot -> nextProcess.add(new Event.UpstreamStateTransferred(snapshot)));
        nextProcess.submit(2, SchedulerScript.IDEMPOTENT, 1).decide().advance(850_000);
        assertFalse(nextProcess.isInFlight(2), "sent before the transferred Retry-After was over");
        nextProcess.advance(900_000);
        assertTrue(nextProcess.isInFlight(2));
        List<DeliveryScheduler.UpstreamSnapshot> restored = script().listEndpoints(1, 2)
                .add(new Event.UpstreamStateTransferred(snapshots.get(0)))
                .decide()
                .snapshots();
        // How long an upstream has been healthy is not transferred, because nothing depends on it.
        assertEquals(
                snapshots.stream()
                        .map(AtcDeliverySchedulerTest::withoutHealthyTime)
                        .toList(),
                restored.stream()
                        .map(AtcDeliverySchedulerTest::withoutHealthyTime)
                        .toList());
    }

    private static DeliveryScheduler.UpstreamSnapshot withoutHealthyTime(DeliveryScheduler.UpstreamSnapshot snapshot) {
        DeliveryScheduler.HealthCheckpoint checkpoint = snapshot.checkpoint();
        return new DeliveryScheduler.UpstreamSnapshot(
                new DeliveryScheduler.HealthCheckpoint(
                        checkpoint.destination(),
                        checkpoint.endpoint(),
                        checkpoint.status(),
                        0,
                        checkpoint.callsPerSecond(),
                        checkpoint.usualLatencyMicros()),
                snapshot.retryAfterMicros(),
                snapshot.backoffMicros(),
                snapshot.pacePerSecond(),
                snapshot.sinceRejectionMicros(),
                snapshot.sinceSuccessMicros(),
                snapshot.presentLatencyMicros(),
                snapshot.expectedServiceMicros(),
                snapshot.successProbability(),
                snapshot.sentPerSecond(),
                snapshot.servedPerSecond(),
                snapshot.reportedLimit(),
                snapshot.failureRatio());
    }

    @Test
    void transferredOutageKeepsTheEndpointAvoided() {
        SchedulerScript previousProcess = scriptWithMeasuredLatency(1, 1);
        previousProcess
                .submit(1, SchedulerScript.IDEMPOTENT, 1)
                .decide()
                .complete(1, AttemptOutcome.CONNECT_FAILED)
                .decide()
                .advance(600_000);
        while (previousProcess.avoidedEndpoints() == 0) {
            previousProcess.complete(1, AttemptOutcome.CONNECT_FAILED).decide().advance(600_000);
        }
        SchedulerScript nextProcess = script().listEndpoints(1, 1);
        previousProcess.snapshots().forEach(snapshot -> nextProcess.add(new Event.UpstreamStateTransferred(snapshot)));
        nextProcess.decide();
        assertEquals(1, nextProcess.avoidedEndpoints());
        assertEquals(0, script().listEndpoints(1, 1).decide().avoidedEndpoints());
    }
}
