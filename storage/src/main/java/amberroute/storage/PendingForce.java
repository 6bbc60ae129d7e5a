package amberroute.storage;

import java.io.IOException;
import java.util.List;

/**
 * The files that have to be forced so that all records up to {@link #sequence} survive a loss of power. Made by {@link
 * SegmentLog#prepareForce}; the log closes its files only in {@link SegmentLog#forceCompleted}.
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
     * @throws IOException where a force failed: what the disk has of these segments is unknown from then on
     */
    public void run() throws IOException {
        for (Disk.Handle handle : handles) {
            handle.force();
        }
        if (forceFolder) {
            disk.forceFolder();
        }
    }

    /** Returns the sequence number of the last record that this covers. */
    public long sequence() {
        return sequence;
    }

    List<SegmentFile> segments() {
        return segments;
    }
}
