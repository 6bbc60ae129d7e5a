/**
 * Who of a fleet is alive, as one daemon sees it: direct heartbeats ({@link amberroute.membership.HeartbeatMonitor}) and SWIM gossip ({@link
 * amberroute.membership.SwimMembership}), with the datagrams of both.
 *
 * <p>Assumes that datagrams may be lost, delayed and repeated, and that a process has a higher incarnation than those before it. Invariants: only
 * daemons that the settings name count; news of an older incarnation changes nothing; only a daemon itself raises its incarnation. Views
 * of two daemons may differ at any moment: nobody's safety may rest on one, only how well things go.
 *
 * <p>No I/O and no clock; times are microseconds on the caller's clock. It knows neither sockets nor the sender.
 */
package amberroute.membership;
