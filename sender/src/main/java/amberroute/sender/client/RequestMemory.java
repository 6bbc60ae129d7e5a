package amberroute.sender.client;

/** Bounds the bytes that large requests of all connections hold together. Belongs to the event loop. */
final class RequestMemory {
    /** Requests up to this size need no reservation: the numbers of connections and of messages bound them. */
    static final int MAX_UNRESERVED_BYTES = 4_096;

    private long freeBytes;

    /** A budget of so many bytes. */
    RequestMemory(long bytes) {
        freeBytes = bytes;
    }

    /** Reserves so many bytes and returns true; false, with nothing reserved, where fewer are free. */
    boolean reserve(long bytes) {
        if (bytes > freeBytes) {
            return false;
        }
        freeBytes -= bytes;
        return true;
    }

    /** Returns reserved bytes. */
    void release(long bytes) {
        freeBytes += bytes;
    }
}
