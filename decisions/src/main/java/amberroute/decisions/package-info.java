/**
 * Decides when and where a sender delivers its messages. {@link amberroute.decisions.DeliveryScheduler} is the interface;
 * {@link amberroute.decisions.AtcDeliveryScheduler} implements it: it passes each event to the class that handles it and runs
 * the steps of a decision in order. Every other class holds one rule, or state that several rules share. {@code
 * docs/decisions.md} lists the rules and their classes.
 *
 * <p>The package does no I/O, reads no clock, starts no threads and uses no libraries: the caller passes events with their time
 * and receives actions. It must not depend on any other module.
 */
package amberroute.decisions;
