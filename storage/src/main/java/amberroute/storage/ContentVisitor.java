package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Receives the live contents of a log, in no particular order. */
public interface ContentVisitor {
    /**
     * Receives one content.
     *
     * @param content a view of the log's own bytes, valid only during the call
     * @throws IOException if the content cannot be decoded; this aborts the scan
     */
    void visit(long ownerId, int kind, long version, ByteBuffer content) throws IOException;
}
