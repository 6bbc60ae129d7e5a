package amberroute.decisions;

import amberroute.decisions.collections.IndexedTimerHeap;
import java.util.ArrayList;
import java.util.List;

/**
 * The messages that wait to be sent: which dispatch queue each is in, and which are ready, that is, without a backoff and first
 * of their key. It keeps {@link DispatchCandidates}, {@link BacklogEstimate} and {@link ExpirySchedule} up to date and makes no
 * decisions. Times are microseconds on the caller's clock.
 */
final class PendingMessages {
    /** Empty queues of a destination are removed once it has this many queues, because message classes may come and go. */
    private static final int QUEUES_KEPT_PER_DESTINATION = 8;

    private final ServiceTimes serviceTimes;
    private final DispatchCandidates candidates;
    private final BacklogEstimate backlog;
    private final ExpirySchedule expiry;
    private final List<DispatchQueue> nonEmptyQueues = new ArrayList<>();
    private final IndexedTimerHeap<PendingMessage> resumeTimers = new IndexedTimerHeap<>();
    private int waitingCount;

    PendingMessages(
            ServiceTimes serviceTimes, DispatchCandidates candidates, BacklogEstimate backlog, ExpirySchedule expiry) {
        this.serviceTimes = serviceTimes;
        this.candidates = candidates;
        this.backlog = backlog;
        this.expiry = expiry;
    }

    /** Returns the number of messages that wait to be sent. */
    int waitingCount() {
        return waitingCount;
    }

    /** Returns the queues with waiting messages, in no particular order; the caller must not change the list. */
    List<DispatchQueue> nonEmptyQueues() {
        return nonEmptyQueues;
    }

    /**
     * Enqueues a message unless it is completed.
     *
     * @param retryableUntil until when it may be sent, NEVER if only its deadline limits that
     */
    void enqueue(long now, PendingMessage message, long retryableUntil) {
        if (message.completed) {
            return;
        }
        add(message);
        expiry.limitRetries(message, retryableUntil);
        if (message.attempts > 0) {
            expiry.checkAttempts(message);
        }
        updateReadiness(now, message);
        updateEstimates(now, message.destination);
    }

    private void add(PendingMessage message) {
        DispatchQueue queue = queueOf(message);
        message.queue = queue;
        message.waiting = true;
        queue.messages.add(message, false, false);
        boolean isOnlyMessage = queue.messages.size() == 1;
        queue.earliestDue = isOnlyMessage ? message.due : Math.min(queue.earliestDue, message.due);
        queue.latestDue = isOnlyMessage ? message.due : Math.max(queue.latestDue, message.due);
        waitingCount++;
        if (queue.nonEmptyPosition < 0) {
            queue.nonEmptyPosition = nonEmptyQueues.size();
            nonEmptyQueues.add(queue);
        }
    }

    private static DispatchQueue queueOf(PendingMessage message) {
        Destination destination = message.destination;
        for (DispatchQueue queue : destination.queues) {
            if (queue.priorityWeight == message.priorityWeight
                    && (queue.messageClass == message.messageClass
                            || queue.messageClass.equals(message.messageClass))) {
                return queue;
            }
        }
        if (destination.queues.size() >= QUEUES_KEPT_PER_DESTINATION) {
            destination.queues.removeIf(queue -> queue.nonEmptyPosition < 0 && queue.backlogMessages == 0);
        }
        DispatchQueue queue = new DispatchQueue(destination, message.messageClass, message.priorityWeight);
        destination.queues.add(queue);
        return queue;
    }

    /**
     * Removes a message that waits, because it is sent or completed; ignores other messages. The caller must call {@link
     * #updateEstimates} afterwards.
     */
    void remove(PendingMessage message) {
        if (!message.waiting) {
            return;
        }
        DispatchQueue queue = message.queue;
        boolean wasReady = message.ready();
        message.waiting = false;
        waitingCount--;
        queue.messages.remove(message);
        if (message.resumeTimer != null) {
            resumeTimers.remove(message.resumeTimer);
        }
        expiry.remove(message);
        if (queue.isEmpty()) {
            removeEmpty(queue);
        } else {
            queue.earliestDue = message.due == queue.earliestDue ? queue.messages.first().due : queue.earliestDue;
            queue.latestDue = message.due == queue.latestDue
                    ? queue.messages.latest(Long.MIN_VALUE, Long.MAX_VALUE, false).due
                    : queue.latestDue;
        }
        if (wasReady) {
            readinessChanged(queue, message.due, false);
        }
    }

