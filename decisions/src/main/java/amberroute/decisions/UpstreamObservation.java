package amberroute.decisions;

/**
 * A call to an upstream that is not known to be healthy, or the first failure of one, for operators: with the changes of its state they
 * tell which sender knew of an outage, since when, and which calls it made. Calls of a slow start are only counted, see {@link
 * UpstreamStateChange}.
 *
 * @param endpoint 0 for a whole destination
 * @param messageId the message of the call, the first one if there are several
 * @param sinceSuccessMicros time since the last answer, -1 if there was none
 */
public record UpstreamObservation(int destination, long endpoint, Kind kind, long messageId, long sinceSuccessMicros) {

    /** What was observed. */
    public enum Kind {
        /** A call failed, the first one since the last answer, which was some time ago. */
        FIRST_FAILURE,
        /** A call was rejected, the first one that failed or was rejected since the last answer, which was some time ago. */
        FIRST_REJECTION,
        /** A trial was sent while the breaker is open. */
        TRIAL,
        /** A call was sent behind a failure or a rejection that has not opened the breaker. */
        CALL_AFTER_FAILURE,
        /** A call was sent before any answer in this process. */
        FIRST_CALL
    }
}
