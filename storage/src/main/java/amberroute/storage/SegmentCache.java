package amberroute.storage;

import java.util.HashMap;
import java.util.Map;

/**
 * Bytes of segments between recovery and the one reading that follows it, so that they are read and checked once. Bounded by a
 * share of the heap. Not thread-safe.
 */
final class SegmentCache {
    private static final int HEAP_SHARE = 8;

    private final Map<SegmentFile, byte[]> bytes = new HashMap<>();
    private long totalBytes;

    /** Retains the segment's bytes where the bound has room for them. */
    void add(SegmentFile segment, byte[] all) {
        if (totalBytes + all.length <= Runtime.getRuntime().maxMemory() / HEAP_SHARE) {
            bytes.put(segment, all);
            totalBytes += all.length;
        }
    }

    /** Returns the segment's bytes, or null. */
    byte[] get(SegmentFile segment) {
        return bytes.get(segment);
    }

    void clear() {
        bytes.clear();
        totalBytes = 0;
    }
}
