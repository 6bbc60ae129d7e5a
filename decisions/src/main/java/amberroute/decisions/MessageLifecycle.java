package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.Limits;
import amberroute.decisions.DeliveryScheduler.MessageClass;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The messages of this sender from acceptance to their completion, and the final answers that it gives by itself. Times are
 * microseconds on the caller's clock.
 */
final class MessageLifecycle {
    private final CurrentSettings settings;
    private final EndpointRegistry registry;
    private final KeyOrdering keyOrdering;
    private final PendingMessages pending;
    private final Map<Long, PendingMessage> messages = new LinkedHashMap<>();
    private long lastSequenceNumber;

    MessageLifecycle(
            CurrentSettings settings, EndpointRegistry registry, KeyOrdering keyOrdering, PendingMessages pending) {
        this.settings = settings;
        this.registry = registry;
        this.keyOrdering = keyOrdering;
        this.pending = pending;
    }

    /** The message with this id, null for none. */
    PendingMessage get(long id) {
        return messages.get(id);
    }

    /** All messages in the order of arrival. */
    Collection<PendingMessage> all() {
        return messages.values();
    }

    int count() {
        return messages.size();
    }

    /** A new message; {@link #enqueue} has to follow. */
    PendingMessage accept(long now, long id, int messageClass, long key, long timeLeftMicros, int destination) {
        List<MessageClass> classes = settings.get().classes();
        PendingMessage message = new PendingMessage();
        message.id = id;
        message.sequenceNumber = ++lastSequenceNumber;
        message.messageClass = classes.get(Math.min(messageClass, classes.size() - 1));
        message.destination = registry.destination(destination);
        message.destination.pendingMessages++;
        message.due = now + Math.min(message.messageClass.deadlineMicros(), timeLeftMicros);
        message.priorityWeight = message.messageClass.priorityWeight();
        if (message.messageClass.ordered() && key != 0) {
            keyOrdering.append(key, message);
        }
        messages.put(id, message);
        return message;
    }

    /** Has a message wait to be sent unless it is completed. */
    void enqueue(long now, PendingMessage message) {
        pending.enqueue(now, message, RetryPolicy.retryableUntil(message));
    }

    /** The client cancelled a message; ignores what is not known. */
    void cancel(long now, long id) {
        PendingMessage message = messages.get(id);
        if (message != null) {
            message.completed = true;
            removeIfCompleted(now, message);
        }
    }

    /**
     * Gives the final answer: a rejection wherever that is harmless, since the client may then submit the message again.
     *
     * @param retryAfterMicros advice when to do so, given within the limits that the deployment sets
     */
    void answer(long now, PendingMessage message, long retryAfterMicros, Actions actions) {
        if (RetryPolicy.mayReject(message)) {
            actions.reject(message.id, allowedRetryAdviceMicros(retryAfterMicros));
        } else {
            actions.fail(message.id);
        }
        message.completed = true;
        message.answeredBySender = true;
        removeIfCompleted(now, message);
    }

    private long allowedRetryAdviceMicros(long retryAfterMicros) {
        Limits limits = settings.limits();
        return limits.retryAdviceAllowed() ? Math.max(0, Math.min(retryAfterMicros, limits.maxRetryAdviceMicros())) : 0;
    }

    /** Forgets a message that is completed and not in flight any more. */
    void removeIfCompleted(long now, PendingMessage message) {
        if (!message.completed || message.call != null) {
            return;
        }
        messages.remove(message.id);
        pending.remove(message);
        message.destination.pendingMessages--;
        pending.updateEstimates(now, message.destination);
        keyOrdering.complete(now, message);
    }
}
