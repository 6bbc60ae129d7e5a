package amberroute.storage;

import java.util.LinkedHashSet;
import java.util.Set;

/** An item that records the deletion of owners. It is live as long as any of them has a copy in a segment. */
final class Tombstone {
    /** The deleted owners that still have copies. */
    final Set<OwnerContents> owners = new LinkedHashSet<>();

    final SegmentFile segment;
    final int itemBytes;

    Tombstone(SegmentFile segment, int itemBytes) {
        this.segment = segment;
        this.itemBytes = itemBytes;
    }
}
