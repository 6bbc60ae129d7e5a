package amberroute.storage;

/**
 * A range of unreadable bytes in a segment.
 *
 * @param startOffset offset of the first byte
 * @param endOffset offset after the last byte
 */
public record DamagedRange(long startOffset, long endOffset) {}
