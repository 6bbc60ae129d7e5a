package amberroute.storage;

import java.io.IOException;
import java.nio.ByteBuffer;

/** Takes the live contents of a log, in no particular order. */
public interface ContentVisitor {
    /**
     * Takes one content.
     *
     * @param visit a view of the log's own bytes, valid during the call only
     * @throws IOException where the content cannot be decoded; reading ends with it
     */
    void visit(long ownerId, int kind, long version, ByteBuffer visit) throws IOException;
}