    private void removeEmpty(DispatchQueue queue) {
        DispatchQueue last = nonEmptyQueues.remove(nonEmptyQueues.size() - 1);
        if (last != queue) {
            nonEmptyQueues.set(queue.nonEmptyPosition, last);
            last.nonEmptyPosition = queue.nonEmptyPosition;
        }
        queue.nonEmptyPosition = -1;
        expiry.remove(queue);
    }

    /**
     * Determines whether a message is first of its key and ready, and otherwise when it may be; ignores null and messages that
     * do not wait.
     */
    void updateReadiness(long now, PendingMessage message) {
        if (message == null || !message.waiting) {
            return;
        }
        long keyAvailableAt = keyAvailableAt(now, message);
        long readyAt = keyAvailableAt > now ? keyAvailableAt : message.backoffUntil;
        boolean ready = readyAt <= now;
        boolean wasReady = message.ready();
        message.queue.messages.mark(message, ready, keyAvailableAt <= now);
        setResumeTimer(message, ready ? Micros.NEVER : readyAt);
        if (ready != wasReady) {
            readinessChanged(message.queue, message.due, ready);
        }
    }

    private static long keyAvailableAt(long now, PendingMessage message) {
        KeyQueue keyQueue = message.keyQueue;
        if (keyQueue == null) {
            return now;
        }
        if (keyQueue.first != message) {
            return Micros.NEVER;
        }
        return keyQueue.exemptFromPause == message ? now : keyQueue.pausedUntil;
    }

    private void setResumeTimer(PendingMessage message, long dueAt) {
        if (dueAt != Micros.NEVER) {
            if (message.resumeTimer == null) {
                message.resumeTimer = new IndexedTimerHeap.Entry<>(message);
            }
            resumeTimers.set(message.resumeTimer, dueAt);
        } else if (message.resumeTimer != null) {
            resumeTimers.remove(message.resumeTimer);
        }
    }

    private void readinessChanged(DispatchQueue queue, long due, boolean ready) {
        if (ready) {
            queue.earliestReadyDue = queue.messages.readyCount() == 1 ? due : Math.min(queue.earliestReadyDue, due);
        } else if (queue.messages.readyCount() > 0 && due == queue.earliestReadyDue) {
            queue.earliestReadyDue = queue.messages.earliest(Long.MIN_VALUE, Long.MAX_VALUE, true).due;
        }
        candidates.update(queue);
    }

    /** Marks messages as ready whose backoff or key pause is over, and wakes destinations whose sleep is over. */
    void resumeDue(long now) {
        for (IndexedTimerHeap.Entry<PendingMessage> timer = resumeTimers.poll(now);
                timer != null;
                timer = resumeTimers.poll(now)) {
            updateReadiness(now, timer.item());
        }
        candidates.wakeDue(now);
    }

    /** Returns when the next backoff, pause or sleep ends, NEVER if there is none. */
    long nextResumeAt() {
        IndexedTimerHeap.Entry<PendingMessage> timer = resumeTimers.peek();
        return Math.min(timer == null ? Micros.NEVER : timer.dueAt(), candidates.nextWakeAt());
    }

    /** Returns the messages that expire now, in the order of arrival; the list is valid until the next call. */
    List<PendingMessage> expired(long now, int maxAttempts) {
        return expiry.expired(now, maxAttempts, nonEmptyQueues);
    }

    /** Updates backlog, bounds and expiry times after a destination's waiting messages or service time have changed. */
    void updateEstimates(long now, Destination destination) {
        serviceTimes.decay(now, destination);
        double steadyMicros =
                destination.callsInFlight > 0 ? destination.serviceMicros : serviceTimes.baselineMicros(destination);
        double decayingMicros = destination.serviceMicros - steadyMicros;
        for (DispatchQueue queue : destination.queues) {
            backlog.recount(now, queue, steadyMicros, decayingMicros);
            candidates.refresh(queue);
        }
        backlog.recomputeIfDue(now, nonEmptyQueues);
        for (DispatchQueue queue : destination.queues) {
            expiry.schedule(now, queue);
        }
    }

    /**
     * Updates the estimates of a destination and wakes it, because it may accept calls again after what was learned about it.
     */
    void updateEstimatesAndWake(long now, Destination destination) {
        updateEstimates(now, destination);
        candidates.wake(destination);
    }
}
