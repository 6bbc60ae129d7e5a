/**
 * Hosts the decisions on the simulator's wire, on standard input and output. It may use the decisions and nothing of
 * the daemon, which does not know it.
 */
package amberroute.simulator;
