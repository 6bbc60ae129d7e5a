package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The messages that this sender delivers, those pending acceptance, and the versions of their classes. Event loop only. */
final class MessageTable {
    private final Map<Long, AcceptedMessage> accepted = new HashMap<>();
    private final Map<Long, PendingAcceptance> pendingAcceptances = new LinkedHashMap<>();
    private final Set<String> pendingAcceptanceIds = new HashSet<>();
    private MessageClassRegistry classes = new MessageClassRegistry();

    /** Messages in delivery, by number. */
    Map<Long, AcceptedMessage> accepted() {
        return accepted;
    }

    /** Messages submitted since the last event loop iteration, by number and in the order of submission. */
    Map<Long, PendingAcceptance> pendingAcceptances() {
        return pendingAcceptances;
    }

    /** The ids of {@link #pendingAcceptances}. */
    Set<String> pendingAcceptanceIds() {
        return pendingAcceptanceIds;
    }

    MessageClassRegistry classes() {
        return classes;
    }

    /** The number of messages that count toward the limit on pending messages. */
    int pendingCount() {
        return accepted.size() + pendingAcceptances.size();
    }

    /** Whether the message must not overtake others of its key. */
    boolean isOrdered(AcceptedMessage message) {
        return message.key != 0
                && message.classNumber >= 0
                && classes.type(message.classNumber).ordered();
    }

    /** Whether attempts may be repeated without a second effect, with or without an idempotency key. */
    boolean isRetrySafe(AcceptedMessage message) {
        return classes.type(message.classNumber).idempotency() != DeliveryScheduler.Idempotency.NON_IDEMPOTENT;
    }

    /** Drops all messages and classes, before the journal is read again. */
    void clear() {
        classes = new MessageClassRegistry();
        accepted.clear();
        pendingAcceptances.clear();
        pendingAcceptanceIds.clear();
    }
}
