/**
 * A frozen reference implementation of the scheduler, from before its data structures were changed, and random scenarios that run
 * it side by side with the present one. Both must take the same actions in the same order; {@code docs/decisions.md} lists the
 * intended differences.
 */
package amberroute.decisions.reference;
