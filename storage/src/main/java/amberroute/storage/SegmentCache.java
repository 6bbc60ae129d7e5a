package amberroute.storage;

import java.util.HashMap;
import java.util.Map;

/**
 * Keeps the bytes of segments between recovery and the first scan, so that they are read and verified only once. Limited to a share
 * of the heap. Not thread-safe.
 */
final class SegmentCache {
    /** The cache takes at most 1/8 of the maximum heap. */
    private static final int HEAP_DIVISOR = 8;

    private final Map<SegmentFile, byte[]> bytesBySegment = new HashMap<>();
    private long totalBytes;

    /** Caches a segment's bytes if they fit the limit. */
    void add(SegmentFile segment, byte[] segmentBytes) {
        if (totalBytes + segmentBytes.length <= Runtime.getRuntime().maxMemory() / HEAP_DIVISOR) {
            bytesBySegment.put(segment, segmentBytes);
            totalBytes += segmentBytes.length;
        }
    }

    /** Returns a segment's bytes, or null if they are not cached. */
    byte[] get(SegmentFile segment) {
        return bytesBySegment.get(segment);
    }

    void clear() {
        bytesBySegment.clear();
        totalBytes = 0;
    }
}
