/**
 * The sender process: carries out the decisions of the delivery scheduler on sockets, and journals the messages that are pending.
 * One event loop owns the scheduler and all state; nothing that blocks runs on it, and there are no locks. The module depends on
 * no fleet, command line or simulator.
 */
package amberroute.sender;
