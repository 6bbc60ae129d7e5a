package amberroute.sender.decision;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamObservation;
import amberroute.decisions.UpstreamStateChange;
import java.util.ArrayList;
import java.util.List;

/** Collects what the decision module decides, until the sender carries it out. Bounded by what one turn decides. */
public final class ActionRecorder implements DeliveryScheduler.Actions {
    private final List<SchedulerAction> actions = new ArrayList<>();
    private long longestTrustedIdle;

    /** {@code longestTrustedIdle} counts until the module says otherwise, in microseconds. */
    public ActionRecorder(long longestTrustedIdle) {
        this.longestTrustedIdle = longestTrustedIdle;
    }

    /** All that was decided since the last call, in order. */
    public List<SchedulerAction> drain() {
        List<SchedulerAction> drained = List.copyOf(actions);
        actions.clear();
        return drained;
    }

    /** For how long a connection may have lain idle that carries a call which may not be repeated, in microseconds. */
    public long longestTrustedIdle() {
        return longestTrustedIdle;
    }

    @Override
    public void send(long id, long endpoint, long giveUpAt) {
        actions.add(new SchedulerAction.Send(id, endpoint, giveUpAt));
    }

    @Override
    public void reject(long id, long retryAfter) {
        actions.add(new SchedulerAction.Reject(id, retryAfter));
    }

    @Override
    public void fail(long id) {
        actions.add(new SchedulerAction.Fail(id));
    }

    @Override
    public void cancel(long id, int attempt) {
        actions.add(new SchedulerAction.Cancel(id, attempt));
    }

    @Override
    public void closeIdle(long endpoint) {
        actions.add(new SchedulerAction.CloseIdle(endpoint));
    }

    /** Needs no place among the actions: it holds for the calls of this turn and all later ones. */
    @Override
    public void limitIdleReuse(long longest) {
        longestTrustedIdle = longest;
    }

    @Override
    public void saveCheckpoint(DeliveryScheduler.HealthCheckpoint memory) {
        actions.add(new SchedulerAction.SaveCheckpoint(memory));
    }

    @Override
    public void scheduleTimer(long delay, long token) {
        actions.add(new SchedulerAction.ScheduleTimer(delay, token));
    }

    /** The directory is watched from the start, and again whenever that ends. */
    @Override
    public void subscribe() {}

    @Override
    public void upstreamStateChanged(UpstreamStateChange change) {
        actions.add(new SchedulerAction.ReportUpstreamState(change));
    }

    @Override
    public void upstreamObserved(UpstreamObservation observation) {
        actions.add(new SchedulerAction.ReportUpstreamObservation(observation));
    }
}
