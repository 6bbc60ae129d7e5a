/**
 * What all daemons together may give a partner that is cold. Decisions only: no I/O, time comes in with each call.
 * {@link amberroute.shares.QuotaShare} divides a limit so that the parts in use never add up to more than the whole, whatever
 * daemons believe of one another; {@link amberroute.shares.SlowStartLimit} says how much the whole is just now and whether there
 * is a limit at all; {@link amberroute.shares.SlowStartLimits} keeps one of them for each partner. It knows the words of
 * {@code membership} and neither sockets nor the sender nor the decision module. See {@code docs/cold-partners.md}.
 */
package amberroute.quota;
