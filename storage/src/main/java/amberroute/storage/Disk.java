package amberroute.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/**
 * The operations that a log needs on a folder. Data that is written but not forced survives the end of the process, but a power
 * loss may lose any part of it. Created, renamed and deleted files survive a power loss after {@link #forceFolder()}.
 */
public interface Disk {
    /** Returns the names of the files in the folder, in no particular order. */
    List<String> list() throws IOException;

    /** Opens a file for writing and creates it if it does not exist. The caller closes it. */
    Handle openForWriting(String name) throws IOException;

    /** Opens an existing file for reading. The caller closes it. */
    Handle openForReading(String name) throws IOException;

    /** Renames a file, atomically replacing an existing file of the new name. */
    void rename(String oldName, String newName) throws IOException;

    /** Deletes a file if it exists. */
    void delete(String name) throws IOException;

    /** Makes created, renamed and deleted files survive a power loss. Slow; may be called on any thread. */
    void forceFolder() throws IOException;

    /** An open file. */
    interface Handle extends Closeable {
        /** Returns the size in bytes. */
        long size() throws IOException;

        /** Reads into the buffer's remaining space from an offset; returns the number of bytes read, -1 at the end of the file. */
        int read(long offset, ByteBuffer buffer) throws IOException;

        /**
         * Appends to the file.
         *
         * @return the number of bytes written, which may be fewer than the buffer has
         * @throws IOException if the write failed; a part of the bytes may have been written
         */
        int append(ByteBuffer buffer) throws IOException;

        /** Truncates the file to a size in bytes. */
        void truncate(long size) throws IOException;

        /**
         * Makes all written data survive a power loss. Slow; may be called on any thread.
         *
         * @throws IOException if the force failed; which data is on the disk is then unknown, and a later successful call does not
         *     mean that all of it is
         */
        void force() throws IOException;
    }
}
