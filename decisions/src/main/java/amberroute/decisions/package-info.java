/**
 * The decisions of a sender: {@link amberroute.DeliveryScheduler} is the interface, {@link amberroute.Policy} all decisions on
 * which endpoint, whether to try again and what to turn away, {@code State} what they remember.
 *
 * <p>No I/O, no clock, no threads and no libraries: events with their time come in, actions go out. Nothing here may
 * depend on any other module.
 */
package amberroute.decisions;
