/**
 * Reads the platform's settings, pairs of path and value, into the terms of {@link amberroute.decisions.DeliveryScheduler}. Both
 * the host of the module on the simulator's wire and the daemon, which flattens its JSON to the same paths, read them here. No I/O,
 * and no other package of the project.
 */
package amberroute.decisions.settings;
