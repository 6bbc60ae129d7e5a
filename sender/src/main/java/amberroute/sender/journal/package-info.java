/**
 * The write-ahead journal of a sender and the other files of its state folder: the lock, the fencing token and the
 * clock. The entry point is {@link amberroute.sender.journal.Journal}, based on {@link amberroute.storage.SegmentLog}.
 */
package amberroute.sender.journal;
