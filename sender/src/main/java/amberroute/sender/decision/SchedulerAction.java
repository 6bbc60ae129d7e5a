package amberroute.sender.decision;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamObservation;
import amberroute.decisions.UpstreamStateChange;

/** What the decision module has decided in a turn, for the sender to carry out; spans in microseconds. */
public sealed interface SchedulerAction {
    /** One attempt at a message; {@code giveUpAt} on the module's clock. */
    record Send(long id, long endpoint, long giveUpAt) implements SchedulerAction {}

    /** The message did not run and is handed back, with advice when to come again, 0 for none. */
    record Reject(long id, long retryAfter) implements SchedulerAction {}

    /** The message ends undelivered and may have run. */
    record Fail(long id) implements SchedulerAction {}

    /** An attempt that is out is given up. */
    record Cancel(long id, int attempt) implements SchedulerAction {}

    /** Connections to an endpoint that carry no call are closed. */
    record CloseIdle(long endpoint) implements SchedulerAction {}

    /** What a later process is to know of a place. */
    record SaveCheckpoint(DeliveryScheduler.HealthCheckpoint memory) implements SchedulerAction {}

    /** The module's one timer, by its token. */
    record ScheduleTimer(long delay, long token) implements SchedulerAction {}

    /** The state of an upstream has changed, which operators are told. */
    record ReportUpstreamState(UpstreamStateChange change) implements SchedulerAction {}

    /** A call to an upstream that is not known to be healthy, or its first failure, which operators are told. */
    record ReportUpstreamObservation(UpstreamObservation observation) implements SchedulerAction {}
}
