package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.Actions;
import amberroute.decisions.DeliveryScheduler.Limits;
import amberroute.decisions.DeliveryScheduler.MessageClass;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the messages of this sender from acceptance to completion, and gives the final answers that the sender itself decides.
 * Times are microseconds on the caller's clock.
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

    /** Returns the message with this id, null if there is none. */
    PendingMessage get(long id) {
        return messages.get(id);
    }

    /** Returns all messages in the order of arrival. */
    Collection<PendingMessage> all() {
        return messages.values();
    }

    int count() {
        return messages.size();
    }

    /** Creates a message; the caller must call {@link #enqueue} afterwards. */
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

    /** Enqueues a message to be sent, unless it is completed. */
    void enqueue(long now, PendingMessage message) {
        pending.enqueue(now, message, RetryPolicy.retryableUntil(message));
    }

    /** Records that the client cancelled a message; ignores unknown messages. */
    void cancel(long now, long id) {
        PendingMessage message = messages.get(id);
        if (message != null) {
            message.completed = true;
            removeIfCompleted(now, message);
        }
    }

    /**
     * Gives the final answer to a message: a rejection if that is harmless, because the client may then submit the message
     * again, and a failure otherwise.
     *
     * @param retryAfterMicros advice when to submit it again; the deployment's limits apply
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

    /** Removes a message that is completed and no longer in flight. */
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
