package amberroute.sender;

import amberroute.decisions.DeliveryScheduler.Event;
import amberroute.sender.lifecycle.StateFolder;
import amberroute.sender.message.AcceptedMessage;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Ordered keys of which another daemon still has messages: to the scheduler a placeholder message of each is not completed, so that
 * later messages of the key wait. Event loop only; times are milliseconds of the folder's {@code SteadyClock}.
 */
final class KeyHoldTracker {
    /** The time until the notification of a completed message is surely acknowledged. */
    private static final long NOTIFICATION_MS = 5_000;

    private final String senderName;
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final PeerServices peers;
    /** The number of the placeholder message by key. */
    private final Map<Long, Long> placeholders = new HashMap<>();

    KeyHoldTracker(
            String senderName,
            StateFolder folder,
            MessageTable messages,
            SchedulerDriver scheduler,
            PeerServices peers) {
        this.senderName = senderName;
        this.folder = folder;
        this.messages = messages;
        this.scheduler = scheduler;
        this.peers = peers;
    }

    /** The keys that are blocked now. */
    Set<Long> blockedKeys() {
        return placeholders.keySet();
    }

    /** Forgets all keys, for a recovery that blocks them again. */
    void clear() {
        placeholders.clear();
    }

    /** Blocks keys: other daemons have messages of them. */
    void block(Iterable<Long> keys) {
        for (long key : keys) {
            if (!placeholders.containsKey(key)) {
                long number = folder.journal().nextNumber();
                placeholders.put(key, number);
                scheduler.submit(new Event.CompletedMessageRecovered(number, key));
            }
        }
    }

    /** Unblocks keys: no other daemon has messages of them any more. */
    void release(List<Long> keys) {
        for (long key : keys) {
            Long number = placeholders.remove(key);
            if (number != null) {
                scheduler.submit(new Event.CompletionAcknowledged(number));
            }
        }
        if (peers.handoff() != null) {
            peers.handoff().onKeysReleased(keys);
        }
    }

    /** Messages that came while their key was blocked and were not attempted: they go behind what the other daemon had. */
    List<AcceptedMessage> blockedMessages(List<Long> keys) {
        if (!messages.arriving().isEmpty()) {
            // Messages that are not accepted yet would otherwise go ahead.
            scheduler.runIteration();
        }
        Set<Long> blocked = new HashSet<>(keys);
        blocked.retainAll(placeholders.keySet());
        if (blocked.isEmpty()) {
            return List.of();
        }
        return folder.journal().pendingMessages().stream()
                .filter(message -> blocked.contains(message.key) && untried(message))
                .toList();
    }

    private boolean untried(AcceptedMessage message) {
        return messages.ordered(message)
                && messages.accepted().containsKey(message.number)
                && !message.attemptInFlight
                && message.attempts == 0;
    }

    /** For each ordered key with a message here: when the last of them is surely completed. */
    Map<Long, Long> orderedKeys() {
        Map<Long, Long> ends = new HashMap<>();
        for (AcceptedMessage message : folder.journal().pendingMessages()) {
            if (messages.ordered(message)) {
                ends.merge(message.key, completedBy(message), Math::max);
            }
        }
        messages.arriving().values().stream()
                .map(PendingAcceptance::message)
                .filter(messages::ordered)
                .forEach(message -> ends.merge(message.key, message.deadlineMillis, Math::max));
        return ends;
    }

    private long completedBy(AcceptedMessage message) {
        return message.pendingNotification == null
                ? message.deadlineMillis
                : Math.max(message.deadlineMillis, folder.steadyMillis() + NOTIFICATION_MS);
    }

    /** As {@link #orderedKeys}, with the keys of which other daemons have messages from here. */
    Map<Long, Long> orderedKeysWithHolds() {
        Map<Long, Long> ends = orderedKeys();
        folder.journal().keyHolds().allHolds().stream()
                .filter(hold -> hold.origin().equals(senderName))
                .forEach(hold -> ends.merge(hold.key(), hold.untilMillis(), Math::max));
        return ends;
    }
}
