package amberroute.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that a member passes on with its datagrams, the latest of each member, those that were sent least first. An update leaves the
 * queue once it was sent so many times that it reaches all. Not thread-safe.
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

    /** Takes the place of what was said of this member before. */
    void add(SwimMessage.MemberUpdate update) {
        updateByMember.put(update.name(), new QueuedUpdate(update));
    }

    boolean contains(String member) {
        return updateByMember.containsKey(member);
    }

    /**
     * The updates for one datagram, in so many bytes; the recipient first hears what is said of itself.
     *
     * @param requiredUpdate goes with the datagram in any case, null for none
     * @param maxTransmissions an update that was sent so many times is dropped
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
