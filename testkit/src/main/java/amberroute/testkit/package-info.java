/**
 * Stand-ins for all that surrounds a sender, of the project's own, written from the protocol page: partners with
 * capacity, queues, limits, cold starts and outages, discovery and notices, clients, and a proxy that spoils
 * connections. All that they saw stands in a {@link amberroute.testkit.DeliveryHistory}, which tells what was lost, done twice or
 * out of order.
 *
 * <p>Used by tests, by the demo and by rigs. It knows no class of the sender: it speaks to daemons by sockets alone, as
 * the outside does. One event loop owns a stage with all its stand-ins and its book; {@code DeliveryHistory} and {@code Partner}
 * do no I/O and take time and randomness from outside. All addresses are on loopback.
 */
package amberroute.testkit;
