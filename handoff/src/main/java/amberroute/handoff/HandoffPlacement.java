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
 * Which peer is offered what, when a daemon leaves. A group is what must move together: all messages of an ordered key,
 * or one message without a key. Groups for one peer are packed into batches, so that thousands move with few records.
 *
 * <ul>
 * <li>A key goes where its clients have come; before any has, to the peer with its number among all peers, which is what clients do that
 * choose by the key; messages without a key are spread by their number.
 * <li>A group with too little time left is not moved: it is completed here.
 * <li>A peer without capacity is left alone for {@link #NO_CAPACITY_PAUSE_MILLIS} and each of its groups is offered elsewhere; one that
 * cannot use something in a batch is offered that batch's groups one by one, and each that it rejects alone goes elsewhere.
 * <li>A peer that cannot be reached is left alone for {@link #UNREACHABLE_PAUSE_MILLIS}.
 * <li>A group that every peer has rejected stays. So does one that was offered {@link #MAX_OFFERS_PER_GROUP} times.
 * </ul>
 *
 * <p>Decides only; times are milliseconds on the caller's clock. It remembers what it has met for one shutdown, at most one
 * entry for each group. Not thread-safe.
 */
public final class HandoffPlacement {
    /** Messages in a batch. */
    public static final int MAX_BATCH_MESSAGES = 64;
    /** Bytes of a batch's messages with what is recorded of each, so that its record stays within the journal's bound. */
    public static final long MAX_BATCH_BYTES = 96 << 10;
    /** A group may have more than a batch, but not more than a record holds. */
    public static final long MAX_GROUP_BYTES = 128 << 10;
    /** An offer, its reply and a call take a while: what has less time left is not moved. */
    public static final long MIN_TIME_LEFT_MILLIS = 300;
    /** Pause before a peer that had no capacity is offered anything again. */
    public static final long NO_CAPACITY_PAUSE_MILLIS = 500;
    /** Pause before a peer that could not be reached is offered anything again. */
    public static final long UNREACHABLE_PAUSE_MILLIS = 1_000;
    /** Offers of one group. */
    public static final int MAX_OFFERS_PER_GROUP = 32;

    /**
     * What moves together.
     *
     * @param firstNumber number of the first message, which identifies the group
     * @param key the ordered key, 0 for none
     * @param timeLeftMillis least time left of its messages
     */
    public record MessageGroup(long firstNumber, long key, int messageCount, long sizeBytes, long timeLeftMillis) {}

    /** Groups for one peer. */
    public record HandoffBatch(String successor, List<MessageGroup> groups) {}

    /** Why a peer rejects an offer: no capacity, or a message that it cannot take. Names are on the wire. */
    public enum RejectionReason {
        ROOM,
        UNFIT
    }

    /** What was met with one group. */
    private static final class OfferHistory {
        final Set<String> rejectedBy = new HashSet<>();
        /** A peer could not use something in a batch with it. */
        boolean offerAlone;

        int offerCount;
    }

    private final List<String> peers;
    private final Map<Long, OfferHistory> historyByGroup = new HashMap<>();
    private final Map<Long, String> preferredPeerByKey = new HashMap<>();
    private final Map<String, Long> peerPausedUntilMillis = new HashMap<>();

    /** For these peers, in the order that clients number them. */
    public HandoffPlacement(Collection<String> peers) {
        this.peers = List.copyOf(peers);
    }

    /** Clients of this key have come to that peer. */
    public void preferPeer(long key, String peer) {
        if (peers.contains(peer) && preferredPeerByKey.size() < KeyHolds.MAX_HOLDS) {
            preferredPeerByKey.put(key, peer);
        }
    }

    /** Batches to be offered now, at most so many; the rest of the groups have to wait or stay. */
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

    /** Adds a group to its successor's open batch, or to one of its own; it waits where that would be one too many. */
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

    /** Null where it stays, for now or for good. */
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

    /** The peer rejected a batch. */
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

    /** The peer could not be reached; nothing was offered to it. */
    public void peerUnreachable(long nowMillis, String peer) {
        peerPausedUntilMillis.put(peer, nowMillis + UNREACHABLE_PAUSE_MILLIS);
    }

    /** Nothing more need be remembered of these. */
    public void forgetGroups(Collection<MessageGroup> groups) {
        groups.forEach(group -> historyByGroup.remove(group.firstNumber()));
    }
}
