package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.MessageClass;
import amberroute.decisions.collections.DueDateTreap;
import amberroute.decisions.collections.IndexOrderIterator;
import amberroute.decisions.collections.IndexedTimerHeap;

/**
 * The waiting messages of one destination, class and priority weight. They differ in nothing but their due dates as far as the
 * index is concerned. Fields are kept by {@link PendingMessages}, {@link DispatchCandidates} and {@link BacklogEstimate}.
 */
final class DispatchQueue {
    final Destination destination;
    final MessageClass messageClass;
    final double priorityWeight;
    final DueDateTreap<PendingMessage> messages = new DueDateTreap<>();
    final IndexOrderIterator<PendingMessage> iterator = new IndexOrderIterator<>(messages);
    /** When its first message gets its final answer: never later than it really has to be. */
    final IndexedTimerHeap.Entry<DispatchQueue> expiryTimer = new IndexedTimerHeap.Entry<>(this);
    /** The earliest due date of those that are ready. */
    long earliestReadyDue;

    long earliestDue;
    long latestDue;

    /** How many of its messages the backlog's sums contain. */
    int backlogMessages;
    /** Service time that each is counted with: the part that stays, negative while none was measured. */
    double backlogSteadyMicros;
    /** Service time that each is counted with: the part that decays, as of {@link #backlogUpdatedAt}. */
    double backlogDecayingMicros;

    long backlogUpdatedAt;
    /** Logarithm of weight times success probability over the least service time; no message has a higher index. */
    double logGain;

    /** Position in the list of queues that are not empty; -1 for none. */
    int nonEmptyPosition = -1;
    /** Position among the queues that may have something to send; -1 for none. */
    int candidatePosition = -1;
    /** The last selection round that considered it. */
    long lastSelectionRound;
    /** Whether its iterator has been started in that round. */
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
