/** The write-ahead journal of accepted messages, the lock and fencing token of its directory, and the clock that survives restarts. */
package amberroute.sender.journal;
