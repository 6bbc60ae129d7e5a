package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.decisions.collections.DueDateTreap;
import amberroute.decisions.collections.IndexedTimerHeap;

/**
 * A message that was accepted and has no final answer yet. It is a node of the {@link DueDateTreap} of its dispatch queue, where
 * it has its due date and its number in the order of arrival. All times are microseconds on the caller's clock.
 */
final class PendingMessage extends DueDateTreap.Node<PendingMessage> {
    /** {@link #unknownOutcomeSince} of a message none of whose attempts may have run. */
    static final long NO_UNKNOWN_OUTCOME = Long.MAX_VALUE;

    long id;
    MessageClass messageClass;
    Destination destination;
    /** The queue that it waits in, or last waited in. */
    DispatchQueue queue;
    /** Null for a message that keeps no order. */
    KeyQueue keyQueue;
    /** Neighbours in the key's order. */
    PendingMessage previousOfKey;

    PendingMessage nextOfKey;
    double priorityWeight;
    /** Attempts that were started, in earlier processes too. */
    int attempts;

    int timeouts;
    /** Stands in its dispatch queue: it is neither in flight nor completed. */
    boolean waiting;
    /** The call that it is in flight with, null for none. */
    UpstreamCall call;
    /** The attempt in flight is being cancelled. */
    boolean cancelling;
    /** It has its final answer, or was cancelled by its client. */
    boolean completed;
    /** This sender rejected or failed it, rather than its destination answering it. */
    boolean answeredBySender;
    /** When the first attempt that may have run was sent. */
    long unknownOutcomeSince = NO_UNKNOWN_OUTCOME;

    Endpoint unknownOutcomeEndpoint;
    Endpoint lastFailedEndpoint;
    /** Backoff: no attempt starts earlier. */
    long backoffUntil;
    /** When its backoff or the pause of its key is over; null until there was one. */
    IndexedTimerHeap.Entry<PendingMessage> resumeTimer;
    /** Until when it may be sent again; null until there was a limit. */
    IndexedTimerHeap.Entry<PendingMessage> retryLimitTimer;

    /** Whether an attempt may have run whose outcome is not known to be success. */
    boolean outcomeUnknown() {
        return unknownOutcomeSince != NO_UNKNOWN_OUTCOME;
    }

    /** A number in [0, 1), evenly distributed over keys: the same for all messages of a key, at every sender. */
    double keySample() {
        return ((keyQueue == null ? id : keyQueue.key) * 0x9e3779b97f4a7c15L >>> 11) * 0x1p-53;
    }
}
