/**
 * Who owns a batch of messages while it moves from one daemon to another, who is offered what, and how the order of keys is kept meanwhile: the
 * handoff protocol as state machines, with its records and its messages as data.
 *
 * <p>Assumes that messages between daemons may be lost, delayed and repeated, and that a record which the host reports as written outlasts a
 * restart. The host carries out each {@link amberroute.handoff.HandoffEffect} in order, each record on disk before the next message
 * leaves. Invariants:
 *
 * <ul>
 * <li>At most one daemon owns a batch ({@link amberroute.handoff.Ownership}).
 * <li>A client goes to another daemon with an ordered key only when all peers hold the key, or nothing of it can be delivered any more ({@link
 * amberroute.handoff.KeyHoldAnnouncement}).
 * </ul>
 *
 * <p>No I/O and no clock; times are milliseconds that the caller passes in. It knows neither the journal nor sockets nor the sender.
 */
package amberroute.handoff;
