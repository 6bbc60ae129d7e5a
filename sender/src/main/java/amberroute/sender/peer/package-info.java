/**
 * Messages between the daemons of a fleet: heartbeats and SWIM membership, load reports, handoff of messages to successors, and replication of
 * journals with failover. Decisions are made in the modules {@code membership}, {@code quota}, {@code overload}, {@code handoff} and
 * {@code replication}; this package has the connections, the codecs, and the order of disk and wire.
 *
 * <p>Assumes that the network may lose, delay and repeat anything, that a connection keeps the order of its lines, and that daemons of two
 * versions talk to each other during an upgrade. Invariants:
 *
 * <ul>
 * <li>A decision is on disk before the message that tells of it leaves.
 * <li>Only a codec ({@link amberroute.sender.peer.HandoffCodec}, {@link amberroute.sender.peer.ReplicationCodec}) knows the names of fields on
 * the wire, and it checks the bounds of all that it reads.
 * <li>A malformed message closes its connection, or is dropped as a datagram, and harms no other peer.
 * <li>All state lives on the event loop of the sender.
 * </ul>
 */
package amberroute.sender.peer;
