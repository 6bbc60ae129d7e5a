package amberroute.storage;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * State of one segment's file: its name, its sizes and the owners with contents in it. The file name consists of the segment's
 * number and salt, each as 16 hexadecimal digits. Not thread-safe.
 */
final class SegmentFile {
    private static final String SUFFIX = ".seg";
    private static final int NUMBER_DIGITS = 16;
    private static final int SALT_INDEX = NUMBER_DIGITS + 1;
    private static final int HEX_RADIX = 16;

    private final SegmentTotals totals;
    final String name;
    final long number;
    final long salt;
    /** The owner ID of each content in the segment, one entry for each copy. */
    long[] copyOwnerIds = new long[8];

    int copyCount;
    final Set<Tombstone> tombstones = new LinkedHashSet<>();
    private long liveBytes;
    private long sizeBytes;
    /**
     * The segment whose end is recorded only in this segment's header; null if there is none. That segment has bytes after its end,
     * which would be recovered if this segment were deleted first.
     */
    SegmentFile segmentWithEndRecordedHere;

    private boolean suspect;
    private boolean deleted;
    /**
     * Whether the segment has unreadable bytes; its file is then kept when the segment is retired, if the limit on damaged files
     * has room.
     */
    boolean damaged;

    SegmentFile(SegmentTotals totals, String name) {
        this.totals = totals;
        this.name = name;
        number = Long.parseUnsignedLong(name.substring(0, NUMBER_DIGITS), HEX_RADIX);
        salt = Long.parseUnsignedLong(name.substring(SALT_INDEX, SALT_INDEX + NUMBER_DIGITS), HEX_RADIX);
    }

    static String fileNameOf(long number, long salt) {
        return String.format("%016x-%016x%s", number, salt, SUFFIX);
    }

    /** Returns whether this is the file name of a segment. */
    static boolean isSegmentFileName(String name) {
        return name.matches("[0-9a-f]{16}-[0-9a-f]{16}\\" + SUFFIX);
    }

    long sizeBytes() {
        return sizeBytes;
    }

    void setSizeBytes(long newSizeBytes) {
        totals.blockBytes += SegmentTotals.roundUpToBlocks(newSizeBytes) - SegmentTotals.roundUpToBlocks(sizeBytes);
        sizeBytes = newSizeBytes;
    }

    void addLiveBytes(long deltaBytes) {
        if (!deleted) {
            totals.liveBytes += deltaBytes;
            liveBytes += deltaBytes;
        }
    }

    /** Returns the live bytes as a share of all bytes. */
    double liveRatio() {
        return liveBytes / (double) Math.max(1, sizeBytes);
    }

    /** Returns whether a force of this segment has failed, so that data which was only in memory may be lost. */
    boolean isSuspect() {
        return suspect;
    }

    void markSuspect() {
        totals.suspectSegments += suspect ? 0 : 1;
        suspect = true;
    }

    /** Removes a segment whose file is deleted from all totals; later changes of its live bytes are ignored. */
    void markDeleted() {
        setSizeBytes(0);
        addLiveBytes(-liveBytes);
        totals.suspectSegments -= suspect ? 1 : 0;
        suspect = false;
        deleted = true;
    }

    void addCopy(long ownerId) {
        if (copyCount == copyOwnerIds.length) {
            copyOwnerIds = Arrays.copyOf(copyOwnerIds, 2 * copyCount);
        }
        copyOwnerIds[copyCount++] = ownerId;
    }
}
