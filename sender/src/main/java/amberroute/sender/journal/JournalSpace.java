package amberroute.sender.journal;

import amberroute.storage.SegmentLog;

/**
 * The part of the disk budget that live records have reserved, in bytes. Each message reserves space for all its later
 * records, so that an accepted message can always be completed. Not thread-safe.
 */
final class JournalSpace {
    private final long budgetBytes;
    private final long capacityBytes;
    private long reservedBytes;

    JournalSpace(SegmentLog log) {
        budgetBytes = log.limits().budgetBytes();
        capacityBytes = budgetBytes - log.reservedBytes();
    }

    long budgetBytes() {
        return budgetBytes;
    }

    boolean fits(long moreBytes) {
        return reservedBytes + moreBytes <= capacityBytes;
    }

    void reserve(long bytes) {
        reservedBytes += bytes;
    }

    void release(long bytes) {
        reservedBytes -= bytes;
    }
}
