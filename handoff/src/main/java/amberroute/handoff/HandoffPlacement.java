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
 * or one message without a key. Groups for one peer are packed into lots, so that thousands move with few records.
 *
 * <ul>
 * <li>A key goes where its clients have turned up; before any has, to the peer with its number among all peers, which is
 * what clients do that choose by the key; others by turns.
 * <li>What is too short of time to be told twice is not moved: it ends here.
 * <li>A peer that has no room is left alone for {@link #NO_CAPACITY_PAUSE_MILLIS} and each of its groups is offered elsewhere; one that
 * cannot use something in a lot is offered that lot's groups one by one, and each that it refuses alone goes elsewhere.
 * <li>A peer that cannot be reached is left alone for {@link #UNREACHABLE_PAUSE_MILLIS}.
 * <li>A group that every peer has refused stays. So does the one that was offered {@link #MAX_OFFERS_PER_GROUP} times.
 * </ul>
 *
 * <p>Decides only; times are milliseconds on the caller's clock. It remembers what it has met for one stop, at most one
 * entry a group.
 */
public final class HandoffPlacement {
    /** Messages in a lot. */
    public static final int MAX_BATCH_MESSAGES = 64;
    /** Bytes of a lot's messages with what is told of each, so that its record stays within the journal's bound. */
    public static final long MAX_BATCH_BYTES = 96 << 10;
    /** A group may have more than a lot, but not more than a record holds. */
    public static final long MAX_GROUP_BYTES = 128 << 10;
    /** What has less time left is not moved: an offer, its answer and a call take a while. */
    public static final long MIN_TIME_LEFT_MILLIS = 300;
    /** A peer that said it has no room is asked again after so long. */
    public static final long NO_CAPACITY_PAUSE_MILLIS = 500;
    /** A peer that could not be reached is tried again after so long. */
    public static final long UNREACHABLE_PAUSE_MILLIS = 1_000;
    /** So often is one group offered at most. */
    public static final int MAX_OFFERS_PER_GROUP = 32;

    /** What moves together; {@code first} names it, {@code key} is 0 for none, {@code left} is its least time left. */
    public record MessageGroup(long firstNumber, long key, int messageCount, long sizeBytes, long timeLeftMillis) {}

    /** Groups for one peer. */
    public record HandoffBatch(String successor, List<MessageGroup> groups) {}

    /** Why a peer refuses. */
    public enum RejectionReason {
        ROOM,
        UNFIT
    }

    private static final class OfferHistory {
        final Set<String> rejectedBy = new HashSet<>();
        /** To be offered alone, as a peer could not use something in a lot with it. */
        boolean offerAlone;

        int offerCount;
    }

    private final List<String> peers;
    private final Map<Long, OfferHistory> historyByGroup = new HashMap<>();
    private final Map<Long, String> preferredPeerByKey = new HashMap<>();
    private final Map<String, Long> peerPausedUntilMillis = new HashMap<>();

    public HandoffPlacement(Collection<String> peers) {
        this.peers = List.copyOf(peers);
    }

    /** Clients of this key have come to that peer. */
    public void preferPeer(long key, String peer) {
        if (peers.contains(peer) && preferredPeerByKey.size() < KeyHolds.MAX_HOLDS) {
            preferredPeerByKey.put(key, peer);
        }
    }

    /** Lots to be offered now, at most so many; the rest of the groups have to wait or stay. */
    public List<HandoffBatch> assignBatches(long now, List<MessageGroup> groups, int mostLots) {
        List<HandoffBatch> out = new ArrayList<>();
        Map<String, List<MessageGroup>> filling = new LinkedHashMap<>();
        for (MessageGroup group : groups) {
            if (out.size() >= mostLots) {
                break;
            }
            String heir = chooseSuccessor(now, group);
            if (heir == null) {
                continue;
            }
            boolean room = out.size() + filling.size() < mostLots;
            if (historyByGroup.containsKey(group.firstNumber()) && historyByGroup.get(group.firstNumber()).offerAlone) {
                if (room) {
                    out.add(new HandoffBatch(heir, List.of(group)));
                }
                continue;
            }
            List<MessageGroup> lot = filling.get(heir);
            if (lot != null && !fitsInBatch(lot, group)) {
                out.add(new HandoffBatch(heir, filling.remove(heir)));
                lot = null;
            }
            if (lot == null) {
                if (!room) {
                    continue;
                }
                lot = new ArrayList<>();
                filling.put(heir, lot);
            }
            lot.add(group);
        }
        filling.forEach((heir, lot) -> out.add(new HandoffBatch(heir, lot)));
        out.forEach(lot -> lot.groups()
                .forEach(g -> historyByGroup.computeIfAbsent(g.firstNumber(), f -> new OfferHistory()).offerCount++));
        return out;
    }

    private static boolean fitsInBatch(List<MessageGroup> lot, MessageGroup group) {
        int messages = group.messageCount();
        long bytes = group.sizeBytes();
        for (MessageGroup g : lot) {
            messages += g.messageCount();
            bytes += g.sizeBytes();
        }
        return messages <= MAX_BATCH_MESSAGES && bytes <= MAX_BATCH_BYTES;
    }

    /** Null where it stays, for now or for good. */
    private String chooseSuccessor(long now, MessageGroup group) {
        OfferHistory known = historyByGroup.get(group.firstNumber());
        if (peers.isEmpty()
                || group.timeLeftMillis() < MIN_TIME_LEFT_MILLIS
                || group.sizeBytes() > MAX_GROUP_BYTES
                || known != null && known.offerCount >= MAX_OFFERS_PER_GROUP) {
            return null;
        }
        String wanted = preferredPeerByKey.get(group.key());
        if (group.key() != 0 && wanted != null && isAvailable(now, wanted, known)) {
            return wanted;
        }
        int from = Math.floorMod(group.key() != 0 ? group.key() : group.firstNumber(), peers.size());
        for (int i = 0; i < peers.size(); i++) {
            String peer = peers.get((from + i) % peers.size());
            if (isAvailable(now, peer, known)) {
                return peer;
            }
        }
        return null;
    }

    private boolean isAvailable(long now, String peer, OfferHistory known) {
        return now >= peerPausedUntilMillis.getOrDefault(peer, Long.MIN_VALUE)
                && (known == null || !known.rejectedBy.contains(peer));
    }

    /** The peer refused a lot. */
    public void batchRejected(long now, HandoffBatch lot, RejectionReason why) {
        if (why == RejectionReason.ROOM) {
            peerPausedUntilMillis.put(lot.successor(), now + NO_CAPACITY_PAUSE_MILLIS);
        }
        for (MessageGroup group : lot.groups()) {
            OfferHistory known = historyByGroup.computeIfAbsent(group.firstNumber(), f -> new OfferHistory());
            if (why == RejectionReason.UNFIT && lot.groups().size() > 1) {
                known.offerAlone = true;
            } else if (why == RejectionReason.UNFIT) {
                known.rejectedBy.add(lot.successor());
            }
        }
    }

    /** The peer could not be reached; nothing was offered to it. */
    public void peerUnreachable(long now, String peer) {
        peerPausedUntilMillis.put(peer, now + UNREACHABLE_PAUSE_MILLIS);
    }

    /** Nothing more need be remembered of these. */
    public void forgetGroups(Collection<MessageGroup> groups) {
        groups.forEach(g -> historyByGroup.remove(g.firstNumber()));
    }
}
