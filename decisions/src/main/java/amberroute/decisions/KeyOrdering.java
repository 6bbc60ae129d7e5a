package amberroute.decisions;

import amberroute.decisions.DeliveryScheduler.KeyPause;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Keeps the messages of each key in order: they are sent one at a time, in the order of acceptance. After an
 * attempt whose outcome is unknown the key is paused for the settle period, because the attempt may still run; meanwhile only
 * the message itself may be retried. Times are microseconds on the caller's clock.
 *
 * <p>This sender answers a message by rejecting or failing it. If acknowledgements are awaited, an answered message holds back
 * the later ones of its key until the answer is acknowledged.
 *
 * <p>Cost of an unnecessary pause: the messages of one key wait for the settle period.
 */
final class KeyOrdering {
    private final CurrentSettings settings;
    private final PendingMessages pending;
    private final boolean awaitAcknowledgements;
    private final Map<Long, KeyQueue> queues = new HashMap<>();
    /** Messages that this sender answered and that stay in the queue of their key until the answer is acknowledged. */
    private final Map<Long, PendingMessage> unacknowledged = new HashMap<>();
    /** Empty queues that are kept until their pause is over, in the order in which they became empty. */
    private final Deque<KeyQueue> emptyQueues = new ArrayDeque<>();

    /**
     * Creates an ordering without messages.
     *
     * @param awaitAcknowledgements whether {@link #acknowledge} will be called for each message that this sender answers
     */
    KeyOrdering(CurrentSettings settings, PendingMessages pending, boolean awaitAcknowledgements) {
        this.settings = settings;
        this.pending = pending;
        this.awaitAcknowledgements = awaitAcknowledgements;
    }

    /** Appends a message to the queue of its key. */
    void append(long key, PendingMessage message) {
        queueOf(key).add(message);
    }

    private KeyQueue queueOf(long key) {
        return queues.computeIfAbsent(key, KeyQueue::new);
    }

    /** Appends a message that an earlier process answered; {@link #acknowledge} is still to be called for it. */
    void appendAnswered(long key, long id) {
        PendingMessage message = new PendingMessage();
        append(key, message);
        unacknowledged.put(id, message);
    }

    /**
     * Pauses the key of a message for the settle period, except for the message itself; does nothing if it has no ordered key.
     */
    void pauseAfter(long now, PendingMessage message) {
        KeyQueue queue = message.keyQueue;
        if (queue != null) {
            queue.pausedUntil = now + settings.rules().settlePeriodMicros();
            queue.exemptFromPause = message;
            pending.updateReadiness(now, queue.first);
        }
    }

    /**
     * Restores the pause of a key from an earlier process.
     *
     * @param exempt the message that may be sent during the pause, null for none
     */
    void restorePause(long now, KeyPause pause, PendingMessage exempt) {
        KeyQueue queue = queueOf(pause.key());
        queue.pausedUntil = now + pause.remainingMicros();
        queue.exemptFromPause = exempt;
        pending.updateReadiness(now, queue.first);
        if (queue.first == null) {
            emptyQueues.add(queue);
        }
    }

    /** Returns the keys that are paused now. */
    List<KeyPause> pausedKeys(long now) {
        List<KeyPause> paused = new ArrayList<>();
        for (KeyQueue queue : queues.values()) {
            if (queue.pausedUntil > now) {
                long exempt = queue.exemptFromPause == null ? 0 : queue.exemptFromPause.id;
                paused.add(new KeyPause(queue.key, queue.pausedUntil - now, exempt));
            }
        }
        return List.copyOf(paused);
    }

    /**
     * Dequeues a completed message so that the next one of its key can be sent. If this sender answered it and acknowledgements
     * are awaited, {@link #acknowledge} dequeues it instead.
     */
    void complete(long now, PendingMessage message) {
        if (message.keyQueue != null && message.answeredBySender && awaitAcknowledgements) {
            unacknowledged.put(message.id, message);
        } else {
            dequeue(now, message);
        }
    }

    /** Dequeues a message that this sender answered, after its answer is acknowledged; ignores unknown messages. */
    void acknowledge(long now, long id) {
        dequeue(now, unacknowledged.remove(id));
    }

    private void dequeue(long now, PendingMessage message) {
        if (message != null && message.keyQueue != null) {
            KeyQueue queue = message.keyQueue;
            queue.remove(message);
            pending.updateReadiness(now, queue.first);
            if (queue.first == null) {
                emptyQueues.add(queue);
            }
        }
        while (!emptyQueues.isEmpty() && emptyQueues.peek().pausedUntil <= now) {
            KeyQueue empty = emptyQueues.poll();
            if (empty.first == null) {
                queues.remove(empty.key, empty);
            }
        }
    }
}
