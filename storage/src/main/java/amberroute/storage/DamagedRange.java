package amberroute.storage;

/**
 * Bytes of a segment that could not be read.
 *
 * @param startOffset offset of the first one
 * @param endOffset offset behind the last one
 */
public record DamagedRange(long startOffset, long endOffset) {}
