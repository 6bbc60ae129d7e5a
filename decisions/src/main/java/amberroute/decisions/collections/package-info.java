/**
 * Data structures that keep messages in order and compute sums over them, so that the cost of a decision grows with the
 * logarithm of the number of pending messages. They make no decisions and know nothing of destinations, calls or rules. They do
 * no I/O, read no clock, start no threads, use no random numbers and depend on no other package of the project. Times are
 * microseconds on the caller's clock.
 */
package amberroute.decisions.collections;
