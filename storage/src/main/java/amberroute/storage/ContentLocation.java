package amberroute.storage;

/** Where the last content of one kind of an owner is stored. */
final class ContentLocation {
    final int kind;
    /** Whether it replaced all contents of its owner. */
    boolean exclusive;
    /** Sequence number under which it was first written; copies retain it. */
    long version;

    SegmentFile segment;
    /** Offset of its record in the segment, in bytes. */
    long recordOffset;
    /** Offset of its first byte in the segment, in bytes. */
    long offset;

    int lengthBytes;
    /** Its length with the item's head: what it counts as live. */
    int itemBytes;
    /** Whether the reading that is under way has given it to the reader. */
    boolean visited;

    ContentLocation(int kind) {
        this.kind = kind;
    }
}
