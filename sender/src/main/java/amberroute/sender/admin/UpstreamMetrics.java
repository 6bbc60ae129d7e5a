package amberroute.sender.admin;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;
import amberroute.decisions.UpstreamStatus;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the attempts at each destination, by the state that this sender took it for and by how they ended. Counts start at 0 with
 * the process. The first {@value #MOST_DESTINATIONS} destinations have counts of their own, further ones share one.
 */
final class UpstreamMetrics {
    static final int MOST_DESTINATIONS = 1_024;

    /** How an attempt ended, as operators tell them apart. */
    enum AttemptResult {
        DELIVERED,
        REJECTED,
        FAILED
    }

    private static final int COUNTS = UpstreamStatus.values().length * AttemptResult.values().length;

    private final Map<String, long[]> attempts = new TreeMap<>();
    /** The states other than healthy; a destination as a whole has the endpoint 0. */
    private final Map<Upstream, UpstreamStatus> unhealthy = new HashMap<>();

    private record Upstream(int destination, long endpoint) {}

    /** Records the state of an endpoint, or of a destination if the endpoint is 0. */
    void stateChanged(int destination, long endpoint, UpstreamStatus status) {
        Upstream upstream = new Upstream(destination, endpoint);
        if (status == UpstreamStatus.HEALTHY) {
            unhealthy.remove(upstream);
        } else {
            unhealthy.put(upstream, status);
        }
    }

    /** Counts the end of an attempt; one that was not made is not counted. */
    void attemptCompleted(int destination, long endpoint, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.MOOT) {
            return;
        }
        AttemptResult result =
                switch (outcome) {
                    case OK -> AttemptResult.DELIVERED;
                    case FULL -> AttemptResult.REJECTED;
                    default -> AttemptResult.FAILED;
                };
        UpstreamStatus status = unhealthy.getOrDefault(
                new Upstream(destination, endpoint),
                unhealthy.getOrDefault(new Upstream(destination, 0), UpstreamStatus.HEALTHY));
        counts(destination)[position(status, result)]++;
    }

    private long[] counts(int destination) {
        String name = Integer.toString(destination);
        if (!attempts.containsKey(name) && attempts.size() >= MOST_DESTINATIONS) {
            name = SenderMetrics.OTHER;
        }
        return attempts.computeIfAbsent(name, any -> new long[COUNTS]);
    }

    private static int position(UpstreamStatus status, AttemptResult result) {
        return status.ordinal() * AttemptResult.values().length + result.ordinal();
    }

    /** Returns a copy that does not change. */
    Snapshot snapshot() {
        Map<String, long[]> copy = new TreeMap<>();
        attempts.forEach((destination, counts) -> copy.put(destination, counts.clone()));
        return new Snapshot(copy);
    }

    /** The counts of one moment, safe for use by another thread. */
    static final class Snapshot {
        private final Map<String, long[]> attempts;

        private Snapshot(Map<String, long[]> attempts) {
            this.attempts = attempts;
        }

        /** Appends the counts in the text form that Prometheus reads, without those that are 0. */
        void appendTo(StringBuilder out) {
            out.append("# TYPE svc_destination_attempts_total counter\n");
            attempts.forEach((destination, counts) -> {
                for (UpstreamStatus status : UpstreamStatus.values()) {
                    for (AttemptResult result : AttemptResult.values()) {
                        append(out, destination, status, result, counts[position(status, result)]);
                    }
                }
            });
        }

        private static void append(
                StringBuilder out, String destination, UpstreamStatus status, AttemptResult result, long count) {
            if (count > 0) {
                out.append("svc_destination_attempts_total{destination=\"")
                        .append(destination)
                        .append("\",state=\"")
                        .append(status.name().toLowerCase(Locale.ROOT))
                        .append("\",result=\"")
                        .append(result.name().toLowerCase(Locale.ROOT))
                        .append("\"} ")
                        .append(count)
                        .append('\n');
            }
        }
    }
}
