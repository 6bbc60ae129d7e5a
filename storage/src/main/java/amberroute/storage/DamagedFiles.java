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
    private long bytes;

    DamagedFiles(Disk disk) {
        this.disk = disk;
    }

    /** Takes a file that recovery found. */
    void recovered(String name, long fileBytes) {
        names.add(name);
        bytes += fileBytes;
    }

    /** Returns the bytes that the files count for in the budget. */
    long usedBytes() {
        return SegmentTotals.roundUp(bytes) + names.size() * (long) SegmentTotals.BLOCK_BYTES;
    }

    /** Returns whether the files together stay within a bound with so many bytes more. */
    boolean fits(long moreBytes, long limitBytes) {
        return bytes + moreBytes <= limitBytes;
    }

    /** Renames a segment's file in place of deleting it. */
    void add(SegmentFile segment) throws IOException {
        while (names.size() >= MAX_FILES) {
            String oldest = names.first();
            bytes -= LogFiles.sizeOf(disk, oldest);
            disk.delete(oldest);
            names.remove(oldest);
        }
        disk.rename(segment.name, segment.name + SUFFIX);
        names.add(segment.name + SUFFIX);
        bytes += segment.bytes();
    }
}
