/**
 * Fleet membership as one sender sees it: direct heartbeats ({@link amberroute.membership.HeartbeatMonitor}) or SWIM gossip
 * ({@link amberroute.membership.SwimMembership}), with the datagram format of each.
 *
 * <p>Datagrams may be lost, delayed or duplicated. A new process of a sender is expected to have a higher incarnation than the processes before
 * it. Only senders named in the settings are tracked, updates with an older incarnation are ignored, and only a sender itself raises its
 * incarnation. The views of two senders may differ at any moment, so a view may be used for efficiency but never for correctness.
 *
 * <p>The package performs no I/O and reads no clock. Times are microseconds on the caller's clock. It does not depend on sockets or on the
 * sender module.
 */
package amberroute.membership;
