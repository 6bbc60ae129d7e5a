package amberroute.storage;

/** Sums over all segments, updated with each change, as each write asks for them. */
final class SegmentTotals {
    /** Size of a disk block, the unit in which files are counted. */
    static final int BLOCK_BYTES = 512;

    /** Bytes of the segments' files, each in whole blocks. */
    long blockBytes;
    /** Bytes of live contents and tombstones. */
    long liveBytes;
    /** Segments of which a force has failed. */
    int suspectSegments;

    /** Returns the bytes of whole blocks that a file of this size takes. */
    static long roundUpToBlocks(long bytes) {
        return (bytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }
}
