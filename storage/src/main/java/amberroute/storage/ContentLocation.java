package amberroute.storage;

/** The place where the latest content of one owner and kind is stored. */
final class ContentLocation {
    final int kind;
    /** Whether the content replaced all other contents of its owner. */
    boolean exclusive;
    /** Sequence number with which the content was first written; copies keep it. */
    long version;

    SegmentFile segment;
    /** Offset of the content's record in the segment, in bytes. */
    long recordOffset;
    /** Offset of the content's first byte in the segment, in bytes. */
    long offset;

    int lengthBytes;
    /** Length of the whole item, which counts as live. */
    int itemBytes;
    /** Whether the running {@link LiveContentScan} has passed the content to its visitor. */
    boolean visited;

    ContentLocation(int kind) {
        this.kind = kind;
    }
}
