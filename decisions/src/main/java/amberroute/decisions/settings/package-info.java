/**
 * Reads the platform's settings, pairs of path and value, into the module's own terms. Both who hosts the module on the
 * simulator's wire and the daemon that flattens its JSON to the same paths read them here; it does no I/O and depends
 * on nothing but {@link amberroute.DeliveryScheduler}.
 */
package amberroute.decisions.settings;
