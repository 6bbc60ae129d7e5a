package amberroute.handoff;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Decides which peer is offered which messages during a graceful shutdown. A group holds messages that must move
 * together: all messages of an ordered key, or one message without a key. Groups for one peer are packed into
 * batches, so that thousands of messages move with few journal records.
 *
 * <ul>
 * <li>An ordered key is offered to the peer to which its clients have connected. Before any client has connected
 * elsewhere, it is offered to the peer at the index of the key modulo the number of peers, which is the peer that
 * clients choose if they choose by key. Messages without a key are distributed by message number.
 * <li>A group with too little time left is not moved; this sender completes it.
 * <li>A peer without capacity is paused for {@link #NO_CAPACITY_PAUSE_MILLIS}, and each of its groups is offered
 * elsewhere. A peer that rejects a batch as unfit is offered the groups of that batch one by one; a group that it
 * rejects on its own is offered elsewhere.
 * <li>A peer that cannot be reached is paused for {@link #UNREACHABLE_PAUSE_MILLIS}.
 * <li>A group that every peer has rejected, or that was offered {@link #MAX_OFFERS_PER_GROUP} times, is not moved.
 * </ul>
 *
 * <p>This class only makes decisions and performs no I/O. Times are milliseconds on the caller's clock. It keeps at
 * most one history entry per group, for the duration of one shutdown. Not thread-safe.
 */
public final class HandoffPlacement {
    /** Maximum number of messages in a batch. */
    public static final int MAX_BATCH_MESSAGES = 64;
    /**
     * Maximum size of a batch: its messages and the metadata recorded with each. Keeps the journal record of a
     * batch within the maximum record size.
     */
    public static final long MAX_BATCH_BYTES = 96 << 10;
    /** Maximum size of a group. A group may exceed the limit of a batch, but must fit in one journal record. */
    public static final long MAX_GROUP_BYTES = 128 << 10;
    /** Minimum time left for a group to be moved: an offer, its reply and the call all take time. */
    public static final long MIN_TIME_LEFT_MILLIS = 300;
    /** Pause before a peer that had no capacity receives another offer. */
    public static final long NO_CAPACITY_PAUSE_MILLIS = 500;
    /** Pause before a peer that could not be reached receives another offer. */
    public static final long UNREACHABLE_PAUSE_MILLIS = 1_000;
    /** Maximum number of offers of one group. */
    public static final int MAX_OFFERS_PER_GROUP = 32;

    /**
     * Messages that must move together.
     *
     * @param firstNumber number of the first message, which identifies the group
     * @param key the ordered key, or 0 for none
     * @param timeLeftMillis the shortest time left of any message of the group
     */
    public record MessageGroup(long firstNumber, long key, int messageCount, long sizeBytes, long timeLeftMillis) {}

    /** Groups that are offered to one peer together. */
    public record HandoffBatch(String successor, List<MessageGroup> groups) {}

    /**
     * Why a peer rejects an offer: it has no capacity, or it cannot accept one of the messages. The names are on
     * the wire.
     */
    public enum RejectionReason {
        ROOM,
        UNFIT
    }

    /** Offers and rejections of one group so far. */
    private static final class OfferHistory {
        final Set<String> rejectedBy = new HashSet<>();
        /** Whether a peer rejected, as unfit, a batch that contained this group. */
        boolean offerAlone;

        int offerCount;
    }

    private final List<String> peers;
    private final Map<Long, OfferHistory> historyByGroup = new HashMap<>();
    private final Map<Long, String> preferredPeerByKey = new HashMap<>();
    private final Map<String, Long> peerPausedUntilMillis = new HashMap<>();

    /** Creates a placement for these peers, in the order in which clients number them. */
    public HandoffPlacement(Collection<String> peers) {
        this.peers = List.copyOf(peers);
    }

    /** Records that clients of this key have connected to this peer. */
    public void preferPeer(long key, String peer) {
        if (peers.contains(peer) && preferredPeerByKey.size() < KeyHolds.MAX_HOLDS) {
            preferredPeerByKey.put(key, peer);
        }
    }

    /**
     * Returns the batches to offer now, at most {@code maxBatches}. The other groups wait for a later call or are
     * not moved.
     */
    public List<HandoffBatch> assignBatches(long nowMillis, List<MessageGroup> groups, int maxBatches) {
        List<HandoffBatch> batches = new ArrayList<>();
        Map<String, List<MessageGroup>> openBySuccessor = new LinkedHashMap<>();
        for (MessageGroup group : groups) {
            if (batches.size() >= maxBatches) {
                break;
            }
            String successor = chooseSuccessor(nowMillis, group);
            if (successor != null) {
                assign(group, successor, maxBatches, batches, openBySuccessor);
            }
        }
        openBySuccessor.forEach((successor, openGroups) -> batches.add(new HandoffBatch(successor, openGroups)));
        for (HandoffBatch batch : batches) {
            batch.groups().forEach(group -> historyOf(group).offerCount++);
        }
        return batches;
    }

    /**
     * Adds a group to the open batch of its successor, or to a batch of its own if it has to be offered alone.
     * Leaves the group out if that would exceed {@code maxBatches}.
     */
    private void assign(
            MessageGroup group,
            String successor,
            int maxBatches,
            List<HandoffBatch> batches,
            Map<String, List<MessageGroup>> openBySuccessor) {
        boolean canAddBatch = batches.size() + openBySuccessor.size() < maxBatches;
        OfferHistory history = historyByGroup.get(group.firstNumber());
        if (history != null && history.offerAlone) {
            if (canAddBatch) {
                batches.add(new HandoffBatch(successor, List.of(group)));
            }
            return;
        }
        List<MessageGroup> openGroups = openBySuccessor.get(successor);
        if (openGroups != null && !fitsInBatch(openGroups, group)) {
            batches.add(new HandoffBatch(successor, openBySuccessor.remove(successor)));
            openGroups = null;
        }
        if (openGroups == null) {
            if (!canAddBatch) {
                return;
            }
            openGroups = new ArrayList<>();
            openBySuccessor.put(successor, openGroups);
        }
        openGroups.add(group);
    }

    private OfferHistory historyOf(MessageGroup group) {
        return historyByGroup.computeIfAbsent(group.firstNumber(), number -> new OfferHistory());
    }

    private static boolean fitsInBatch(List<MessageGroup> batchedGroups, MessageGroup group) {
        int messageCount = group.messageCount();
        long sizeBytes = group.sizeBytes();
        for (MessageGroup batchedGroup : batchedGroups) {
            messageCount += batchedGroup.messageCount();
            sizeBytes += batchedGroup.sizeBytes();
        }
        return messageCount <= MAX_BATCH_MESSAGES && sizeBytes <= MAX_BATCH_BYTES;
    }

    /** Returns null if the group is not moved, either for now or for good. */
    private String chooseSuccessor(long nowMillis, MessageGroup group) {
        OfferHistory history = historyByGroup.get(group.firstNumber());
        if (peers.isEmpty()
                || group.timeLeftMillis() < MIN_TIME_LEFT_MILLIS
                || group.sizeBytes() > MAX_GROUP_BYTES
                || history != null && history.offerCount >= MAX_OFFERS_PER_GROUP) {
            return null;
        }
        String preferred = preferredPeerByKey.get(group.key());
        if (group.key() != 0 && preferred != null && isAvailable(nowMillis, preferred, history)) {
            return preferred;
        }
        int start = Math.floorMod(group.key() != 0 ? group.key() : group.firstNumber(), peers.size());
        for (int offset = 0; offset < peers.size(); offset++) {
            String peer = peers.get((start + offset) % peers.size());
            if (isAvailable(nowMillis, peer, history)) {
                return peer;
            }
        }
        return null;
    }

    private boolean isAvailable(long nowMillis, String peer, OfferHistory history) {
        return nowMillis >= peerPausedUntilMillis.getOrDefault(peer, Long.MIN_VALUE)
                && (history == null || !history.rejectedBy.contains(peer));
    }

    /** Records that the successor rejected a batch. */
    public void batchRejected(long nowMillis, HandoffBatch batch, RejectionReason reason) {
        if (reason == RejectionReason.ROOM) {
            peerPausedUntilMillis.put(batch.successor(), nowMillis + NO_CAPACITY_PAUSE_MILLIS);
        }
        for (MessageGroup group : batch.groups()) {
            OfferHistory history = historyOf(group);
            if (reason == RejectionReason.UNFIT && batch.groups().size() > 1) {
                history.offerAlone = true;
            } else if (reason == RejectionReason.UNFIT) {
                history.rejectedBy.add(batch.successor());
            }
        }
    }

    /** Records that a peer could not be reached, so that nothing was offered to it. */
    public void peerUnreachable(long nowMillis, String peer) {
        peerPausedUntilMillis.put(peer, nowMillis + UNREACHABLE_PAUSE_MILLIS);
    }

    /** Discards the history of groups that need no further offers. */
    public void forgetGroups(Collection<MessageGroup> groups) {
        groups.forEach(group -> historyByGroup.remove(group.firstNumber()));
    }
}
