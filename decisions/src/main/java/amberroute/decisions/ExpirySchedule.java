package amberroute.decisions;

import amberroute.decisions.collections.IndexedTimerHeap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Determines when waiting messages get their final answer without being delivered: ahead of their deadline, when they may no
 * longer be retried, or after their last attempt. Times are microseconds on the caller's clock.
 *
 * <p>A message is answered one expected service time ahead of its deadline, because no attempt could succeed after that. Cost
 * of an expected time that is too long: a message is rejected that a fast call might still have delivered.
 */
final class ExpirySchedule {
    /** Shortest time ahead of the deadline; it allows for the delay of timers and event loops. */
    private static final long ANSWER_MARGIN_MICROS = 40_000;

    private final ServiceTimes serviceTimes;
    private final BacklogEstimate backlog;
    private final IndexedTimerHeap<DispatchQueue> queueTimers = new IndexedTimerHeap<>();
    private final IndexedTimerHeap<PendingMessage> retryLimits = new IndexedTimerHeap<>();
    /** Messages that may have reached the attempt limit. */
    private final List<PendingMessage> attemptsToCheck = new ArrayList<>();

    private final List<PendingMessage> expired = new ArrayList<>();
    /** The usual latency that the timers of queues without a measured service time were set with. */
    private double scheduledUsualLatencyMicros;

    ExpirySchedule(ServiceTimes serviceTimes, BacklogEstimate backlog) {
        this.serviceTimes = serviceTimes;
        this.backlog = backlog;
    }

    /** Limits how long a message may be sent again; NEVER if only its deadline limits that. */
    void limitRetries(PendingMessage message, long until) {
        if (until != Micros.NEVER) {
            if (message.retryLimitTimer == null) {
                message.retryLimitTimer = new IndexedTimerHeap.Entry<>(message);
            }
            retryLimits.set(message.retryLimitTimer, until);
        }
    }

    /** Makes the next decision compare the attempts of a message with the attempt limit. */
    void checkAttempts(PendingMessage message) {
        attemptsToCheck.add(message);
    }

    void remove(PendingMessage message) {
        if (message.retryLimitTimer != null) {
            retryLimits.remove(message.retryLimitTimer);
        }
    }

    void remove(DispatchQueue queue) {
        queueTimers.remove(queue.expiryTimer);
    }

    /**
     * Sets the timer of a queue to the earliest time at which its first message can expire; expected times rise only with new
     * outcomes.
     */
    void schedule(long now, DispatchQueue queue) {
        if (!queue.isEmpty()) {
            long expiry = expiryAt(now, queue, queue.earliestDue);
            if (!queue.expiryTimer.isQueued() || expiry < queue.expiryTimer.dueAt()) {
                queueTimers.set(queue.expiryTimer, expiry);
            }
        }
    }

    private long expiryAt(long now, DispatchQueue queue, long due) {
        return due - Math.max(ANSWER_MARGIN_MICROS, (long) serviceTimes.expectedMicros(now, queue));
    }

    /** Returns when the next message expires, NEVER if there is none. */
    long nextExpiryAt(long now) {
        IndexedTimerHeap.Entry<DispatchQueue> timer = queueTimers.peek();
        while (timer != null && expiryAt(now, timer.item(), timer.item().earliestDue) > timer.dueAt()) {
            queueTimers.set(timer, expiryAt(now, timer.item(), timer.item().earliestDue));
            timer = queueTimers.peek();
        }
        IndexedTimerHeap.Entry<PendingMessage> retryLimit = retryLimits.peek();
        return Math.min(
                timer == null ? Micros.NEVER : timer.dueAt(), retryLimit == null ? Micros.NEVER : retryLimit.dueAt());
    }

    /** Returns the messages that expire now, in the order of arrival; the list is valid until the next call. */
    List<PendingMessage> expired(long now, int maxAttempts, List<DispatchQueue> nonEmptyQueues) {
        expired.clear();
        for (PendingMessage message : attemptsToCheck) {
            if (message.waiting && message.attempts >= maxAttempts) {
                expired.add(message);
            }
        }
        attemptsToCheck.clear();
        for (IndexedTimerHeap.Entry<PendingMessage> limit = retryLimits.poll(now);
                limit != null;
                limit = retryLimits.poll(now)) {
            expired.add(limit.item());
        }
        rescheduleUnmeasured(now, nonEmptyQueues);
        for (IndexedTimerHeap.Entry<DispatchQueue> timer = queueTimers.poll(now);
                timer != null;
                timer = queueTimers.poll(now)) {
            collectExpired(now, timer);
        }
        expired.sort(Comparator.comparingLong(message -> message.sequenceNumber));
        removeDuplicates();
        return expired;
    }

    /**
     * Reschedules queues without a measured service time if the usual latency has risen, because their messages expire earlier
     * then.
     */
    private void rescheduleUnmeasured(long now, List<DispatchQueue> nonEmptyQueues) {
        double usualLatencyMicros = serviceTimes.usualLatencyMicros();
        if (usualLatencyMicros > scheduledUsualLatencyMicros && backlog.anyUnmeasured()) {
            for (DispatchQueue queue : nonEmptyQueues) {
                if (!queue.destination.serviceMeasured) {
                    schedule(now, queue);
                }
            }
        }
        scheduledUsualLatencyMicros = usualLatencyMicros;
    }

    private void collectExpired(long now, IndexedTimerHeap.Entry<DispatchQueue> timer) {
        DispatchQueue queue = timer.item();
        PendingMessage message = queue.messages.first();
        while (message != null && expiryAt(now, queue, message.due) <= now) {
            expired.add(message);
            message = queue.messages.after(message.due, message.sequenceNumber, Long.MAX_VALUE, false);
        }
        if (message != null) {
            queueTimers.set(timer, expiryAt(now, queue, message.due));
        }
    }

    private void removeDuplicates() {
        for (int i = expired.size() - 1; i > 0; i--) {
            if (expired.get(i) == expired.get(i - 1)) {
                expired.remove(i);
            }
        }
    }
}
