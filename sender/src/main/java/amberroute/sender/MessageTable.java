package amberroute.sender;

import amberroute.decisions.DeliveryScheduler;
import amberroute.sender.message.AcceptedMessage;
import amberroute.sender.message.MessageClassRegistry;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/** The messages that this sender delivers, those about to be accepted, and the versions of their classes. Event loop only. */
final class MessageTable {
    private final Map<Long, AcceptedMessage> accepted = new HashMap<>();
    private final Map<Long, PendingAcceptance> pendingAcceptances = new LinkedHashMap<>();
    private final Set<String> pendingAcceptanceIds = new HashSet<>();
    private MessageClassRegistry classes = new MessageClassRegistry();

    /** Messages in delivery by their number. */
    Map<Long, AcceptedMessage> accepted() {
        return accepted;
    }

    /** Messages submitted since the last event loop iteration by their number, in the order of submission. */
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

    /** The number of messages that count against the bound on pending messages. */
    int pendingCount() {
        return accepted.size() + pendingAcceptances.size();
    }

    /** Whether the message must not overtake others of its key. */
    boolean isOrdered(AcceptedMessage message) {
        return message.key != 0
                && message.classNumber >= 0
                && classes.type(message.classNumber).ordered();
    }

    /** Whether an attempt may be repeated without harm, with an idempotency key or without. */
    boolean isRetrySafe(AcceptedMessage message) {
        return classes.type(message.classNumber).idempotency() != DeliveryScheduler.Idempotency.NON_IDEMPOTENT;
    }

    /** Drops all messages and classes; the journal is read again next. */
    void clear() {
        classes = new MessageClassRegistry();
        accepted.clear();
        pendingAcceptances.clear();
        pendingAcceptanceIds.clear();
    }
}
