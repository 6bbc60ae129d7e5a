package amberroute.storage;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Where the last content of each kind of each owner is stored, which owners are deleted and what records that. Updates the live
 * bytes of the segments with each change. Reads and writes no file. Not thread-safe.
 */
final class LogIndex {
    private final Map<Long, OwnerContents> owners = new HashMap<>();
    private long nextOwner = 1;

    /** Returns a number that no owner had, also not in an earlier process. */
    long nextOwner() {
        return nextOwner++;
    }

    /** Returns the number that {@link #nextOwner} will return next. */
    long firstFreeOwner() {
        return nextOwner;
    }

    void reserveOwnersBelow(long next) {
        nextOwner = Math.max(nextOwner, next);
    }

    /** Returns what is known of an owner, or null. */
    OwnerContents find(long owner) {
        return owners.get(owner);
    }

    Collection<OwnerContents> owners() {
        return owners.values();
    }

    /** Records that a content is stored there; it counts unless a newer one is known. */
    void addContent(
            SegmentFile segment,
            long owner,
            int kind,
            boolean exclusive,
            long version,
            long recordOffset,
            long offset,
            int lengthBytes,
            int itemBytes) {
        reserveOwnersBelow(owner + 1);
        OwnerContents known = owners.computeIfAbsent(owner, OwnerContents::new);
        known.copies++;
        segment.addCopy(owner);
        ContentLocation content = replace(known, kind, exclusive, version);
        if (content == null) {
            return;
        }
        content.version = version;
        content.exclusive = exclusive;
        content.segment = segment;
        content.recordOffset = recordOffset;
        content.offset = offset;
        content.lengthBytes = lengthBytes;
        content.itemBytes = itemBytes;
        segment.addLive(known.deleted ? 0 : itemBytes);
    }

    /** Takes what the new content replaces out of the live bytes; null where the new one is itself replaced already. */
    private static ContentLocation replace(OwnerContents known, int kind, boolean exclusive, long version) {
        if (version < known.exclusiveVersion) {
            return null;
        }
        if (exclusive && version > known.exclusiveVersion) {
            // Lower versions of all kinds count no more, whether their segments are read before this one or after it.
            known.exclusiveVersion = version;
            known.clear();
        }
        ContentLocation content = known.find(kind);
        if (content == null) {
            return known.add(kind);
        }
        if (content.version > version) {
            return null;
        }
        content.segment.addLive(known.deleted ? 0 : -content.itemBytes);
        return content;
    }

    /** Records a tombstone of owners of which the index knows contents. */
    void addTombstone(SegmentFile segment, Collection<Long> deleted, int itemBytes) {
        Tombstone tombstone = new Tombstone(segment, itemBytes);
        for (long owner : deleted) {
            OwnerContents known = owners.get(owner);
            if (known != null) {
                attach(tombstone, known);
            }
        }
        addLive(tombstone);
    }

    /**
     * Records a tombstone that recovery has read. Owners that are unknown yet may follow in a later segment, as compaction moves
     * copies there.
     */
    void recoverTombstone(SegmentFile segment, Collection<Long> deleted, int itemBytes) {
        Tombstone tombstone = new Tombstone(segment, itemBytes);
        for (long owner : deleted) {
            attach(tombstone, owners.computeIfAbsent(owner, OwnerContents::new));
        }
        addLive(tombstone);
    }

    private void attach(Tombstone tombstone, OwnerContents known) {
        known.delete();
        if (known.tombstone != null) {
            known.detachTombstone();
        }
        known.tombstone = tombstone;
        tombstone.owners.add(known);
        reserveOwnersBelow(known.owner + 1);
    }

    private static void addLive(Tombstone tombstone) {
        if (!tombstone.owners.isEmpty()) {
            tombstone.segment.tombstones.add(tombstone);
            tombstone.segment.addLive(tombstone.itemBytes);
        }
    }

    /** Forgets all copies in a segment whose file is deleted. */
    void removeSegment(SegmentFile segment) {
        for (int i = 0; i < segment.copies; i++) {
            OwnerContents known = owners.get(segment.owners[i]);
            if (known != null) {
                known.copies--;
                forgetWithoutCopies(known);
            }
        }
    }

    /** Forgets all owners without copies, when recovery has read all segments. */
    void forgetOwnersWithoutCopies() {
        List.copyOf(owners.values()).forEach(this::forgetWithoutCopies);
    }

    /** A tombstone has to outlast the last copy of its owners, or a restart would find the copy without it. */
    private void forgetWithoutCopies(OwnerContents known) {
        if (known.copies == 0) {
            owners.remove(known.owner);
            if (known.tombstone != null) {
                known.detachTombstone();
            }
        }
    }
}
