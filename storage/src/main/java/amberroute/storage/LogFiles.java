package amberroute.storage;

import java.io.IOException;
import java.util.TreeMap;

/** The files of a log and what they take of its budget. Shared by the classes that read, write and delete them. */
final class LogFiles {
    final Disk disk;
    final LogLimits limits;
    final SegmentTotals totals = new SegmentTotals();
    /** By segment number, in the order in which they were begun. */
    final TreeMap<Long, SegmentFile> segments = new TreeMap<>();

    final SegmentCache cache = new SegmentCache();
    final SpaceReserve reserve;
    final DamagedFiles damagedFiles;

    LogFiles(Disk disk, LogLimits limits) {
        this.disk = disk;
        this.limits = limits;
        reserve = new SpaceReserve(disk, limits.reserveBytes());
        damagedFiles = new DamagedFiles(disk);
    }

    /** Returns the bytes of all files, each in whole blocks. */
    long usedBytes() {
        return SegmentTotals.roundUpToBlocks(reserve.sizeBytes()) + damagedFiles.usedBytes() + totals.blockBytes;
    }

    /** Writes the reserve's file anew where it is missing and the budget has room; returns whether it is there. */
    boolean refillReserve() {
        long reserveBytes = SegmentTotals.roundUpToBlocks(limits.reserveBytes());
        if (reserve.isAllocated() || usedBytes() + reserveBytes + limits.segmentBytes() > limits.budgetBytes()) {
            return reserve.isAllocated();
        }
        return reserve.refill();
    }

    /** Deletes a segment's file, or renames it where it is damaged and the damaged files have room. */
    void remove(SegmentFile segment) throws IOException {
        if (segment.damaged && damagedFiles.fits(segment.sizeBytes(), limits.segmentBytes())) {
            damagedFiles.add(segment);
        } else {
            disk.delete(segment.name);
        }
    }

    /** Reads a segment's file, at most so many bytes. */
    byte[] load(SegmentFile segment, long maxBytes) throws IOException {
        try (Disk.Handle handle = disk.openForReading(segment.name)) {
            return SegmentReader.load(handle, maxBytes);
        }
    }

    static long sizeOf(Disk disk, String name) throws IOException {
        try (Disk.Handle handle = disk.openForReading(name)) {
            return handle.size();
        }
    }

    /** Closes a file to which nothing is written any more. */
    static void closeQuietly(Disk.Handle handle) {
        try {
            handle.close();
        } catch (IOException e) {
            // All that was written to it has been reported by its writes and forces.
        }
    }
}
