package amberroute.sender.decision;

import amberroute.decisions.DeliveryScheduler;
import amberroute.decisions.UpstreamObservation;
import amberroute.decisions.UpstreamStateChange;
import java.io.PrintStream;
import java.util.List;

/**
 * A module whose events and actions are written down, a line each, for {@code bin/trace-ledger}: only for plays whose
 * loss is counted. It is asked for by the system property {@code amberroute.trace} and is not bounded.
 */
public final class DecisionTrace implements DeliveryScheduler {
    private final DeliveryScheduler inner;
    private final PrintStream out;

    private DecisionTrace(DeliveryScheduler inner, PrintStream out) {
        this.inner = inner;
        this.out = out;
    }

    /** The module itself where no trace was asked for. */
    public static DeliveryScheduler around(DeliveryScheduler module, Settings settings) {
        if (!Boolean.getBoolean("amberroute.trace")) {
            return module;
        }
        DecisionTrace trace = new DecisionTrace(module, System.err);
        trace.line("Z", settings);
        return trace;
    }

    @Override
    public void step(long now, Event event, Actions actions) {
        if (event instanceof Event.MessageSubmitted e) {
            line("A", e.id(), e.destination(), e.messageClass(), e.timeLeftMicros(), e.key());
        } else if (event instanceof Event.MessageRecovered e) {
            line("R", e.id(), e.destination(), e.messageClass(), e.timeLeftMicros(), e.key());
        } else if (event instanceof Event.AttemptCompleted e) {
            line(
                    "O",
                    e.id(),
                    e.endpoint(),
                    e.outcome(),
                    e.durationMicros(),
                    e.retryAfterMicros(),
                    e.connectionIdleMicros(),
                    e.loadReport());
        } else if (event instanceof Event.EndpointListUpdated e) {
            e.entries().forEach(x -> line("L", x.endpoint(), x.destination(), x.state(), x.kind(), x.weight()));
        }
        inner.step(now, event, new Lines(actions));
    }

    private void line(String kind, Object... fields) {
        StringBuilder text = new StringBuilder("T ")
                .append(System.currentTimeMillis())
                .append(' ')
                .append(kind);
        for (Object field : fields) {
            text.append(' ').append(String.valueOf(field).replace(" ", ""));
        }
        out.println(text);
    }

    @Override
    public int avoidedEndpointCount() {
        return inner.avoidedEndpointCount();
    }

    @Override
    public List<UpstreamSnapshot> snapshots(long now) {
        return inner.snapshots(now);
    }

    @Override
    public List<KeyPause> pausedKeys(long now) {
        return inner.pausedKeys(now);
    }

    private final class Lines implements Actions {
        private final Actions to;

        Lines(Actions to) {
            this.to = to;
        }

        @Override
        public void send(long id, long endpoint, long giveUpAt) {
            line("S", id, endpoint);
            to.send(id, endpoint, giveUpAt);
        }

        @Override
        public void reject(long id, long retryAfter) {
            line("X", id, retryAfter);
            to.reject(id, retryAfter);
        }

        @Override
        public void fail(long id) {
            line("F", id);
            to.fail(id);
        }

        @Override
        public void cancel(long id, int attempt) {
            line("C", id);
            to.cancel(id, attempt);
        }

        @Override
        public void closeIdle(long endpoint) {
            line("I", endpoint);
            to.closeIdle(endpoint);
        }

        @Override
        public void limitIdleReuse(long longest) {
            to.limitIdleReuse(longest);
        }

        @Override
        public void saveCheckpoint(HealthCheckpoint memory) {
            line("M", memory.destination(), memory.status().storedName(), memory.callsPerSecond());
            to.saveCheckpoint(memory);
        }

        @Override
        public void scheduleTimer(long delay, long token) {
            to.scheduleTimer(delay, token);
        }

        @Override
        public void subscribe() {
            to.subscribe();
        }

        @Override
        public void upstreamStateChanged(UpstreamStateChange change) {
            to.upstreamStateChanged(change);
        }

        @Override
        public void upstreamObserved(UpstreamObservation observation) {
            to.upstreamObserved(observation);
        }
    }
}
