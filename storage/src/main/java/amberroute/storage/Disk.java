package amberroute.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations that a log needs of a folder. What was written but not forced may be lost, in any order, when power fails; it
 * survives the end of the process. A name survives a loss of power after {@link #forceFolder()}.
 */
public interface Disk {
    /** Returns the names of the files in the folder, in no order. */
    List<String> list() throws IOException;

    /** Opens a file for writing, a new and empty one where there is none. The caller closes it. */
    Handle openForWriting(String name) throws IOException;

    /** Opens an existing file for reading only. The caller closes it. */
    Handle openForReading(String name) throws IOException;

    /** Renames a file, and replaces {@code to} in one step. */
    void rename(String oldName, String newName) throws IOException;

    /** Deletes a file; does nothing where there is none. */
    void delete(String name) throws IOException;

    /** Makes the names that were created, replaced or deleted survive a loss of power. Slow; may be called on any thread. */
    void forceFolder() throws IOException;

    /** One open file. */
    interface Handle extends Closeable {
        /** Returns the size in bytes. */
        long size() throws IOException;

        /** Reads up to the buffer's room from an offset; returns the bytes read, -1 at the end. */
        int read(long offset, ByteBuffer buffer) throws IOException;

        /** Appends to the file and returns the bytes written: fewer than asked for, or an error behind some of them, may come. */
        int append(ByteBuffer buffer) throws IOException;

        /** Cuts the file to a size in bytes. */
        void truncate(long size) throws IOException;

        /**
         * Makes what was written survive a loss of power. Slow; may be called on any thread.
         *
         * @throws IOException where that failed: what the disk has is unknown from then on, a second call does not tell
         */
        void force() throws IOException;
    }
}
