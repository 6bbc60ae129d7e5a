package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.AttemptOutcome;

/** Counts the calls to an upstream while it is in one state. */
final class CallCounter {
    private int sent;
    private int answered;
    private int rejected;
    private int failed;

    void recordStart() {
        sent++;
    }

    /** Counts an outcome; a call that was not made, or that was cancelled before it was silent, says nothing. */
    void recordOutcome(AttemptOutcome outcome, boolean silent) {
        if (outcome == AttemptOutcome.OK) {
            answered++;
        } else if (outcome == AttemptOutcome.FULL) {
            rejected++;
        } else if (outcome != AttemptOutcome.MOOT && (outcome != AttemptOutcome.CANCELLED || silent)) {
            failed++;
        }
    }

    UpstreamStateChange.Calls total() {
        return new UpstreamStateChange.Calls(sent, answered, rejected, failed);
    }

    void reset() {
        sent = 0;
        answered = 0;
        rejected = 0;
        failed = 0;
    }
}
