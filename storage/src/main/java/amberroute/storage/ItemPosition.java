package amberroute.storage;

/**
 * Position of a content in a record that is being built.
 *
 * @param contentOffset offset of the content's first byte after the record header, in bytes
 * @param itemBytes length of the whole item
 */
record ItemPosition(int contentOffset, int itemBytes) {}
