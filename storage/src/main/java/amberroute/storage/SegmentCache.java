package amberroute.storage;

import java.util.HashMap;
import java.util.Map;

/**
 * Bytes of segments between recovery and the one reading that follows it, so that they are read and checked once. Bounded by a
 * share of the heap. Not thread-safe.
 */
final class SegmentCache {
    private static final int HEAP_DIVISOR = 8;

    private final Map<SegmentFile, byte[]> bytesBySegment = new HashMap<>();
    private long totalBytes;

    /** Retains the segment's bytes where the bound has room for them. */
    void add(SegmentFile segment, byte[] segmentBytes) {
        if (totalBytes + segmentBytes.length <= Runtime.getRuntime().maxMemory() / HEAP_DIVISOR) {
            bytesBySegment.put(segment, segmentBytes);
            totalBytes += segmentBytes.length;
        }
    }

    /** Returns the segment's bytes, or null. */
    byte[] get(SegmentFile segment) {
        return bytesBySegment.get(segment);
    }

    void clear() {
        bytesBySegment.clear();
        totalBytes = 0;
    }
}
