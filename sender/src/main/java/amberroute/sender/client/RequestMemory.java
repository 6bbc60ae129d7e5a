package amberroute.sender.client;

/** Bounds the bytes that incomplete requests of all connections hold together. Belongs to the event loop. */
final class RequestMemory {
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
