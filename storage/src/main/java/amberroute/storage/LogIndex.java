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
    private long nextOwnerId = 1;

    /** Returns a number that no owner had, also not in an earlier process. */
    long nextOwnerId() {
        return nextOwnerId++;
    }

    /** Returns the number that {@link #nextOwnerId} will return next. */
    long firstFreeOwnerId() {
        return nextOwnerId;
    }

    void reserveOwnerIdsBelow(long firstFreeId) {
        nextOwnerId = Math.max(nextOwnerId, firstFreeId);
    }

    /** Returns what is known of an owner, or null. */
    OwnerContents find(long ownerId) {
        return owners.get(ownerId);
    }

    Collection<OwnerContents> owners() {
        return owners.values();
    }

    /** Records that a content is stored there; it counts unless a newer one is known. */
    void addContent(
            SegmentFile segment,
            long ownerId,
            int kind,
            boolean exclusive,
            long version,
            long recordOffset,
            long offset,
            int lengthBytes,
            int itemBytes) {
        reserveOwnerIdsBelow(ownerId + 1);
        OwnerContents ownerContents = owners.computeIfAbsent(ownerId, OwnerContents::new);
        ownerContents.copyCount++;
        segment.addCopy(ownerId);
        ContentLocation content = replaceOlderContents(ownerContents, kind, exclusive, version);
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
        segment.addLiveBytes(ownerContents.deleted ? 0 : itemBytes);
    }

    /** Takes what the new content replaces out of the live bytes; null where the new one is itself replaced already. */
    private static ContentLocation replaceOlderContents(
            OwnerContents ownerContents, int kind, boolean exclusive, long version) {
        if (version < ownerContents.exclusiveVersion) {
            return null;
        }
        if (exclusive && version > ownerContents.exclusiveVersion) {
            // Lower versions of all kinds count no more, whether their segments are read before this one or after it.
            ownerContents.exclusiveVersion = version;
            ownerContents.clear();
        }
        ContentLocation content = ownerContents.find(kind);
        if (content == null) {
            return ownerContents.add(kind);
        }
        if (content.version > version) {
            return null;
        }
        content.segment.addLiveBytes(ownerContents.deleted ? 0 : -content.itemBytes);
        return content;
    }

    /** Records a tombstone of owners of which the index knows contents. */
    void addTombstone(SegmentFile segment, Collection<Long> deletedOwnerIds, int itemBytes) {
        Tombstone tombstone = new Tombstone(segment, itemBytes);
        for (long ownerId : deletedOwnerIds) {
            OwnerContents ownerContents = owners.get(ownerId);
            if (ownerContents != null) {
                attachTombstone(tombstone, ownerContents);
            }
        }
        addIfLive(tombstone);
    }

    /**
     * Records a tombstone that recovery has read. Owners that are unknown yet may follow in a later segment, as compaction moves
     * copies there.
     */
    void recoverTombstone(SegmentFile segment, Collection<Long> deletedOwnerIds, int itemBytes) {
        Tombstone tombstone = new Tombstone(segment, itemBytes);
        for (long ownerId : deletedOwnerIds) {
            attachTombstone(tombstone, owners.computeIfAbsent(ownerId, OwnerContents::new));
        }
        addIfLive(tombstone);
    }

    private void attachTombstone(Tombstone tombstone, OwnerContents ownerContents) {
        ownerContents.markDeleted();
        if (ownerContents.tombstone != null) {
            ownerContents.detachTombstone();
        }
        ownerContents.tombstone = tombstone;
        tombstone.owners.add(ownerContents);
        reserveOwnerIdsBelow(ownerContents.ownerId + 1);
    }

    private static void addIfLive(Tombstone tombstone) {
        if (!tombstone.owners.isEmpty()) {
            tombstone.segment.tombstones.add(tombstone);
            tombstone.segment.addLiveBytes(tombstone.itemBytes);
        }
    }

    /** Forgets all copies in a segment whose file is deleted. */
    void removeCopies(SegmentFile segment) {
        for (int i = 0; i < segment.copyCount; i++) {
            OwnerContents ownerContents = owners.get(segment.copyOwnerIds[i]);
            if (ownerContents != null) {
                ownerContents.copyCount--;
                removeIfWithoutCopies(ownerContents);
            }
        }
    }

    /** Forgets all owners without copies, when recovery has read all segments. */
    void removeOwnersWithoutCopies() {
        List.copyOf(owners.values()).forEach(this::removeIfWithoutCopies);
    }

    /** A tombstone has to outlast the last copy of its owners, or a restart would find the copy without it. */
    private void removeIfWithoutCopies(OwnerContents ownerContents) {
        if (ownerContents.copyCount == 0) {
            owners.remove(ownerContents.ownerId);
            if (ownerContents.tombstone != null) {
                ownerContents.detachTombstone();
            }
        }
    }
}
