package amberroute.storage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks which parts of the log have been forced to the disk and which have not. After a failed force it is unknown which data of
 * its segments is on the disk: they are suspect until their live contents have been copied to other segments and forced there. Not
 * thread-safe.
 */
final class ForceTracker {
    private final LogFiles files;
    /** Sealed segments that have not been forced yet, with their open files. */
    private final Map<SegmentFile, Disk.Handle> sealedUnforced = new HashMap<>();

    private boolean folderForceNeeded;
    private long forcedSequence;

    ForceTracker(LogFiles files) {
        this.files = files;
    }

    /** Treats the records found by recovery as forced: all that is known of them is that they could be read. */
    void setRecoveredSequence(long sequence) {
        forcedSequence = sequence;
    }

    /** Returns the sequence number up to which records survive a power loss, provided that no segment is suspect. */
    long forcedSequence() {
        return forcedSequence;
    }

    /** Notes that a file was created, renamed or deleted. */
    void folderChanged() {
        folderForceNeeded = true;
    }

    /** Adds a segment that is no longer appended to. Takes over its open file and closes it after the force. */
    void addSealed(SegmentFile segment, Disk.Handle handle) {
        sealedUnforced.put(segment, handle);
    }

    boolean awaitsForce(SegmentFile segment) {
        return sealedUnforced.containsKey(segment);
    }

    /**
     * Returns the files that have to be forced for all records up to a sequence number; null if there are none.
     *
     * @param activeHandle open file of the active segment; null if it is not open
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

    /** Closes all files without forcing them. */
    void close() {
        sealedUnforced.values().forEach(LogFiles::closeQuietly);
        sealedUnforced.clear();
    }
}
