package amberroute.storage;

import java.io.IOException;
import java.util.TreeSet;

/**
 * Files of retired segments that contain unreadable bytes. They are renamed instead of deleted if they fit the size limit, so that
 * an operator can inspect them. The oldest is deleted if there are more than {@link #MAX_FILES}. Not thread-safe.
 */
final class DamagedFiles {
    static final String SUFFIX = ".damaged";
    /** Maximum number of files kept. */
    static final int MAX_FILES = 2;

    private final Disk disk;
    private final TreeSet<String> names = new TreeSet<>();
    private long totalBytes;

    DamagedFiles(Disk disk) {
        this.disk = disk;
    }

    /** Adds a file that recovery has found. */
    void addRecovered(String name, long fileBytes) {
        names.add(name);
        totalBytes += fileBytes;
    }

    /** Returns the bytes that the files take of the budget. */
    long usedBytes() {
        return SegmentTotals.roundUpToBlocks(totalBytes) + names.size() * (long) SegmentTotals.BLOCK_BYTES;
    }

    /** Returns whether the total size stays within the limit if {@code additionalBytes} are added. */
    boolean fits(long additionalBytes, long limitBytes) {
        return totalBytes + additionalBytes <= limitBytes;
    }

    /** Renames a segment's file instead of deleting it, and deletes the oldest files beyond the limit. */
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
