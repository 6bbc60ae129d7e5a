/**
 * Who of a fleet is there, as one daemon sees it: heartbeats as data and what follows from them. No I/O and no clock; it
 * knows neither sockets nor the sender. Views of two daemons may differ at any moment: nobody's safety may rest on one, only
 * how well things go. A full membership protocol can take its place behind {@link amberroute.membership.MembershipView}.
 */
package amberroute.membership;
