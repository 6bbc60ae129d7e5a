/**
 * Admission control of a fleet for destinations that cannot serve all demand. Senders exchange short load reports with the demand by
 * priority band and the rates that destinations served and rejected. From the reports that it received, each sender computes on its own
 * the capacity of a destination and its admission price: the priority weight above which the demand fits the capacity. The entry point is
 * {@link amberroute.overload.FleetAdmissionControl}.
 *
 * <p>Assumes that reports may be lost, delayed and duplicated, and that a peer may report wrong values. Invariants: demand is counted before
 * any message is rejected, so reports do not depend on the price; no peer counts for more than all others together; the fractions of a
 * destination's capacity that senders use add up to at most 1. Correctness does not depend on the prices.
 *
 * <p>The package does no I/O; the caller passes in time and randomness. The decision module decides whether a message is rejected; it
 * receives the prices as events.
 */
package amberroute.overload;
