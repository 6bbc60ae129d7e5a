package amberroute.decisions;

import java.util.ArrayList;
import java.util.List;

/** A call in flight to an endpoint, with one message or more. */
final class UpstreamCall {
    final Endpoint endpoint;
    /** When it was sent, in microseconds on the caller's clock. */
    long sentAt;

    final List<PendingMessage> messages = new ArrayList<>(1);
    /** How many of its messages have no outcome yet. */
    int outstandingMessages;
    /** Its outcome has been taken into account: one for all of its messages. */
    boolean outcomeRecorded;
    /** No answer came for so long that it is taken for lost, see {@link SilentCallDetector}. */
    boolean silent;

    boolean cancelling;
    /** One of its messages may not be repeated. */
    boolean nonIdempotent;
    /** One of its messages has little time left, so that all time out early. */
    boolean shortOfTime;
    /** How long the connection that it may have reused had been idle; 0 for a fresh one. */
    long connectionIdleMicros;

    UpstreamCall(Endpoint endpoint, long sentAt) {
        this.endpoint = endpoint;
        this.sentAt = sentAt;
    }

    boolean hasRoom() {
        return messages.size() < endpoint.messagesPerCall;
    }
}
