package amberroute.storage;

/**
 * Where a content is in the items of a record that is being built.
 *
 * @param contentOffset of the content's first byte behind the record's frame, in bytes
 * @param itemBytes length with the item's own head
 */
record ItemPosition(int contentOffset, int itemBytes) {}
