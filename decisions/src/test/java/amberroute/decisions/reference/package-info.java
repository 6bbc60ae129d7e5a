/**
 * The decision module as it was before its data structures were changed, kept unchanged, and worlds of random events that play it
 * beside the present one: the same actions in the same order are wanted. What is learned of a difference stands in
 * {@code docs/decisions.md}.
 */
package amberroute.decisions.reference;
