/**
 * Which messages a fleet rejects when a destination cannot take all. Daemons send each other short load reports: demand by priority band, and
 * what destinations answered. Each computes alone, from what it has heard, the capacity of a destination and its admission price: the
 * priority weight above which demand fits. {@link amberroute.overload.FleetAdmissionControl} is the entry.
 *
 * <p>Assumes that reports may be lost, delayed and repeated, and that a peer may report nonsense. Invariants: demand is counted before anything is
 * rejected, so reports do not depend on the price; no peer counts for more than all others together; the shares of a destination's
 * capacity that daemons use add up to 1 at most. Nobody's safety rests on prices.
 *
 * <p>No I/O; time and randomness come in with each call. Whether a message is rejected is decided by the decision module, which hears of
 * prices as events.
 */
package amberroute.overload;
