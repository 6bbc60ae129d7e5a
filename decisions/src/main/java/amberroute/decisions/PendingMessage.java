package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.decisions.collections.DueDateTreap;
import amberroute.decisions.collections.IndexedTimerHeap;

/**
 * An accepted message without a final answer. It is a node in the {@link DueDateTreap} of its dispatch queue, ordered by its
 * due date and its sequence number, which follows the order of arrival. All times are microseconds on the caller's clock.
 */
final class PendingMessage extends DueDateTreap.Node<PendingMessage> {
    /** Value of {@link #unknownOutcomeSince} while no attempt may have run. */
    static final long NO_UNKNOWN_OUTCOME = Long.MAX_VALUE;

    long id;
    MessageClass messageClass;
    Destination destination;
    /** The queue that the message waits in, or last waited in. */
    DispatchQueue queue;
    /** Null for a message without an ordered key. */
    KeyQueue keyQueue;
    /** Neighbors in the key queue. */
    PendingMessage previousOfKey;

    PendingMessage nextOfKey;
    double priorityWeight;
    /** Number of attempts that were started, including those of earlier processes. */
    int attempts;

    int timeouts;
    /** Whether it is in its dispatch queue, which means neither in flight nor completed. */
    boolean waiting;
    /** The call that carries the message, null if it is not in flight. */
    UpstreamCall call;
    /** Whether the attempt in flight is being cancelled. */
    boolean cancelling;
    /** Whether it has its final answer or was cancelled by its client. */
    boolean completed;
    /** Whether this sender rejected or failed it, as opposed to an answer of its destination. */
    boolean answeredBySender;
    /** When the first attempt that may have run was sent. */
    long unknownOutcomeSince = NO_UNKNOWN_OUTCOME;

    Endpoint unknownOutcomeEndpoint;
    Endpoint lastFailedEndpoint;
    /** No attempt starts earlier than this. */
    long backoffUntil;
    /** Expires when the backoff or the pause of its key ends; null until first used. */
    IndexedTimerHeap.Entry<PendingMessage> resumeTimer;
    /** Expires when the message may no longer be sent again; null until first used. */
    IndexedTimerHeap.Entry<PendingMessage> retryLimitTimer;

    /** Returns whether an attempt may have run whose outcome is not known to be success. */
    boolean outcomeUnknown() {
        return unknownOutcomeSince != NO_UNKNOWN_OUTCOME;
    }

    /**
     * Returns a number in [0, 1) that is evenly distributed over keys and the same for all messages of a key at every sender.
     */
    double keySample() {
        return ((keyQueue == null ? id : keyQueue.key) * 0x9e3779b97f4a7c15L >>> 11) * 0x1p-53;
    }
}
