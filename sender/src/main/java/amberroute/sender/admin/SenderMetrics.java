package amberroute.sender.admin;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.UpstreamStatus;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What this process has done so far, for whoever watches it. Counted on the event loop at the moment of each end, from
 * where a {@link Snapshot} is taken every {@value #EVERY_MS} ms: a scrape reads the newest one and asks the loop nothing,
 * however busy that is. All counts start at 0 with the process.
 */
public final class SenderMetrics {
    public static final long EVERY_MS = 100;
    /** The number of class names with counts of their own; further ones count as {@value #OTHER}. */
    static final int MOST_NAMES = 1_024;

    static final String OTHER = "other";

    /** How a message ended. */
    public enum MessageResult {
        OK,
        SHED,
        ERRORS
    }

    /** What is counted of the moment and not of the past. */
    public record Now(int active, int poolSize, int poolEjected) {}

    /** All figures of one moment. */
    public record Snapshot(
            Map<String, List<Long>> ends,
            long tries,
            Now now,
            long applied,
            long rejected,
            UpstreamMetrics.Snapshot upstreams) {

        /** In the text form that Prometheus reads. */
        public String text() {
            StringBuilder out = new StringBuilder("# TYPE svc_responses_total counter\n");
            ends.forEach((name, counts) -> {
                for (MessageResult end : MessageResult.values()) {
                    out.append("svc_responses_total{kind=\"")
                            .append(escaped(name))
                            .append("\",result=\"")
                            .append(end.name().toLowerCase(java.util.Locale.ROOT))
                            .append("\"} ")
                            .append(counts.get(end.ordinal()))
                            .append('\n');
                }
            });
            line(out, "tries_total", "counter", tries);
            line(out, "active", "gauge", now.active());
            line(out, "pool_size", "gauge", now.poolSize());
            line(out, "pool_ejected", "gauge", now.poolEjected());
            line(out, "config_applied_total", "counter", applied);
            line(out, "config_rejected_total", "counter", rejected);
            upstreams.appendTo(out);
            return out.toString();
        }

        private static void line(StringBuilder out, String name, String type, long value) {
            out.append("# TYPE svc_")
                    .append(name)
                    .append(' ')
                    .append(type)
                    .append('\n')
                    .append("svc_")
                    .append(name)
                    .append(' ')
                    .append(value)
                    .append('\n');
        }

        private static String escaped(String name) {
            return name.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        }
    }

    private final Map<String, long[]> ends = new LinkedHashMap<>();
    private final UpstreamMetrics upstreams = new UpstreamMetrics();
    private long tries;
    private long applied;
    private long rejected;

    /** Shows a class from now on, with zeros until something of it ends. */
    public void declareClass(String className) {
        counts(className);
    }

    private long[] counts(String className) {
        String name = ends.containsKey(className) || ends.size() < MOST_NAMES ? className : OTHER;
        return ends.computeIfAbsent(name, n -> new long[MessageResult.values().length]);
    }

    public void completed(String className, MessageResult end) {
        counts(className)[end.ordinal()]++;
    }

    /** A call with so many messages was written whole. */
    public void callWritten(int messages) {
        tries += messages;
    }

    /** An attempt ended. */
    public void attemptCompleted(int destination, long endpoint, AttemptOutcome outcome) {
        upstreams.attemptCompleted(destination, endpoint, outcome);
    }

    /** The state of a destination has changed, or that of one endpoint if {@code endpoint} is not 0. */
    public void upstreamStateChanged(int destination, long endpoint, UpstreamStatus status) {
        upstreams.stateChanged(destination, endpoint, status);
    }

    public void applied() {
        applied++;
    }

    public void rejected() {
        rejected++;
    }

    public Snapshot snapshot(Now now) {
        Map<String, List<Long>> copy = new TreeMap<>();
        ends.forEach((name, counts) -> copy.put(name, List.of(counts[0], counts[1], counts[2])));
        return new Snapshot(copy, tries, now, applied, rejected, upstreams.snapshot());
    }
}
