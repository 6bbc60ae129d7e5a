package amberroute.storage;

/** Sums over all segments. They are updated with each change, since each write reads them. */
final class SegmentTotals {
    /** Size of a disk block, the unit in which the size of files is counted. */
    static final int BLOCK_BYTES = 512;

    /** Bytes of the segment files, each rounded up to whole blocks. */
    long blockBytes;
    /** Bytes of live contents and tombstones. */
    long liveBytes;
    /** Number of segments whose force has failed. */
    int suspectSegments;

    /** Returns the size of a file, rounded up to whole blocks. */
    static long roundUpToBlocks(long bytes) {
        return (bytes + BLOCK_BYTES - 1) / BLOCK_BYTES * BLOCK_BYTES;
    }
}
