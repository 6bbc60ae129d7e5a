package amberroute.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What of the log has been forced to the disk, and what has to be. After a failed force nobody knows what of its segments is on
 * the disk: they are suspect until their live contents are copied and forced elsewhere. Not thread-safe.
 */
final class ForceTracker {
    private final LogFiles files;
    /** Sealed segments that are not forced yet, with their open files. */
    private final Map<SegmentFile, Disk.Handle> sealedUnforced = new HashMap<>();

    private boolean folderForceNeeded;
    private long forcedSequence;

    ForceTracker(LogFiles files) {
        this.files = files;
    }

    /** What recovery has found is taken for forced: nothing is known of it beyond that it was read. */
    void setRecoveredSequence(long sequence) {
        forcedSequence = sequence;
    }

    /** Returns the sequence number up to which records survive a loss of power, where no segment is suspect. */
    long forcedSequence() {
        return forcedSequence;
    }

    /** A file was created, renamed or deleted. */
    void folderChanged() {
        folderForceNeeded = true;
    }

    /** Takes a segment to which nothing is appended any more; owns its file until it is forced. */
    void addSealed(SegmentFile segment, Disk.Handle handle) {
        sealedUnforced.put(segment, handle);
    }

    boolean awaitsForce(SegmentFile segment) {
        return sealedUnforced.containsKey(segment);
    }

    /**
     * Returns what has to be forced for all records up to a sequence number; null where all of it has been.
     *
     * @param activeHandle file of the active segment, null where it has none
     */
    PendingForce prepare(long sequence, SegmentFile activeSegment, Disk.Handle activeHandle) {
        if (forcedSequence >= sequence && sealedUnforced.isEmpty() && !folderForceNeeded) {
            return null;
        }
        List<Disk.Handle> handles = new ArrayList<>(sealedUnforced.values());
        List<SegmentFile> segments = new ArrayList<>(sealedUnforced.keySet());
        if (activeHandle != null) {
            handles.add(activeHandle);
            segments.add(activeSegment);
        }
        boolean forceFolder = folderForceNeeded;
        folderForceNeeded = false;
        return new PendingForce(files.disk, handles, segments, sequence, forceFolder);
    }

    void forceCompleted(PendingForce force, boolean succeeded) {
        for (SegmentFile segment : force.segments()) {
            Disk.Handle sealedHandle = sealedUnforced.remove(segment);
            if (sealedHandle != null) {
                LogFiles.closeQuietly(sealedHandle);
            }
            if (!succeeded) {
                segment.markSuspect();
            }
        }
        if (succeeded) {
            forcedSequence = Math.max(forcedSequence, force.sequence());
        } else {
            folderForceNeeded = true;
        }
    }

    /** Closes all files; nothing is forced. */
    void close() {
        sealedUnforced.values().forEach(LogFiles::closeQuietly);
        sealedUnforced.clear();
    }
}
