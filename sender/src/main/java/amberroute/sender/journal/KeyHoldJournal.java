package amberroute.sender.journal;

import amberroute.handoff.KeyHolds;
import amberroute.sender.message.AcceptedMessage;
import amberroute.storage.Batch;
import amberroute.storage.LogLimits;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Journals the ordered keys that other senders hold: messages of such a key wait here until the hold is released or
 * expires. Holds may take only a part of the budget, so that messages retain their space. Used on the event loop only.
 */
final class KeyHoldJournal {
    private static final int BUDGET_DIVISOR = 8;
    /** Bytes of the largest batch that a batch of holds leaves free, for the replication position. */
    private static final int BATCH_MARGIN_BYTES = 1_024;

    private final JournalContents contents;
    private final JournalWriter writer;
    private final LogLimits limits;

    KeyHoldJournal(JournalContents contents, JournalWriter writer, LogLimits limits) {
        this.contents = contents;
        this.writer = writer;
        this.limits = limits;
    }

    /** Writes holds; false if there is no space for all of them or the disk rejects some. */
    boolean hold(String origin, List<Long> keys, long untilMillis) {
        if (!hasRoomFor(keys.size())) {
            return false;
        }
        int holdsPerBatch =
                (int) Math.max(1, (limits.maxBatchBytes() - BATCH_MARGIN_BYTES) / RecordSizes.KEY_HOLD_BYTES);
        for (int from = 0; from < keys.size(); from += holdsPerBatch) {
            List<Long> chunk = keys.subList(from, Math.min(keys.size(), from + holdsPerBatch));
            Batch batch = new Batch();
            chunk.stream().distinct().forEach(key -> put(batch, new KeyHolds.KeyHold(origin, key, untilMillis)));
            if (!writer.write(batch)) {
                return false;
            }
            contents.holdKeys(origin, chunk, untilMillis);
        }
        return true;
    }

    /** Returns whether there is space for this many additional holds. */
    boolean hasRoomFor(int additionalHolds) {
        KeyHolds holds = contents.keyHolds;
        return holds.hasCapacity(additionalHolds)
                && RecordSizes.ofKeyHolds(holds.size() + additionalHolds) <= limits.budgetBytes() / BUDGET_DIVISOR
                && contents.space.fits(RecordSizes.ofKeyHolds(additionalHolds));
    }

    void put(Batch batch, KeyHolds.KeyHold hold) {
        long owner = contents.owners.getOrAllocate(OwnerNumbers.keyHold(hold.origin(), hold.key()));
        batch.put(owner, RecordKind.KEY_HOLD, JournalRecordCodec.encodeKeyHold(hold));
    }

    void delete(Batch batch, String origin, long key) {
        Long owner = contents.owners.find(OwnerNumbers.keyHold(origin, key));
        if (owner != null) {
            batch.delete(owner);
        }
    }

    /**
     * Releases holds and returns the keys that are not held any more. If the write fails, the holds on disk last until
     * they expire.
     */
    List<Long> release(String origin, List<Long> keys) {
        Batch batch = new Batch();
        keys.forEach(key -> delete(batch, origin, key));
        writer.write(batch);
        return contents.releaseKeys(origin, keys);
    }

    /**
     * Returns the rank of the first hold of each held key, comparable with {@link AcceptedMessage#rank}: messages of
     * the key with a lower rank were accepted before it.
     */
    Map<Long, Long> ranks() {
        Map<Long, Long> ranks = new HashMap<>();
        for (KeyHolds.KeyHold hold : contents.keyHolds.allHolds()) {
            Long rank = contents.owners.find(OwnerNumbers.keyHold(hold.origin(), hold.key()));
            ranks.merge(hold.key(), rank == null ? 0 : rank, Math::min);
        }
        return ranks;
    }

    /** Ends expired holds and returns the keys that are not held any more; the expiry of a hold is stored with it. */
    List<Long> expire(long nowMillis) {
        List<KeyHolds.KeyHold> expired = contents.keyHolds.allHolds().stream()
                .filter(hold -> hold.untilMillis() <= nowMillis)
                .toList();
        if (expired.isEmpty()) {
            return List.of();
        }
        Batch batch = new Batch();
        for (KeyHolds.KeyHold hold : expired) {
            delete(batch, hold.origin(), hold.key());
            contents.owners.remove(OwnerNumbers.keyHold(hold.origin(), hold.key()));
        }
        writer.write(batch);
        return contents.expireKeyHolds(nowMillis);
    }
}
