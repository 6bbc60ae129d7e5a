package amberroute.sender.lifecycle;

import amberroute.sender.util.LogEvent;

/**
 * Brings the heap to its full size, so that the memory of a process does not grow while it serves. The JVM starts with a smaller
 * heap: two processes of one sender share one limit while one replaces the other, and the new one has to fit beside the old.
 * Asked for by the system property {@code amberroute.heap.commit}, as only whoever sets the heap's sizes knows that they are
 * meant so; without it nothing happens.
 */
public final class HeapReserve {
    private static final String PROPERTY = "amberroute.heap.commit";
    /** The heap of a configuration that says so is small: more than this is taken for a mistake. */
    private static final long MOST_BYTES = 1L << 28;

    /** Not allocated, so that the block surely fits: a JVM may be set to exit when an allocation fails. */
    private static final long MARGIN_BYTES = 1L << 16;

    private HeapReserve() {}

    /** Takes some tens of milliseconds, one collection among them. Not on the event loop. */
    public static void commit() {
        long missing = Runtime.getRuntime().maxMemory() - Runtime.getRuntime().totalMemory() - MARGIN_BYTES;
        if (!Boolean.getBoolean(PROPERTY) || missing <= 0 || missing > MOST_BYTES) {
            return;
        }
        try {
            touch(new byte[(int) missing]);
        } catch (OutOfMemoryError e) {
            // The heap grows when it is needed, then.
            LogEvent.of("heap_reserve_failed").with("missing_bytes", missing).warn();
        }
        System.gc();
    }

    /** A block that is not used might never be allocated. */
    private static void touch(byte[] block) {
        block[block.length - 1] = 1;
    }
}
