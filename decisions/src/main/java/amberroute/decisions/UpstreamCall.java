package amberroute.decisions;

import java.util.ArrayList;
import java.util.List;

/** A call in flight to an endpoint, which carries one or more messages. */
final class UpstreamCall {
    final Endpoint endpoint;
    /** When it was sent, in microseconds on the caller's clock. */
    long sentAt;

    final List<PendingMessage> messages = new ArrayList<>(1);
    /** Number of its messages without an outcome. */
    int outstandingMessages;
    /** Whether its outcome was recorded for the upstream; the first outcome counts for all of its messages. */
    boolean outcomeRecorded;
    /** Whether it has been unanswered for so long that it counts as lost, see {@link SilentCallDetector}. */
    boolean silent;

    boolean cancelling;
    /** Whether one of its messages is non-idempotent. */
    boolean nonIdempotent;
    /** Whether one of its messages has little time left, so that the whole call times out early. */
    boolean shortOfTime;
    /** How long the connection that it may have reused had been idle; 0 for a new one. */
    long connectionIdleMicros;

    UpstreamCall(Endpoint endpoint, long sentAt) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
    }

    boolean hasRoom() {
        return messages.size() < endpoint.messagesPerCall;
    }
}
