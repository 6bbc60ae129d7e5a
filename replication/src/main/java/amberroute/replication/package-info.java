/**
 * Who owns an estate, which is all that one sender has taken on, when its sender may be lost: copies of its records at a
 * group of holders, terms of ownership that a majority grants, and the claim to the next one. {@code docs/survival.md} has
 * the invariant and its proof.
 *
 * <p>It does no I/O and has no clock: whoever hosts it has each {@link amberroute.survival.ReplicaState} on disk before the
 * answer that follows from it leaves. It knows neither journal nor sockets nor the sender.
 */
package amberroute.replication;
