package amberroute.sender.decision;

import amberroute.decisions.DeliveryScheduler;
import java.io.PrintStream;
import java.util.List;

/**
 * A module whose events and actions are written down, a line each, for {@code bin/fleet-ledger}: only for plays whose
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
            line("A", e.id(), e.destination(), e.messageClass(), e.timeLeft(), e.key());
        } else if (event instanceof Event.MessageRecovered e) {
            line("R", e.id(), e.destination(), e.messageClass(), e.timeLeft(), e.key());
        } else if (event instanceof Event.AttemptCompleted e) {
            line("O", e.id(), e.endpoint(), e.ending(), e.took(), e.toldWait(), e.idle(), e.report());
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
    public int avoided() {
        return inner.avoided();
    }

    @Override
    public List<UpstreamSnapshot> learned(long now) {
        return inner.learned(now);
    }

    @Override
    public List<KeyPause> rests(long now) {
        return inner.rests(now);
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
        public void refuse(long id, long retryAfter) {
            line("X", id, retryAfter);
            to.refuse(id, retryAfter);
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
        public void trustIdle(long longest) {
            to.trustIdle(longest);
        }

        @Override
        public void remember(HealthCheckpoint memory) {
            line("M", memory.destination(), memory.health(), memory.pace());
            to.remember(memory);
        }

        @Override
        public void wake(long delay, long token) {
            to.wake(delay, token);
        }

        @Override
        public void follow() {
            to.follow();
        }

        @Override
        public void log(String text) {
            to.log(text);
        }
    }
}
