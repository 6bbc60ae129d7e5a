/**
 * The write-ahead journal of a sender and the other files of its state folder: the lock, the fence and the clock. {@link
 * amberroute.sender.journal.Journal} is its entry, on top of {@link amberroute.storage.SegmentLog}.
 */
package amberroute.sender.journal;
