/**
 * Reads the platform's settings, which are pairs of path and value, into {@link amberroute.decisions.DeliveryScheduler.Settings}.
 * It is used by the simulator's host of the scheduler and by the sender, which flattens its JSON configuration to the same paths.
 * This package does no I/O and depends on no other module of the project.
 */
package amberroute.decisions.settings;
