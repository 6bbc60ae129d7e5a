package amberroute.storage;

import java.util.Arrays;

/** The index entry of one owner. */
final class OwnerContents {
    private static final ContentLocation[] NO_CONTENTS = new ContentLocation[0];

    final long ownerId;
    ContentLocation[] contents = NO_CONTENTS;
    /** Version of the latest exclusive content, 0 if there is none; contents of lower versions are replaced. */
    long exclusiveVersion;
    /** Number of the owner's contents in all segments, including replaced contents and copies. */
    int copyCount;

    boolean deleted;
    /** The item that records the deletion; null if none is on the disk. */
    Tombstone tombstone;

    OwnerContents(long ownerId) {
        this.ownerId = ownerId;
    }

    /** Returns the location of the content of a kind, or null. */
    ContentLocation find(int kind) {
        for (ContentLocation content : contents) {
            if (content.kind == kind) {
                return content;
            }
        }
        return null;
    }

    ContentLocation add(int kind) {
        ContentLocation content = new ContentLocation(kind);
        contents = Arrays.copyOf(contents, contents.length + 1);
        contents[contents.length - 1] = content;
        return content;
    }

    /** Removes all contents. Those of a deleted owner no longer count as live. */
    void clear() {
        for (ContentLocation content : contents) {
            content.segment.addLiveBytes(deleted ? 0 : -content.itemBytes);
        }
        contents = NO_CONTENTS;
    }

    /** Marks the owner as deleted and removes its contents. */
    void markDeleted() {
        if (!deleted) {
            clear();
            deleted = true;
        }
    }

    /** Detaches the tombstone, since a later one replaces it or no copy of the owner is left. */
    void detachTombstone() {
        Tombstone detached = tombstone;
        tombstone = null;
        detached.owners.remove(this);
        if (detached.owners.isEmpty() && detached.segment.tombstones.remove(detached)) {
            detached.segment.addLiveBytes(-detached.itemBytes);
        }
    }
}
