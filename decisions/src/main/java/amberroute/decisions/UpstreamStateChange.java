package amberroute.decisions;

/**
 * A change of the state of an upstream, for operators. Durations are microseconds.
 *
 * @param endpoint 0 for a whole destination
 * @param previousMicros how long the upstream was in its previous state; at most the age of this process
 * @param previousCalls the calls in the previous state; in an outage these are the trials
 * @param sinceSuccessMicros time since the last answer, -1 if there was none
 * @param servedPerSecond calls of this sender answered per second before the outage, 0 if no outage was seen
 * @param callsPerSecond pace of this sender at the start of a slow start, 0 if no outage was seen
 */
public record UpstreamStateChange(
        int destination,
        long endpoint,
        UpstreamStatus from,
        UpstreamStatus to,
        Reason reason,
        long previousMicros,
        Calls previousCalls,
        long sinceSuccessMicros,
        double servedPerSecond,
        double callsPerSecond) {

    /** Why the state has changed. */
    public enum Reason {
        /** Each listed endpoint failed. */
        FAILURES,
        /** A rejection asked for a wait that is longer than any of a rate limit. */
        LONG_RETRY_AFTER,
        /** Calls were rejected, and none had succeeded for some time. */
        REJECTIONS,
        /** A trial was answered after an outage. */
        ANSWERED,
        /** A trial was answered so soon that there was no outage. */
        FALSE_ALARM,
        /** The slow start is over. */
        SLOW_START_OVER,
        /** An earlier process of this sender had seen the outage or the slow start. */
        RESTORED
    }

    /** Numbers of calls, by how they ended; calls that are in flight are only in {@code sent}. */
    public record Calls(int sent, int answered, int rejected, int failed) {}
}
