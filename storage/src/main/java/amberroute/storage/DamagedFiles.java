package amberroute.storage;

import java.io.IOException;
import java.util.TreeSet;

/**
 * Segments with unreadable bytes that were renamed when they were retired, for an operator to look at. The oldest is deleted
 * when there are too many. Not thread-safe.
 */
final class DamagedFiles {
    static final String SUFFIX = ".damaged";
    /** Files that are retained at most. */
    static final int MAX_FILES = 2;

    private final Disk disk;
    private final TreeSet<String> names = new TreeSet<>();
    private long totalBytes;

    DamagedFiles(Disk disk) {
        this.disk = disk;
    }

    /** Takes a file that recovery found. */
    void addRecovered(String name, long fileBytes) {
        names.add(name);
        totalBytes += fileBytes;
    }

    /** Returns the bytes that the files count for in the budget. */
    long usedBytes() {
        return SegmentTotals.roundUpToBlocks(totalBytes) + names.size() * (long) SegmentTotals.BLOCK_BYTES;
    }

    /** Returns whether the files together stay within a bound with so many bytes more. */
    boolean fits(long additionalBytes, long limitBytes) {
        return totalBytes + additionalBytes <= limitBytes;
    }

    /** Renames a segment's file in place of deleting it. */
    void add(SegmentFile segment) throws IOException {
        while (names.size() >= MAX_FILES) {
            String oldest = names.first();
            totalBytes -= LogFiles.sizeOf(disk, oldest);
            disk.delete(oldest);
            names.remove(oldest);
        }
        disk.rename(segment.name, segment.name + SUFFIX);
        names.add(segment.name + SUFFIX);
        totalBytes += segment.sizeBytes();
    }
}
