/**
 * Who owns a lot of messages while it moves from one daemon to another: the hand-over protocol as a state machine, with
 * its records and its words on the wire as data. {@code docs/hand-over.md} has the invariant, its proof and its cost.
 *
 * <p>It does no I/O and has no clock: whoever hosts it carries out the {@link amberroute.handover.Effect}s in their
 * order, each record on disk before the next word leaves. It knows neither journal nor sockets nor the sender.
 */
package amberroute.handoff;
