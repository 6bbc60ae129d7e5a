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
    private static final int HEXADECIMAL = 16;

    private final SegmentTotals totals;
    final String name;
    final long number;
    final long salt;
    /** The owner of each content in it, one entry for each copy. */
    long[] owners = new long[8];

    int copies;
    final Set<Tombstone> tombstones = new LinkedHashSet<>();
    private long liveBytes;
    private long bytes;
    /**
     * The segment whose end only this one's head records, null for none. That one has bytes behind its end, which would count if
     * this segment were deleted first.
     */
    SegmentFile endRecordedHere;

    private boolean suspect;
    private boolean deleted;
    /** Whether it has unreadable bytes: then it is renamed, not deleted, when it is retired. */
    boolean damaged;

    SegmentFile(SegmentTotals totals, String name) {
        this.totals = totals;
        this.name = name;
        number = Long.parseUnsignedLong(name.substring(0, NUMBER_DIGITS), HEXADECIMAL);
        salt = Long.parseUnsignedLong(name.substring(SALT_INDEX, SALT_INDEX + NUMBER_DIGITS), HEXADECIMAL);
    }

    static String nameOf(long number, long salt) {
        return String.format("%016x-%016x%s", number, salt, SUFFIX);
    }

    /** Returns whether this is the name of a segment's file. */
    static boolean isName(String name) {
        return name.matches("[0-9a-f]{16}-[0-9a-f]{16}\\" + SUFFIX);
    }

    long bytes() {
        return bytes;
    }

    void setBytes(long now) {
        totals.blockBytes += SegmentTotals.roundUp(now) - SegmentTotals.roundUp(bytes);
        bytes = now;
    }

    void addLive(long more) {
        if (!deleted) {
            totals.liveBytes += more;
            liveBytes += more;
        }
    }

    /** Returns live bytes as a share of all bytes. */
    double liveRatio() {
        return liveBytes / (double) Math.max(1, bytes);
    }

    /** Returns whether a force of it has failed, so that what was in memory only may be lost. */
    boolean suspect() {
        return suspect;
    }

    void markSuspect() {
        totals.suspects += suspect ? 0 : 1;
        suspect = true;
    }

    /** Takes it out of all totals, as its file is deleted; later changes of its live bytes do not count. */
    void markDeleted() {
        setBytes(0);
        addLive(-liveBytes);
        totals.suspects -= suspect ? 1 : 0;
        suspect = false;
        deleted = true;
    }

    void addCopy(long owner) {
        if (copies == owners.length) {
            owners = Arrays.copyOf(owners, 2 * copies);
        }
        owners[copies++] = owner;
    }
}
