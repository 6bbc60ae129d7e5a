package amberroute.decisions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.decisions.DeliveryScheduler.HealthCheckpoint;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests what the next process of a sender knows of an outage. */
class HealthTransferTest {
    private static final int DESTINATION = 1;
    private static final long FIRST_ID = 1;
    private static final long SECOND_ID = 2;

    /** Returns a sender that was answered some time ago and whose call to one of two endpoints then ends in this way. */
    private static SchedulerScript told(AttemptOutcome outcome) {
        SchedulerScript script =
                new SchedulerScript(SchedulerScript.settings(8, false, 1)).listEndpoints(DESTINATION, 2);
        script.submit(FIRST_ID, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        script.advance(50_000).complete(FIRST_ID, AttemptOutcome.OK).decide();
        script.advance(CircuitBreaker.MIN_OUTAGE_MICROS);
        // It is not repeated, so nothing opens the breaker.
        script.submit(SECOND_ID, SchedulerScript.NON_IDEMPOTENT, DESTINATION).decide();
        script.advance(50_000).complete(SECOND_ID, outcome).decide();
        return script;
    }

    private static UpstreamStatus statusOfNextProcess(
            SchedulerScript script, Function<SchedulerScript, Event> transfer) {
        SchedulerScript next = new SchedulerScript(SchedulerScript.settings(8, false, 1)).listEndpoints(DESTINATION, 2);
        next.add(transfer.apply(script)).decide();
        return next.snapshots().get(0).checkpoint().status();
    }

    private static Event lastCheckpoint(SchedulerScript script) {
        HealthCheckpoint checkpoint = script.checkpoints.get(script.checkpoints.size() - 1);
        return new Event.HealthRestored(checkpoint, 0);
    }

    private static Event snapshot(SchedulerScript script) {
        return new Event.UpstreamStateTransferred(script.snapshots().get(0));
    }

    /** Guards against a sender that a single call told of an outage, and whose next process knows nothing of it. */
    @ParameterizedTest
    @EnumSource(names = {"ERROR", "RESET", "TIMEOUT", "CONNECT_FAILED", "FULL"})
    void outageThatOneCallToldOfOutlastsTheProcess(AttemptOutcome outcome) {
        assertEquals(
                UpstreamStatus.UNAVAILABLE, statusOfNextProcess(told(outcome), HealthTransferTest::lastCheckpoint));
        assertEquals(UpstreamStatus.UNAVAILABLE, statusOfNextProcess(told(outcome), HealthTransferTest::snapshot));
    }

    /** Guards against failures that an answer has followed being taken for an outage by the next process. */
    @Test
    void answerEndsTheSuspicion() {
        SchedulerScript script = told(AttemptOutcome.RESET);
        script.submit(SECOND_ID + 1, SchedulerScript.IDEMPOTENT, DESTINATION).decide();
        script.advance(50_000).complete(SECOND_ID + 1, AttemptOutcome.OK).decide();
        assertEquals(UpstreamStatus.HEALTHY, statusOfNextProcess(script, HealthTransferTest::lastCheckpoint));
        assertEquals(UpstreamStatus.HEALTHY, statusOfNextProcess(script, HealthTransferTest::snapshot));
        assertEquals(
                List.of(UpstreamStatus.SUSPECTED, UpstreamStatus.HEALTHY),
                script.checkpoints.stream().map(HealthCheckpoint::status).toList());
    }
}
