/**
 * Many daemons from one service definition, and the supervisor that watches over them.
 *
 * <p>{@link amberroute.fleet.FleetDefinition} is the file, {@link amberroute.fleet.SupervisionPolicy} all decisions (what to start,
 * stop, end or leave alone, and when): it does no I/O and takes the time from outside. {@link amberroute.fleet.Supervisor}
 * carries them out: processes, locks, control sockets and logs. It knows daemons by their command, their lock and their
 * control socket, and no class of theirs; it opens no socket but Unix ones.
 */
package amberroute.fleet;
