/** Start, ownership transfer between two processes of one sender, reclaim, recovery of orphaned journals, and shutdown. */
package amberroute.sender.lifecycle;
