package amberroute.storage;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * One segment's file as the log knows it: its name, its sizes and the owners with contents in it. Its name is the segment's
 * number and its salt, in hexadecimal of 16 digits each. Not thread-safe.
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
    /** The owner of each content in it, one entry for each copy. */
    long[] copyOwnerIds = new long[8];

    int copyCount;
    final Set<Tombstone> tombstones = new LinkedHashSet<>();
    private long liveBytes;
    private long sizeBytes;
    /**
     * The segment whose end only this one's head records, null for none. That one has bytes behind its end, which would count if
     * this segment were deleted first.
     */
    SegmentFile segmentWithEndRecordedHere;

    private boolean suspect;
    private boolean deleted;
    /** Whether it has unreadable bytes: then it is renamed, not deleted, when it is retired. */
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

    /** Returns whether this is the name of a segment's file. */
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

    /** Returns live bytes as a share of all bytes. */
    double liveRatio() {
        return liveBytes / (double) Math.max(1, sizeBytes);
    }

    /** Returns whether a force of it has failed, so that what was in memory only may be lost. */
    boolean isSuspect() {
        return suspect;
    }

    void markSuspect() {
        totals.suspectSegments += suspect ? 0 : 1;
        suspect = true;
    }

    /** Takes it out of all totals, as its file is deleted; later changes of its live bytes do not count. */
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
