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
 * Tracks ordered keys for which another sender still has messages. For each of them the scheduler has a placeholder message that
 * is not completed, so that later messages of the key wait. Event loop only; times are milliseconds of the folder's
 * {@code SteadyClock}.
 */
final class KeyHoldTracker {
    /** Time after which the notification of a completed message is assumed to be acknowledged. */
    private static final long MAX_NOTIFICATION_TIME_MS = 5_000;

    private final String senderName;
    private final StateFolder folder;
    private final MessageTable messages;
    private final SchedulerDriver scheduler;
    private final PeerServices peers;
    /** Numbers of the placeholder messages by key. */
    private final Map<Long, Long> placeholderNumbers = new HashMap<>();

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

    /** The keys that are currently blocked. */
    Set<Long> blockedKeys() {
        return placeholderNumbers.keySet();
    }

    /** Forgets all keys, before a recovery blocks them again. */
    void clear() {
        placeholderNumbers.clear();
    }

    /** Blocks keys for which other senders have messages. */
    void block(Iterable<Long> keys) {
        for (long key : keys) {
            if (!placeholderNumbers.containsKey(key)) {
                long number = folder.journal().nextNumber();
                placeholderNumbers.put(key, number);
                scheduler.submit(new Event.CompletedMessageRecovered(number, key));
            }
        }
    }

    /** Unblocks keys for which no other sender has messages any more. */
    void release(List<Long> keys) {
        for (long key : keys) {
            Long number = placeholderNumbers.remove(key);
            if (number != null) {
                scheduler.submit(new Event.CompletionAcknowledged(number));
            }
        }
        if (peers.handoff() != null) {
            peers.handoff().onKeysReleased(keys);
        }
    }

    /**
     * Messages that arrived while their key was blocked and have not been attempted. In the order of the key they come after the
     * messages of the other sender.
     */
    List<AcceptedMessage> blockedMessages(List<Long> keys) {
        if (!messages.pendingAcceptances().isEmpty()) {
            // Accepts pending submissions, which would otherwise be missing here and overtake the other sender's
            // messages.
            scheduler.runIteration();
        }
        Set<Long> blockedKeys = new HashSet<>(keys);
        blockedKeys.retainAll(placeholderNumbers.keySet());
        if (blockedKeys.isEmpty()) {
            return List.of();
        }
        return folder.journal().pendingMessages().stream()
                .filter(message -> blockedKeys.contains(message.key) && isUnattempted(message))
                .toList();
    }

    private boolean isUnattempted(AcceptedMessage message) {
        return messages.isOrdered(message)
                && messages.accepted().containsKey(message.number)
                && !message.attemptInFlight
                && message.attempts == 0;
    }

    /** For each ordered key with a message here, the time by which its last message is certainly completed. */
    Map<Long, Long> latestCompletionByKey() {
        Map<Long, Long> latestCompletion = new HashMap<>();
        for (AcceptedMessage message : folder.journal().pendingMessages()) {
            if (messages.isOrdered(message)) {
                latestCompletion.merge(message.key, latestCompletionMillis(message), Math::max);
            }
        }
        messages.pendingAcceptances().values().stream()
                .map(PendingAcceptance::message)
                .filter(messages::isOrdered)
                .forEach(message -> latestCompletion.merge(message.key, message.deadlineMillis, Math::max));
        return latestCompletion;
    }

    private long latestCompletionMillis(AcceptedMessage message) {
        return message.pendingNotification == null
                ? message.deadlineMillis
                : Math.max(message.deadlineMillis, folder.steadyMillis() + MAX_NOTIFICATION_TIME_MS);
    }

    /** As {@link #latestCompletionByKey}, including keys for which other senders hold messages from this one. */
    Map<Long, Long> latestCompletionByKeyWithHolds() {
        Map<Long, Long> latestCompletion = latestCompletionByKey();
        folder.journal().keyHolds().allHolds().stream()
                .filter(hold -> hold.origin().equals(senderName))
                .forEach(hold -> latestCompletion.merge(hold.key(), hold.untilMillis(), Math::max));
        return latestCompletion;
    }
}
