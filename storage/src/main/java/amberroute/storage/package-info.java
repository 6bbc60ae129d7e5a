/**
 * A segmented log with atomic batches, compaction, and recovery from torn writes and damaged files; {@link
 * amberroute.storage.SegmentLog} is the entry point. The log stores contents of owners. An owner is any entity of the caller, named
 * by a number that is never reused; a content is a byte string, of which an owner has at most one of each kind.
 *
 * <p>The package does not depend on what the contents mean. It writes no log lines and reports through its interfaces.
 */
package amberroute.storage;
