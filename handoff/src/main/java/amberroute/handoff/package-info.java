/**
 * The handoff of message batches from one sender to another: who owns a batch, which peer is offered which
 * messages, and how the order of keys is kept meanwhile. The protocol is implemented as state machines, with its
 * records and messages as data.
 *
 * <p>Messages between senders may be lost, delayed and duplicated. A record that the caller reports as written must
 * survive a restart. The caller carries out each {@link amberroute.handoff.HandoffEffect} in order, with each
 * record on disk before the next message is sent. Invariants:
 *
 * <ul>
 * <li>At most one sender owns a batch ({@link amberroute.handoff.Ownership}).
 * <li>A client is redirected to another sender with an ordered key only if all peers hold the key, or if no message
 * of the key can be delivered any more ({@link amberroute.handoff.KeyHoldAnnouncement}).
 * </ul>
 *
 * <p>The package performs no I/O and reads no clock; the caller passes in times in milliseconds. It does not depend
 * on the journal, the network or the sender.
 */
package amberroute.handoff;
