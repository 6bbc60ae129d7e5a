package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/**
 * A file of zeros that is truncated when the disk is full, so that the outcomes of pending messages can still be written.
 * Not thread-safe.
 */
final class SpaceReserve {
    static final String NAME = "reserve";
    private static final int CHUNK_BYTES = 8_192;

    private final Disk disk;
    private final long targetBytes;
    private long sizeBytes;

    SpaceReserve(Disk disk, long targetBytes) {
        this.disk = disk;
        this.targetBytes = targetBytes;
    }

    /** Sets the size of the file found by recovery. */
    void setRecoveredSize(long foundBytes) {
        sizeBytes = foundBytes;
    }

    long sizeBytes() {
        return sizeBytes;
    }

    boolean isAllocated() {
        return sizeBytes >= targetBytes;
    }

    /** Truncates the file; returns false if it is already empty or the operation fails. */
    boolean release() {
        if (sizeBytes == 0) {
            return false;
        }
        try (Disk.Handle handle = disk.openForWriting(NAME)) {
            handle.truncate(0);
            sizeBytes = 0;
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Rewrites the file; returns whether it was written completely. */
    boolean refill() {
        try (Disk.Handle handle = disk.openForWriting(NAME)) {
            try {
                handle.truncate(0);
                writeZeros(handle);
                sizeBytes = targetBytes;
            } catch (IOException e) {
                handle.truncate(0);
                sizeBytes = 0;
            }
        } catch (IOException e) {
            return false;
        }
        return isAllocated();
    }

    private void writeZeros(Disk.Handle handle) throws IOException {
        ByteBuffer zeros = ByteBuffer.allocate(CHUNK_BYTES);
        while (handle.size() < targetBytes) {
            zeros.clear().limit((int) Math.min(zeros.capacity(), targetBytes - handle.size()));
            SegmentWriter.writeFully(handle, zeros);
        }
    }
}
