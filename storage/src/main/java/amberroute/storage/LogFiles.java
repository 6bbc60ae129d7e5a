package amberroute.storage;

import java.io.IOException;
import java.util.TreeMap;

/** The files of a log and their share of its budget. Shared by the classes that read, write and delete them. */
final class LogFiles {
    final Disk disk;
    final LogLimits limits;
    final SegmentTotals totals = new SegmentTotals();
    /** By segment number, in the order of creation. */
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

    /** Returns the bytes of all files, each rounded up to whole blocks. */
    long usedBytes() {
        return SegmentTotals.roundUpToBlocks(reserve.sizeBytes()) + damagedFiles.usedBytes() + totals.blockBytes;
    }

    /**
     * Writes the reserve file if it is missing or incomplete and the budget has room for it; returns whether the reserve is
     * complete.
     */
    boolean refillReserve() {
        long reserveBytes = SegmentTotals.roundUpToBlocks(limits.reserveBytes());
        if (reserve.isAllocated() || usedBytes() + reserveBytes + limits.segmentBytes() > limits.budgetBytes()) {
            return reserve.isAllocated();
        }
        return reserve.refill();
    }

    /** Deletes a segment's file, or keeps it as a damaged file if it is damaged and the limit of those files has room. */
    void remove(SegmentFile segment) throws IOException {
        if (segment.damaged && damagedFiles.fits(segment.sizeBytes(), limits.segmentBytes())) {
            damagedFiles.add(segment);
        } else {
            disk.delete(segment.name);
        }
    }

    /** Reads at most {@code maxBytes} of a segment's file. */
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

    /** Closes a file that is no longer written to, ignoring errors. */
    static void closeQuietly(Disk.Handle handle) {
        try {
            handle.close();
        } catch (IOException e) {
            // Errors that affect written data have been reported by the writes and forces.
        }
    }
}
