package amberroute.storage;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * In-memory index of a log: where the latest content of each owner and kind is stored, which owners are deleted, and the tombstones
 * that record the deletions. Each change updates the live bytes of the segments. Not thread-safe.
 */
final class LogIndex {
    private final Map<Long, OwnerContents> owners = new HashMap<>();
    private long nextOwnerId = 1;

    /** Returns an ID that no owner has had, including in earlier processes. */
    long nextOwnerId() {
        return nextOwnerId++;
    }

    /** Returns the ID that {@link #nextOwnerId} will return next. */
    long firstFreeOwnerId() {
        return nextOwnerId;
    }

    void reserveOwnerIdsBelow(long firstFreeId) {
        nextOwnerId = Math.max(nextOwnerId, firstFreeId);
    }

    /** Returns the index entry of an owner, or null. */
    OwnerContents find(long ownerId) {
        return owners.get(ownerId);
    }

    Collection<OwnerContents> owners() {
        return owners.values();
    }

    /** Adds a stored content. It becomes the live one unless the index has a newer one. */
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

    /**
     * Subtracts the contents that the new one replaces from the live bytes.
     *
     * @return the location to update; null if the new content itself is already replaced
     */
    private static ContentLocation replaceOlderContents(
            OwnerContents ownerContents, int kind, boolean exclusive, long version) {
        if (version < ownerContents.exclusiveVersion) {
            return null;
        }
        if (exclusive && version > ownerContents.exclusiveVersion) {
            // Lower versions of all kinds are replaced, whether their segments are read before this one or after it.
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

    /** Adds a tombstone. Owners that are not in the index are ignored. */
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
     * Adds a tombstone that recovery has read. Contents of owners that are not in the index yet may follow in a later segment,
     * since compaction copies them there.
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

    /** Removes all copies in a segment whose file is deleted. */
    void removeCopies(SegmentFile segment) {
        for (int i = 0; i < segment.copyCount; i++) {
            OwnerContents ownerContents = owners.get(segment.copyOwnerIds[i]);
            if (ownerContents != null) {
                ownerContents.copyCount--;
                removeIfWithoutCopies(ownerContents);
            }
        }
    }

    /** Removes all owners without copies, after recovery has read all segments. */
    void removeOwnersWithoutCopies() {
        List.copyOf(owners.values()).forEach(this::removeIfWithoutCopies);
    }

    /** Keeps a tombstone until the last copy of its owner is removed, or a restart would recover the deleted contents. */
    private void removeIfWithoutCopies(OwnerContents ownerContents) {
        if (ownerContents.copyCount == 0) {
            owners.remove(ownerContents.ownerId);
            if (ownerContents.tombstone != null) {
                ownerContents.detachTombstone();
            }
        }
    }
}
