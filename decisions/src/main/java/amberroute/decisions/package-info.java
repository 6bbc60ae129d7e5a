/**
 * The decisions of a sender: {@link amberroute.decisions.DeliveryScheduler} is the interface,
 * {@link amberroute.decisions.AtcDeliveryScheduler} dispatches events and fixes the order of one decision, and each other class
 * holds one rule, or the state that rules share. {@code docs/decisions.md} lists which class holds which rule.
 *
 * <p>No I/O, no clock, no threads and no libraries: events with their time come in, actions go out. Nothing here may depend on any
 * other module.
 */
package amberroute.decisions;
