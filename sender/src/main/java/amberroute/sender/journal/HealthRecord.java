package amberroute.sender.journal;

import amberroute.decisions.UpstreamStatus;

/**
 * The journaled health of one endpoint, or of a whole destination if {@code uid} is empty.
 *
 * @param destination number of the destination
 * @param uid uid of the endpoint, empty for the destination as a whole
 * @param status last known status
 * @param sinceMillis when that status began, in milliseconds of the {@link SteadyClock}
 * @param callsPerSecond call rate that was in force
 * @param usualLatencyMicros usual latency of a call
 */
public record HealthRecord(
        int destination,
        String uid,
        UpstreamStatus status,
        long sinceMillis,
        double callsPerSecond,
        double usualLatencyMicros) {
    /** Identifies the endpoint or destination; at most one record is journaled for each. */
    String upstreamKey() {
        return destination + " " + uid;
    }
}
