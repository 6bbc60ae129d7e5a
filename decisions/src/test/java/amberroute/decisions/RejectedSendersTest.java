package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.DeliveryScheduler.ReportFields;
import amberroute.testkit.SlowStartBudget;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests senders whose calls a destination rejects: it may be shut as well as busy, and may reject all of them in one instant. */
class RejectedSendersTest {
    private static final int DESTINATION = 1;
    private static final long WINDOW_MICROS = 1_500_000;
    /** Calls in the window right behind a return, for each call a second of the limit, by the rules of {@link SchedulerScript}. */
    private static final double PERMITTED_CALLS_RATIO = 2 * 0.2 * 1.5;

    private static final double SMALL_LIMIT = 2;
    private static final double LARGE_LIMIT = 40;
    private static final double MAX_INFORMED_BUDGET_RATIO = 0.8;
    private static final long WATCHED_MICROS = 12_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final ReportFields REPORTS = new ReportFields(0, 1);

    private static SchedulerScript sender(long seed, int senders, ReportFields reports) {
        return new SchedulerScript(SchedulerScript.settings(seed, senders, 8, reports)).listEndpoints(DESTINATION, 1);
    }

    /** Ends the call in flight. */
    private static void end(
            SchedulerScript script,
            AttemptOutcome outcome,
            long retryAfterMicros,
            List<Double> report,
            long connectionIdleMicros) {
        SchedulerScript.Send send = script.sends.get(script.sends.size() - 1);
        script.ended(send.id(), outcome == AttemptOutcome.OK);
        script.add(new Event.AttemptCompleted(
                        send.id(),
                        send.attempt(),
                        send.endpoint(),
                        outcome,
                        script.now - send.at(),
                        outcome == AttemptOutcome.OK,
                        retryAfterMicros,
                        report,
                        connectionIdleMicros))
                .decide();
    }

    /** Returns when a sender makes its second call, since its first one; no call counts as one at the end of the watched time. */
    private static long secondCallAfterMicros(
            int seed, int senders, ReportFields reports, long retryAfterMicros, List<Double> report) {
        SchedulerScript script = sender(seed, senders, reports);
        script.submit(1, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        end(script, AttemptOutcome.FULL, retryAfterMicros, report, 1);
        while (script.sends.size() < 2 && script.now - SchedulerScript.START < WATCHED_MICROS) {
            script.advance(STEP_MICROS);
        }
        return script.now - SchedulerScript.START;
    }

    /** Asserts that these calls of all senders leave room in the budget of a destination that has just come back. */
    private static void assertRoomInBudget(List<Long> times, double limitPerSecond) {
        List<Long> calls = times.stream().filter(time -> time < WATCHED_MICROS).toList();
        long most = calls.stream()
                .mapToLong(from -> calls.stream()
                        .filter(time -> time >= from && time < from + WINDOW_MICROS)
                        .count())
                .max()
                .orElse(0);
        double room = MAX_INFORMED_BUDGET_RATIO * SlowStartBudget.budget(PERMITTED_CALLS_RATIO * limitPerSecond);
        assertTrue(most <= room, most + " calls of " + times.size() + " senders in a window, " + room + " allowed");
    }

    /** Guards against second calls in one and a half seconds of all senders whose first call was rejected in one instant. */
    @ParameterizedTest
    @ValueSource(longs = {0, 500_000, 2_000_000, 3_000_000})
    void sendersThatAreRejectedFirstDoNotCallTogetherAgain(long retryAfterMicros) {
        List<Long> times = new ArrayList<>();
        for (int seed = 0; seed < 38; seed++) {
            times.add(secondCallAfterMicros(seed, 38, new ReportFields(-1, -1), retryAfterMicros, List.of()));
        }
        assertRoomInBudget(times, SMALL_LIMIT);
    }

    /** Guards against trials of all senders in the instants behind the end of a wait that all of them were told. */
    @Test
    void sendersThatAreToldToWaitMakeNoTrialsTogetherAtItsEnd() {
        List<Long> times = new ArrayList<>();
        for (int seed = 0; seed < 120; seed++) {
            times.add(trialBehindWaitAfterMicros(seed, 120, 3_000_000));
        }
        assertRoomInBudget(times, LARGE_LIMIT);
    }

    /** Returns when a sender that knows the limit makes its trial, since it was told to wait in an outage. */
    private static long trialBehindWaitAfterMicros(int seed, int senders, long retryAfterMicros) {
        SchedulerScript script = sender(seed, senders, REPORTS);
        script.submit(1, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        end(script, AttemptOutcome.OK, 0, List.of(0.9, LARGE_LIMIT), 1);
        script.advance(CircuitBreaker.MIN_OUTAGE_MICROS);
        script.submit(2, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        long rejectedAt = script.now;
        end(script, AttemptOutcome.FULL, retryAfterMicros, List.of(), 1);
        while (script.sends.size() < 3 && script.now - rejectedAt < WATCHED_MICROS) {
            script.advance(STEP_MICROS);
        }
        return script.now - rejectedAt;
    }

    /** Guards against a sender that calls on at its usual pace, since one rejection has not told it enough. */
    @Test
    void firstCallThatIsRejectedOpensTheBreaker() {
        SchedulerScript script = sender(1, 38, REPORTS);
        script.submit(1, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        end(script, AttemptOutcome.FULL, 0, List.of(), 1);
        assertEquals(
                UpstreamStatus.UNAVAILABLE,
                script.snapshots().get(0).checkpoint().status());
    }

    /** Guards against a wait of tens of seconds before a busy destination that tells how much it can take. */
    @Test
    void limitThatComesWithARejectionSetsThePaceOfTrials() {
        int senders = 38;
        long total = 0;
        for (int seed = 0; seed < senders; seed++) {
            total += secondCallAfterMicros(seed, senders, REPORTS, 0, List.of(0.0, LARGE_LIMIT));
        }
        double meanSeconds = total / 1e6 / senders;
        assertTrue(meanSeconds < 5, meanSeconds + " s");
    }

    /** Guards against a backoff from before an answered trial that holds up the slow start behind it. */
    @Test
    void slowStartIsNotHeldUpByTheBackoffBehindRejections() {
        SchedulerScript script = sender(1, 38, REPORTS);
        List<Double> report = List.of(0.0, LARGE_LIMIT);
        for (int id = 1; id <= 4; id++) {
            submitAndAwaitCall(script, id);
            end(script, AttemptOutcome.FULL, 0, report, 1);
        }
        submitAndAwaitCall(script, 5);
        end(script, AttemptOutcome.OK, 0, report, 1);
        long answeredAt = script.now;
        submitAndAwaitCall(script, 6);
        double firstIntervalSeconds = 1 / (0.9 * 2 * 0.2 * 0.75 * LARGE_LIMIT / 38);
        double seconds = (script.now - answeredAt) / 1e6;
        assertTrue(seconds <= firstIntervalSeconds, seconds + " s, " + firstIntervalSeconds + " by the pace");
    }

    private static void submitAndAwaitCall(SchedulerScript script, long id) {
        int calls = script.sends.size();
        script.submit(id, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        for (long waited = 0; script.sends.size() == calls && waited < 3 * WATCHED_MICROS; waited += STEP_MICROS) {
            script.advance(STEP_MICROS);
        }
        assertTrue(script.sends.size() > calls, "no call of " + id);
    }
}
