package amberroute.storage;

import java.util.Arrays;

/** What the log knows of one owner. */
final class OwnerContents {
    private static final ContentLocation[] NO_CONTENTS = new ContentLocation[0];

    final long ownerId;
    ContentLocation[] contents = NO_CONTENTS;
    /** Version of the last exclusive content, 0 without one; contents of lower versions do not count. */
    long exclusiveVersion;
    /** Contents of the owner in all segments, replaced ones and copies included. */
    int copyCount;

    boolean deleted;
    /** The item that records the deletion, null while none is on the disk. */
    Tombstone tombstone;

    OwnerContents(long ownerId) {
        this.ownerId = ownerId;
    }

    /** Returns the content of this kind, or null. */
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

    /** Drops all contents; those of a deleted owner are not live already. */
    void clear() {
        for (ContentLocation content : contents) {
            content.segment.addLiveBytes(deleted ? 0 : -content.itemBytes);
        }
        contents = NO_CONTENTS;
    }

    /** Marks the owner as deleted. */
    void markDeleted() {
        if (!deleted) {
            clear();
            deleted = true;
        }
    }

    /** Drops the tombstone's duty to this owner, since another one took it on or no copy of the owner is left. */
    void detachTombstone() {
        Tombstone detached = tombstone;
        tombstone = null;
        detached.owners.remove(this);
        if (detached.owners.isEmpty() && detached.segment.tombstones.remove(detached)) {
            detached.segment.addLiveBytes(-detached.itemBytes);
        }
    }
}
