package amberroute.storage;

import java.io.IOException;
import java.util.List;

/**
 * The files that have to be forced so that all records up to {@link #sequence} survive a power loss. Created by {@link
 * SegmentLog#prepareForce}. The log does not close these files before {@link SegmentLog#forceCompleted}.
 */
public final class PendingForce {
    private final Disk disk;
    private final List<Disk.Handle> handles;
    private final List<SegmentFile> segments;
    private final long sequence;
    private final boolean forceFolder;

    PendingForce(Disk disk, List<Disk.Handle> handles, List<SegmentFile> segments, long sequence, boolean forceFolder) {
        this.disk = disk;
        this.handles = handles;
        this.segments = segments;
        this.sequence = sequence;
        this.forceFolder = forceFolder;
    }

    /**
     * Forces the files. Slow; may be called on any thread.
     *
     * @throws IOException if a force failed; which data of these segments is on the disk is then unknown
     */
    public void run() throws IOException {
        for (Disk.Handle handle : handles) {
            handle.force();
        }
        if (forceFolder) {
            disk.forceFolder();
        }
    }

    /** Returns the sequence number of the last record that this force covers. */
    public long sequence() {
        return sequence;
    }

    List<SegmentFile> segments() {
        return segments;
    }
}
