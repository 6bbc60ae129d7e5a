package amberroute.storage;

/**
 * Bytes of a segment that could not be read.
 *
 * @param from offset of the first one
 * @param to offset behind the last one
 */
public record DamagedRange(long from, long to) {}
