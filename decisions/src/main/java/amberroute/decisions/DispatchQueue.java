package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.decisions.collections.DueDateTreap;
import amberroute.decisions.collections.IndexOrderIterator;
import amberroute.decisions.collections.IndexedTimerHeap;

/**
 * The waiting messages of one destination, message class and priority weight; for the index they differ only in their due
 * dates. The fields are maintained by {@link PendingMessages}, {@link DispatchCandidates} and {@link BacklogEstimate}.
 */
final class DispatchQueue {
    final Destination destination;
    final MessageClass messageClass;
    final double priorityWeight;
    final DueDateTreap<PendingMessage> messages = new DueDateTreap<>();
    final IndexOrderIterator<PendingMessage> iterator = new IndexOrderIterator<>(messages);
    /** Expires when the first message must get its final answer, or earlier. */
    final IndexedTimerHeap.Entry<DispatchQueue> expiryTimer = new IndexedTimerHeap.Entry<>(this);
    /** The earliest due date of the ready messages. */
    long earliestReadyDue;

    long earliestDue;
    long latestDue;

    /** Number of its messages that the sums of {@link BacklogEstimate} contain. */
    int backlogMessages;
    /** Steady part of the service time of each of these messages, negative while it is not measured. */
    double backlogSteadyMicros;
    /** Decaying part of the service time of each of these messages, as of {@link #backlogUpdatedAt}. */
    double backlogDecayingMicros;

    long backlogUpdatedAt;
    /**
     * Logarithm of the gain: priority weight times success probability over the shortest service time. No message has a higher
     * index.
     */
    double logGain;

    /** Position in the list of non-empty queues; -1 while it is empty. */
    int nonEmptyPosition = -1;
    /** Position among the {@link DispatchCandidates}; -1 if it is not one of them. */
    int candidatePosition = -1;
    /** The last selection round that considered this queue. */
    long lastSelectionRound;
    /** Whether the iterator has been started in that round. */
    boolean iteratorStarted;

    DispatchQueue(Destination destination, MessageClass messageClass, double priorityWeight) {
        this.destination = destination;
        this.messageClass = messageClass;
        this.priorityWeight = priorityWeight;
    }

    boolean isEmpty() {
        return messages.size() == 0;
    }
}
