package amberroute.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The membership updates that a member piggybacks on its datagrams. The queue keeps the latest update about each member and sends the updates
 * with the fewest transmissions first. An update is removed after enough transmissions to reach the whole fleet. Not thread-safe.
 */
final class GossipQueue {
    private static final int MAX_UPDATES_PER_DATAGRAM = 60;

    private static final class QueuedUpdate {
        final SwimMessage.MemberUpdate update;
        int transmissions;

        QueuedUpdate(SwimMessage.MemberUpdate update) {
            this.update = update;
        }
    }

    private final Map<String, QueuedUpdate> updateByMember = new LinkedHashMap<>();

    /** Adds an update and replaces any earlier update about the same member. */
    void add(SwimMessage.MemberUpdate update) {
        updateByMember.put(update.name(), new QueuedUpdate(update));
    }

    boolean contains(String member) {
        return updateByMember.containsKey(member);
    }

    /**
     * Returns the updates for one datagram and counts a transmission of each. An update about the recipient itself comes before the
     * other queued updates, so that the recipient can refute it.
     *
     * @param requiredUpdate always included, null for none
     * @param maxBytes the limit on the encoded size of all updates
     * @param maxTransmissions the number of transmissions after which an update is removed from the queue
     */
    List<SwimMessage.MemberUpdate> nextUpdates(
            String recipient, SwimMessage.MemberUpdate requiredUpdate, int maxBytes, int maxTransmissions) {
        List<SwimMessage.MemberUpdate> updates = new ArrayList<>();
        int bytesLeft = maxBytes;
        if (requiredUpdate != null) {
            updates.add(requiredUpdate);
            bytesLeft -= requiredUpdate.encodedBytes();
        }
        for (QueuedUpdate queued : leastSentFirst(recipient)) {
            SwimMessage.MemberUpdate update = queued.update;
            if (updates.size() >= MAX_UPDATES_PER_DATAGRAM || update.encodedBytes() > bytesLeft) {
                break;
            }
            bytesLeft -= update.encodedBytes();
            updates.add(update);
            if (++queued.transmissions >= maxTransmissions) {
                updateByMember.remove(update.name());
            }
        }
        return List.copyOf(updates);
    }

    private List<QueuedUpdate> leastSentFirst(String recipient) {
        List<QueuedUpdate> queue = new ArrayList<>(updateByMember.values());
        queue.sort(
                Comparator.comparingInt(queued -> queued.update.name().equals(recipient) ? -1 : queued.transmissions));
        return queue;
    }
}
