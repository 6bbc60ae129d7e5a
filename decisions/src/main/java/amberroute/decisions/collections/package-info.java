/**
 * Data structures that keep messages in order and sums over them, so that a decision costs the logarithm of what is pending. They
 * decide nothing and know no destinations, calls or rules. No I/O, no clock, no threads, no randomness, and no other package of the
 * project. Times are microseconds on the caller's clock.
 */
package amberroute.decisions.collections;
