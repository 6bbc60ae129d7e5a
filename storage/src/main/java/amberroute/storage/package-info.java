/**
 * A log of segments that stores contents of owners: durable batches, compaction, recovery from torn writes and damage. It knows
 * nothing of messages, and reports by its interfaces: it writes no log lines. {@link amberroute.storage.SegmentLog} is its entry.
 */
package amberroute.storage;
